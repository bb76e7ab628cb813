"""Encoding and merging of the exposure accounts that peers exchange."""

import typing

import attrs

from carawayward.decisions import exposure
from carawayward import quality

Accounts = dict[quality.BudgetKey, dict[str, exposure.ExposureAccount]]


def encode_accounts(accounts: Accounts) -> list[list]:
    """Encode every known account for a message to peers."""
    return [
        [
            *attrs.astuple(budget_key),
            origin,
            account.spent,
            account.earned,
        ]
        for budget_key, by_origin in accounts.items()
        for origin, account in by_origin.items()
    ]


def merge_accounts(
    accounts: Accounts,
    rows: typing.Iterable[list],
    accepts: typing.Callable[[quality.BudgetKey, str], bool],
) -> None:
    """Merge the accounts that ``accepts`` admits; the larger numbers win."""
    for version, base, failure_domain, origin, spent, earned in rows:
        budget_key = quality.BudgetKey(
            str(version), int(base), str(failure_domain)
        )
        if not accepts(budget_key, str(origin)):
            continue
        known = accounts.setdefault(budget_key, {})
        known[str(origin)] = exposure.merge_accounts(
            known.get(str(origin), exposure.ExposureAccount()),
            exposure.ExposureAccount(float(spent), float(earned)),
        )
