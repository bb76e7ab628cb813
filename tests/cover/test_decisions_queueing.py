"""Fair shares, retry times that hold, and a queue that loses no requests."""

import hypothesis
from hypothesis import strategies

from carawayward.decisions import admission
from carawayward.decisions import queueing

DETERMINISTIC = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60
)
FAR_FUTURE_MS = 1e12


def make_item(
    customer, weight=1.0, work=100.0, latest=FAR_FUTURE_MS, priority=0
):
    return queueing.WaitingRequest(
        customer=customer,
        weight=weight,
        work=work,
        latest_start_ms=latest,
        priority=priority,
    )


def push_many(queue, *groups):
    for customer, weight, work, count in groups:
        for _ in range(count):
            queueing.push(queue, make_item(customer, weight, work))


def serve(queue, starts):
    served = []
    for _ in range(starts):
        heads = queueing.list_heads(queue)
        if not heads:
            break
        queueing.take(queue, heads[0])
        served.append(heads[0])
    return served


@DETERMINISTIC
@hypothesis.given(
    weights=strategies.lists(
        strategies.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2, max_size=8
    ),
    works=strategies.lists(
        strategies.floats(10.0, 1_000.0), min_size=8, max_size=8
    ),
)
def test_backlogged_customers_get_work_by_weight_except_for_credit(
    weights, works
):
    queue = queueing.FairQueue()
    names = [f"c{index}" for index in range(len(weights))]
    for name, weight, work in zip(names, weights, works, strict=False):
        push_many(queue, (name, weight, work, 400))
    served_work = dict.fromkeys(names, 0.0)
    for item in serve(queue, 200):
        served_work[item.customer] += item.work
    shares = [
        (served_work[name] / weight, work / weight)
        for name, weight, work in zip(names, weights, works, strict=False)
    ]
    for share, step in shares:
        for other, other_step in shares:
            max_lead = (
                step
                + other_step
                + queueing.IDLE_CREDIT * max(step, other_step)
            )
            assert share - other <= max_lead + 1e-6


@DETERMINISTIC
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"),
            strategies.integers(0, 2),
            strategies.sampled_from(["push", "remove", "take"]),
        ),
        max_size=60,
    )
)
def test_counts_and_work_match_the_waiting_requests(steps):
    queue = queueing.FairQueue()
    waiting = []
    for customer, priority, action in steps:
        if action == "push":
            waiting.append(make_item(customer, priority=priority))
            queueing.push(queue, waiting[-1])
        elif action == "remove" and waiting:
            queueing.remove(queue, waiting.pop(len(waiting) // 2))
        elif waiting:
            head = queueing.list_heads(queue)[0]
            queueing.take(queue, head)
            waiting.remove(head)
    assert queue.count == len(waiting)
    work = sum(flow.work for flow in queue.flows.values())
    assert abs(work - 100.0 * len(waiting)) < 1e-6
    assert len(serve(queue, 100)) == len(waiting)


def test_small_customer_starts_before_the_rest_of_a_large_burst():
    queue = queueing.FairQueue()
    push_many(queue, ("large", 4.0, 100.0, 500))
    serve(queue, 50)
    push_many(queue, ("small", 1.0, 100.0, 1))
    assert "small" in [item.customer for item in serve(queue, 2)]


def test_priority_orders_a_customers_own_requests_only():
    queue = queueing.FairQueue()
    push_many(queue, ("a", 1.0, 100.0, 2), ("b", 1.0, 100.0, 2))
    urgent = make_item("a", priority=5)
    queueing.push(queue, urgent)
    served = serve(queue, 4)
    assert next(i for i in served if i.customer == "a") is urgent
    assert [item.customer for item in served].count("b") == 2


def test_idle_customer_gains_no_more_than_its_credit():
    queue = queueing.FairQueue()
    push_many(queue, ("busy", 1.0, 100.0, 100))
    serve(queue, 50)
    push_many(queue, ("idle", 1.0, 100.0, 50))
    first = [item.customer for item in serve(queue, 20)]
    ahead = first.count("idle") - first.count("busy")
    assert 0 <= ahead <= queueing.IDLE_CREDIT + 1


def test_customer_with_longer_answers_gets_proportionally_fewer():
    queue, times = queueing.FairQueue(), admission.ServiceTimes()
    for _ in range(20):
        admission.record_service_time(times, "long", 300.0)
        admission.record_service_time(times, "short", 100.0)
    for name in ("long", "short"):
        work = admission.estimate_service_ms(times, name)
        push_many(queue, (name, 1.0, work, 100))
    served = [item.customer for item in serve(queue, 80)]
    assert 2.5 < served.count("short") / served.count("long") < 3.5


def admit(queue, item, now, rate, retries, queue_limit=1_000):
    refusal = admission.check_admission(
        queue, item, now, rate, queue_limit, retries
    )
    if refusal is None:
        queueing.push(queue, item)
    return refusal


@DETERMINISTIC
@hypothesis.given(
    burst=strategies.integers(1, 500),
    weight=strategies.sampled_from([1.0, 4.0]),
    rate=strategies.floats(1.0, 50.0),
)
def test_small_customer_is_not_refused_during_a_large_burst(
    burst, weight, rate
):
    queue, retries = queueing.FairQueue(), admission.RetrySchedule()
    for _ in range(burst):
        admit(
            queue,
            make_item("large", weight, latest=2_000.0),
            0.0,
            rate,
            retries,
            queue_limit=100,
        )
    small = make_item("small", 1.0, latest=100.0 * (weight + 1.0) / rate)
    assert admit(queue, small, 0.0, rate, retries) is None


@DETERMINISTIC
@hypothesis.given(
    extra=strategies.integers(1, 30),
    slots=strategies.integers(1, 8),
    other=strategies.booleans(),
)
def test_caller_that_retries_after_the_given_time_is_admitted(
    extra, slots, other
):
    queue, retries = queueing.FairQueue(), admission.RetrySchedule()
    if other:
        push_many(queue, ("other", 1.0, 100.0, 400))
    retry_times: list[float] = []
    while len(retry_times) < extra:
        refusal = admit(
            queue,
            make_item("c", latest=1_000.0),
            0.0,
            float(slots),
            retries,
        )
        if refusal is not None:
            retry_times.append(refusal.retry_after_ms)
    assert retry_times == sorted(retry_times)
    now = 0.0
    for due in retry_times:
        while now < due:
            serve(queue, slots)
            now += 100.0
        late = make_item("c", latest=now + 1_000.0)
        assert admit(queue, late, now, float(slots), retries) is None


def test_deadline_that_cannot_be_met_gives_no_retry_time():
    refusal = admission.check_admission(
        queueing.FairQueue(),
        make_item("c", latest=-1.0),
        0.0,
        1.0,
        10,
        admission.RetrySchedule(),
    )
    assert refusal is not None
    assert refusal.cause is admission.Cause.HOPELESS
    assert refusal.retry_after_ms is None


def test_runs_cut_off_raise_the_estimate_but_leave_time_for_new_runs():
    times = admission.ServiceTimes()
    for _ in range(50):
        admission.record_service_time(times, "c", 3_000.0)
    latest = admission.find_latest_start(times, "c", 0.0, 3_000.0)
    assert latest > 0.0
    assert admission.estimate_service_ms(times, "other") == 3_000.0
