"""Bills: appended at least once, counted once by a deterministic fold.

A bill may be appended again after a lost response, and by a buddy (a peer
that holds a copy) after its node has gone; the reader keeps the first copy
of each key. The log drops old records, so a copy appended after the first
one had been dropped would be counted by a reader that never saw the first.
Hence the limit on a bill's age at an append: copies are appended only
within ``append_within`` of the bill's creation, which comes before its
first append, so all copies are in the log together for at least
``retention - append_within``.
"""

import typing

import attrs


@attrs.frozen(kw_only=True)
class Bill:
    """One request's bill, keyed by customer and request key."""

    customer: str
    request_key: str
    version: str
    input_tokens: int
    output_tokens: int
    cost: float
    made_ms: int

    @property
    def key(self) -> tuple[str, str]:
        """Identity of the bill: copies of one bill share it."""
        return self.customer, self.request_key


_FIELD_TYPES: dict[str, tuple[type, ...]] = {
    "customer": (str,),
    "request_key": (str,),
    "version": (str,),
    "input_tokens": (int,),
    "output_tokens": (int,),
    "cost": (int, float),
    "made_ms": (int,),
}


def may_append(bill: Bill, wall_ms: int, within_ms: int, skew_ms: int) -> bool:
    """Whether a copy may still be appended to the log.

    ``skew_ms`` is subtracted because ``made_ms`` may come from the clock of
    another VM.
    """
    return wall_ms - bill.made_ms <= within_ms - skew_ms


def fold_bills(bills: typing.Iterable[Bill]) -> dict[tuple[str, str], Bill]:
    """Keep the first bill of each key, in log order."""
    ledger: dict[tuple[str, str], Bill] = {}
    for bill in bills:
        ledger.setdefault(bill.key, bill)
    return ledger


def encode(bill: Bill) -> dict:
    """Encode a bill for the log and for peers."""
    return attrs.asdict(bill)


def decode(data: object) -> Bill | None:
    """Decode a bill; None for a malformed record."""
    if not isinstance(data, dict) or set(data) != set(_FIELD_TYPES):
        return None
    for field, types in _FIELD_TYPES.items():
        if type(data[field]) not in types:
            return None
    return Bill(**data)
