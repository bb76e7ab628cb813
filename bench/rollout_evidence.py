"""Measures how often versions are completed, by load and kind of fault.

``./build.sh bench rollout_evidence`` simulates roll-outs with the decisions of
``carawayward.decisions.canary``: requests on three routes arrive at random,
and their answers some time later. The version is good, bad on one route, bad
on all, bad from some moment on, or bad once it gets full traffic.
"""

import heapq
import random

import attrs
import fire

from carawayward.decisions import canary

FAULTS = ("good", "one route", "all", "late", "under load")
BAD_SHARE = 0.5
ROUTES = {"a": 0.35, "b": 0.28, "c": 0.37}
# The range of the time from a request to its answer, in s.
ANSWER_S = (0.5, 1.8)
TICK_S = 0.2
DRAINED_S = 1.0


@attrs.define
class Simulation:
    """A simulated roll-out; times in s."""

    draw: random.Random
    per_s: float
    duration_s: float
    usual_rate: float
    fault: str
    sent: int = 0
    sent_new: int = 0
    verdict: canary.Verdict = canary.Verdict.UNKNOWN
    full_traffic_s: float | None = None
    tally_before_full_traffic: canary.Tally = canary.Tally()
    by_route: dict[str, canary.Tally] = attrs.field(factory=dict)
    pending: list = attrs.field(factory=list)
    bad_route: str = ""
    fault_begins_s: float = 0.0

    def play(self) -> bool:
        """Run the roll-out; returns whether the version is completed."""
        self.bad_route = self.draw.choice(list(ROUTES))
        self.fault_begins_s = self.draw.uniform(0.2, 0.9) * self.duration_s
        arrival_s, tick_s = self.draw.expovariate(self.per_s), 0.0
        while (now_s := min(arrival_s, tick_s)) <= self.duration_s:
            if now_s == arrival_s:
                self.send(now_s)
                arrival_s += self.draw.expovariate(self.per_s)
                continue
            tick_s += TICK_S
            self.count_answers(now_s)
            if self.decide(now_s):
                return True
        return False

    def make_exposure(self) -> canary.Exposure:
        return canary.Exposure(
            share=0.15, slack=30.0, sent=self.sent, sent_new=self.sent_new
        )

    def find_share(self, now_s: float) -> float:
        part = now_s / self.duration_s
        exposure = self.make_exposure()
        if self.full_traffic_s is None or self.verdict is canary.Verdict.BAD:
            return canary.compute_share(part, self.verdict, exposure)
        room = canary.fits_exposure(part, self.duration_s * 1000.0, exposure)
        return float(room)

    def send(self, now_s: float) -> None:
        """Send a request to either version and draw its answer."""
        names = list(ROUTES)
        route = self.draw.choices(names, list(ROUTES.values()))[0]
        new = self.draw.random() < self.find_share(now_s)
        self.sent += 1
        self.sent_new += new
        bad = self.draw.random() < self.usual_rate
        if new and self.is_faulty(route, now_s):
            bad = bad or self.draw.random() < BAD_SHARE
        known_s = now_s + self.draw.uniform(*ANSWER_S)
        heapq.heappush(self.pending, (known_s, route, new, bad))

    def is_faulty(self, route: str, now_s: float) -> bool:
        match self.fault:
            case "one route":
                return route == self.bad_route
            case "late":
                return now_s >= self.fault_begins_s
            case "under load":
                return self.full_traffic_s is not None
        return self.fault == "all"

    def count_answers(self, now_s: float) -> None:
        while self.pending and self.pending[0][0] <= now_s:
            _, route, new, bad = heapq.heappop(self.pending)
            answer = (
                canary.Tally(new=1, new_bad=int(bad))
                if new
                else canary.Tally(old=1, old_bad=int(bad))
            )
            total = self.by_route.get(route, canary.Tally())
            self.by_route[route] = total + answer

    def decide(self, now_s: float) -> bool:
        """Judge, switch to full traffic, and return whether it completes."""
        if self.verdict is not canary.Verdict.BAD:
            self.verdict = canary.judge(self.by_route)
        if self.verdict is canary.Verdict.BAD:
            return False
        total = sum(self.by_route.values(), canary.Tally())
        if self.full_traffic_s is None:
            if self.find_share(now_s) < 1.0:
                return False
            self.full_traffic_s, self.tally_before_full_traffic = now_s, total
        since_full_traffic = attrs.evolve(
            total,
            new=total.new - self.tally_before_full_traffic.new,
            new_bad=total.new_bad - self.tally_before_full_traffic.new_bad,
        )
        drained = now_s - self.full_traffic_s >= DRAINED_S
        return canary.may_complete(
            (self.duration_s - now_s) * 1000.0,
            self.verdict,
            1.0,
            since_full_traffic.new,
            0 if drained else 1,
        ) and canary.is_proven(self.by_route, since_full_traffic)


def main(seeds: int = 200) -> None:
    """Print how many of 100 roll-outs are completed, by kind of fault."""
    print("per s  for s  usual rate  " + "  ".join(FAULTS))
    for per_s, duration_s in ((2, 12), (3, 20), (9, 18), (22, 18), (60, 24)):
        for usual_rate in (0.02, 0.08):
            shares = [
                sum(
                    Simulation(
                        random.Random(seed),
                        per_s,
                        duration_s,
                        usual_rate,
                        fault,
                    ).play()
                    for seed in range(seeds)
                )
                / seeds
                for fault in FAULTS
            ]
            row = "  ".join(f"{100 * each:.0f}" for each in shares)
            print(f"{per_s:5}  {duration_s:5}  {usual_rate:10}  {row}")


if __name__ == "__main__":
    fire.Fire(main)
