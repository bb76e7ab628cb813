"""The configuration log, with everything that may go wrong with it.

The log grows by what may arrive at any time from senders that are as slow as
they like, so nothing on the way need be kept in the state:

- two operators publish a document each, drawn from any revision that was in
  force before; a lost answer makes them send it again, up to SENDS times in
  all, and each copy may arrive at any time;
- any node appends a snapshot of any place that it may have read to.

A reader starts anew at any time, any number of times, reads record by
record, and may take the copy of a peer that has read to any place. The log
may forget its oldest record at any time. Bounds: LOG_MOST records, SENDS.
"""

import functools
import typing

import attrs

from carawayward.protocol import config_log
from tests.cover import test_config_log
from tests.model import kripke

LOG_MOST = 4
SENDS = 2
OPERATORS = ("first", "one", "two")

# A publish is (operator, base); a snapshot is (revision, as_of).
Entry = tuple[typing.Any, int]
Log = tuple[Entry, ...]


@attrs.frozen
class Reader:
    """A reader's state; the log gives its documents back."""

    known: bool
    revision: int
    read_to: int
    began: int
    pending: tuple[int, ...] = ()


@attrs.frozen
class World:
    """The log, the oldest record kept, and a reader."""

    log: Log = (("first", 0),)
    oldest: int = 1
    reader: Reader | None = None


@functools.cache
def make_publish(entry: Entry) -> config_log.Publish:
    """A publish with a document of its own."""
    operator, base = entry
    cost = float(base + 10 * OPERATORS.index(operator))
    return test_config_log.make_publish(base, cost)


def make_snapshot(log: Log, entry: Entry) -> config_log.Snapshot:
    """A snapshot by a node that had read to ``as_of``."""
    source = make_publish(log[entry[0] - 1])
    return config_log.Snapshot(
        revision=entry[0],
        document=source.document,
        digest=source.digest,
        as_of=entry[1],
    )


def write(state: config_log.ConfigState) -> Reader:
    """A state without its documents."""
    offsets = tuple(offset for offset, _ in state.pending)
    return Reader(
        state.known, state.revision, state.read_to, state.first_offset, offsets
    )


def restore(log: Log, reader: Reader) -> config_log.ConfigState:
    """A state with its documents."""
    document = None
    if reader.revision:
        document = make_publish(log[reader.revision - 1]).document
    return config_log.ConfigState(
        known=reader.known,
        revision=reader.revision,
        document=document,
        read_to=reader.read_to,
        first_offset=reader.began,
        pending=tuple(
            (offset, make_publish(log[offset - 1]))
            for offset in reader.pending
        ),
    )


@functools.cache
def read_one(log: Log, reader: Reader) -> Reader:
    """Fold the next record with the shipped function."""
    offset = reader.read_to + 1
    entry = log[offset - 1]
    is_publish = isinstance(entry[0], str)
    record = make_publish(entry) if is_publish else make_snapshot(log, entry)
    state = restore(log, reader)
    return write(config_log.apply_record(state, offset, record))


@functools.cache
def list_revisions(log: Log) -> tuple[int, ...]:
    """The revision in force at each place, for a reader of everything."""
    reader = write(config_log.start_reading(1))
    revisions = [0]
    for length in range(1, len(log) + 1):
        reader = read_one(log[:length], reader)
        revisions.append(reader.revision)
    return tuple(revisions)


def list_steps(world: World) -> typing.Iterator[kripke.Step]:
    """Everything that may happen next."""
    if world.oldest <= len(world.log):
        forgetful = attrs.evolve(world, oldest=world.oldest + 1)
        yield f"the log forgets {world.oldest}", forgetful
    if len(world.log) < LOG_MOST:
        for entry in list_arrivals(world.log):
            longer = attrs.evolve(world, log=(*world.log, entry))
            yield f"{entry} is record {len(longer.log)}", longer
    for label, reader in list_readers(world):
        yield label, attrs.evolve(world, reader=reader)


def list_arrivals(log: Log) -> typing.Iterator[Entry]:
    """Records that may come next."""
    revisions = list_revisions(log)
    for operator in OPERATORS[1:]:
        sent = [entry for entry in log if entry[0] == operator]
        if not sent:
            yield from ((operator, base) for base in set(revisions) - {0})
        elif len(sent) < SENDS:
            yield sent[0]
    for as_of in range(1, len(log) + 1):
        yield revisions[as_of], as_of


def list_readers(world: World) -> typing.Iterator[tuple[str, Reader]]:
    """What may become of the reader."""
    begun = write(config_log.start_reading(world.oldest))
    yield f"a reader starts at {world.oldest}", begun
    reader = world.reader
    if reader is None:
        return
    if reader.read_to + 1 < world.oldest:
        yield "the reader fell behind and starts anew", begun
    elif reader.read_to < len(world.log):
        yield "it reads a record", read_one(world.log, reader)
    revisions = list_revisions(world.log)
    for as_of in range(1, len(world.log) + 1):
        copy = make_snapshot(world.log, (revisions[as_of], as_of))
        state = restore(world.log, reader)
        taken = write(config_log.apply_peer_copy(state, copy))
        yield f"it takes a peer's copy of {as_of}", taken


def is_bad(world: World) -> bool:
    """A reader is wrong about its place, or a base has two winners."""
    revisions = list_revisions(world.log)
    reader = world.reader
    # A copy may be ahead of what the reader has read itself.
    if reader is not None and reader.known:
        ahead = revisions[reader.read_to :]
        if reader.revision not in ahead:
            return True
    winners = [world.log[revision - 1] for revision in set(revisions) - {0}]
    bases = {base for _, base in winners}
    return len(bases) < len(winners)


def knows(world: World) -> bool:
    """Nobody reads, or the reader knows the configuration."""
    return world.reader is None or world.reader.known


def make_spec() -> kripke.Spec:
    """The specification, with nothing remembered of another one's rules."""
    read_one.cache_clear()
    list_revisions.cache_clear()
    return kripke.Spec(World(), list_steps, is_bad, knows)
