"""Crowds of misbehaving clients at the callers' API, also over TLS."""

import contextlib
import json
import pathlib
import resource
import ssl
import tempfile

from nose2.tools import params
import trio

from tests.common import certificates
from tests.common import crowds
from tests.common import deployment
from tests.common import streaming
from tests.common import tls_deployment

READERS, TEXT_BYTES = 30, 2_000_000
MAX_BODY_BYTES = 4_000_000
SLOW_BYTES_PER_S = 2_000
SLOW_PAUSE_S = 0.5
CROWD_S = 8.0
DESCRIPTORS, MAX_DESCRIPTORS, IDLE = 400, 360, 500
TARGET = "/v1/services/swap-desk/look-up-parcel"
HANDSHAKE_S = 5.0


def make_call(text):
    """A call of a service whose answer is as long as its text."""
    body = json.dumps({"text": text}).encode()
    lines = [f"{n}: {v}" for n, v in streaming.HEADERS.items()]
    head = [f"POST {TARGET} HTTP/1.1", "host: a", *lines]
    head += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(head).encode() + body


async def connect(address, context):
    """Connect a client; None if it is turned away."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    if context is None:
        return crowds.Client(stream)
    secure = trio.SSLStream(stream, context, server_hostname=host)
    with trio.move_on_after(HANDSHAKE_S):
        try:
            await secure.do_handshake()
        except trio.BrokenResourceError:
            return None
        return crowds.Client(secure)
    return None


async def ask_ordinary(address, context):
    """Call a service as other clients do; return the answer's first line."""
    for _ in range(crowds.ORDINARY_TRIES):
        client = await connect(address, context)
        if client is not None:
            await client.send(make_call("short"))
            with trio.move_on_after(HANDSHAKE_S):
                first = await client.read_first_line()
                if " 200 " in first:
                    return first
        await trio.sleep(0.5)
    return ""


@contextlib.contextmanager
def limit_descriptors(descriptors):
    """Limit the descriptors of processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors is not None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def play(tls, play_crowd, descriptors=None):
    """Run an entry VM with a crowd, and check what it takes."""
    usage = crowds.Usage()
    clients = []

    async def main(running, context):
        vm = running.entry_vms[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowds.keep_measuring, vm.process.pid, usage)

            async def connect_one():
                clients.append(await connect(vm.callers, context))
                return clients[-1]

            await play_crowd(connect_one, nursery)
            first = await ask_ordinary(vm.callers, context)
            nursery.cancel_scope.cancel()
        for each in filter(None, clients):
            await trio.aclose_forcefully(each.stream)
        print(f"{usage}, ordinary request: {first}")
        assert vm.process.poll() is None
        assert usage.memory < crowds.MEMORY_BYTES
        assert descriptors is None or usage.descriptors <= MAX_DESCRIPTORS
        assert " 200 " in first

    with tempfile.TemporaryDirectory() as folder:
        own = certificates.Authority(pathlib.Path(folder), "own")
        settings: dict = {"limits": {"max_body_bytes": MAX_BODY_BYTES}}
        if tls:
            settings["tls"] = {"callers": own.issue("server")}
        plan = streaming.make_plan(**settings)
        context = None
        made = deployment.Deployment(plan)
        if tls:
            context = ssl.create_default_context(cafile=own.certificate)
            made = tls_deployment.TlsDeployment(
                plan=plan, authority=own.certificate
            )
        with contextlib.ExitStack() as stack:
            with limit_descriptors(descriptors):
                running = stack.enter_context(made)
            trio.run(main, running, context)


@params(False, True)
def test_long_answers_of_services_that_are_read_slowly_stay_within_memory(
    tls,
):
    """Guards against copies of an answer for each client that reads slowly."""

    async def read_slowly(connect_one, nursery):
        for _ in range(READERS):
            client = await connect_one()
            if client is not None:
                nursery.start_soon(client.send, make_call("x" * TEXT_BYTES))
                nursery.start_soon(
                    client.read_slowly, SLOW_BYTES_PER_S, SLOW_PAUSE_S
                )
        await trio.sleep(CROWD_S)

    play(tls, read_slowly)


@params(False, True)
def test_idle_connections_leave_descriptors_for_others(tls):
    """Guards against idle clients with which no other one can connect."""

    async def stay_idle(connect_one, nursery):
        for _ in range(IDLE):
            with trio.move_on_after(HANDSHAKE_S / 100):
                await connect_one()
        await trio.sleep(CROWD_S / 2)

    play(tls, stay_idle, DESCRIPTORS)
