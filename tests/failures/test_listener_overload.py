"""A listener that gets more connections than its process can serve."""

import functools
import time
import typing

import trio

from carawayward import accept_queue
from carawayward import http_server
from carawayward import listening
from carawayward import settings
from tests.common import loopback

# Processor time that each request takes from the event loop.
WORK_S = 0.01
CALLS_PER_S = 300.0
CALLS = 250
# A connection waits for the limit of the policy, for the time of a turn and
# for the calls accepted before it.
MAX_WAIT_S = 1.0
STANDING_S = 0.25
REQUEST = (
    b"GET /%d HTTP/1.1\r\nHost: circle.example\r\nConnection: close\r\n\r\n"
)


class TurnAway(accept_queue.KeepWaiting):
    """Turns away what waits once connections have waited for a while."""

    def __init__(self) -> None:
        self.since_s: float | None = None
        self.turned_away = 0

    def record_empty(self) -> None:
        self.since_s = None

    def should_count(self) -> bool:
        now_s = trio.current_time()
        if self.since_s is None:
            self.since_s = now_s
        return now_s - self.since_s > STANDING_S

    def should_turn_away(self, waiting: int) -> bool:
        return waiting > 0

    def record_turned_away(self, count: int) -> None:
        self.turned_away += count


async def answer_slowly(
    served: list[str], scope: dict, receive: typing.Any, send: typing.Any
) -> None:
    """Take processor time in small steps, then answer."""
    served.append(scope["path"])
    for _ in range(5):
        time.sleep(WORK_S / 5)
        await trio.lowlevel.checkpoint()
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b""})


async def call(
    port: int, number: int, outcomes: dict[int, tuple[str, float]]
) -> None:
    """Send one request on a connection of its own."""
    began_s = trio.current_time()
    outcome = "none"
    try:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        async with stream:
            await stream.send_all(REQUEST % number)
            data = await stream.receive_some()
            outcome = "answered" if data.startswith(b"HTTP/1.1 200") else "end"
    except (trio.BrokenResourceError, OSError):
        outcome = "reset"
    outcomes[number] = (outcome, trio.current_time() - began_s)


def overload(policy: accept_queue.Policy) -> tuple[dict, list[str]]:
    """Send more calls than are served; return outcomes and paths served."""
    (port,) = loopback.find_free_ports(1)
    config = listening.make_config(
        f"127.0.0.1:{port}", settings.Limits(), None, 2_000
    )
    config.accept_policy = policy
    served: list[str] = []
    outcomes: dict[int, tuple[str, float]] = {}

    async def run() -> None:
        stop = trio.Event()
        app = functools.partial(answer_slowly, served)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(http_server.serve, app, config, stop)
            await trio.to_thread.run_sync(
                loopback.wait_until_listening, f"127.0.0.1:{port}"
            )
            began_s = trio.current_time()
            async with trio.open_nursery() as calls:
                for number in range(CALLS):
                    due_s = began_s + number / CALLS_PER_S
                    await trio.sleep_until(due_s)
                    calls.start_soon(call, port, number, outcomes)
            stop.set()

    trio.run(run)
    return outcomes, served


def test_connections_beyond_what_is_served_are_reset_with_nothing_read():
    """Callers would wait in the queue although others have room."""
    policy = TurnAway()
    outcomes, served = overload(policy)
    kinds = {kind for kind, _ in outcomes.values()}
    assert kinds == {"answered", "reset"}
    reset = {n for n, (kind, _) in outcomes.items() if kind == "reset"}
    assert len(reset) == policy.turned_away
    assert not reset & {int(path[1:]) for path in served}
    assert max(took_s for _, took_s in outcomes.values()) < MAX_WAIT_S


def test_connections_wait_where_the_policy_turns_nobody_away():
    """A process alone serves all, one after the other."""
    outcomes, served = overload(accept_queue.KeepWaiting())
    assert {kind for kind, _ in outcomes.values()} == {"answered"}
    assert len(served) == CALLS
