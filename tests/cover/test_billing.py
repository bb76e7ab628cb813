"""Tests that the ledger counts each bill exactly once."""

import pathlib
import tempfile

import hypothesis
from hypothesis import strategies

from carawayward.commands import ledger as ledger_module
from carawayward import errors
from carawayward.protocol import billing


def make_bill(key: str, cost: float = 1.0, made_ms: int = 0) -> billing.Bill:
    """Make a bill of one customer."""
    return billing.Bill(
        customer="families",
        request_key=key,
        version="v",
        input_tokens=1,
        output_tokens=2,
        cost=cost,
        made_ms=made_ms,
    )


BILLS = strategies.lists(
    strategies.builds(
        make_bill,
        strategies.sampled_from("abc"),
        strategies.sampled_from([1.0, 2.0]),
    ),
    max_size=8,
)


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(BILLS, strategies.integers(0, 8))
def test_repeated_appends_do_not_change_the_ledger(bills, cut):
    """Responses to appends are lost; the node and its buddies append again."""
    repeated = bills + bills[cut:] + bills
    assert billing.fold_bills(bills) == billing.fold_bills(repeated)


def test_bill_that_the_log_may_have_dropped_is_not_appended():
    """A partitioned node returns after days with bills a buddy appended.

    The first copies have been exported and dropped from the log; a late copy
    would be counted again.
    """
    bill = make_bill("a", made_ms=1_000)
    assert billing.may_append(bill, 1_090, 100, 10)
    assert not billing.may_append(bill, 1_091, 100, 10)


def test_malformed_bills_are_not_decoded():
    encoded = billing.encode(make_bill("a"))
    assert billing.decode(encoded) == make_bill("a")
    assert billing.decode({**encoded, "cost": "1"}) is None
    assert billing.decode({**encoded, "input_tokens": True}) is None
    assert billing.decode({**encoded, "more": 1}) is None
    assert billing.decode([]) is None


def open_ledger(folder: str) -> ledger_module.Ledger:
    """Open the ledger of a test."""
    return ledger_module.Ledger.from_file(str(pathlib.Path(folder) / "l"))


def test_ledger_holds_each_bill_once_after_several_exports():
    with tempfile.TemporaryDirectory() as folder:
        ledger = open_ledger(folder)
        assert ledger.add([make_bill("a"), make_bill("a", 9.0)], 3, 0) == 1
        ledger = open_ledger(folder)
        assert ledger.add([make_bill("a"), make_bill("b")], 5, 0) == 1
        stored = list(open_ledger(folder).read())
        assert stored == [make_bill("a"), make_bill("b")]
        assert ledger_module.sum_by_customer(stored)["families"]["cost"] == 2.0


def test_export_that_crashed_before_its_checkpoint_is_repeated():
    """The machine crashes after writing bills and before the checkpoint.

    The next export reads the same bills again; the ledger must not hold them
    twice.
    """
    with tempfile.TemporaryDirectory() as folder:
        ledger = open_ledger(folder)
        ledger.add([make_bill("a")], 2, 0)
        with open(ledger.path, "ab") as file:
            file.write(b'{"customer": "fam')
        ledger = open_ledger(folder)
        ledger.add([make_bill("b")], 3, 0)
        assert len(list(open_ledger(folder).read())) == 2
        assert ledger.path.read_bytes().count(b"\n") == 2


def test_gaps_and_damage_are_reported():
    with tempfile.TemporaryDirectory() as folder:
        ledger = open_ledger(folder)
        ledger.add([make_bill("a")], 2, 0)
        ledger.add([make_bill("b")], 9, 7)
        gaps = open_ledger(folder).checkpoint.gaps
        assert gaps == [ledger_module.Gap(first=2, last=6)]
        content = ledger.path.read_bytes()
        ledger.path.write_bytes(content.replace(b"families", b"famili\xffs"))
        try:
            open_ledger(folder)
        except errors.LedgerError as fault:
            assert "damaged" in str(fault)
        else:
            raise AssertionError("a damaged ledger was opened")
