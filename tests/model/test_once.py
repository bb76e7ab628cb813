"""Model checks of at-most-once execution, with and without its guards.

Each test without a guard must find a counterexample, which shows that the
specification would detect the fault.
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
    """Find a counterexample with one shipped function replaced."""
    with mock.patch.object(module, name, substitute):
        return kripke.find_counterexample(spec)[0]


def test_key_runs_at_most_once_while_a_node_restarts():
    """Checks all interleavings with a key within its window."""
    spec = claims.make_spec(restarting=1, ages=False)
    trace, states = kripke.find_counterexample(spec)
    assert trace == []
    assert states > 11_000


def test_key_runs_at_most_once_while_it_leaves_its_window():
    """Checks all interleavings with a key that log and tables drop."""
    spec = claims.make_spec(restarting=0, ages=True)
    trace, states = kripke.find_counterexample(spec)
    assert trace == []
    assert states > 2_800


def test_expiring_key_runs_at_most_once_while_a_node_restarts():
    """Also with a restart; enumerated only, as it is too large for z3."""
    spec = claims.make_spec(restarting=1, ages=True)
    graph = kripke.explore(spec)
    assert not any(map(spec.is_bad, graph.states))
    assert len(graph.states) > 75_000


def test_ticket_runs_at_most_once_and_not_after_its_caller_gave_up():
    """Checks all interleavings of the specification of tickets."""
    trace, states = kripke.find_counterexample(tickets.SPEC)
    assert trace == []
    assert states > 1_000


def test_without_the_order_of_claims_both_nodes_run():
    """A request runs twice.

    Both nodes claimed the key. Each treats the last claim that it has read
    as the winner, so each finds its own claim to win at some time.
    """

    def fold_last(table, groups):
        for group in groups:
            table.winners.clear()
            table.read_to = group.offset - 1
            fold(table, [group])

    fold = claims_rules.fold_claims
    spec = claims.make_spec(restarting=0, ages=False)
    assert find_with(claims_rules, "fold_claims", fold_last, spec)


def test_without_both_age_limits_a_dropped_key_runs_again():
    """A request runs twice, days apart.

    Its first claim has been dropped from the tables; the caller sends the
    key again. Either limit alone is sufficient: that of the claim, and that
    of the right in the winner's rights table.
    """
    never = mock.Mock(return_value=False)
    run = mock.Mock(return_value=tickets_rules.Run())
    spec = claims.make_spec(restarting=0, ages=True)
    assert find_with(claims_rules, "is_too_old", never, spec) == []
    with mock.patch.object(tickets_rules, "decide", run):
        assert find_with(claims_rules, "is_too_old", never, spec)


def test_without_the_coverage_check_a_restarted_node_runs_a_key_again():
    """A request runs twice.

    A restarted node started to read after the key's claim had been dropped
    from the log, and takes "no claim read" for "no claim made".
    """
    always = mock.Mock(return_value=True)
    spec = claims.make_spec(restarting=1, ages=False)
    assert find_with(claims_rules, "is_covered", always, spec)


def test_without_the_mark_a_ticket_runs_twice():
    """A request runs twice: it is resent while its first run is going on."""
    no_effect = mock.Mock()
    spec = tickets.SPEC
    assert find_with(tickets_rules, "mark_used", no_effect, spec)


def test_without_the_dispatch_limit_a_resumed_holder_runs_again():
    """A request is applied twice.

    The ticket's holder was paused between marking the ticket and sending the
    request. The caller was told "unknown", found that the request had had no
    effect, and took a new ticket; then the holder resumed and sent it.
    """
    always = mock.Mock(return_value=True)
    spec = tickets.SPEC
    assert find_with(claims_rules, "may_dispatch", always, spec)


def test_ticket_whose_mark_is_dropped_early_runs_twice():
    """A request runs twice: its mark was dropped before the ticket expired."""

    def drop_all_ended(table, wall_ms, rules):
        table.uses = {r: u for r, u in table.uses.items() if not u.ended}

    spec = tickets.SPEC
    assert find_with(tickets_rules, "drop_expired", drop_all_ended, spec)


def test_issuer_that_keeps_its_rights_after_a_hand_over_runs_twice():
    """A request runs twice: issuer and heir both held the ticket."""

    def hand_over_and_keep(table, self_id, heir):
        handed_over = assign_heir(table, self_id, heir)
        table.heir = None
        return handed_over

    assign_heir = tickets_rules.assign_heir
    spec = tickets.SPEC
    assert find_with(tickets_rules, "assign_heir", hand_over_and_keep, spec)
