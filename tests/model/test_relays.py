"""A request that may not be repeated, relayed by peers: every order of events.

The model enumerates what an entry VM, two peers and an endpoint do, with links
that break, processes that freeze and end, and replies that arrive late. What a
reply means and whether another attempt follows is decided by the shipped code.
"""

import typing

import attrs
from nose2.tools import params

from carawayward.forwarding import attempt
from carawayward.forwarding import hops
from carawayward.forwarding import message_types
from carawayward.forwarding import relay_client
from carawayward.forwarding import relay_messages
from carawayward.forwarding import work_items

PEERS = 2
Outcome = relay_messages.RelayOutcome
# What the peer says before it has sent a byte to the endpoint.
REFUSALS = (
    Outcome.UNAVAILABLE,
    Outcome.DECLINED,
    Outcome.UNUSABLE,
    Outcome.UNREACHED,
)


@attrs.frozen
class State:
    """One reachable state.

    ``peers`` is what each has of the request: "" for nothing, "asked" once it
    has it, "sent" once the endpoint may run it, "done". ``waiting`` is the
    peer whose reply the entry VM waits for, None while it decides. ``status``
    is the final reply to the caller, 0 before.
    """

    peers: tuple[str, ...] = ("",) * PEERS
    waiting: int | None = None
    asked: int = 0
    runs: int = 0
    status: int = 0


@attrs.frozen(kw_only=True)
class Guards:
    """Parts of the protocol that a test can take away."""

    break_may_have_run: bool = True
    peer_tells_the_truth: bool = True


def read_reply(outcome: Outcome) -> Exception | None:
    """What the shipped code makes of a reply; None for an endpoint's."""

    def read_response(
        status: int, headers: message_types.Headers
    ) -> message_types.ResponseMetadata:
        return message_types.ResponseMetadata()

    headers = [(hops.RELAY_OUTCOME_HEADER, outcome.value)]
    try:
        relay_client.make_reader(read_response)(200, headers)
    except Exception as fault:  # noqa: BLE001
        return fault
    return None


def decide(state: State, fault: Exception | None) -> State:
    """The entry VM's next step after a reply or a break."""
    if fault is None:
        return attrs.evolve(state, waiting=None, status=200)
    if isinstance(fault, relay_client.PeerDeclined):
        return attrs.evolve(state, waiting=None)
    if isinstance(fault, relay_client.EndpointUnusable):
        outcome: work_items.Outcome = work_items.Diverted("")
    elif getattr(fault, "sent", True):
        outcome = work_items.Failed("", broke_off=True)
    else:
        outcome = work_items.Unreached("")
    not_run = isinstance(outcome, work_items.NOT_RUN_OUTCOMES)
    return attrs.evolve(state, waiting=None, status=503 if not_run else 502)


def set_peer(state: State, peer: int, value: str, **changes: int) -> State:
    """The state with another stage of a peer."""
    peers = list(state.peers)
    peers[peer] = value
    return attrs.evolve(state, peers=tuple(peers), **changes)


def list_next(state: State, guards: Guards) -> typing.Iterator[State]:
    """All that can happen next."""
    if state.waiting is None and not state.status:
        yield from list_choices(state)
    for peer, value in enumerate(state.peers):
        waits = state.waiting == peer
        if value == "asked":
            # The peer sends it, or refuses; its reply may be lost. It may do
            # either long after the entry VM has given up.
            yield set_peer(state, peer, "sent", runs=state.runs + 1)
            for outcome in REFUSALS:
                done = set_peer(state, peer, "done")
                yield decide(done, read_reply(outcome)) if waits else done
        if value == "sent":
            broken = Outcome.BROKEN
            if not guards.peer_tells_the_truth:
                broken = Outcome.DECLINED
            for outcome in (Outcome.RELAYED, broken):
                done = set_peer(state, peer, "done")
                yield decide(done, read_reply(outcome)) if waits else done
        if waits:
            # The link breaks or the peer ends, whatever it has done.
            fault: Exception = relay_client.PeerUnavailable("broken")
            if guards.break_may_have_run:
                fault = attempt.AttemptFailed("broken", sent=True)
            yield decide(state, fault)


def list_choices(state: State) -> typing.Iterator[State]:
    """The entry VM asks the next peer, which may not answer its preflight."""
    if state.asked >= PEERS:
        yield attrs.evolve(state, status=503)
        return
    peer = state.asked
    next_state = attrs.evolve(state, asked=state.asked + 1)
    yield next_state
    yield set_peer(next_state, peer, "asked", waiting=peer)


def find_violations(guards: Guards) -> set[str]:
    """Explore all reachable states."""
    reached, pending = {State()}, [State()]
    found = set()
    while pending:
        state = pending.pop()
        if state.runs > 1:
            found.add("runs twice")
        if state.status == 503 and state.runs:
            found.add("refused though it has run or runs later")
        if state.status == 200 and not state.runs:
            found.add("answered without a run")
        for each in list_next(state, guards):
            if each not in reached:
                reached.add(each)
                pending.append(each)
    assert len(reached) > 20, "too few states for a valid check"
    return found


def test_relayed_request_runs_at_most_once_and_its_refusal_is_true():
    """Whatever breaks, in which order."""
    assert not find_violations(Guards())


@params("break_may_have_run", "peer_tells_the_truth")
def test_relays_break_the_promise_without(guard):
    """Each guard is needed."""
    assert find_violations(Guards(**{guard: False}))
