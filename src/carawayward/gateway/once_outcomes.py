"""Outcomes of non-repeatable calls that this node did not run."""

from carawayward.controllers import claims as claims_module
from carawayward.gateway import requests
from carawayward import outcomes
from carawayward.protocol import claims

RETRY_AFTER_MS = 1_000


def make_holder_unavailable(detail: str) -> outcomes.Unknown:
    """Make the outcome when the only node that may know is unavailable."""
    return outcomes.Unknown(
        outcomes.Reason.TICKET_LOST,
        f"the entry VM that holds this request {detail}; ask again, and "
        "look before you send it anew",
        RETRY_AFTER_MS,
    )


def make_key_expired(verdict: claims.Verdict) -> outcomes.Unknown:
    """Make the outcome for a key that this node may not run.

    It does not say "not run": the key may have been run earlier, by a node
    whose claim has since been dropped from the log.
    """
    remedy = "the key is too old to be run; look before you send it anew"
    retry_after_ms = None
    if verdict is claims.Verdict.FROM_FUTURE:
        remedy = "the key was made in the future; set the caller's clock"
    if verdict is claims.Verdict.NOT_COVERED:
        remedy = (
            "this entry VM has not read the claims of that time; ask "
            "another, or look before you send it anew"
        )
        retry_after_ms = RETRY_AFTER_MS
    return outcomes.Unknown(
        outcomes.Reason.KEY_EXPIRED, remedy, retry_after_ms
    )


def make_no_claim(
    call: requests.ServiceCall,
) -> outcomes.NotRun | outcomes.Unknown:
    """Make the outcome for a key whose claim the log did not decide.

    This node has sent nothing. Only the log shows whether another node ran
    the key before, so "not run" is true only if the caller states that this
    is its first attempt. A claim that reached the log all the same is this
    node's own and is run only when the caller retries.
    """
    if call.first_attempt:
        return outcomes.NotRun(
            outcomes.Reason.NO_CLAIM,
            "the platform log gave no claim; come back under the same key, "
            "or take a ticket, which needs no log",
            claims_module.RETRY_AFTER_MS,
        )
    return outcomes.Unknown(
        outcomes.Reason.NO_CLAIM,
        "the platform log gave no claim, and an earlier attempt may have "
        "run; come back under the same key",
        claims_module.RETRY_AFTER_MS,
    )
