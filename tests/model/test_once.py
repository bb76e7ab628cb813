"""Claims and tickets run a request at most once, and only with their guards.

Each test without a guard must find a counterexample: it shows that the
specification would notice the fault.
"""

from unittest import mock

from carawayward.protocol import claims as claims_rules
from carawayward.protocol import tickets as tickets_rules
from tests.model import claims
from tests.model import kripke
from tests.model import tickets


def find_with(
    module: object, name: str, substitute: object, spec: kripke.Spec
) -> list[str]:
    """A counterexample with one shipped function replaced."""
    with mock.patch.object(module, name, substitute):
        return kripke.find_counterexample(spec)[0]


def test_key_runs_at_most_once_while_a_node_restarts():
    """All interleavings of the specification with a young key."""
    spec = claims.make_spec(restarting=1, ages=False)
    trace, states = kripke.find_counterexample(spec)
    assert trace == []
    assert states > 11_000


def test_key_runs_at_most_once_while_it_grows_old():
    """All interleavings with a key that leaves log and tables."""
    spec = claims.make_spec(restarting=0, ages=True)
    trace, states = kripke.find_counterexample(spec)
    assert trace == []
    assert states > 2_800


def test_old_key_runs_at_most_once_while_a_node_restarts():
    """The same with a restart; enumerated, too large for the engine."""
    spec = claims.make_spec(restarting=1, ages=True)
    graph = kripke.explore(spec)
    assert not any(map(spec.is_bad, graph.states))
    assert len(graph.states) > 75_000


def test_ticket_runs_at_most_once_and_not_after_its_caller_gave_up():
    """All interleavings of the tickets' specification."""
    trace, states = kripke.find_counterexample(tickets.SPEC)
    assert trace == []
    assert states > 1_000


def test_without_the_claims_order_both_nodes_run():
    """A parcel is logged twice.

    Both nodes claimed the key. Each takes the newest claim that it has read
    as the winner, so both find their own at some time.
    """

    def take_last(table, groups):
        for group in groups:
            table.winners.clear()
            table.read_to = group.offset - 1
            fold(table, [group])

    fold = claims_rules.fold_claims
    spec = claims.make_spec(restarting=0, ages=False)
    assert find_with(claims_rules, "fold_claims", take_last, spec)


def test_without_both_age_limits_a_forgotten_key_runs_again():
    """A parcel is logged twice, days apart.

    Its first claim has left the tables; the caller sends the key once more.
    Either limit alone holds: the claim's, and the one of the winner's book.
    """
    never = mock.Mock(return_value=False)
    run = mock.Mock(return_value=tickets_rules.Run())
    spec = claims.make_spec(restarting=0, ages=True)
    assert find_with(claims_rules, "is_too_old", never, spec) == []
    with mock.patch.object(tickets_rules, "decide", run):
        assert find_with(claims_rules, "is_too_old", never, spec)


def test_without_the_coverage_check_a_restarted_node_runs_a_key_again():
    """A parcel is logged twice.

    A restarted node began to read after the key's claim had left the log,
    and takes "no claim read" for "no claim made".
    """
    always = mock.Mock(return_value=True)
    spec = claims.make_spec(restarting=1, ages=False)
    assert find_with(claims_rules, "is_covered", always, spec)


def test_without_the_mark_a_ticket_runs_twice():
    """A stamp is credited twice: the caller resent while the first ran."""
    without = mock.Mock()
    spec = tickets.SPEC
    assert find_with(tickets_rules, "mark_used", without, spec)


def test_woken_holder_that_may_run_doubles_the_record():
    """A stamp is credited twice.

    The ticket's holder was paused between its mark and its send. The caller
    was told "unknown", found no stamp, and took a new ticket; then the
    holder woke, believing that it is in charge.
    """
    always = mock.Mock(return_value=True)
    spec = tickets.SPEC
    assert find_with(claims_rules, "may_dispatch", always, spec)


def test_mark_that_is_forgotten_early_runs_twice():
    """A stamp is credited twice: the mark went before the ticket ended."""

    def forget_all(book, wall_ms, rules):
        book.uses = {r: use for r, use in book.uses.items() if not use.ended}

    spec = tickets.SPEC
    assert find_with(tickets_rules, "drop_expired", forget_all, spec)


def test_issuer_that_still_speaks_after_its_hand_over_runs_twice():
    """A stamp is credited twice: issuer and heir both held the ticket."""

    def give_and_keep(book, self_id, heir):
        given = assign_heir(book, self_id, heir)
        book.heir = None
        return given

    assign_heir = tickets_rules.assign_heir
    spec = tickets.SPEC
    assert find_with(tickets_rules, "assign_heir", give_and_keep, spec)
