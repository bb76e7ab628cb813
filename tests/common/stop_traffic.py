"""Requests that are sent to entry VMs until their processes have ended."""

import collections
import itertools
import typing

import attrs
import trio

from tests.common import stop_checks
from tests.common import stopping
from tests.standins import backend as backend_module

SAFE, UNSAFE = ("GET", "/look/1"), ("POST", "/log/1")
STREAM, UNREPEATABLE_STREAM = ("POST", "/tip/1"), ("POST", "/say/1")
KINDS = (SAFE, UNSAFE, STREAM, UNREPEATABLE_STREAM)
STREAM_PATHS = (STREAM[1], UNREPEATABLE_STREAM[1])
GAP_S = 0.04
# A request that is not read crosses the close of its connection. One that
# waits for longer before it is closed has been given up.
UNREAD_S = 1.0


@attrs.define
class Sent:
    """A request, when it was sent, and what came back until when."""

    caller: stopping.Caller
    path: str
    sent_s: float
    received: stopping.Received
    ended_s: float = float("inf")


def answer_after(*delays_s: float) -> backend_module.Behaviour:
    """Answer requests after the delays in turn."""
    delays = itertools.cycle(delays_s)

    async def behave(
        server: backend_module.Backend, exchange: typing.Any
    ) -> None:
        await trio.sleep(next(delays))
        await backend_module.answer_normally(server, exchange)

    return behave


@attrs.define(eq=False)
class Traffic:
    """Requests to one entry VM, on kept and on new connections in turn."""

    vm: stopping.EntryVm
    kinds: tuple[tuple[str, str], ...] = KINDS
    idle: list[stopping.Caller] = attrs.field(factory=list)
    sent: list[Sent] = attrs.field(factory=list)

    async def run(self, ended: typing.Callable[[], bool]) -> None:
        """Send until a condition holds, then wait for all answers."""
        kinds = itertools.cycle(self.kinds)
        async with trio.open_nursery() as nursery:
            for number in itertools.count():
                if ended():
                    break
                kept = number // len(self.kinds) % 2 == 0
                nursery.start_soon(self._call, *next(kinds), kept)
                await trio.sleep(GAP_S)

    async def _call(self, method: str, path: str, kept: bool) -> None:
        try:
            if kept and self.idle:
                caller = self.idle.pop(0)
            else:
                caller = await self.vm.open_caller()
        except OSError:
            return
        sent_s = trio.current_time()
        await caller.send(method, path, b"prompt" if method == "POST" else b"")
        one = Sent(caller, path, sent_s, stopping.Received())
        # The id of the caller changes with its next request.
        one.caller = attrs.evolve(caller)
        self.sent.append(one)
        one.received = await caller.read()
        one.ended_s = trio.current_time()
        closes = one.received.headers.get("connection") == "close"
        if kept and one.received.complete and not closes:
            self.idle.append(caller)
        else:
            await caller.stream.aclose()

    def check(self, report: stop_checks.Report) -> None:
        """Check that each request was answered, or was not read.

        Streams that last until replies are due may end unfinished. What was
        read has one final line; what was not is closed soon.
        """
        lines: dict[str, list[dict]] = collections.defaultdict(list)
        for event in self.vm.list_events():
            if event["name"] in stopping.FINAL_EVENTS:
                lines[event.get("request", "")].append(event)
        ran = {
            run.request.headers[backend_module.ATTEMPT_ID_HEADER]
            for server in self.vm.running.backends.values()
            for run in server.runs
        }
        for each in self.sent:
            own = lines[each.caller.request_id]
            after_s = each.sent_s - self.vm.signalled_s
            place = f"{each.path} sent at {after_s:.2f} s, {each.received}"
            status, complete = each.received.status, each.received.complete
            waited_s = each.ended_s - each.sent_s
            ran_here = each.caller.request_id in ran
            if not (status or own or ran_here) and waited_s < UNREAD_S:
                report.ends.append(f"{place}: unread")
                continue
            cut = status == 200 and each.path in STREAM_PATHS
            cut = cut and each.received.after_s >= stopping.DUE_S - 0.1
            report.check(complete or cut, f"{place}: no answer, {own}")
            report.check(len(own) == 1, f"{place}: lines {own}")
            if complete:
                logged = [line.get("status", status) for line in own]
                report.check(logged == [status], f"{place}: lines {own}")

    def count_ends(self) -> collections.Counter[str]:
        """How many requests ended with each status, or unfinished."""
        return collections.Counter(
            f"{each.path} {each.received.status}"
            + ("" if each.received.complete else " unfinished")
            for each in self.sent
        )
