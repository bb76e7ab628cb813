"""Malformed input on the ports of a running entry VM."""

import contextlib
import socket
import time

import httpcore

from tests.common import deployment
from tests.common import streaming

LIMITS = {"idle_connection_ms": 800, "body_timeout_ms": 800}


def send_raw(address: str, data: bytes) -> bytes:
    """Send bytes over a new connection and return the reply."""
    host, _, port = address.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), 10) as connection:
        with contextlib.suppress(OSError):
            connection.sendall(data)
            while chunk := connection.recv(65_536):
                received += chunk
    return received


def send_slowly(address: str, head: bytes) -> float:
    """Send bytes slowly; return how long the connection stayed open, in s."""
    host, _, port = address.rpartition(":")
    started_s = time.monotonic()
    with socket.create_connection((host, int(port)), 10) as connection:
        connection.settimeout(0.05)
        connection.sendall(head)
        with contextlib.suppress(ConnectionError, BrokenPipeError):
            while time.monotonic() - started_s < 15:
                connection.sendall(b"x")
                with contextlib.suppress(TimeoutError):
                    if connection.recv(1_000) == b"":
                        break
    return time.monotonic() - started_s


def test_malformed_input_on_any_port_does_not_affect_a_stream():
    """A port scanner must not cut off other callers' answers.

    While a stream runs, every port gets bytes that are not HTTP, handshakes
    of other protocols, and malformed or oversized headers. The failure
    arises when an exception leaves the code of its own connection and ends
    the tasks of all others.
    """
    malformed = [
        b"\x00" * 2_000,
        b"\x16\x03\x01\x02\x00" + b"\xaa" * 300,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 100,
        b"GET /\xff HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\n"
        b"Connection: upgrade\r\nHTTP2-Settings: !\r\n\r\nx",
        b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
        b"Connection: upgrade\r\n\r\n",
        b"POST /v1/tickets HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 100_000 + b"\r\n\r\n",
    ]
    plan = streaming.make_plan(limits=LIMITS)
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        text = "junk tokens=700"
        with streaming.open_stream(vm.callers, text) as response:
            for address in (vm.callers, vm.operators, vm.peers):
                for data in malformed:
                    send_raw(address, data)
            answer = streaming.read_answer(response)
        assert answer.text == streaming.make_expected(text, 700)
        assert deployment.call("GET", vm.callers, "/readyz").status == 200
        log = (running.folder / f"{vm.name}.out").read_text()
        assert log.count('"peer_refused"') == len(malformed)
        assert '"request_bad"' in log and '"fault"' not in log


def test_slow_headers_and_bodies_are_cut_off():
    """Slow requests must not use up an entry VM's connections.

    A few hosts can hold thousands of connections open by sending a byte now
    and then, if a timeout restarts with each byte.
    """
    plan = streaming.make_plan(limits=LIMITS)
    with deployment.Deployment(plan) as running:
        callers = running.entry_vms[0].callers
        key = streaming.AUTH["Authorization"]
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
            f"Authorization: {key}\r\nContent-Length: 900\r\n\r\n"
        )
        assert send_slowly(callers, b"GET /readyz HTTP/1.1\r\nX: ") < 10
        assert send_slowly(callers, head.encode()) < 10
        with httpcore.ConnectionPool() as pool:
            ready = pool.request("GET", f"http://{callers}/readyz")
            assert ready.status == 200
