"""Allocates ports on loopback for tests."""

import fcntl
import itertools
import os
import pathlib
import socket
import tempfile
import time
import typing

FIRST_PORT, END_PORT, PORTS_PER_BLOCK = 12_000, 32_000, 800
LISTENING_TIMEOUT_S = 30.0
_LOCKS: list[typing.IO] = []
_PORTS: list[typing.Iterator[int]] = []


def acquire_port_block() -> typing.Iterator[int]:
    """Lock a block of ports for this process; cycle through it endlessly.

    Any outgoing connection may take a port of the kernel's ephemeral range
    between the check and its use, so the blocks lie below that range. A lock
    file reserves a block until this process ends.
    """
    for first in range(FIRST_PORT, END_PORT, PORTS_PER_BLOCK):
        name = f"carawayward-ports-{os.getuid()}-{first}"
        lock = open(pathlib.Path(tempfile.gettempdir()) / name, "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _LOCKS.append(lock)
        return itertools.cycle(range(first, first + PORTS_PER_BLOCK))
    raise RuntimeError("all port blocks are locked; run fewer tests at once")


def is_free(port: int, kind: socket.SocketKind) -> bool:
    """Whether a TCP or UDP port can be bound."""
    with socket.socket(type=kind) as probe:
        if kind is socket.SOCK_STREAM:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def find_free_ports(count: int) -> list[int]:
    """Return ports that are not in use at the moment."""
    if not _PORTS:
        _PORTS.append(acquire_port_block())
    found: list[int] = []
    for port in itertools.islice(_PORTS[0], 2 * PORTS_PER_BLOCK):
        if len(found) == count:
            return found
        if is_free(port, socket.SOCK_STREAM) and is_free(
            port, socket.SOCK_DGRAM
        ):
            found.append(port)
    raise RuntimeError(f"no {count} free ports")


def wait_until_listening(address: str) -> None:
    """Wait until the address accepts connections."""
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + LISTENING_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            socket.create_connection((host, int(port)), 1).close()
            return
        except OSError:
            time.sleep(0.02)
    raise TimeoutError(f"nothing listens on {address}")
