"""Specification of the configuration log and its faults.

Records may reach the log at any time, from senders that are arbitrarily
slow, so the state need not hold records in transit:

- two operators publish one document each, based on any revision that has
  been in force; after a lost response they send it again, up to MAX_SENDS
  times in all, and each copy may arrive at any time;
- any node appends a snapshot as of any offset that it may have read to.

A reader may restart at any time and any number of times. It reads record by
record, and may use the copy of a peer that has read to any offset. The log
may drop its oldest record at any time. Bounds: MAX_RECORDS, MAX_SENDS.
"""

import functools
import typing

import attrs

from carawayward.protocol import config_log
from tests.cover import test_config_log
from tests.model import kripke

MAX_RECORDS = 4
MAX_SENDS = 2
OPERATORS = ("first", "one", "two")

# A publish is (operator, base); a snapshot is (revision, as_of).
Entry = tuple[typing.Any, int]
Log = tuple[Entry, ...]


@attrs.frozen
class Reader:
    """State of a reader; its documents are restored from the log."""

    known: bool
    revision: int
    read_to: int
    first_offset: int
    pending: tuple[int, ...] = ()


@attrs.frozen
class System:
    """State of the log, its oldest record, and a reader."""

    log: Log = (("first", 0),)
    oldest: int = 1
    reader: Reader | None = None


@functools.cache
def make_publish(entry: Entry) -> config_log.Publish:
    """Make a publish with a unique document."""
    operator, base = entry
    cost = float(base + 10 * OPERATORS.index(operator))
    return test_config_log.make_publish(base, cost)


def make_snapshot(log: Log, entry: Entry) -> config_log.Snapshot:
    """Make a snapshot by a node that had read to ``as_of``."""
    source = make_publish(log[entry[0] - 1])
    return config_log.Snapshot(
        revision=entry[0],
        document=source.document,
        digest=source.digest,
        as_of=entry[1],
    )


def write(state: config_log.ConfigState) -> Reader:
    """Convert a reader's state, without its documents."""
    offsets = tuple(offset for offset, _ in state.pending)
    return Reader(
        state.known, state.revision, state.read_to, state.first_offset, offsets
    )


def restore(log: Log, reader: Reader) -> config_log.ConfigState:
    """Restore a reader's state with its documents."""
    document = None
    if reader.revision:
        document = make_publish(log[reader.revision - 1]).document
    return config_log.ConfigState(
        known=reader.known,
        revision=reader.revision,
        document=document,
        read_to=reader.read_to,
        first_offset=reader.first_offset,
        pending=tuple(
            (offset, make_publish(log[offset - 1]))
            for offset in reader.pending
        ),
    )


@functools.cache
def read_next(log: Log, reader: Reader) -> Reader:
    """Fold the next record with the shipped function."""
    offset = reader.read_to + 1
    entry = log[offset - 1]
    is_publish = isinstance(entry[0], str)
    record = make_publish(entry) if is_publish else make_snapshot(log, entry)
    state = restore(log, reader)
    return write(config_log.apply_record(state, offset, record))


@functools.cache
def list_revisions(log: Log) -> tuple[int, ...]:
    """List the revision after each record, as a reader of the whole log."""
    reader = write(config_log.start_reading(1))
    revisions = [0]
    for length in range(1, len(log) + 1):
        reader = read_next(log[:length], reader)
        revisions.append(reader.revision)
    return tuple(revisions)


def list_steps(system: System) -> typing.Iterator[kripke.Step]:
    """List all steps that may happen next."""
    if system.oldest <= len(system.log):
        truncated = attrs.evolve(system, oldest=system.oldest + 1)
        yield f"the log drops {system.oldest}", truncated
    if len(system.log) < MAX_RECORDS:
        for entry in list_appends(system.log):
            longer = attrs.evolve(system, log=(*system.log, entry))
            yield f"{entry} is record {len(longer.log)}", longer
    for label, reader in list_readers(system):
        yield label, attrs.evolve(system, reader=reader)


def list_appends(log: Log) -> typing.Iterator[Entry]:
    """List the records that may be appended next."""
    revisions = list_revisions(log)
    for operator in OPERATORS[1:]:
        sent = [entry for entry in log if entry[0] == operator]
        if not sent:
            yield from ((operator, base) for base in set(revisions) - {0})
        elif len(sent) < MAX_SENDS:
            yield sent[0]
    for as_of in range(1, len(log) + 1):
        yield revisions[as_of], as_of


def list_readers(system: System) -> typing.Iterator[tuple[str, Reader]]:
    """List the steps of the reader."""
    restarted = write(config_log.start_reading(system.oldest))
    yield f"a reader starts at {system.oldest}", restarted
    reader = system.reader
    if reader is None:
        return
    if reader.read_to + 1 < system.oldest:
        yield "the reader fell behind and restarts", restarted
    elif reader.read_to < len(system.log):
        yield "it reads a record", read_next(system.log, reader)
    revisions = list_revisions(system.log)
    for as_of in range(1, len(system.log) + 1):
        copy = make_snapshot(system.log, (revisions[as_of], as_of))
        state = restore(system.log, reader)
        updated = write(config_log.apply_peer_copy(state, copy))
        yield f"it uses a peer's copy of {as_of}", updated


def is_bad(system: System) -> bool:
    """Whether a reader is wrong, or a base was replaced twice."""
    revisions = list_revisions(system.log)
    reader = system.reader
    # A peer's copy may be ahead of what the reader has read.
    if reader is not None and reader.known:
        ahead = revisions[reader.read_to :]
        if reader.revision not in ahead:
            return True
    winners = [system.log[revision - 1] for revision in set(revisions) - {0}]
    bases = {base for _, base in winners}
    return len(bases) < len(winners)


def has_configuration(system: System) -> bool:
    """Whether there is no reader, or it has a configuration."""
    return system.reader is None or system.reader.known


def make_spec() -> kripke.Spec:
    """Make the specification, without results cached by another one.

    The caches hold results of the shipped functions, which tests replace.
    """
    read_next.cache_clear()
    list_revisions.cache_clear()
    return kripke.Spec(System(), list_steps, is_bad, has_configuration)
