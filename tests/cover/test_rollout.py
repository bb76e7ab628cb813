"""A roll-out is a fold over the log: one step at a time, halts are final."""

import itertools

import attrs

from carawayward.decisions import rollout
from carawayward import rollout_declaration

NAME = "sorter-4"
DECLARED = rollout_declaration.Rollout(
    name=NAME,
    model="sorter",
    from_version="sorter-3",
    to_version="sorter-4",
    stages=[
        rollout_declaration.Stage(
            share=share,
            dwell_ms=1_000,
            evidence=10,
            exposure_budget={"ikeja": 8},
        )
        for share in (0.1, 0.5)
    ],
)


def fold(records, start=None) -> rollout.RolloutLog:
    """Apply records at offsets 1, 2, 3, one second apart."""
    state = start or rollout.start_reading(1)
    for offset, record in enumerate(records, state.read_to + 1):
        state = rollout.apply_record(state, offset, offset * 1_000, record)
    return state


def advance(base: int, stage: int, node: str = "a") -> rollout.Advance:
    """An entry VM's request to enter a stage."""
    return rollout.Advance(rollout=NAME, base=base, stage=stage, node=node)


HALT = rollout.Halt(rollout=NAME, generation=0, node="b", reason="bad")


def test_two_entry_vms_that_advance_at_once_advance_once():
    """Both saw the evidence; the second record's base is outdated."""
    state = fold([advance(0, 0), advance(1, 1, "a"), advance(1, 1, "b")])
    assert state.progress[NAME].stage == 1
    assert state.progress[NAME].base == 2


def test_another_entry_vm_continues_an_advance_from_the_log():
    """The first one was replaced after its append and lost the response."""
    written = [advance(0, 0, "gone"), advance(1, 1, "gone")]
    state = fold([*written, advance(1, 1, "next"), advance(2, 2, "next")])
    assert rollout.is_done(DECLARED, state.progress[NAME])


def test_halt_holds_until_an_operator_resumes():
    """An advance appended at the same time as the halt has no effect."""
    state = fold([advance(0, 0), HALT, advance(1, 1), advance(2, 1)])
    halted = state.progress[NAME]
    assert halted.halted == "bad" and halted.stage == 0
    resume = rollout.Resume(
        rollout=NAME, base=halted.base, stage=0, operator="ada"
    )
    resumed = fold([resume, resume, HALT], state).progress[NAME]
    assert not resumed.halted and resumed.generation == 1


def test_halt_may_precede_the_records_of_its_roll_out():
    """Halts also spread by peers, so they may stand anywhere in the log."""
    state = fold([HALT, advance(0, 0), advance(1, 0)])
    assert state.progress[NAME].halted


def test_late_snapshot_does_not_undo_a_halt():
    """A slow entry VM's snapshot says "running"; the halt is newer.

    A new reader whose log begins after the first records reads the halt before
    it reads the snapshot.
    """
    before = fold([advance(0, 0)])
    snapshot = rollout.make_snapshot(before)
    assert snapshot is not None
    state = fold([HALT, snapshot], rollout.start_reading(2))
    assert state.progress[NAME].halted == "bad"


def test_every_order_of_three_records_takes_one_per_step():
    """Whatever their order in the log, stages advance one at a time."""
    records = [advance(0, 0, "a"), advance(0, 0, "b"), HALT]
    for order in itertools.permutations(records):
        progress = fold(order).progress[NAME]
        assert progress.halted and progress.stage <= 0


def test_dwell_and_ratings_are_both_required():
    """A period without calls proves nothing, nor does one busy second."""
    progress = rollout.Progress(base=1, stage=0, since_ms=5_000)
    may_advance = rollout.may_advance
    assert not may_advance(DECLARED, progress, 5_900, 99, True)
    assert not may_advance(DECLARED, progress, 9_000, 9, True)
    assert not may_advance(DECLARED, progress, 9_000, 99, False)
    assert may_advance(DECLARED, progress, 9_000, 10, True)
    halted = attrs.evolve(progress, halted="bad")
    assert not may_advance(DECLARED, halted, 9_000, 99, True)


def test_records_round_trip_and_invalid_ones_are_ignored():
    """A record of another release must not stop the reader."""
    state = fold([advance(0, 0), HALT])
    snapshot = rollout.make_snapshot(state)
    assert snapshot is not None
    for record in (advance(0, 0), HALT, snapshot):
        assert rollout.decode(rollout.encode(record)) == record
    for invalid in (None, {}, {"kind": "halt"}, {"kind": "snapshot"}, 7):
        assert rollout.decode(invalid) is None
