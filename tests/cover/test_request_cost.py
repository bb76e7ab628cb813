"""What each request may not cost."""

import collections
import typing
from unittest import mock

from absl import logging
import trio

from carawayward import events
from carawayward.gateway import connections


class TaskCounter(trio.abc.Instrument):
    """Counts the tasks that are started."""

    def __init__(self) -> None:
        self.started = 0

    def task_spawned(self, task: trio.lowlevel.Task) -> None:
        """Count a task."""
        self.started += 1


def test_connection_to_an_address_starts_no_task():
    """Resolving a name needs tasks, a request to a known address does not."""

    async def main() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        counter = TaskCounter()
        trio.lowlevel.add_instrument(counter)
        stream = await connections.open_stream("127.0.0.1", port)
        trio.lowlevel.remove_instrument(counter)
        await stream.aclose()
        await listener.aclose()
        assert not counter.started

    trio.run(main)


def test_read_without_a_time_out_needs_no_cancel_scope():
    """A scope for each chunk of a stream would cost as much as the read."""

    async def main() -> None:
        near, far = trio.socket.socketpair()
        stream = connections.EndpointStream(trio.SocketStream(near))
        await far.send(b"one")
        with mock.patch.object(trio, "move_on_after") as scopes:
            assert await stream.read(100) == b"one"
            async with trio.open_nursery() as nursery:
                nursery.start_soon(far.send, b"two")
                assert await stream.read(100) == b"two"
            assert not scopes.called
        far.close()
        assert await stream.read(100) == b""
        await stream.aclose()

    trio.run(main)


def test_line_below_the_log_level_is_not_built():
    """Encoding lines that nobody reads would slow down each request."""
    built: collections.Counter[str] = collections.Counter()

    class Value:
        """A field that counts how often it is encoded."""

        def __str__(self) -> str:
            built["encoded"] += 1
            return "value"

    field: typing.Any = Value()
    logger = logging.get_absl_logger()
    before = logger.level
    with mock.patch.object(logger, "handle") as handle:
        for level, count in (("ERROR", 0), ("DEBUG", 1)):
            logger.setLevel(level)
            events.log_event(events.Event.NODE_READY, field=field)
            assert built["encoded"] == handle.call_count == count
    logger.setLevel(before)
