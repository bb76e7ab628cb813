"""Looks up the outcome of a request from any entry VM.

A node knows the requests that it received and the runs in its rights table
(tickets and keys). For others it asks a bounded number of linked peers, and
also the holder of the key's claim. "Not known" does not mean that the
request did not run: the node that ran it may be gone.
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

# Bounds a whole look-up, since all peers are asked in parallel.
PEER_TIMEOUT_MS = 800.0
MAX_PEERS_ASKED = 16
# Outcomes contain whole answers. The bound on their text keeps them under
# 20 MB of the 64 MB that a node has for control and state.
MAX_OUTCOMES = 20_000
MAX_TEXT_CHARS = 16_000_000

Key = tuple[str, str]


@attrs.define
class Lookups:
    """Keeps recent outcomes and asks peers for others.

    ``running`` counts the attempts under way here for each request.
    """

    board: blackboard_module.Blackboard
    hub: hub_module.PeerHub
    once: once_module.OnceGate
    recent_outcomes: dict[Key, outcomes.Outcome] = attrs.field(factory=dict)
    running: dict[Key, int] = attrs.field(factory=dict)
    _text_chars: int = 0

    def listen(self) -> None:
        """Answer look-ups of peers."""
        self.hub.handle("outcome.show", self._handle_show)

    def begin(self, customer: str, request_key: str) -> None:
        """Record that an attempt of a request has begun here."""
        key = (customer, request_key)
        self.running[key] = self.running.get(key, 0) + 1

    def end(self, customer: str, request_key: str) -> None:
        """Record that an attempt of a request has ended here."""
        key = (customer, request_key)
        left = self.running.pop(key, 1) - 1
        if left:
            self.running[key] = left

    def end_with_outcome(
        self, customer: str, request_key: str, outcome: outcomes.Outcome
    ) -> None:
        """Record the end of an attempt together with its outcome.

        An attempt that ``cut_off`` has ended is not recorded again.
        """
        if (customer, request_key) not in self.running:
            return
        self.end(customer, request_key)
        self.record_outcome(customer, request_key, outcome)

    def cut_off(self) -> None:
        """Record the end of all attempts, right before the process ends.

        A write that its caller does not take cannot be cancelled, so the
        task of such a request may not get to record anything.
        """
        for (customer, request_key), count in list(self.running.items()):
            for _ in range(count):
                self.end_with_outcome(
                    customer,
                    request_key,
                    outcomes.Unknown(
                        outcomes.Reason.LEAVING,
                        "this entry VM stopped while it ran; look before you "
                        "send it again",
                    ),
                )

    def record_outcome(
        self, customer: str, request_key: str, outcome: outcomes.Outcome
    ) -> None:
        """Keep an outcome for look-ups; log it unless it is an answer.

        An outcome of lower rank does not replace that of an earlier attempt.
        """
        key = (customer, request_key)
        before = self.recent_outcomes.get(key)
        if before is None or rank_answer(
            replies.describe(before)
        ) <= rank_answer(replies.describe(outcome)):
            self._evict(key)
            self.recent_outcomes[key] = outcome
            self._text_chars += count_chars(outcome)
        while len(self.recent_outcomes) > MAX_OUTCOMES or (
            self._text_chars > MAX_TEXT_CHARS and len(self.recent_outcomes) > 1
        ):
            self._evict(next(iter(self.recent_outcomes)))
        self._count_ended_by_stop(outcome)
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

    def _count_ended_by_stop(self, outcome: outcomes.Outcome) -> None:
        if self.board.state is not blackboard_module.NodeState.LEAVING:
            return
        metrics = self.once.lifecycle.metrics
        match outcome:
            case outcomes.NotRun(reason=outcomes.Reason.LEAVING):
                metrics.count("stop.not_run")
            case outcomes.Unknown(reason=outcomes.Reason.LEAVING):
                self.board.ended_by_stop += 1
                metrics.count("stop.ended")

    def _evict(self, key: Key) -> None:
        outcome = self.recent_outcomes.pop(key, None)
        if outcome is not None:
            self._text_chars -= count_chars(outcome)

    async def find(self, customer: str, request_key: str) -> dict | None:
        """Return what this node or peers know of a request, else None."""
        key = (customer, request_key)
        found = self._find_local(key)
        if is_final(found):
            return found
        answers = [found] if found else []
        peers = list(self.hub.links)[:MAX_PEERS_ASKED]
        holder = self.once.claims.find_holder(key)
        if holder is not None:
            name, _ = handover.follow_heirs(self.board.heirs, holder)
            if name not in peers and name != self.board.name:
                peers.append(name)
        with self.once.lifecycle.deadlines.limit():
            answers += await self._ask_peers(key, peers)
        if answers:
            return max(answers, key=rank_answer)
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
                    peer, "outcome.show", {"key": list(key)}, PEER_TIMEOUT_MS
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

    def _find_local(self, key: Key) -> dict | None:
        if key in self.running or self.once.is_running(key):
            return {"outcome": "running"}
        outcome = self.recent_outcomes.get(key) or self.once.find_outcome(key)
        return None if outcome is None else replies.describe(outcome)

    async def _handle_show(self, peer: str, body: typing.Any) -> dict | None:
        customer, request_key = body["key"]
        return self._find_local((customer, request_key))


def rank_answer(answer: dict) -> int:
    """Rank an answer by what it says; the highest of several is shown.

    "Not run" is the lowest: it covers one attempt, and another may be
    running.
    """
    ranks = {"answered": 4, "running": 3, "interrupted": 2, "unknown": 1}
    return ranks.get(answer["outcome"], 0)


def is_final(answer: dict | None) -> bool:
    """Whether no other node can have a more definite answer."""
    return answer is not None and answer["outcome"] == "answered"


def count_chars(outcome: outcomes.Outcome) -> int:
    """Return roughly how many characters an outcome keeps in memory."""
    match outcome:
        case outcomes.Answered(text=text):
            return len(str(text))
        case outcomes.Interrupted(partial=partial):
            return len(partial)
    return 0
