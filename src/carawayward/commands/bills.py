"""Commands that read bills from the log and export them to a file."""

import json

from carawayward.commands import access
from carawayward.commands import ledger as ledger_module
from carawayward.controllers import billing as billing_controller
from carawayward import errors
from carawayward.protocol import billing
from carawayward.services import log as log_module


def bills(log: str) -> str:
    """Print each customer's number of bills and total cost.

    Args:
        log: base URL of the platform's log.
    """

    async def run(client: log_module.LogClient) -> str:
        totals: dict[str, list[float]] = {}
        for bill in (await read_bills(client)).values():
            total = totals.setdefault(bill.customer, [0, 0.0])
            total[0] += 1
            total[1] += bill.cost
        return json.dumps(totals, indent=2, sort_keys=True)

    return access.run_with_log(log, run)


def export(log: str, file: str) -> str:
    """Append the bills that are new in the log to a ledger file.

    Run this at intervals shorter than a quarter of the log's retention. If
    records expired before they were exported, the command reports their
    offsets and fails.

    Args:
        log: base URL of the platform's log.
        file: path of the ledger; its checkpoint file is kept next to it.
    """
    ledger = ledger_module.Ledger.from_file(file)
    missed = len(ledger.checkpoint.gaps)

    async def run(client: log_module.LogClient) -> int:
        return await export_new_bills(client, ledger)

    added = access.run_with_log(log, run)
    for gap in ledger.checkpoint.gaps[missed:]:
        raise errors.LedgerError(
            file,
            f"offsets {gap.first} to {gap.last} expired from the log",
            f"the other {added} bills were exported; recover the missing "
            "ones from the entry VMs' events, and export more often",
        )
    return f"{added} bills added, {ledger.checkpoint.bills} in all"


def totals(file: str) -> str:
    """Print each customer's totals in an exported ledger.

    Args:
        file: path of the ledger.
    """
    ledger = ledger_module.Ledger.from_file(file)
    found = ledger_module.sum_by_customer(ledger.read())
    return json.dumps(found, indent=2, sort_keys=True)


def check(file: str) -> str:
    """Check an exported ledger for damaged lines, duplicates and gaps.

    Args:
        file: path of the ledger.
    """
    ledger = ledger_module.Ledger.from_file(file)
    count = sum(1 for _ in ledger.read())
    if count != ledger.checkpoint.bills:
        raise errors.LedgerError(
            file,
            f"{count} lines for {ledger.checkpoint.bills} bills",
            "the file contains a bill twice; restore it from a backup",
        )
    for gap in ledger.checkpoint.gaps:
        raise errors.LedgerError(
            file,
            f"offsets {gap.first} to {gap.last} are missing",
            "recover their bills from the entry VMs' events",
        )
    return f"{count} bills, each once, with no gap"


# Subcommands of "carawaywardctl billing".
COMMANDS = {"export": export, "totals": totals, "check": check}


async def export_new_bills(
    client: log_module.LogClient, ledger: ledger_module.Ledger
) -> int:
    """Export all bills after the checkpoint; return how many were new."""
    added = 0
    while True:
        offset = ledger.checkpoint.next_offset
        batch = await client.read(billing_controller.STREAM, offset)
        decoded = [billing.decode(item.data) for item in batch.records]
        found = [bill for bill in decoded if bill is not None]
        oldest_offset = batch.oldest if batch.oldest > offset else 0
        resume_offset = max(batch.next_offset, batch.oldest)
        if batch.records or oldest_offset:
            added += ledger.add(found, resume_offset, oldest_offset)
        if not batch.records:
            return added


async def read_bills(
    client: log_module.LogClient,
) -> dict[tuple[str, str], billing.Bill]:
    """Read all bills in the log, one per key."""
    found: list[billing.Bill] = []
    offset = 1
    while True:
        batch = await client.read(billing_controller.STREAM, offset)
        if not batch.records:
            return billing.fold_bills(found)
        decoded = (billing.decode(item.data) for item in batch.records)
        found += [bill for bill in decoded if bill is not None]
        offset = batch.next_offset
