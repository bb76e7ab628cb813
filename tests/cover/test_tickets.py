"""Tests that each right is run at most once, whichever node holds it."""

import hypothesis
from hypothesis import strategies

from carawayward import outcomes
from carawayward.protocol import tickets

RULES = tickets.Rules(
    skew_ms=10, retention_ms=100, max_marks=50, max_answers=2
)
ANSWER = outcomes.Answered(text="done", version="s", endpoint="e")
REFUSED = outcomes.NotRun(outcomes.Reason.NO_ENDPOINT, "retry later")
STEPS = strategies.lists(
    strategies.sampled_from(
        ["call", "answer", "refuse", "wait", "drop", "hand over"]
    ),
    max_size=30,
)


def decide(table: tickets.RightsTable, right: str = "r", wall_ms: int = 0):
    """Decide on a call with a right that expires at 50."""
    return tickets.decide(table, right, 50, wall_ms, RULES)


def test_resend_gets_the_first_answer_even_after_the_ticket_expired():
    table = tickets.RightsTable()
    assert isinstance(decide(table), tickets.Run)
    tickets.mark_used(table, "r", 50)
    assert isinstance(decide(table), tickets.Wait)
    tickets.record_outcome(table, "r", ANSWER)
    assert decide(table, wall_ms=120) == tickets.Replay(ANSWER)


def test_late_resend_after_the_answer_was_dropped_is_unknown():
    """A caller resends its ticket long after the answer.

    By then, the answer and the mark have been dropped. Treating the ticket
    as unused would run the request twice, and "not run" would be false.
    """
    table = tickets.RightsTable()
    tickets.mark_used(table, "r", 50)
    tickets.record_outcome(table, "r", ANSWER)
    tickets.drop_expired(table, 161, RULES)
    assert not table.uses
    decision = decide(table, wall_ms=161)
    assert isinstance(decision, tickets.Refuse)
    assert isinstance(decision.outcome, outcomes.Unknown)


def test_answers_are_dropped_before_marks():
    table = tickets.RightsTable()
    for right in "abc":
        tickets.mark_used(table, right, 50)
        tickets.record_outcome(table, right, ANSWER)
    tickets.drop_expired(table, 0, RULES)
    decision = decide(table, "a")
    assert isinstance(decision, tickets.Refuse)
    assert isinstance(decision.outcome, outcomes.Unknown)
    assert decide(table, "c") == tickets.Replay(ANSWER)


def test_right_that_was_not_run_may_be_tried_again():
    table = tickets.RightsTable()
    tickets.mark_used(table, "r", 50)
    tickets.record_outcome(table, "r", REFUSED)
    assert isinstance(decide(table), tickets.Run)


def test_full_table_refuses_instead_of_dropping_marks():
    table = tickets.RightsTable()
    for number in range(RULES.max_marks):
        tickets.mark_used(table, str(number), 50)
    decision = decide(table)
    assert isinstance(decision, tickets.Refuse)
    assert isinstance(decision.outcome, outcomes.NotRun)


def test_leaving_node_assigns_one_heir_and_runs_nothing_afterwards():
    """A node leaves and its hand-over is delayed or lost.

    A caller sends its unused ticket to the leaving node, then to the heir.
    The leaving node may not run it any more, and the heir may not run it
    before it has received the hand-over.
    """
    old, heir = tickets.RightsTable(), tickets.RightsTable()
    handed_over = tickets.assign_heir(old, ("a", "1"), ("b", "1"))
    assert handed_over is not None
    assert tickets.assign_heir(old, ("a", "1"), ("c", "1")) is None
    assert decide(old) == tickets.Relay(("b", "1"))
    assert not tickets.holds(heir, ("a", "1"), ("b", "1"))
    assert tickets.adopt(heir, handed_over)
    assert tickets.holds(heir, ("a", "1"), ("b", "1"))
    assert isinstance(decide(heir), tickets.Run)


def test_heir_that_is_leaving_itself_adopts_nothing():
    heir = tickets.RightsTable(heir=("c", "1"))
    handed_over = tickets.HandOver(issuers=frozenset([("a", "1")]), uses={})
    assert not tickets.adopt(heir, handed_over)


def test_heir_drops_issuers_that_left_long_ago():
    """VMs are replaced every few minutes for a year, each with an heir."""
    table = tickets.RightsTable(
        adopted={("a", "1"), ("b", "1")},
        left_ms={("a", "1"): 0, ("b", "1"): 500},
    )
    tickets.drop_expired_issuers(table, 270, 150, RULES)
    assert tickets.holds(table, ("a", "1"), ("c", "1"))
    tickets.drop_expired_issuers(table, 271, 150, RULES)
    assert table.adopted == {("b", "1")} == set(table.left_ms)


@hypothesis.settings(derandomize=True, max_examples=300)
@hypothesis.given(STEPS, STEPS, strategies.booleans())
def test_no_order_of_events_runs_a_right_twice(before, after, delivered):
    """Any steps at the issuer, then at its heir and at the issuer again.

    The hand-over is delivered or lost. A run does not count if it ended with
    the outcome "not run".
    """
    issuer, heir = tickets.RightsTable(), tickets.RightsTable()
    wall_ms = runs = 0
    for table, steps in ((issuer, before), (heir, after), (issuer, after)):
        for step in steps:
            if step == "wait":
                wall_ms += 30
            elif step == "drop":
                tickets.drop_expired(table, wall_ms, RULES)
            elif step == "call":
                is_holder = table is issuer or ("a", "1") in heir.adopted
                if is_holder and isinstance(
                    decide(table, wall_ms=wall_ms), tickets.Run
                ):
                    tickets.mark_used(table, "r", 50)
                    runs += 1
            elif step == "answer":
                tickets.record_outcome(table, "r", ANSWER)
            elif step == "refuse" and "r" in table.uses:
                if not table.uses["r"].ended:
                    tickets.record_outcome(table, "r", REFUSED)
                    runs -= 1
        if table is issuer:
            handed_over = tickets.assign_heir(issuer, ("a", "1"), ("b", "1"))
            if delivered and handed_over is not None:
                tickets.adopt(heir, handed_over)
    assert runs <= 1
