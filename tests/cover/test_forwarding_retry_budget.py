"""How many runs beyond the first of each request a service may get."""

from carawayward.decisions import retry_budget


def test_extra_runs_keep_to_the_ratio_in_every_window():
    """A pool fails every request for half a minute at 20 a second.

    Retrying each of them would double the load on the rest of the pool; in no
    window may sixteen entry VMs together exceed the deployment's bound.
    """
    vms = [retry_budget.RetryBudget() for _ in range(16)]
    spent: list[float] = []
    for tick in range(600):
        now_ms = tick * 50.0
        runs = vms[tick % 16]
        retry_budget.record_request(runs, now_ms)
        for _ in range(3):
            if retry_budget.may_spend(runs, now_ms):
                retry_budget.spend(runs, now_ms)
                spent.append(now_ms)
    for start in range(0, 20_000, 500):
        extra = sum(start <= at < start + 10_000 for at in spent)
        assert extra <= 0.9 * 200 + 58


def test_slack_is_shared_by_all_entry_vms():
    """A pool fails for all of 72 entry VMs, each with little traffic.

    A sixteenth of the slack for each gave four and a half times the slack.
    """
    vms = [retry_budget.RetryBudget(slack=184.0, vms=72) for _ in range(72)]
    spent = 0
    for runs in vms:
        while retry_budget.may_spend(runs, 0.0):
            retry_budget.spend(runs, 0.0)
            spent += 1
    assert 72 <= spent <= 184


def test_escalations_leave_extra_runs_for_failures():
    """Half of the requests escalate; an endpoint fails in the same second."""
    runs = retry_budget.RetryBudget()
    for tick in range(100):
        now_ms = tick * 100.0
        retry_budget.record_request(runs, now_ms)
        if retry_budget.may_spend(runs, now_ms, 0.3):
            retry_budget.spend(runs, now_ms)
    assert retry_budget.may_spend(runs, 10_000.0)


def test_slack_is_unused_while_the_other_entry_vms_are_unknown():
    """Each entry VM would take all of it until it has joined."""
    runs = retry_budget.RetryBudget(vms=None)
    assert not retry_budget.may_spend(runs, 0.0)
    runs.vms = 9
    assert retry_budget.may_spend(runs, 0.0)


def test_process_waits_a_window_for_its_part_of_the_slack():
    """The one before it on the same entry VM may have spent it."""
    runs = retry_budget.RetryBudget(vms=9, started_ms=0.0)
    assert not retry_budget.may_spend(runs, 10_000.0)
    assert retry_budget.may_spend(runs, 10_500.0)
    retry_budget.record_request(runs, 1_000.0)
    retry_budget.record_request(runs, 1_000.0)
    assert retry_budget.may_spend(runs, 1_000.0)


def test_runs_stay_counted_until_the_last_has_left_every_window():
    """A burst in one slice was forgotten up to half a second early."""
    runs = retry_budget.RetryBudget(vms=1, ratio=0.0)
    retry_budget.record_request(runs, 0.0)
    while retry_budget.try_to_spend(runs, 499.0):
        pass
    assert not retry_budget.may_spend(runs, 499.0 + 10_000.0)
    assert not retry_budget.may_spend(runs, 499.0 + 10_499.0)
    assert retry_budget.may_spend(runs, 499.0 + 11_500.0)
