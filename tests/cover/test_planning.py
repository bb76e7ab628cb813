"""Planning of requests from the state of one entry VM."""

from bench import quality_cost
from carawayward import clock as clock_module
from carawayward.decisions import evidence
from carawayward.gateway import planning
from carawayward import quality


def test_declared_plan_is_used_again_when_ratings_are_silent():
    """Learned plans must not outlive the ratings they rest on.

    Ratings proved that the cheap version alone is enough. Once the ratings
    service is silent that evidence goes stale, so the operator's declared
    plan is used.
    """
    mix = quality_cost.WORKLOADS[0]
    rig = quality_cost.make_cost_rig(mix, clock_module.ManualClock())
    board = rig.nodes[0].board
    assert board.config is not None
    customer = board.config.customers["c"]
    task = board.config.tasks["t"]
    for number in range(400):
        key = evidence.Key("c", "t", "cheap", number % evidence.BANDS)
        board.quality.evidence.add("vm-0", 5, key, number % 50 != 0)
    board.quality.ratings_usable = True
    choose = planning.choose_plan
    learned = choose(board, customer, task, "r1", {}, 1e9).steps
    assert [step.version for step in learned] == ["cheap"]
    board.quality.ratings_usable = False
    declared = choose(board, customer, task, "r1", {}, 1e9).steps
    assert [step.version for step in declared] == ["cheap", "strong"]
    board.quality.estimated_ms = {"cheap": 400.0, "strong": 900.0}
    under_short_deadline = choose(
        board, customer, task, "r1", {}, 1_200.0
    ).steps
    assert [step.version for step in under_short_deadline] == ["strong"]


def test_answers_that_wait_for_ratings_are_bounded_in_memory():
    """Sampled answers queue up while the ratings service is down.

    Long conversations are large, so the queue's size must be bounded.
    """
    part = quality.QualityState()
    for number in range(100):
        part.queue_sample(
            quality.SampledAnswer(
                answer_id=str(number),
                key=evidence.Key("c", "t", "cheap"),
                answered_at_ms=0,
                messages=[{"role": "user", "content": "x" * 900_000}],
                text="",
            )
        )
    assert sum(each.size for each in part.outbox) <= quality.OUTBOX_CHARS
    assert part.outbox[-1].answer_id == "99"
