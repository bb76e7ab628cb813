"""Which connection makes room for a new one, and accepts that fail."""

import errno
import socket
from unittest import mock

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from carawayward import accept_queue
from carawayward.decisions import connection_room

TIMES = strategies.floats(0.0, 1_000.0)
ACTIVITIES = strategies.builds(
    connection_room.Activity,
    idle_s=strategies.none() | TIMES,
    waiting_s=TIMES,
    moved_bytes=strategies.integers(0, 10**9),
)


@hypothesis.given(strategies.lists(ACTIVITIES, max_size=10))
def test_idle_connections_make_room_before_slow_ones(activities):
    """Guards against a request that is cut though others are idle."""
    order = connection_room.order_to_close(activities)
    idle = [activities[n].idle_s for n in order]
    count = sum(each.idle_s is not None for each in activities)
    assert None not in idle[:count]
    assert idle[:count] == sorted(idle[:count], reverse=True)
    assert idle[count:] == [None] * (len(order) - count)


def test_request_that_waits_for_its_endpoint_makes_no_room():
    """Guards against a request that is cut though its client behaves."""
    waits_for_endpoint = connection_room.Activity(None)
    accepts_at_once = connection_room.Activity(None, 0.5, 0)
    activities = [waits_for_endpoint, accepts_at_once]
    assert connection_room.order_to_close(activities) == []


def test_listener_accepts_again_after_a_shortage_of_descriptors():
    """Guards against a listener that ends, or floods its log meanwhile."""

    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.setblocking(False)
            listener = accept_queue.AcceptingListener(
                listening, accept_queue.KeepWaiting()
            )
            shortage = OSError(errno.EMFILE, "too many open files")
            accept = listener._accept_next
            failing = mock.Mock(side_effect=[shortage, shortage, None])
            with mock.patch.object(
                listener, "_accept_next", lambda: failing() or accept()
            ):
                client = await trio.open_tcp_stream(*listening.getsockname())
                async with client, await listener.accept() as accepted:
                    await accepted.send_all(b"x")
                    assert await client.receive_some(1) == b"x"
            assert failing.call_count == 3

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))
