"""Outcomes of a request, as a union of classes for ``match``.

``NotRun`` is a guarantee, ``Unknown`` is not: ``NotRun`` may be returned
only if no byte of the request has left this entry VM and no earlier attempt
under the same key can have run.
"""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Why a request was not run, is unknown or was interrupted."""

    NOT_READY = "not-ready"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no-endpoint"
    NOT_ALLOWED = "not-allowed"
    VERSION_WITHDRAWN = "version-withdrawn"
    CONVICTED = "convicted"
    NO_CLAIM = "no-claim"
    NOT_BILLABLE = "not-billable"
    KEY_EXPIRED = "key-expired"
    TICKET_LOST = "ticket-lost"
    ENDPOINT_FAILED = "endpoint-failed"
    ENDPOINT_SILENT = "endpoint-silent"
    CALLER_LEFT = "caller-left"
    IN_PROGRESS = "in-progress"


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of the endpoint."""

    text: str
    version: str
    endpoint: str
    input_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0.0
    plan: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Refused and certain not to have run; retry after the delay."""

    reason: Reason
    remedy: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It may or may not have run, so it must not simply be repeated.

    ``retry_after_ms`` is when to retry with the same key or ticket.
    """

    reason: Reason
    remedy: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """The answer was cut off after ``partial`` was sent to the caller."""

    reason: Reason
    partial: str
    remedy: str


Outcome = Answered | NotRun | Unknown | Interrupted
