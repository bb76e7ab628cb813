"""Entry VMs under saturation, faults and changes keep an endpoint's limit."""

import bisect
import random
import typing

import attrs
from nose2.tools import params

from carawayward.decisions import rate_limits

STEP_MS = 50.0
END_MS = 60_000.0
WINDOW_MS = 4_000.0
CONNECT_MS = (0.0, 0.0, 20.0, 480.0)
OVERSHOOT = 1.5
SLACK = 5.0


@attrs.define(eq=False)
class Vm:
    """An entry VM with unlimited demand that has been told of the limit."""

    name: str
    share: typing.Any = None
    bucket: typing.Any = None

    def learn(self, members, per_s, now_ms, draw):
        self.share = rate_limits.compute_share(self.name, members, "e", per_s)
        if self.bucket is None:
            self.bucket = rate_limits.make_bucket(
                self.share, now_ms, draw.random()
            )
        else:
            rate_limits.adapt(self.bucket, self.share, now_ms)

    def send(self, now_ms):
        """Send all that is allowed now; returns the number of requests."""
        sent = 0
        while not rate_limits.compute_wait_ms(self.bucket, self.share, now_ms):
            rate_limits.take(self.bucket, self.share, now_ms)
            sent += 1
        return sent


def play(count, per_s, seed=0, told_within_ms=0.0, end_ms=END_MS):
    """Return when requests arrive, from VMs told at different times."""
    draw = random.Random(seed)
    vms = [Vm(f"vm-{number}") for number in range(count)]
    members = [vm.name for vm in vms]
    told_ms = {vm.name: draw.uniform(0.0, told_within_ms) for vm in vms}
    arrived_ms = []
    now_ms = 0.0
    while now_ms < end_ms:
        for vm in vms:
            if vm.bucket is None and now_ms >= told_ms[vm.name]:
                vm.learn(members, per_s, now_ms, draw)
            if vm.bucket is not None:
                arrived_ms += [
                    now_ms + draw.choice(CONNECT_MS)
                    for _ in range(vm.send(now_ms))
                ]
        now_ms += STEP_MS
    return sorted(arrived_ms)


def count_most_in_window(times_ms):
    return max(
        bisect.bisect_left(times_ms, start_ms + WINDOW_MS) - index
        for index, start_ms in enumerate(times_ms)
    )


def find_allowed(per_s):
    return OVERSHOOT * per_s * WINDOW_MS / 1000.0 + SLACK


@params(1, 2, 9, 71, 410)
def test_entry_vms_keep_to_a_limit_together_and_use_it(count):
    """A share of each entry VM alone adds up to a multiple of the limit."""
    for seed, per_s in enumerate((0.2, 1.0, 1.3, 5.0, 50.0)):
        for told_within_ms in (0.0, 3_000.0):
            arrived_ms = play(count, per_s, seed, told_within_ms)
            assert count_most_in_window(arrived_ms) <= find_allowed(per_s)
            used = len(arrived_ms) / (per_s * END_MS / 1000.0)
            assert used >= 0.8, f"{used:.2f} of {per_s} with {count} VMs"


@params(0.0, 0.01)
def test_endpoint_with_a_limit_of_zero_gets_few_requests_but_some(per_s):
    """Without any request its responses could not lift the limit."""
    arrived_ms = play(9, per_s, end_ms=600_000.0)
    assert count_most_in_window(arrived_ms) <= SLACK
    assert len(arrived_ms) >= 9


def test_every_entry_vm_tries_a_limited_endpoint_now_and_then():
    """An entry VM that sends nothing never learns that the limit is over."""
    for count in (9, 71):
        members = [f"vm-{number}" for number in range(count)]
        for name in members:
            share = rate_limits.compute_share(name, members, "e", 1.0)
            bucket = rate_limits.make_bucket(share, 0.0, 1.0)
            wait_ms = rate_limits.compute_wait_ms(bucket, share, 0.0)
            assert wait_ms <= 1.5 * 10.0 * count * 1000.0


@params(1, 2, 3)
def test_changed_limits_and_members_keep_the_lower_bound(seed):
    """Limits rise, fall, end and return; entry VMs come and go."""
    draw = random.Random(seed)
    vms = {f"vm-{number}": Vm(f"vm-{number}") for number in range(9)}
    highest, arrived_ms, now_ms = 2.0, [], 0.0
    while now_ms < END_MS:
        if now_ms % 2_000.0 == 0.0:
            per_s = draw.choice((0.5, 1.0, 1.3, highest))
            if draw.random() < 0.3:
                number = len(vms) + int(now_ms)
                del vms[draw.choice(sorted(vms))]
                vms[f"vm-{number}"] = Vm(f"vm-{number}")
            for vm in vms.values():
                vm.learn(list(vms), per_s, now_ms, draw)
        for vm in vms.values():
            arrived_ms += [now_ms] * vm.send(now_ms)
        now_ms += STEP_MS
    assert count_most_in_window(arrived_ms) <= find_allowed(highest)


@params(9, 71, 410)
def test_each_side_of_a_partition_keeps_to_the_limit(count):
    """Each side takes its own entry VMs for all, and shares among them."""
    draw = random.Random(count)
    vms = [Vm(f"vm-{number}") for number in range(count)]
    now_ms, per_s = 0.0, 1.0
    for vm in vms:
        side = [each.name for each in vms[vms.index(vm) % 2 :: 2]]
        vm.learn(side, per_s, 0.0, draw)
    sides: dict[int, list[float]] = {0: [], 1: []}
    while now_ms < END_MS:
        for index, vm in enumerate(vms):
            sides[index % 2] += [now_ms] * vm.send(now_ms)
        now_ms += STEP_MS
    for arrived_ms in sides.values():
        assert count_most_in_window(arrived_ms) <= find_allowed(per_s)
