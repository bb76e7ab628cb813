"""Runs a program whose connections and processor time are bounded.

Its TCP connections come from the IP address of its environment, so that relays
can tell whose they are. While the file named there exists, new connections to
the addresses that it lists are refused or hang; see ``EntryVm.partition``. If
it gets less than a core, it is stopped for a part of each period. It may also
get fewer descriptors.
"""

import json
import os
import pathlib
import resource
import runpy
import signal
import socket
import sys
import time
import typing

IP_VARIABLE = "SOAK_IP"
FILE_VARIABLE = "SOAK_PARTITION"
CORE_VARIABLE = "SOAK_CORE_SHARE"
DESCRIPTORS_VARIABLE = "SOAK_DESCRIPTORS"
CORE_PERIOD_VARIABLE = "SOAK_CORE_PERIOD_S"
CORE_PERIOD_S = 0.02
# Lets the kernel choose the port when the connection is made.
IP_BIND_ADDRESS_NO_PORT = 24

Connect = typing.Callable[[socket.socket, typing.Any], None]


def make_hanging_address() -> tuple[typing.Any, list[socket.socket]]:
    """An address with a full queue, where new connections hang."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = listener.getsockname()
    filling = []
    for _ in range(4):
        each = socket.socket()
        each.setblocking(False)
        each.connect_ex(address)
        filling.append(each)
    return address, [listener, *filling]


def make_refusing_address() -> tuple[typing.Any, list[socket.socket]]:
    """An address where nothing listens."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound.getsockname(), [bound]


def make_connect(connect: Connect, ip: str, path: pathlib.Path) -> Connect:
    """Make a ``socket.connect`` that obeys the file at ``path``."""
    hanging, kept_hanging = make_hanging_address()
    refusing, kept_refusing = make_refusing_address()
    kept = [*kept_hanging, *kept_refusing]

    def connect_unless_cut(self: socket.socket, address: typing.Any) -> None:
        if self.type != socket.SOCK_STREAM or self in kept:
            connect(self, address)
            return
        self.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        self.bind((ip, 0))
        if path.exists():
            cut = json.loads(path.read_text(encoding="utf-8"))
            if f"{address[0]}:{address[1]}" in cut["addresses"]:
                address = hanging if cut["mode"] == "hanging" else refusing
        connect(self, address)

    return connect_unless_cut


def bound_processor_time(core_share: float, period_s: float) -> None:
    """Let this process run for a part of each period, as a quota does."""
    bounded = os.getpid()
    if os.fork():
        return
    while True:
        time.sleep(period_s * core_share)
        if os.getppid() != bounded:
            os._exit(0)
        os.kill(bounded, signal.SIGSTOP)
        time.sleep(period_s * (1.0 - core_share))
        os.kill(bounded, signal.SIGCONT)


def main(program: str, *arguments: str) -> None:
    """Run a Python program with its arguments in this process."""
    core_share = float(os.environ[CORE_VARIABLE])
    period_s = float(os.environ.get(CORE_PERIOD_VARIABLE, CORE_PERIOD_S))
    if core_share < 1.0:
        bound_processor_time(core_share, period_s)
    if descriptors := int(os.environ.get(DESCRIPTORS_VARIABLE, "0")):
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
    replaced: typing.Any = make_connect(
        socket.socket.connect,
        os.environ[IP_VARIABLE],
        pathlib.Path(os.environ[FILE_VARIABLE]),
    )
    socket.socket.connect = replaced  # type: ignore[method-assign]
    sys.argv = [program, *arguments]
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main(*sys.argv[1:])
