"""Accounts of exposure budgets as peers tell them to each other."""

import typing

import attrs

from carawayward.decisions import exposure
from carawayward import quality

Accounts = dict[quality.BudgetKey, dict[str, exposure.ExposureAccount]]


def list_rows(accounts: Accounts) -> list[list]:
    """Every account that this entry VM knows."""
    return [
        [*attrs.astuple(account), origin, spent.spent, spent.earned]
        for account, by_origin in accounts.items()
        for origin, spent in by_origin.items()
    ]


def merge_rows(
    accounts: Accounts,
    rows: typing.Iterable[list],
    may_take: typing.Callable[[quality.BudgetKey, str], bool],
) -> None:
    """Take the larger numbers of each account that ``may_take`` accepts."""
    for version, base, failure_domain, origin, spent, earned in rows:
        account = quality.BudgetKey(
            str(version), int(base), str(failure_domain)
        )
        if not may_take(account, str(origin)):
            continue
        known = accounts.setdefault(account, {})
        known[str(origin)] = exposure.merge_accounts(
            known.get(str(origin), exposure.ExposureAccount()),
            exposure.ExposureAccount(float(spent), float(earned)),
        )
