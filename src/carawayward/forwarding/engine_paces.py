"""Learns the engines' paces, from own requests and from those of peers.

With many entry VMs each sees an engine too rarely to learn its pace in time.
So each reports a few of its newest samples, at most one in a while.
"""

import math
import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import engine_pace
from carawayward.forwarding import load_report_messages

# How often a sample is reported, and how many of the newest a report carries:
# several reports carry each, so that a lost datagram loses none.
SHARE_INTERVAL_MS = 1_000.0
MAX_SHARED = 2
MAX_SHARED_AGE_MS = 2_500.0
# Reports carry logarithms as multiples of this.
LOG_UNIT = 0.125


@attrs.frozen
class SharedSample:
    """A sample as reports carry it: the engine's hash and the logarithm."""

    taken_ms: float
    engine: int
    units: int


@attrs.define(eq=False)
class EnginePaces:
    """Records samples of the engines' paces and shares some with peers.

    ``number`` counts the shared samples. ``seen`` holds, by peer, its
    incarnation and the number of its last sample that was merged.
    """

    clock: clock_module.Clock
    paces: engine_pace.Paces
    get_names: typing.Callable[[], typing.Mapping[int, str]]
    number: int = 0
    shared: list[SharedSample] = attrs.field(factory=list)
    seen: dict[str, tuple[str, int]] = attrs.field(factory=dict)

    def observe(
        self, service: str, engine: str, took_ms: float, predicted_ms: float
    ) -> None:
        """Record a time to first token and what was predicted at pace 1."""
        log_ratio = engine_pace.compute_log_ratio(
            self.paces, service, took_ms, predicted_ms
        )
        if log_ratio is None:
            return
        now_ms = self.clock.now_ms()
        engine_pace.record_sample(self.paces, engine, log_ratio, now_ms)
        if (
            self.shared
            and now_ms - self.shared[-1].taken_ms < SHARE_INTERVAL_MS
        ):
            return
        number = load_report_messages.hash_name(engine)
        units = round(log_ratio / LOG_UNIT)
        self.number += 1
        self.shared.append(SharedSample(now_ms, number, units))
        del self.shared[:-MAX_SHARED]

    def describe(self) -> list | None:
        """The newest samples, as load reports carry them; None without any."""
        now_ms = self.clock.now_ms()
        recent = [
            each
            for each in self.shared
            if now_ms - each.taken_ms < MAX_SHARED_AGE_MS
        ]
        if not recent:
            return None
        samples = [[each.engine, each.units] for each in recent]
        return [self.number, samples]

    def merge(self, peer: str, value: typing.Any, ttl_ms: float) -> None:
        """Record the samples of a peer that are new.

        Raises ValueError or TypeError if they are malformed.
        """
        number, shared = value
        if type(number) is not int or len(shared) > MAX_SHARED:
            raise ValueError("not a list of numbered samples")
        samples = [
            (_read_int(engine), _read_units(units)) for engine, units in shared
        ]
        name, _, incarnation = peer.rpartition("/")
        known, last = self.seen.get(name, ("", 0))
        new = number - (last if known == incarnation else 0)
        if new <= 0:
            return
        self.seen[name] = (incarnation, number)
        names, now_ms = self.get_names(), self.clock.now_ms()
        for engine, units in samples[-new:]:
            if engine in names:
                engine_pace.record_sample(
                    self.paces, names[engine], units * LOG_UNIT, now_ms
                )


def _read_int(value: typing.Any) -> int:
    if type(value) is not int:
        raise TypeError("integer expected")
    return value


def _read_units(value: typing.Any) -> int:
    limit = math.ceil(engine_pace.MAX_LOG_RATIO / LOG_UNIT)
    return max(-limit, min(limit, _read_int(value)))
