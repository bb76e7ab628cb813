"""Idle time-outs of listeners."""

import types
import typing

import trio
import trio.testing

from carawayward import http_server
from carawayward import listening
from carawayward import settings


class FakeConnection:
    """An idle connection that records when it was closed."""

    def __init__(self, closed_s: list[float]) -> None:
        self.idle = types.SimpleNamespace(since=trio.current_time())
        self.has_unread = self.has_partial_head = lambda: False
        self.is_new = lambda: False
        self.close_if_waiting = lambda: closed_s.append(trio.current_time())


def measure_close_s(change: typing.Callable[[listening.ListenerConfig], None]):
    """Measure after how long an idle connection is closed.

    ``change`` is applied to the listener after a second.
    """
    closed_s: list[float] = []

    async def main() -> None:
        limits = settings.Limits(idle_connection_ms=10_000)
        config = listening.make_config("127.0.0.1:0", limits, None, 300)
        connections: set[typing.Any] = set()
        began_s = trio.current_time()
        with trio.move_on_after(12.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    http_server.keep_closing_idle, connections, config
                )
                await trio.sleep(0.5)
                connections.add(FakeConnection(closed_s))
                await trio.sleep(0.5)
                change(config)
        closed_s[:] = [each - began_s for each in closed_s]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return closed_s[0]


def test_connection_is_closed_when_its_time_out_is_over():
    """Guards against a check that is late for connections opened since."""
    assert 10.5 <= measure_close_s(lambda config: None) <= 10.75


def test_shorter_time_out_applies_to_open_connections():
    """Guards against a new limit that waits for the next check."""
    closed_s = measure_close_s(lambda config: config.set_idle_timeout(2_000.0))
    assert 2.5 <= closed_s <= 2.75


def test_draining_listener_closes_idle_connections_at_once():
    """Guards against callers that stay with an entry VM that stops."""
    closed_s = measure_close_s(lambda config: config.start_draining())
    assert 1.0 <= closed_s <= 1.1
