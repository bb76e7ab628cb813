"""Refuses requests whose prompts have a part that crashes endpoints.

Load reports carry the crashes and the answers that count, so that all entry
VMs judge by the same records.
"""

import collections
import itertools
import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import crashing_parts as verdicts
from carawayward.decisions import prompt_crashes
from carawayward import events
from carawayward.forwarding import report_values
from carawayward.forwarding import work_items

# An answer that has gone on for this long does not crash its endpoint.
ANSWER_SOUND_MS = 1_000.0
# How long a crash is reported by who saw it and by others, and an answer. A
# part that is refused is always reported.
REPORTED_MS = 10_000
RELAYED_MS = 3_000
ANSWER_REPORTED_MS = 3_000
FORGET_INTERVAL_MS = 5_000
MAX_PROMPTS_PER_REPORT = 10
MAX_PARTS_PER_PROMPT = 4
MAX_CRASHES_PER_PROMPT = 6
MAX_CONVICTIONS_PER_REPORT = 4
MAX_ANSWERS_PER_REPORT = 10


@attrs.define(eq=False)
class CrashingParts:
    """What this entry VM knows of parts of prompts that crash endpoints.

    ``convicted`` has, for each part that is to blame, the set of parts with
    all of which a request is refused: itself, and those that no answer has
    told apart from it yet. ``report_soon`` is called when there is something
    new to report, ``on_convicted`` with such a set if it is new and this entry
    VM saw a crash of its parts itself (``seen_here``), ``on_cleared`` with one
    that no longer holds. ``changed_ms`` has the prompts to report, by content,
    ``answers_ms`` the parts whose answers are, and when each has changed; the
    next ones come last. ``own`` are the prompts of this entry VM's requests.
    Times are in ms on the boot clock; reports have ages.
    """

    clock: clock_module.Clock
    report_soon: typing.Callable[[], None]
    on_convicted: typing.Callable[[frozenset[str]], None] = lambda parts: None
    on_cleared: typing.Callable[[frozenset[str]], None] = lambda parts: None
    records: prompt_crashes.PartRecords = attrs.field(
        factory=prompt_crashes.PartRecords
    )
    convicted: dict[str, frozenset[str]] = attrs.field(factory=dict)
    seen_here: set[str] = attrs.field(factory=set)
    own: set[str] = attrs.field(factory=set)
    changed_ms: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    answers_ms: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    forgot_ms: int = 0

    def is_refused(self, work: work_items.Work) -> bool:
        """Whether a part of the request's prompt crashes endpoints."""
        if not self.records.prompts:
            return False
        return verdicts.is_refused(
            self.records, work.shared_parts, work.fingerprint, self._now_ms()
        )

    def compute_retry_after_ms(self, work: work_items.Work) -> float:
        """Return for how long a request is refused."""
        return verdicts.compute_retry_after_ms(
            self.records, work.shared_parts, self._now_ms()
        )

    def record_crash(
        self,
        content: str,
        parts: typing.Sequence[str],
        endpoint: str,
        age_ms: int,
    ) -> None:
        """Record a crash ``age_ms`` ago under a request of this entry VM."""
        self.seen_here.update(parts)
        self.own.add(content)
        crashes = {endpoint: self._now_ms() - age_ms}
        if self._add_crashes(content, parts, crashes):
            self.report_soon()
            self._review(parts)

    def _add_crashes(
        self,
        content: str,
        parts: typing.Sequence[str],
        crashes: typing.Mapping[str, int],
    ) -> bool:
        """Add crashes, by endpoint; return whether any is new."""
        if not parts or prompt_crashes.is_known(
            self.records, content, parts, crashes
        ):
            return False
        # All are recorded, also after one that is new.
        new = [
            prompt_crashes.record_crash(
                self.records, content, parts, endpoint, seen_ms
            )
            for endpoint, seen_ms in crashes.items()
        ]
        if not any(new):
            return False
        self._mark_changed(self.changed_ms, content)
        self._report_answers(parts)
        return True

    def _report_answers(self, parts: typing.Iterable[str]) -> None:
        """Report the answers to parts for which a peer reports crashes.

        It may not know of them, and would blame these parts.
        """
        for part in parts:
            if part in self.records.answered_ms:
                if part not in self.answers_ms:
                    self.report_soon()
                self._mark_changed(self.answers_ms, part)

    def add_conviction(
        self,
        parts: typing.Collection[str],
        ages_ms: typing.Mapping[str, int],
    ) -> None:
        """Add the crashes, by endpoint, that convict parts elsewhere."""
        now_ms = self._now_ms()
        seen_ms = {
            endpoint: now_ms - age_ms for endpoint, age_ms in ages_ms.items()
        }
        if not prompt_crashes.add_conviction(self.records, parts, seen_ms):
            return
        self._report_answers(parts)
        self._review(parts)

    def _review(self, parts: typing.Collection[str]) -> None:
        """Review which of the parts of a prompt are to blame."""
        for part in parts:
            found = verdicts.find_verdict(
                self.records, part, parts, self._now_ms()
            )
            known = self.convicted.get(part)
            if found and (known is None or found < known):
                self._convict(part, found)

    def _convict(self, part: str, parts: frozenset[str]) -> None:
        """Refuse requests with all these parts, one of which is to blame."""
        known = self.convicted.get(part)
        is_new = parts not in self.convicted.values()
        self.convicted[part] = parts
        if known is not None and known not in self.convicted.values():
            self.on_cleared(known)
        if not is_new:
            return
        events.log_event(
            events.Event.PART_CONVICTED,
            parts=sorted(parts),
            crashes=len(self.find_crash_ages(part)),
            requests=len(self.records.by_part[part].contents),
        )
        if not parts.isdisjoint(self.seen_here):
            self.on_convicted(parts)
        self.report_soon()

    def record_answer(self, work: work_items.Work) -> None:
        """Record that the current answer to a request has gone on."""
        answer = work.progress.answer
        if answer is None or answer.recorded:
            return
        answer.recorded = True
        age_ms = int(self.clock.now_ms() - answer.began_ms)
        began_ms = self._now_ms() - age_ms
        for part in work.shared_parts:
            if self._add_answer(part, began_ms):
                self.report_soon()

    def _add_answer(self, part: str, began_ms: int) -> bool:
        """Add an answer; return whether the part was a suspect until then."""
        if not prompt_crashes.record_answer(self.records, part, began_ms):
            return False
        self._mark_changed(self.answers_ms, part)
        self._review_convicted(part)
        return True

    def _review_convicted(self, answered: str) -> None:
        """Review what is refused because of a part that was answered."""
        for part, parts in list(self.convicted.items()):
            if part == answered:
                self._clear_unless_to_blame(part)
            elif answered in parts:
                self._review(parts - {answered})

    def _clear_unless_to_blame(self, part: str) -> None:
        parts = self.convicted[part]
        if not verdicts.find_verdict(
            self.records, part, parts, self._now_ms()
        ):
            self._clear(part)

    def _clear(self, part: str) -> None:
        """Note that a part is no longer to blame."""
        parts = self.convicted.pop(part)
        if parts in self.convicted.values():
            return
        events.log_event(events.Event.PART_CLEARED, parts=sorted(parts))
        self.on_cleared(parts)

    def describe(self) -> list:
        """What this entry VM reports: refused parts always, others in turn.

        Prompts have their parts, and the ages of their crashes by endpoint;
        refused parts the ages of theirs, and answers their ages.
        """
        now_ms = self._now_ms()
        self._forget(now_ms)
        prompts = {
            content: self._choose_parts(content)
            for content in self._choose_prompts()
        }
        convicted = {
            parts: part for part, parts in reversed(self.convicted.items())
        }
        answered = _take_in_turn(self.answers_ms, MAX_ANSWERS_PER_REPORT)
        for parts in prompts.values():
            answered += [
                part
                for part in parts
                if part in self.records.answered_ms and part not in answered
            ]
        if not (prompts or answered or convicted):
            return []
        return [
            [
                self._describe_prompt(content, parts, now_ms)
                for content, parts in prompts.items()
            ],
            [
                [
                    [bytes.fromhex(each) for each in sorted(parts)],
                    _encode(self.find_crash_ages(part)),
                ]
                for parts, part in itertools.islice(
                    convicted.items(), MAX_CONVICTIONS_PER_REPORT
                )
            ],
            [
                [
                    bytes.fromhex(part),
                    now_ms - self.records.answered_ms[part],
                ]
                for part in answered
            ],
        ]

    def _choose_prompts(self) -> list[str]:
        """Choose the prompts to report: own ones first, others in turn.

        What a peer has seen is reported to most others by itself.
        """
        own = [each for each in reversed(self.changed_ms) if each in self.own]
        chosen = own[: MAX_PROMPTS_PER_REPORT // 2]
        others = _take_in_turn(self.changed_ms, MAX_PROMPTS_PER_REPORT)
        chosen += [each for each in others if each not in chosen]
        return chosen[:MAX_PROMPTS_PER_REPORT]

    def _choose_parts(self, content: str) -> list[str]:
        """Choose the parts of a prompt to report.

        Those that were answered are no suspects beside one that never was.
        """
        parts = sorted(self.records.prompts[content].parts)
        never = [p for p in parts if p not in self.records.answered_ms]
        return (never or parts)[:MAX_PARTS_PER_PROMPT]

    def _describe_prompt(
        self, content: str, parts: list[str], now_ms: int
    ) -> list:
        ages_ms = {
            endpoint: now_ms - seen_ms
            for endpoint, seen_ms in self.records.prompts[
                content
            ].crashes.items()
        }
        return [
            bytes.fromhex(content),
            [bytes.fromhex(each) for each in parts],
            _encode(ages_ms),
        ]

    def find_crash_ages(self, part: str) -> dict[str, int]:
        """The ages of the crashes that count against a part, by endpoint."""
        now_ms = self._now_ms()
        times = prompt_crashes.find_crash_times(self.records, part, now_ms)
        return {each: now_ms - seen_ms for each, seen_ms in times.items()}

    def merge(self, peer: str, value: typing.Any, ttl_ms: float) -> None:
        """Merge what a peer reports.

        Only a new verdict is reported soon: what leads to it is reported soon
        by who saw it. Raises ValueError or TypeError if it is malformed.
        """
        now_ms = self._now_ms()
        prompts, convicted, answers = value
        for digest, age_ms in answers:
            part = report_values.check_digest(digest)
            began_ms = now_ms - report_values.check_count(age_ms)
            if not prompt_crashes.is_answer_known(
                self.records, part, began_ms
            ):
                self._add_answer(part, began_ms)
        changed = []
        for digest, parts, crashes in prompts:
            content, names = _decode_prompt(digest, parts)
            seen_ms = {
                endpoint: now_ms - age_ms
                for endpoint, age_ms in report_values.check_crashes(
                    crashes
                ).items()
            }
            if self._add_crashes(content, names, seen_ms):
                changed.append(names)
        # After all of them, since each changes the verdicts on the others.
        for names in changed:
            self._review(names)
        for parts, crashes in convicted:
            self.add_conviction(
                [report_values.check_digest(each) for each in parts],
                report_values.check_crashes(crashes),
            )

    def _forget(self, now_ms: int) -> None:
        """Forget what need not be reported, and records that have expired."""
        if now_ms - self.forgot_ms >= FORGET_INTERVAL_MS:
            self.forgot_ms = now_ms
            prompt_crashes.drop_expired(self.records, now_ms)
            self.seen_here &= self.records.by_part.keys()
            self.own &= self.records.prompts.keys()
            for part in list(self.convicted):
                self._clear_unless_to_blame(part)
        for content, changed_ms in list(self.changed_ms.items()):
            reported_ms = REPORTED_MS if content in self.own else RELAYED_MS
            if (
                now_ms - changed_ms >= reported_ms
                or content not in self.records.prompts
            ):
                del self.changed_ms[content]
        for part, changed_ms in list(self.answers_ms.items()):
            if (
                now_ms - changed_ms >= ANSWER_REPORTED_MS
                or part not in self.records.answered_ms
            ):
                del self.answers_ms[part]

    def _mark_changed(
        self, changed_ms: collections.OrderedDict[str, int], key: str
    ) -> None:
        """Report it before what has changed earlier."""
        changed_ms[key] = self._now_ms()
        changed_ms.move_to_end(key)

    def _now_ms(self) -> int:
        return int(self.clock.boot_ms())


def _take_in_turn(
    changed_ms: collections.OrderedDict[str, int], count: int
) -> list[str]:
    """Take the next keys; the others come first in the next report."""
    taken = list(itertools.islice(reversed(changed_ms), count))
    for key in taken:
        changed_ms.move_to_end(key, last=False)
    return taken


def _encode(ages_ms: typing.Mapping[str, int]) -> list:
    newest = sorted(ages_ms.items(), key=lambda item: item[1])
    return [
        [int(endpoint), age_ms]
        for endpoint, age_ms in newest[:MAX_CRASHES_PER_PROMPT]
    ]


def _decode_prompt(
    digest: typing.Any, parts: typing.Any
) -> tuple[str, list[str]]:
    names = [report_values.check_digest(each) for each in parts]
    return report_values.check_digest(digest), names
