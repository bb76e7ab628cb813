"""The exported ledger: a file that outlives the log's retention.

The file holds one bill a line, each key once, in log order. Beside it
stands a checkpoint: from where in the log to go on, how long the file was
then, and which offsets were gone before they could be exported. The file is
cut back to the checkpoint's length before each export, so a crash between
the two writes neither loses nor doubles a bill.
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
    """Offsets that the log forgot before they were exported."""

    first: int
    last: int


@attrs.frozen(kw_only=True)
class Checkpoint:
    """Where an export stands; ``size`` is the file's length in bytes."""

    next_offset: int = 1
    size: int = 0
    bills: int = 0
    gaps: list[Gap] = attrs.field(factory=list)


@attrs.define
class Ledger:
    """One exported ledger, open for more."""

    path: pathlib.Path
    checkpoint: Checkpoint = attrs.field(factory=Checkpoint)
    keys: set[Key] = attrs.field(factory=set)

    @classmethod
    def from_file(cls, file: str) -> "Ledger":
        """Open a ledger, or begin one."""
        ledger = cls(pathlib.Path(file))
        beside = ledger.checkpoint_path
        if beside.exists():
            ledger.checkpoint = documents.structure(
                Checkpoint,
                json.loads(beside.read_text(encoding="utf-8")),
                errors.LedgerError,
            )
        ledger.keys = {bill.key for bill in ledger.read()}
        if len(ledger.keys) != ledger.checkpoint.bills:
            raise errors.LedgerError(
                file,
                f"{len(ledger.keys)} bills",
                f"the checkpoint counts {ledger.checkpoint.bills}; restore "
                "both files from one backup, or export anew",
            )
        return ledger

    @property
    def checkpoint_path(self) -> pathlib.Path:
        """The checkpoint's place beside the ledger."""
        return self.path.with_name(self.path.name + ".checkpoint")

    def read(self) -> typing.Iterator[billing.Bill]:
        """All bills up to the checkpoint."""
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
        self, bills: typing.Iterable[billing.Bill], next_offset: int, gap: int
    ) -> int:
        """Write new bills, then the checkpoint; return how many were new.

        ``gap`` is the oldest offset that the log still had, if that is past
        the checkpoint, or 0.
        """
        fresh = []
        for bill in bills:
            if bill.key not in self.keys:
                self.keys.add(bill.key)
                fresh.append(bill)
        lines = [json.dumps(billing.encode(bill)) + "\n" for bill in fresh]
        size = self._write("".join(lines).encode())
        gaps = list(self.checkpoint.gaps)
        if gap > self.checkpoint.next_offset:
            gaps.append(Gap(first=self.checkpoint.next_offset, last=gap - 1))
        self.checkpoint = Checkpoint(
            next_offset=next_offset,
            size=size,
            bills=len(self.keys),
            gaps=gaps,
        )
        self._write_checkpoint()
        return len(fresh)

    def _write(self, content: bytes) -> int:
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
    """Read one line of a ledger; None for a damaged one."""
    try:
        return billing.decode(json.loads(line))
    except ValueError:
        return None


def sum_by_customer(
    bills: typing.Iterable[billing.Bill],
) -> dict[str, dict[str, float]]:
    """Each customer's number of bills, tokens and cost."""
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
