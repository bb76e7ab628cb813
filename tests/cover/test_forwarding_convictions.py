"""Refused requests in the store: what is read back, and when it expires."""

import types
import typing

import attrs
import cbor2
import trio
import trio.testing

from carawayward import clock as clock_module
from carawayward.decisions import suspicion
from carawayward import errors
from carawayward.forwarding import conviction_log
from carawayward.forwarding import crashing_parts
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import notices
from carawayward.forwarding import suspects
from carawayward.forwarding import work_items

FINGERPRINT = suspicion.digest_content(b"ikeja", b"POST", b"/1", b"body")
WORK: typing.Any = types.SimpleNamespace(
    fingerprint=FINGERPRINT,
    shared_parts=(),
    progress=work_items.Progress(0.0),
)
AGE_MS = 200_000


@attrs.frozen
class TrioClock(clock_module.Clock):
    """Clocks that follow trio's virtual time; the boot clock starts anew."""

    offset_ms: int

    def boot_ms(self) -> float:
        """Return the virtual time in ms."""
        return trio.current_time() * 1000

    def wall_ms(self) -> int:
        """Return the virtual time in ms since the epoch."""
        return self.offset_ms + int(trio.current_time() * 1000)


class FakeTopic:
    """A topic that does not answer its first ``failures`` calls."""

    def __init__(self, failures: int = 0) -> None:
        self.failures = failures
        self.values: dict[str, bytes] = {}

    async def read_newest(self) -> keyed_log.Batch:
        """Return the newest record of every key."""
        self._answer()
        records = [keyed_log.Record(k, v) for k, v in self.values.items()]
        return keyed_log.Batch(records, len(records))

    async def append(self, records, end=None) -> int:
        """Append all records."""
        self._answer()
        for record in records:
            if record.value is None:
                del self.values[record.key]
            else:
                self.values[record.key] = record.value
        return 0

    def _answer(self) -> None:
        self.failures -= 1
        if self.failures >= 0:
            raise errors.PlatformUnavailable("store", "no answer")


async def refuse(address):
    return True


def find_state(entry):
    return notices.ProcessState.RUNNING


def run_process(topic, wall_ms, *crashes):
    """Run a process that sees crashes; return whether it then refuses."""

    async def main():
        clock = TrioClock(wall_ms)
        made = suspects.SuspectRequests(
            clock,
            crashing_parts.CrashingParts(clock, lambda: None),
            lambda: None,
            find_state,
            refuse,
        )
        log = conviction_log.ConvictionLog(topic, clock, made)
        async with trio.open_nursery() as nursery:
            await log.start(nursery)
            await trio.sleep(1.0)
            for name in crashes:
                entry = message_types.EndpointEntry(
                    name=name,
                    service="desk",
                    address="10.0.0.1:80",
                    failure_domain="north",
                )
                await made.record_broken_run(WORK, entry, 5.0)
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()
        return made.is_convicted(WORK), made.compute_retry_after_ms(WORK)

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def test_later_process_refuses_the_request_for_the_rest_of_the_time():
    """The entry VM was restarted 200 s after the last crash."""
    topic = FakeTopic()
    assert run_process(topic, 1_000_000, "e-1", "e-2", "e-3")[0]
    refused, wait_ms = run_process(topic, 1_000_000 + AGE_MS)
    assert refused
    left_ms = suspicion.RECORD_TTL_MS - AGE_MS
    assert left_ms - 10_000 < wait_ms < left_ms + 10_000


def test_suspects_that_are_not_refused_are_not_written():
    """Each crash would cost a call for each request in flight."""
    topic = FakeTopic()
    run_process(topic, 1_000_000, "e-1", "e-2")
    assert not topic.values


def test_expired_request_is_served_and_removed_from_the_store():
    """It may run again, and its record would stay for good."""
    topic = FakeTopic()
    run_process(topic, 1_000_000, "e-1", "e-2", "e-3")
    later_ms = 1_000_000 + suspicion.RECORD_TTL_MS + 10_000
    assert not run_process(topic, later_ms)[0]
    assert not topic.values


def test_refused_request_is_written_once_the_store_answers():
    """The store is down when the request is refused."""
    topic = FakeTopic(failures=4)
    run_process(topic, 1_000_000, "e-1", "e-2", "e-3")
    assert set(topic.values) == {FINGERPRINT}


def test_unreadable_records_are_passed_over():
    """Another version of the program wrote some of the records."""
    topic = FakeTopic()
    run_process(topic, 1_000_000, "e-1", "e-2", "e-3")
    topic.values = {
        "no digest": topic.values[FINGERPRINT],
        "00ff": b"\xff",
        "00": cbor2.dumps(["x", [1]]),
        "01": cbor2.dumps([1, 2, 3]),
        "02": cbor2.dumps([1, "xy"]),
        **topic.values,
    }
    assert run_process(topic, 1_000_000 + AGE_MS)[0]


def test_clock_set_back_does_not_extend_a_refusal():
    """The time of day is earlier than that of the record."""
    topic = FakeTopic()
    run_process(topic, 1_000_000, "e-1", "e-2", "e-3")
    refused, wait_ms = run_process(topic, 900_000)
    assert refused
    assert wait_ms <= suspicion.RECORD_TTL_MS


PARTS = frozenset(("0a" * 8, "0b" * 8))


def run_process_with_parts(topic, wall_ms, crashes=0, answered=()):
    """Run a process that sees crashes of prompts with both parts.

    Then parts are answered; returns what the process refuses in the end.
    """

    async def main():
        clock = TrioClock(wall_ms)
        parts = crashing_parts.CrashingParts(clock, lambda: None)
        made = suspects.SuspectRequests(
            clock, parts, lambda: None, find_state, refuse
        )
        log = conviction_log.ConvictionLog(topic, clock, made)
        async with trio.open_nursery() as nursery:
            await log.start(nursery)
            await trio.sleep(1.0)
            for number in range(crashes):
                parts.record_crash(
                    f"{number:016x}", sorted(PARTS), str(number), 0
                )
            await trio.sleep(5.0)
            work: typing.Any = types.SimpleNamespace(
                shared_parts=answered,
                progress=work_items.Progress(
                    0.0,
                    answer=work_items.AnswerProgress(
                        clock.now_ms(), clock.now_ms()
                    ),
                ),
            )
            parts.record_answer(work)
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()
        return set(parts.convicted.values())

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def test_later_process_refuses_parts_that_crashed_endpoints():
    """All entry VMs were restarted after the crashes."""
    topic = FakeTopic()
    assert run_process_with_parts(topic, 1_000_000, crashes=5) == {PARTS}
    assert len(topic.values) == 1
    assert run_process_with_parts(topic, 1_000_000 + AGE_MS) == {PARTS}


def test_record_of_parts_follows_what_answers_tell_apart():
    """One of the parts is answered, later the other."""
    first, second = sorted(PARTS)
    topic = FakeTopic()
    left = run_process_with_parts(topic, 1_000_000, 5, answered=(first,))
    assert left == {frozenset((second,))}
    (key,) = topic.values
    assert key == conviction_log.make_key(frozenset((second,)))
    later_ms = 1_000_000 + AGE_MS
    assert not run_process_with_parts(topic, later_ms, answered=(second,))
    assert not topic.values
