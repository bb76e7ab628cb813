"""Exported ledger: bills kept in a file beyond the log's retention.

The file holds one bill per line, each key once, in log order. A checkpoint
file next to it records the log offset at which the next export starts, the
length of the ledger at that point, and the offsets that expired before they
were exported. Each export first truncates the ledger to the checkpoint's
length, so a crash between writing the ledger and writing the checkpoint
neither loses nor duplicates a bill.
"""

import json
import os
import pathlib
import typing

import attrs

from carawayward import documents
from carawayward import errors
from carawayward.protocol import billing

Key = tuple[str, str]


@attrs.frozen(kw_only=True)
class Gap:
    """Range of offsets that expired from the log before an export."""

    first: int
    last: int


@attrs.frozen(kw_only=True)
class Checkpoint:
    """Progress of the export; ``size`` is the ledger's length in bytes."""

    next_offset: int = 1
    size: int = 0
    bills: int = 0
    gaps: list[Gap] = attrs.field(factory=list)


@attrs.define
class Ledger:
    """An exported ledger to which bills can be appended.

    ``keys`` holds the keys of all bills in the file.
    """

    path: pathlib.Path
    checkpoint: Checkpoint = attrs.field(factory=Checkpoint)
    keys: set[Key] = attrs.field(factory=set)

    @classmethod
    def from_file(cls, file: str) -> "Ledger":
        """Open a ledger, or start an empty one if there is no file."""
        ledger = cls(pathlib.Path(file))
        checkpoint_file = ledger.checkpoint_path
        if checkpoint_file.exists():
            ledger.checkpoint = documents.structure(
                Checkpoint,
                json.loads(checkpoint_file.read_text(encoding="utf-8")),
                errors.LedgerError,
            )
        ledger.keys = {bill.key for bill in ledger.read()}
        if len(ledger.keys) != ledger.checkpoint.bills:
            raise errors.LedgerError(
                file,
                f"{len(ledger.keys)} bills",
                f"the checkpoint counts {ledger.checkpoint.bills}; restore "
                "both files from one backup, or export into a new file",
            )
        return ledger

    @property
    def checkpoint_path(self) -> pathlib.Path:
        """Path of the checkpoint file."""
        return self.path.with_name(self.path.name + ".checkpoint")

    def read(self) -> typing.Iterator[billing.Bill]:
        """Yield all bills up to the checkpoint."""
        if not self.path.exists():
            if self.checkpoint.size:
                raise errors.LedgerError(
                    str(self.path), "no file", "restore it from a backup"
                )
            return
        with open(self.path, "rb") as file:
            content = file.read(self.checkpoint.size)
        for number, line in enumerate(content.splitlines(), 1):
            bill = decode_line(line)
            if bill is None:
                raise errors.LedgerError(
                    f"{self.path}:{number}",
                    "a damaged line",
                    "restore the file from a backup",
                )
            yield bill

    def add(
        self,
        bills: typing.Iterable[billing.Bill],
        next_offset: int,
        oldest_offset: int,
    ) -> int:
        """Write new bills, then the checkpoint; return how many were new.

        Args:
            bills: bills read from the log; those whose key is already in
                the ledger are skipped.
            next_offset: the log offset at which the next export starts.
            oldest_offset: the oldest offset in the log if that is past
                the checkpoint, otherwise 0.
        """
        fresh = []
        for bill in bills:
            if bill.key not in self.keys:
                self.keys.add(bill.key)
                fresh.append(bill)
        lines = [json.dumps(billing.encode(bill)) + "\n" for bill in fresh]
        size = self._append("".join(lines).encode())
        gaps = list(self.checkpoint.gaps)
        if oldest_offset > self.checkpoint.next_offset:
            gaps.append(
                Gap(first=self.checkpoint.next_offset, last=oldest_offset - 1)
            )
        self.checkpoint = Checkpoint(
            next_offset=next_offset,
            size=size,
            bills=len(self.keys),
            gaps=gaps,
        )
        self._write_checkpoint()
        return len(fresh)

    def _append(self, content: bytes) -> int:
        with open(self.path, "ab") as file:
            file.truncate(self.checkpoint.size)
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        return self.checkpoint.size + len(content)

    def _write_checkpoint(self) -> None:
        draft = self.checkpoint_path.with_name(
            self.checkpoint_path.name + ".new"
        )
        with open(draft, "w", encoding="utf-8") as file:
            json.dump(attrs.asdict(self.checkpoint), file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(draft, self.checkpoint_path)


def decode_line(line: bytes) -> billing.Bill | None:
    """Decode one line of a ledger; None if it is damaged."""
    try:
        return billing.decode(json.loads(line))
    except ValueError:
        return None


def sum_by_customer(
    bills: typing.Iterable[billing.Bill],
) -> dict[str, dict[str, float]]:
    """Compute each customer's number of bills, tokens and cost."""
    totals: dict[str, dict[str, float]] = {}
    for bill in bills:
        total = totals.setdefault(
            bill.customer,
            {"bills": 0, "input_tokens": 0, "output_tokens": 0, "cost": 0.0},
        )
        total["bills"] += 1
        total["input_tokens"] += bill.input_tokens
        total["output_tokens"] += bill.output_tokens
        total["cost"] += bill.cost
    return totals
