"""Settings and figures of listening sockets."""

import contextlib
import errno
import socket
import typing

from nose2.tools import params
import trio

from carawayward import accept_queue
from carawayward import listening
from carawayward import settings
from tests.common import loopback


def test_connections_that_wait_to_be_accepted_are_counted():
    """A process that is too slow to accept shows it."""
    (port,) = loopback.find_free_ports(1)
    address = ("127.0.0.1", port)
    config = listening.make_config(
        f"127.0.0.1:{port}", settings.Limits(), None, 300
    )
    assert config.count_waiting() == 0
    (listener,) = config.create_sockets().insecure_sockets
    listener.listen(10)
    callers = [socket.create_connection(address) for _ in range(3)]
    assert config.count_waiting() == 3
    listener.accept()[0].close()
    assert config.count_waiting() == 2
    for each in (listener, *callers):
        each.close()
    assert config.count_waiting() == 0


class FaultyListener:
    """A listening socket whose first connections are those of a list.

    One that is an error is raised.
    """

    def __init__(self, listener, first):
        self.listener, self.first = listener, iter(first)

    def accept(self):
        """Accept one of the list, then one of the listening socket."""
        for each in self.first:
            if isinstance(each, OSError):
                raise each
            return each, None
        return self.listener.accept()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.listener.close()


@contextlib.contextmanager
def open_queue(first):
    """A queue with three connections behind some others."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    with contextlib.ExitStack() as stack:
        stack.enter_context(listener)
        for _ in range(3):
            stack.enter_context(
                socket.create_connection(listener.getsockname())
            )
        queue = accept_queue.AcceptingListener(
            listener, accept_queue.KeepWaiting()
        )
        faulty: typing.Any = FaultyListener(listener, first)
        queue.listening_socket = faulty
        yield queue


@params(errno.ECONNABORTED, errno.EPERM, errno.EPROTO)
def test_connection_that_ended_before_it_was_accepted_ends_no_listener(code):
    """Guards against a queue that is abandoned for one that has ended."""

    async def main():
        with open_queue([OSError(code, "ended")]) as queue:
            with trio.fail_after(1.0):
                await (await queue.accept()).aclose()
            left = list(queue.drain())
            assert len(left) == 2
            for each in left:
                await each.aclose()

    trio.run(main)


def test_callers_that_connect_again_at_once_do_not_hold_up_a_stop():
    """Guards against a process that turns away for as long as they come."""

    async def main():
        pairs = (socket.socketpair() for _ in range(2_000))
        ends: list[socket.socket] = []

        def keep(pair):
            ends.extend(pair)
            return pair[0]

        with open_queue(map(keep, pairs)) as queue:
            queue.turn_away(3)
            assert len(ends) <= 2 * accept_queue.MAX_COUNTED_PER_TURN
            assert queue.inner.socket.fileno() < 0
        for each in ends:
            each.close()

    trio.run(main)


def test_connections_counted_before_a_stop_are_turned_away_with_the_others():
    """Guards against callers who wait for a reset until the process ends."""

    class CountOnce(accept_queue.KeepWaiting):
        """A policy that counts those that wait, and keeps them waiting."""

        def should_count(self) -> bool:
            return True

    async def main():
        with contextlib.ExitStack() as stack:
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            callers = [
                stack.enter_context(
                    socket.create_connection(listener.getsockname(), 1.0)
                )
                for _ in range(3)
            ]
            queue = accept_queue.AcceptingListener(listener, CountOnce())
            await (await queue.accept()).aclose()
            assert len(queue.counted) == 2
            queue.turn_away(0)
            resets = 0
            for caller in callers[1:]:
                try:
                    caller.recv(1)
                except ConnectionResetError:
                    resets += 1
            assert resets == 2

    trio.run(main)
