"""The rules of tickets: one run for each right, whoever holds it."""

import hypothesis
from hypothesis import strategies

from carawayward import outcomes
from carawayward.protocol import tickets

RULES = tickets.Rules(
    skew_ms=10, retention_ms=100, max_marks=50, max_answers=2
)
ANSWER = outcomes.Answered(text="done", version="s", endpoint="e")
REFUSED = outcomes.NotRun(outcomes.Reason.NO_ENDPOINT, "come back")
STEPS = strategies.lists(
    strategies.sampled_from(
        ["present", "answer", "refuse", "wait", "forget", "hand over"]
    ),
    max_size=30,
)


def present(book: tickets.RightsTable, right: str = "r", wall_ms: int = 0):
    """Present a right that expires at 50."""
    return tickets.decide(book, right, 50, wall_ms, RULES)


def test_resend_gets_the_first_answer_also_past_the_ticket_end():
    book = tickets.RightsTable()
    assert isinstance(present(book), tickets.Run)
    tickets.mark_used(book, "r", 50)
    assert isinstance(present(book), tickets.Wait)
    tickets.record_outcome(book, "r", ANSWER)
    assert present(book, wall_ms=120) == tickets.Replay(ANSWER)


def test_late_resend_after_the_answer_was_dropped_is_unknown():
    """A caller sends its ticket again a long time after the answer.

    The answer and the mark are gone by then. Taking the ticket for an
    unused one would log the swap twice; "not run" would be a lie.
    """
    book = tickets.RightsTable()
    tickets.mark_used(book, "r", 50)
    tickets.record_outcome(book, "r", ANSWER)
    tickets.drop_expired(book, 161, RULES)
    assert not book.uses
    decision = present(book, wall_ms=161)
    assert isinstance(decision, tickets.Refuse)
    assert isinstance(decision.outcome, outcomes.Unknown)


def test_answers_go_before_marks_do():
    book = tickets.RightsTable()
    for right in "abc":
        tickets.mark_used(book, right, 50)
        tickets.record_outcome(book, right, ANSWER)
    tickets.drop_expired(book, 0, RULES)
    decision = present(book, "a")
    assert isinstance(decision, tickets.Refuse)
    assert isinstance(decision.outcome, outcomes.Unknown)
    assert present(book, "c") == tickets.Replay(ANSWER)


def test_right_that_was_surely_not_run_may_be_tried_again():
    book = tickets.RightsTable()
    tickets.mark_used(book, "r", 50)
    tickets.record_outcome(book, "r", REFUSED)
    assert isinstance(present(book), tickets.Run)


def test_full_book_refuses_instead_of_dropping_marks():
    book = tickets.RightsTable()
    for number in range(RULES.max_marks):
        tickets.mark_used(book, str(number), 50)
    decision = present(book)
    assert isinstance(decision, tickets.Refuse)
    assert isinstance(decision.outcome, outcomes.NotRun)


def test_leaving_node_names_one_heir_and_never_acts_again():
    """A node leaves and its hand-over message is lost.

    A caller sends its unused ticket to the leaving node, then to the heir.
    Neither may run it on a guess about what the other got.
    """
    old, heir = tickets.RightsTable(), tickets.RightsTable()
    given = tickets.assign_heir(old, ("a", "1"), ("b", "1"))
    assert given is not None
    assert tickets.assign_heir(old, ("a", "1"), ("c", "1")) is None
    assert present(old) == tickets.Relay(("b", "1"))
    assert not tickets.holds(heir, ("a", "1"), ("b", "1"))
    assert tickets.adopt(heir, given)
    assert tickets.holds(heir, ("a", "1"), ("b", "1"))
    assert isinstance(present(heir), tickets.Run)


def test_heir_that_has_left_itself_takes_nothing():
    heir = tickets.RightsTable(heir=("c", "1"))
    given = tickets.HandOver(issuers=frozenset([("a", "1")]), uses={})
    assert not tickets.adopt(heir, given)


def test_heir_of_many_stops_speaking_for_those_long_gone():
    """VMs are replaced every few minutes for a year, heir after heir."""
    book = tickets.RightsTable(
        adopted={("a", "1"), ("b", "1")},
        left_ms={("a", "1"): 0, ("b", "1"): 500},
    )
    tickets.drop_expired_issuers(book, 270, 150, RULES)
    assert tickets.holds(book, ("a", "1"), ("c", "1"))
    tickets.drop_expired_issuers(book, 271, 150, RULES)
    assert book.adopted == {("b", "1")} == set(book.left_ms)


@hypothesis.settings(derandomize=True, max_examples=300)
@hypothesis.given(STEPS, STEPS, strategies.booleans())
def test_no_order_of_events_runs_a_right_twice(before, after, arrives):
    """Any steps at the issuer, then at its heir, whether or not it arrived.

    A run counts unless it ended as surely not run.
    """
    issuer, heir = tickets.RightsTable(), tickets.RightsTable()
    wall_ms = runs = 0
    for book, steps in ((issuer, before), (heir, after), (issuer, after)):
        for step in steps:
            if step == "wait":
                wall_ms += 30
            elif step == "forget":
                tickets.drop_expired(book, wall_ms, RULES)
            elif step == "present":
                speaks = book is issuer or ("a", "1") in heir.adopted
                if speaks and isinstance(
                    present(book, wall_ms=wall_ms), tickets.Run
                ):
                    tickets.mark_used(book, "r", 50)
                    runs += 1
            elif step == "answer":
                tickets.record_outcome(book, "r", ANSWER)
            elif step == "refuse" and "r" in book.uses:
                if not book.uses["r"].ended:
                    tickets.record_outcome(book, "r", REFUSED)
                    runs -= 1
        if book is issuer:
            given = tickets.assign_heir(issuer, ("a", "1"), ("b", "1"))
            if arrives and given is not None:
                tickets.adopt(heir, given)
    assert runs <= 1
