"""Bills: exactly once in the ledger, whatever is appended how often."""

import pathlib
import tempfile

import hypothesis
from hypothesis import strategies

from carawayward.commands import ledger as ledger_module
from carawayward import errors
from carawayward.protocol import billing


def make_bill(key: str, cost: float = 1.0, made_ms: int = 0) -> billing.Bill:
    """A bill of one customer."""
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
def test_appending_again_changes_no_ledger(bills, cut):
    """A node appends, loses the answer and appends again; buddies too."""
    again = bills + bills[cut:] + bills
    assert billing.fold_bills(bills) == billing.fold_bills(again)


def test_bill_that_may_have_left_the_log_is_not_appended():
    """A cut-off node comes back after days with bills that a buddy appended.

    The first copies have been exported and have left the log; a late copy
    would be counted again.
    """
    bill = make_bill("a", made_ms=1_000)
    assert billing.may_append(bill, 1_090, 100, 10)
    assert not billing.may_append(bill, 1_091, 100, 10)


def test_junk_is_no_bill():
    encoded = billing.encode(make_bill("a"))
    assert billing.decode(encoded) == make_bill("a")
    assert billing.decode({**encoded, "cost": "1"}) is None
    assert billing.decode({**encoded, "input_tokens": True}) is None
    assert billing.decode({**encoded, "more": 1}) is None
    assert billing.decode([]) is None


def open_ledger(folder: str) -> ledger_module.Ledger:
    """The ledger of a test."""
    return ledger_module.Ledger.from_file(str(pathlib.Path(folder) / "l"))


def test_ledger_keeps_each_bill_once_over_many_exports():
    with tempfile.TemporaryDirectory() as folder:
        ledger = open_ledger(folder)
        assert ledger.add([make_bill("a"), make_bill("a", 9.0)], 3, 0) == 1
        ledger = open_ledger(folder)
        assert ledger.add([make_bill("a"), make_bill("b")], 5, 0) == 1
        found = list(open_ledger(folder).read())
        assert found == [make_bill("a"), make_bill("b")]
        assert ledger_module.sum_by_customer(found)["families"]["cost"] == 2.0


def test_export_that_crashed_before_its_checkpoint_is_done_again():
    """The machine fails after the bills are written, before the checkpoint.

    The next export reads the same bills again; they must not stand twice.
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


def test_gap_and_damage_are_named():
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
            raise AssertionError("a damaged ledger was taken")
