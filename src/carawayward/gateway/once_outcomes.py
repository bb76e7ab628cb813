"""What a caller is told about a call that may not be repeated."""

from carawayward.controllers import claims as claims_module
from carawayward.gateway import requests
from carawayward import outcomes
from carawayward.protocol import claims

RETRY_AFTER_MS = 1_000


def make_holder_unavailable(detail: str) -> outcomes.Unknown:
    """The outcome when the only node that may know is out of reach."""
    return outcomes.Unknown(
        outcomes.Reason.TICKET_LOST,
        f"the entry VM that holds this request {detail}; ask again, and "
        "look before you send it anew",
        RETRY_AFTER_MS,
    )


def make_key_expired(verdict: claims.Verdict) -> outcomes.Unknown:
    """The outcome for a key that may not be run.

    It is no refusal that says "not run": the key may have been run while
    it was young, by a node whose claim has left the log since.
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
    """The outcome when the log gave no decision.

    This node has sent nothing. Whether another node ran the key before is
    in the log only, so "not run" holds just for a caller that states this
    is its first attempt; a claim that is in the log by then is this node's
    and is run only when the caller comes back.
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
