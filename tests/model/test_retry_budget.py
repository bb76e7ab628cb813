"""The retry budgets of all entry VMs together keep to the deployment's bound.

The model plays entry VMs that are restarted, retries that arrive late and
bursts of failures, and checks every window by what arrives at endpoints.
"""

import bisect
import random

import attrs
from nose2.tools import params

from carawayward.decisions import retry_budget

WINDOW_MS = 10_000.0
RATIO = 0.9
SLACK = 58.0
# From the claim of a retry to its arrival: a connection may take this long.
MAX_LAG_MS = 500.0
# A process starts at the earliest this long after the one before has ended.
RESTART_MS = 300.0


@attrs.define
class Model:
    """Entry VMs, and the times of requests and of arrived retries."""

    vms: int
    draw: random.Random
    known_vms: int | None = None
    budgets: dict[int, retry_budget.RetryBudget] = attrs.field(factory=dict)
    down_until_ms: dict[int, float] = attrs.field(factory=dict)
    requests_ms: list[float] = attrs.field(factory=list)
    retries_ms: list[float] = attrs.field(factory=list)

    def start(self, vm: int, now_ms: float) -> None:
        """Start a process, which knows nothing of the one before."""
        budget = retry_budget.RetryBudget(WINDOW_MS, RATIO, SLACK)
        budget.vms = self.known_vms or self.vms
        budget.started_ms = now_ms
        self.budgets[vm] = budget

    def kill(self, vm: int, now_ms: float) -> None:
        """End a process; the next one starts soon after."""
        del self.budgets[vm]
        self.down_until_ms[vm] = now_ms + RESTART_MS

    def send(self, vm: int, now_ms: float, retries: int) -> None:
        """Send a request all of whose attempts fail."""
        self.requests_ms.append(now_ms)
        budget = self.budgets.get(vm)
        if budget is None:
            if now_ms < self.down_until_ms[vm]:
                return
            self.start(vm, now_ms)
            budget = self.budgets[vm]
        retry_budget.record_request(budget, now_ms)
        for _ in range(retries):
            if retry_budget.try_to_spend(budget, now_ms):
                lag_ms = self.draw.uniform(0.0, MAX_LAG_MS)
                self.retries_ms.append(now_ms + lag_ms)

    def find_excess(self) -> float:
        """How far the fullest window exceeds its bound."""
        times = sorted(self.retries_ms)
        return max(
            (
                count_in(times, until_ms - WINDOW_MS, until_ms)
                - SLACK
                - RATIO
                * max(
                    count_in(
                        self.requests_ms,
                        until_ms - (back + 1.0) * WINDOW_MS,
                        until_ms - back * WINDOW_MS,
                    )
                    for back in (0.0, 0.5, 1.0)
                )
                for until_ms in times[::7]
            ),
            default=0.0,
        )


def count_in(times, from_ms, until_ms):
    begin = bisect.bisect_left(times, from_ms)
    return bisect.bisect_right(times, until_ms) - begin


def play(seed, kills, gap_ms, burst=60, vms=9):
    """Fail all requests in bursts, with kills in between."""
    draw = random.Random(seed)
    model = Model(vms, draw)
    for vm in range(vms):
        model.start(vm, -2 * WINDOW_MS)
    now_ms = 0.0
    for _ in range(5):
        for _ in range(burst):
            now_ms += 2.0
            model.send(draw.randrange(vms), now_ms, 3)
        for _ in range(kills):
            vm = draw.randrange(vms)
            if vm in model.budgets:
                model.kill(vm, now_ms)
        now_ms += gap_ms
    return model.find_excess()


@params(9_500.0, 9_700.0, 9_850.0, 10_050.0, 10_150.0, 10_300.0)
def test_retries_of_two_bursts_do_not_fall_into_one_window(gap_ms):
    """The second burst comes just before the first one leaves the window."""
    for seed in range(20):
        assert play(seed, kills=0, gap_ms=gap_ms) <= 0.0, seed


@params(1, 9)
def test_restarted_entry_vms_do_not_spend_the_slack_again(kills):
    """Series of kills: each new process has forgotten what was spent."""
    for seed in range(20):
        assert play(seed, kills=kills, gap_ms=1_000.0) <= 0.0, seed


@params(1, 2, 8, 72, 410)
def test_series_of_starts_keep_to_the_bound_with_any_number_of_vms(vms):
    """All requests fail; one or all entry VMs are killed, again and again."""
    for per_s in (1.0 / 60.0, 20.0, 200.0):
        for every_ms, share in ((700.0, 1.0), (3_000.0, 1.0), (400.0, 0.1)):
            draw = random.Random(vms)
            model = Model(vms, draw)
            for vm in range(vms):
                model.start(vm, -2 * WINDOW_MS)
            now_ms, next_kill_ms = 0.0, every_ms
            for _ in range(int(min(600, 30 * per_s)) + 2):
                now_ms += draw.expovariate(per_s) * 1000.0
                while now_ms > next_kill_ms:
                    for vm in list(model.budgets):
                        if draw.random() < share:
                            model.kill(vm, next_kill_ms)
                    next_kill_ms += every_ms
                model.send(draw.randrange(vms), now_ms, 3)
            excess = model.find_excess()
            assert excess <= 0.0, (per_s, every_ms, share, excess)


def test_callers_get_the_retries_of_one_failing_endpoint_after_a_start():
    """One request in ten fails, from the second one of each process on."""
    budget = retry_budget.RetryBudget(vms=9, started_ms=0.0)
    retry_budget.record_request(budget, 0.0)
    for number in range(1, 300):
        now_ms = number * 300.0
        retry_budget.record_request(budget, now_ms)
        if number % 10 == 1:
            assert retry_budget.try_to_spend(budget, now_ms), number


def test_callers_get_three_retries_for_four_requests_in_a_steady_state():
    """Nothing starts and nothing is cut off."""
    budget = retry_budget.RetryBudget(vms=9)
    granted = 0
    for number in range(1_000):
        now_ms = number * 300.0
        retry_budget.record_request(budget, now_ms)
        if number % 4:
            granted += retry_budget.try_to_spend(budget, now_ms)
    assert granted == 750


def test_the_budget_is_used():
    """A budget that allowed nothing would keep to every bound."""
    model = Model(9, random.Random(1))
    for vm in range(9):
        model.start(vm, -2 * WINDOW_MS)
    for number in range(300):
        model.send(number % 9, number * 33.0, 3)
    assert len(model.retries_ms) > 0.7 * (RATIO * 300 + SLACK)


def play_burst(seed, usual_per_s, burst_per_s, from_ms, fail_from_ms):
    """Traffic bursts for 5 s; requests fail from ``fail_from_ms`` on."""
    draw = random.Random(seed)
    model = Model(8, draw)
    for vm in range(8):
        model.start(vm, -2 * WINDOW_MS)
    now_ms = 0.0
    while now_ms < 4 * WINDOW_MS:
        bursts = from_ms <= now_ms < from_ms + 5_000.0
        rate = burst_per_s if bursts else usual_per_s
        now_ms += draw.expovariate(rate) * 1000.0
        retries = 3 if now_ms > fail_from_ms else 0
        model.send(draw.randrange(8), now_ms, retries)
    return model.find_excess()


def test_retries_keep_to_the_bound_when_traffic_falls_after_a_burst():
    """The rule's windows see fewer requests than the one of the last spend."""
    excess = {
        (seed, offset_ms): play_burst(
            seed, 10.0, 200.0, 10_000.0 + offset_ms, 10_000.0 + offset_ms
        )
        for seed in range(5)
        for offset_ms in (0.0, 1_250.0, 2_500.0, 3_750.0)
    }
    assert max(excess.values()) <= 0.0, excess
