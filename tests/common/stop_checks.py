"""Checks how the requests end that wait at an entry VM while it stops."""

import typing

import attrs
import trio

from tests.common import stopping
from tests.standins import backend
from tests.standins import raw_http

# The cause that is logged for what the end of a stop cuts off.
LEAVING = "leaving"
# What a process logs as it begins to stop, is found slow, and ends.
STOP_STEPS = ("node_leaving", "stop_starved", "node_stopped")


@attrs.define
class Report:
    """What went wrong with the requests of a stop, and how each ended."""

    vm: stopping.EntryVm
    problems: list[str] = attrs.field(factory=list)
    ends: list[str] = attrs.field(factory=list)

    def check(self, condition: bool, problem: str) -> None:
        """Record a problem unless a condition holds."""
        if not condition:
            self.problems.append(problem)

    def check_line(
        self,
        caller: stopping.Caller,
        received: stopping.Received,
        place: str,
        cause: str | None = LEAVING,
    ) -> None:
        """There is one final line, and it agrees with what the caller got."""
        lines = self.vm.list_ends(caller.request_id)
        self.ends.append(f"{place}: {received}; logged: {lines}")
        self.check(len(lines) == 1, f"{place}: {len(lines)} final lines")
        for line in lines:
            status = received.status if received.complete else 0
            logged = line.get("status", status)
            self.check(logged == status, f"{place}: logged as {logged}")
            if cause is not None:
                logged = line.get("cause")
                self.check(logged == cause, f"{place}: logged as {logged}")

    def check_reply(
        self,
        caller: stopping.Caller,
        received: stopping.Received,
        place: str,
        statuses: tuple[int, ...],
        cause: str | None = LEAVING,
    ) -> None:
        """The caller has a complete reply with one of the statuses."""
        self.check_line(caller, received, place, cause)
        self.check(received.complete, f"{place}: no complete answer")
        self.check(
            received.status in statuses,
            f"{place}: status {received.status}, not {statuses}",
        )
        if received.complete and received.status == 503:
            self.check(
                "retry-after" in received.headers, f"{place}: no Retry-After"
            )

    def check_cut(
        self,
        caller: stopping.Caller,
        received: stopping.Received,
        place: str,
    ) -> None:
        """The caller cannot take what it has for a complete answer."""
        self.check_line(caller, received, place)
        self.check(not received.complete, f"{place}: looks complete")

    def record_steps(self) -> None:
        """Record when the process logged the steps of its stop.

        Tells a late end of the process from one that the test notices late.
        """
        steps = [
            (each["at_ms"] / 1000, each["name"])
            for each in self.vm.list_events()
            if each.get("name") in STOP_STEPS
        ]
        self.ends += [
            f"{name}: {at_s - steps[0][0]:.2f} s after the first step"
            for at_s, name in steps
        ]

    async def finish(self) -> None:
        """The process has ended in time, by itself and in order."""
        code, after_s = await self.vm.end()
        self.ends.append(f"process: {code} after {after_s:.2f} s")
        self.check(code == 0, f"process ended with {code}")
        self.check(after_s < stopping.GRACE_S, "process ended too late")
        assert not self.problems, "\n".join(self.problems + self.ends)


async def wait_for_arrivals(vm: stopping.EntryVm, count: int) -> None:
    """Wait until endpoints have received requests or repeats."""
    backends = vm.running.backends.values()
    await vm.running.wait_for(
        lambda: sum(each.arrivals for each in backends) >= count
    )


async def read_all(
    callers: typing.Collection[stopping.Caller],
) -> list[stopping.Received]:
    """Read the answers of all callers at once."""
    received = [stopping.Received() for _ in callers]

    async def read(number: int, caller: stopping.Caller) -> None:
        received[number] = await caller.read()

    async with trio.open_nursery() as nursery:
        for number, caller in enumerate(callers):
            nursery.start_soon(read, number, caller)
    return received


async def check_waiting(
    vm: stopping.EntryVm,
    callers: typing.Mapping[str, stopping.Caller],
    statuses: typing.Mapping[str, tuple[int, ...]],
    cause: str | None = LEAVING,
) -> None:
    """Stop an entry VM; check the replies to requests that wait there."""
    report = Report(vm)
    if vm.signalled_s == float("inf"):
        vm.signal()
    received = await read_all(callers.values())
    await vm.end()
    for (place, caller), each in zip(callers.items(), received, strict=True):
        report.check_reply(caller, each, place, statuses[place], cause)
    await report.finish()


def act_on(
    event: trio.Event, act: backend.Behaviour = backend.answer_normally
) -> backend.Behaviour:
    """Act on a request once an event is set."""

    async def behave(
        server: backend.Backend, exchange: raw_http.Exchange
    ) -> None:
        await event.wait()
        await act(server, exchange)

    return behave
