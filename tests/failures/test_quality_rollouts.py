"""Bad versions, failing ratings, and interrupted roll-outs.

The daemon's own controllers run in one process and in virtual time.
"""

import typing

import trio

from carawayward.controllers import rollout_reader
from carawayward.decisions import rollout
from tests.common import platform_fakes
from tests.common import quality_rig

DOMAINS = ["hall-a", "hall-b", "hall-c"]
BUDGET = 10


def make_stages(dwell_s: int = 60, evidence: int = 20) -> list[dict]:
    """Three stages with growing shares, and equal budgets for all domains."""
    return [
        {
            "share": share,
            "dwell_ms": dwell_s * 1_000,
            "evidence": evidence,
            "exposure_budget": dict.fromkeys(DOMAINS, budget),
        }
        for share, budget in ((0.05, BUDGET), (0.3, 4 * BUDGET), (1.0, 150))
    ]


def run(
    rate_answer: typing.Callable[[dict], bool],
    steps: typing.Callable[[quality_rig.Rig], typing.Awaitable[None]],
    count: int = 9,
    **fields: typing.Any,
) -> quality_rig.Rig:
    """Run a test's steps on a simulated cluster."""
    document = quality_rig.make_document(
        fields.pop("stages", make_stages()), **fields
    )
    rig = quality_rig.Rig.from_config(document, DOMAINS, count, rate_answer)

    async def call() -> None:
        await steps(rig)

    trio.run(call)
    return rig


async def serve(
    rig: quality_rig.Rig,
    seconds: int,
    until: typing.Callable[[], bool] = lambda: False,
    rate: int = 9,
) -> bool:
    """Send ``rate`` requests a second; return True once ``until`` holds."""
    for _ in range(seconds):
        live = [node for node in rig.nodes if node.alive]
        for number in range(rate):
            node = live[(rig.request_count + number) % len(live)]
            customer = ("delta-hosts", "oak-stage")[rig.request_count % 3 == 0]
            task = ("stage-note", "route-narrative")[rig.request_count % 2]
            rig.send_request(node, customer, task)
        await rig.tick()
        if until():
            return True
    return False


def is_good(answer: dict, share: float = 0.96) -> bool:
    """Rate an answer good with the given probability."""
    return platform_fakes.hash_fraction(answer["id"], "good") < share


def is_halted_everywhere(rig: quality_rig.Rig) -> bool:
    """Whether every live entry VM has halted the roll-out."""
    return all(
        node.rollouts.find_progress("scribe-8").halted
        for node in rig.nodes
        if node.alive
    )


def has_reached(rig: quality_rig.Rig, stage: int) -> typing.Callable[[], bool]:
    """Make a condition for ``serve``: the roll-out has reached a stage."""
    return lambda: rig.progress("scribe-8").stage >= stage


def list_advances(rig: quality_rig.Rig) -> list[dict]:
    """All advances in the log, including those without effect."""
    data = [record.data for record in rig.log.records]
    return [item for item in data if item["kind"] == "advance"]


def is_advance_logged(
    rig: quality_rig.Rig, stage: int
) -> typing.Callable[[], bool]:
    """Make a condition for ``serve``: the log has a stage's advance."""
    return lambda: len(list_advances(rig)) > stage


def test_good_version_passes_every_stage_and_takes_all_traffic():
    """A new version that is as good as the old one is rolled out.

    Each stage lasts until its dwell time has passed and its ratings are in. At
    the end new sessions get the new version, and no stage was advanced twice.
    """

    async def steps(rig: quality_rig.Rig) -> None:
        assert await serve(rig, 1_500, has_reached(rig, 3))
        assert (
            rig.send_request(rig.nodes[4], "oak-stage", "stage-note")
            == "scribe-8"
        )

    rig = run(is_good, steps)
    assert [item["stage"] for item in list_advances(rig)] == [0, 1, 2, 3]


def check_halted_when_bad_from(
    stage: int, share: float, timeout_s: int, limit: int
) -> None:
    """Check the halt and exposure of a version that turns bad in a stage."""
    state = {"bad": False}

    def rate_answer(answer: dict) -> bool:
        bad = state["bad"] and answer["version"] == "scribe-8"
        return is_good(answer, share if bad else 0.96)

    async def steps(rig: quality_rig.Rig) -> None:
        assert await serve(rig, 1_500, has_reached(rig, stage))
        state["bad"] = True
        rig.answers_by_version.clear()
        assert await serve(rig, timeout_s, lambda: is_halted_everywhere(rig))
        assert rig.answers_by_version.get("scribe-8", 0) <= limit, (
            rig.answers_by_version
        )
        await serve(rig, 5)
        before = rig.answers_by_version.get("scribe-8", 0)
        await serve(rig, 30)
        assert rig.answers_by_version.get("scribe-8", 0) == before
        assert (
            rig.send_request(rig.nodes[1], "oak-stage", "stage-note")
            == "scribe-7"
        )

    run(rate_answer, steps)


def test_version_that_breaks_in_the_first_stage_is_halted():
    """From some moment on every answer of the new version is bad.

    It has given few answers so far; the halt must come within the domains'
    budgets.
    """
    check_halted_when_bad_from(0, 0.0, 120, 3 * BUDGET)


def test_version_that_breaks_in_the_second_stage_is_halted():
    """A longer time of good answers must not delay the halt."""
    check_halted_when_bad_from(1, 0.0, 120, 60)


def test_version_that_breaks_in_the_last_stage_is_halted():
    """All traffic is on the new version when it breaks.

    Answers are then given at the full rate until the first ratings arrive.
    """
    check_halted_when_bad_from(2, 0.0, 120, 120)


def test_version_that_breaks_after_its_roll_out_is_done_is_halted():
    """The roll-out is complete but still declared.

    Traffic returns to the old version, which endpoints still have.
    """
    check_halted_when_bad_from(3, 0.0, 120, 200)


def test_version_that_declines_slowly_is_halted():
    """A third of the answers are bad, which no single rating shows."""
    check_halted_when_bad_from(1, 0.66, 400, 250)


def test_version_that_gets_worse_minute_by_minute_is_halted():
    """Each minute another twentieth of the version's answers is bad.

    There is no sudden break; the windows over minutes must accumulate the
    evidence.
    """
    began = {"ms": 0.0}

    def rate_answer(answer: dict) -> bool:
        if answer["version"] == "scribe-7" or not began["ms"]:
            return is_good(answer)
        minutes = (rigs[0].clock.now_ms() - began["ms"]) / 60_000
        return is_good(answer, 0.96 - 0.05 * minutes)

    rigs: list[quality_rig.Rig] = []

    async def steps(rig: quality_rig.Rig) -> None:
        rigs.append(rig)
        assert await serve(rig, 1_500, has_reached(rig, 1))
        began["ms"] = rig.clock.now_ms()
        assert await serve(rig, 600, lambda: is_halted_everywhere(rig))

    run(rate_answer, steps)


def test_version_bad_for_one_customer_only_is_halted():
    """All answers to one customer's task are bad: a sixth of the total.

    The group of that customer's task shows what the total hides.
    """

    def rate_answer(answer: dict) -> bool:
        hit = (answer["version"], answer["customer"], answer["task"]) == (
            "scribe-8",
            "oak-stage",
            "stage-note",
        )
        return not hit and is_good(answer)

    async def steps(rig: quality_rig.Rig) -> None:
        assert await serve(rig, 600, lambda: is_halted_everywhere(rig))

    rig = run(rate_answer, steps)
    assert "oak-stage" in rig.progress("scribe-8").halted


def test_ratings_that_come_minutes_late_bound_the_exposure():
    """Ratings take five minutes; the version is bad from the start.

    Until the first rating arrives only the budgets limit the exposure.
    """

    async def steps(rig: quality_rig.Rig) -> None:
        rig.service.delay_ms = 300_000
        assert await serve(rig, 600, lambda: is_halted_everywhere(rig))

    rig = run(lambda a: a["version"] == "scribe-7" and is_good(a), steps)
    assert rig.answers_by_version["scribe-8"] <= len(DOMAINS) * BUDGET


def test_roll_out_goes_on_when_a_third_of_ratings_is_lost():
    """Lost ratings must not use up a good version's budget for good."""

    async def steps(rig: quality_rig.Rig) -> None:
        rig.service.loss_rate = 0.33
        assert await serve(rig, 1_500, has_reached(rig, 2))

    run(is_good, steps)


def test_roll_out_waits_while_the_ratings_service_is_down():
    """Without ratings the exposure must stop growing.

    When the service is back, the roll-out continues by itself.
    """

    async def steps(rig: quality_rig.Rig) -> None:
        rig.service.down = True
        await serve(rig, 300)
        assert rig.answers_by_version["scribe-8"] <= len(DOMAINS) * BUDGET
        assert rig.progress("scribe-8").stage == 0
        assert not rig.nodes[0].board.quality.ratings_usable
        rig.service.down = False
        assert await serve(rig, 600, has_reached(rig, 1))

    run(is_good, steps)


def test_ratings_that_turn_harsh_for_both_versions_halt_nothing():
    """The service starts to rate a fifth of all good answers as bad."""
    state = {"share": 0.96}

    async def steps(rig: quality_rig.Rig) -> None:
        assert await serve(rig, 600, has_reached(rig, 1))
        state["share"] = 0.77
        await serve(rig, 400)
        assert not rig.progress("scribe-8").halted

    run(lambda answer: is_good(answer, state["share"]), steps)


def test_interrupted_roll_out_is_taken_up_by_another_entry_vm():
    """The entry VM that appends an advance is lost, at every stage.

    The log's answer is lost with it. Others must continue from the log, and no
    stage may be advanced twice.
    """

    async def steps(rig: quality_rig.Rig) -> None:
        for stage in range(4):
            rig.log.lose_answers = 1
            assert await serve(rig, 900, is_advance_logged(rig, stage)), stage
            writer = list_advances(rig)[stage]["node"]
            next(n for n in rig.nodes if n.name == writer).alive = False
            await serve(rig, 3)
        live = next(n for n in rig.nodes if n.alive)
        assert live.rollouts.find_progress("scribe-8").stage == 3

    run(is_good, steps)


def test_halt_reaches_an_entry_vm_that_has_lost_the_log():
    """The version breaks while hall-c reaches its peers but not the log.

    The halt must reach hall-c by its peers, and must stay in force there.
    """

    async def steps(rig: quality_rig.Rig) -> None:
        lost = [n for n in rig.nodes if n.board.failure_domain == "hall-c"]
        await serve(rig, 5)
        rig.nodes_without_log |= {node.name for node in lost}
        assert await serve(rig, 300, lambda: is_halted_everywhere(rig))
        assert "scribe-8" in lost[0].board.quality.halted

    run(lambda a: a["version"] == "scribe-7" and is_good(a), steps)


def test_cut_off_failure_domain_opens_no_session_on_an_unproven_version():
    """hall-c is cut off from its peers and the log.

    It could not hear of a halt, so it must not start sessions on the new
    version. The other domains have budgets of their own.
    """

    async def steps(rig: quality_rig.Rig) -> None:
        await serve(rig, 10)
        cut = [n for n in rig.nodes if n.board.failure_domain == "hall-c"]
        rig.nodes_without_log |= {node.name for node in cut}
        rig.cut |= {frozenset({"hall-c", d}) for d in ("hall-a", "hall-b")}
        for _ in range(20):
            await rig.tick()
        for _ in range(300):
            for node in cut:
                pins = rig.open_session(node, "oak-stage")
                assert pins == {"scribe": "scribe-7"}

    run(is_good, steps)


def test_session_keeps_its_version_until_a_halt_ends_it():
    """A session opened on the new version keeps it through all stages.

    After the halt its requests are refused, not moved to another version.
    """
    state = {"bad": False}

    def rate_answer(answer: dict) -> bool:
        bad = state["bad"] and answer["version"] == "scribe-8"
        return not bad and is_good(answer)

    async def steps(rig: quality_rig.Rig) -> None:
        await serve(rig, 3)
        pins: dict[str, str] = {}
        for node in rig.nodes * 40:
            pins = rig.open_session(node, "oak-stage")
            if pins["scribe"] == "scribe-8":
                break
        assert pins["scribe"] == "scribe-8"
        ask = rig.send_request
        for node in rig.nodes:
            assert ask(node, "oak-stage", "stage-note", pins) == "scribe-8"
        state["bad"] = True
        assert await serve(rig, 300, lambda: is_halted_everywhere(rig))
        for node in rig.nodes:
            assert ask(node, "oak-stage", "stage-note", pins) == ""

    run(rate_answer, steps)


def test_operator_resumes_a_halted_roll_out():
    """The cause was elsewhere, and the operator resumes the roll-out.

    A delayed copy of the old halt must not stop the new attempt.
    """
    state = {"bad": True}

    def rate_answer(answer: dict) -> bool:
        bad = state["bad"] and answer["version"] == "scribe-8"
        return not bad and is_good(answer)

    async def steps(rig: quality_rig.Rig) -> None:
        assert await serve(rig, 300, lambda: is_halted_everywhere(rig))
        await serve(rig, 5)
        state["bad"] = False
        resume = rollout.Resume(
            rollout="scribe-8",
            base=rig.progress("scribe-8").base,
            stage=0,
            operator="ada",
        )
        await rig.log.append(rollout_reader.STREAM, [rollout.encode(resume)])
        assert await serve(rig, 900, has_reached(rig, 1))
        assert not rig.progress("scribe-8").halted

    run(rate_answer, steps)
