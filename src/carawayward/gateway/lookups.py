"""What became of a request, wherever its caller asks.

A node knows the requests that went through it and the runs that its book
holds. It asks its linked peers for all others, within a bound, and the
holder of a key's claim by name. "Not known" is no promise that it did not
run: its node may be gone.
"""

import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import errors
from carawayward import events
from carawayward.gateway import handover
from carawayward.gateway import once as once_module
from carawayward.gateway import once_outcomes
from carawayward.gateway import replies
from carawayward import outcomes
from carawayward.peers import hub as hub_module

# A caller who asks waits at most this long in all; peers are asked at once.
ASK_TIMEOUT_MS = 800.0
PEERS_ASKED_MOST = 16
# Outcomes hold whole answers. The bound on their text keeps the store under
# 20 MB of the 64 MB that a node has for control and state.
OUTCOMES_KEPT = 20_000
TEXT_KEPT_CHARS = 16_000_000

Key = tuple[str, str]


@attrs.define
class Lookups:
    """Outcomes of the latest requests, and where to ask for others."""

    board: blackboard_module.Blackboard
    hub: hub_module.PeerHub
    once: once_module.OnceGate
    known: dict[Key, outcomes.Outcome] = attrs.field(factory=dict)
    running: dict[Key, int] = attrs.field(factory=dict)
    _chars: int = 0

    def listen(self) -> None:
        """Answer peers' questions."""
        self.hub.handle("outcome.show", self._answer)

    def begin(self, customer: str, request_key: str) -> None:
        """Note that a request is under way here."""
        key = (customer, request_key)
        self.running[key] = self.running.get(key, 0) + 1

    def end(self, customer: str, request_key: str) -> None:
        """Note that a request is no longer under way here."""
        key = (customer, request_key)
        left = self.running.pop(key, 1) - 1
        if left:
            self.running[key] = left

    def conclude(
        self, customer: str, request_key: str, outcome: outcomes.Outcome
    ) -> None:
        """Note that a request which ``begin`` was told of has ended."""
        self.end(customer, request_key)
        self.note(customer, request_key, outcome)

    def note(
        self, customer: str, request_key: str, outcome: outcomes.Outcome
    ) -> None:
        """Keep an outcome for look-ups and log the bad ones.

        What says less never replaces what is known of an earlier attempt.
        """
        key = (customer, request_key)
        before = self.known.get(key)
        if before is None or rank(replies.describe(before)) <= rank(
            replies.describe(outcome)
        ):
            self._forget(key)
            self.known[key] = outcome
            self._chars += count_chars(outcome)
        while len(self.known) > OUTCOMES_KEPT or (
            self._chars > TEXT_KEPT_CHARS and len(self.known) > 1
        ):
            self._forget(next(iter(self.known)))
        match outcome:
            case outcomes.NotRun(reason):
                event = events.Event.REQUEST_REFUSED
            case outcomes.Unknown(reason) | outcomes.Interrupted(reason):
                event = events.Event.REQUEST_UNKNOWN
            case _:
                return
        events.log_event(
            event, customer=customer, request=request_key, reason=reason
        )

    def _forget(self, key: Key) -> None:
        outcome = self.known.pop(key, None)
        if outcome is not None:
            self._chars -= count_chars(outcome)

    async def find(self, customer: str, request_key: str) -> dict | None:
        """What is known of a request, here or at peers; None if nothing."""
        key = (customer, request_key)
        found = self._find_here(key)
        if is_final(found):
            return found
        answers = [found] if found else []
        peers = list(self.hub.links)[:PEERS_ASKED_MOST]
        holder = self.once.claims.find_holder(key)
        if holder is not None:
            name, _ = handover.follow_heirs(self.board.heirs, holder)
            if name not in peers and name != self.board.name:
                peers.append(name)
        answers += await self._ask_peers(key, peers)
        if answers:
            return max(answers, key=rank)
        if holder is not None:
            return replies.describe(
                once_outcomes.make_holder_unavailable(
                    "gives no answer just now"
                )
            )
        return None

    async def _ask_peers(self, key: Key, peers: list[str]) -> list[dict]:
        answers: list[dict] = []

        async def ask(peer: str) -> None:
            try:
                answer = await self.hub.call(
                    peer, "outcome.show", {"key": list(key)}, ASK_TIMEOUT_MS
                )
            except errors.PeerUnavailable:
                return
            if isinstance(answer, dict) and "outcome" in answer:
                answers.append(answer)
                if is_final(answer):
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(ask, peer)
        return answers

    def _find_here(self, key: Key) -> dict | None:
        if key in self.running or self.once.is_running(key):
            return {"outcome": "running"}
        outcome = self.known.get(key) or self.once.find_outcome(key)
        return None if outcome is None else replies.describe(outcome)

    async def _answer(self, peer: str, body: typing.Any) -> dict | None:
        customer, request_key = body["key"]
        return self._find_here((customer, request_key))


def rank(answer: dict) -> int:
    """How much an answer says; the strongest of several is shown.

    "Not run" is the weakest: it speaks of one attempt, another may run.
    """
    strength = {"answered": 4, "running": 3, "interrupted": 2, "unknown": 1}
    return strength.get(answer["outcome"], 0)


def is_final(answer: dict | None) -> bool:
    """Whether no other node can know more."""
    return answer is not None and answer["outcome"] == "answered"


def count_chars(outcome: outcomes.Outcome) -> int:
    """Characters that an outcome keeps in memory, roughly."""
    match outcome:
        case outcomes.Answered(text=text):
            return len(str(text))
        case outcomes.Interrupted(partial=partial):
            return len(partial)
    return 0
