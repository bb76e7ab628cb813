"""Commands about bills."""

import json

from carawayward.commands import access
from carawayward.commands import ledger as ledger_module
from carawayward.controllers import billing as billing_controller
from carawayward import errors
from carawayward.protocol import billing
from carawayward.services import log as log_module


def bills(log: str) -> str:
    """Print each customer's number of bills and total cost."""

    async def run(client: log_module.LogClient) -> str:
        totals: dict[str, list[float]] = {}
        for bill in (await read_bills(client)).values():
            total = totals.setdefault(bill.customer, [0, 0.0])
            total[0] += 1
            total[1] += bill.cost
        return json.dumps(totals, indent=2, sort_keys=True)

    return access.run_with_log(log, run)


def export(log: str, file: str) -> str:
    """Add the log's new bills to a ledger file.

    Run it more often than a quarter of the log's retention; a run that
    comes too late names the offsets that it missed and fails.

    Args:
        log: base URL of the platform's log.
        file: the ledger; its checkpoint is kept beside it.
    """
    ledger = ledger_module.Ledger.from_file(file)
    missed = len(ledger.checkpoint.gaps)

    async def run(client: log_module.LogClient) -> int:
        return await export_new_bills(client, ledger)

    added = access.run_with_log(log, run)
    for gap in ledger.checkpoint.gaps[missed:]:
        raise errors.LedgerError(
            file,
            f"offsets {gap.first} to {gap.last} had left the log",
            f"the other {added} bills were exported; look for the missing "
            "ones in the entry VMs' events, and export more often",
        )
    return f"{added} bills added, {ledger.checkpoint.bills} in all"


def totals(file: str) -> str:
    """Print each customer's totals of an exported ledger."""
    ledger = ledger_module.Ledger.from_file(file)
    found = ledger_module.sum_by_customer(ledger.read())
    return json.dumps(found, indent=2, sort_keys=True)


def check(file: str) -> str:
    """Check an exported ledger: whole lines, no doubles, no gaps."""
    ledger = ledger_module.Ledger.from_file(file)
    count = sum(1 for _ in ledger.read())
    if count != ledger.checkpoint.bills:
        raise errors.LedgerError(
            file,
            f"{count} lines for {ledger.checkpoint.bills} bills",
            "a bill stands in it twice; restore the file from a backup",
        )
    for gap in ledger.checkpoint.gaps:
        raise errors.LedgerError(
            file,
            f"offsets {gap.first} to {gap.last} are missing",
            "look for their bills in the entry VMs' events",
        )
    return f"{count} bills, each once, with no gap"


# Subcommands of "carawaywardctl billing".
COMMANDS = {"export": export, "totals": totals, "check": check}


async def export_new_bills(
    client: log_module.LogClient, ledger: ledger_module.Ledger
) -> int:
    """Read on from the checkpoint to the tail; return how many were new."""
    added = 0
    while True:
        offset = ledger.checkpoint.next_offset
        batch = await client.read(billing_controller.STREAM, offset)
        decoded = [billing.decode(item.data) for item in batch.records]
        found = [bill for bill in decoded if bill is not None]
        gap = batch.oldest if batch.oldest > offset else 0
        resume_offset = max(batch.next_offset, batch.oldest)
        if batch.records or gap:
            added += ledger.add(found, resume_offset, gap)
        if not batch.records:
            return added


async def read_bills(
    client: log_module.LogClient,
) -> dict[tuple[str, str], billing.Bill]:
    """Fold all bills that the log holds."""
    found: list[billing.Bill] = []
    offset = 1
    while True:
        batch = await client.read(billing_controller.STREAM, offset)
        if not batch.records:
            return billing.fold_bills(found)
        decoded = (billing.decode(item.data) for item in batch.records)
        found += [bill for bill in decoded if bill is not None]
        offset = batch.next_offset
