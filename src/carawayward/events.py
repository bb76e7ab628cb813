"""Numbered log events; docs/EVENTS.md is checked against this catalogue."""

import enum
import json
import typing

from absl import logging
import attrs


@attrs.frozen
class EventKind:
    """One kind of log event: what it means and what the operator does."""

    code: int
    meaning: str
    action: str = "none"
    level: int = logging.INFO


class Event(enum.Enum):
    """The catalogue. Codes are never reused."""

    NODE_STARTED = EventKind(1001, "The daemon has started.")
    NODE_READY = EventKind(1002, "The entry VM takes requests.")
    NODE_LEAVING = EventKind(1003, "A planned stop has begun.")
    NODE_STOPPED = EventKind(1004, "The daemon has stopped.")
    WORK_CUT = EventKind(
        1005,
        "A stop ended work that had not finished.",
        "raise stop.deadline_ms if this is frequent",
        logging.ERROR,
    )
    SETTINGS_READ = EventKind(1006, "The settings were read anew.")
    SETTINGS_REFUSED = EventKind(
        1007,
        "The settings were to be read anew and cannot be used; the old ones "
        "stay.",
        "mend the field that the event names and send SIGHUP again",
        logging.WARNING,
    )
    CONFIG_IN_FORCE = EventKind(1101, "A configuration is in force here.")
    CONFIG_REFUSED = EventKind(
        1102,
        "A published configuration was not valid at its place in the log.",
        "compare with the revision in force and publish again",
        logging.WARNING,
    )
    FRESHNESS_LOST = EventKind(
        1103,
        "No proof that the configuration is current; roll-outs are frozen.",
        'see "cut off" in docs/operations/agreed.md',
        logging.WARNING,
    )
    FRESHNESS_BACK = EventKind(
        1104, "The configuration is proved current again."
    )
    CONFIG_BEHIND = EventKind(
        1105,
        "The log forgot records before this entry VM read them.",
        "raise the retention of the stream, or look why the VM was paused",
        logging.WARNING,
    )
    SNAPSHOT_APPENDED = EventKind(
        1106, "A copy of the configuration was appended to the log."
    )
    MEMBER_FORGOTTEN = EventKind(
        1107, "An entry VM has been silent for long and is forgotten."
    )
    PLATFORM_DOWN = EventKind(
        1201,
        "A platform service does not answer.",
        'see "platform down" in OPERATIONS',
        logging.WARNING,
    )
    PLATFORM_BACK = EventKind(1202, "A platform service answers again.")
    STORE_ERA_CHANGED = EventKind(
        1204,
        "The platform's store came back from a copy and may have lost what it "
        "acknowledged; all topics are listed anew.",
        'see "the store comes back from a copy" in operations/forwarding',
        logging.WARNING,
    )
    PEER_UP = EventKind(1301, "A link to a peer is up.")
    PEER_DOWN = EventKind(
        1302,
        "A link to a peer was lost.",
        'see "cut off" in OPERATIONS if it does not come back',
        logging.WARNING,
    )
    PEER_REFUSED = EventKind(
        1303,
        "A peer did not prove who it is, or sent junk.",
        "check peer_keys on both entry VMs",
        logging.WARNING,
    )
    PEER_SILENT = EventKind(
        1304,
        "A link carried nothing for too long and is made anew.",
        "if it comes often, look at the network between the two entry VMs",
        level=logging.WARNING,
    )
    TICKETS_HANDED_OVER = EventKind(
        1351, "A leaving entry VM handed its tickets to an heir."
    )
    TICKETS_ADOPTED = EventKind(
        1352, "This entry VM took over a leaving one's tickets."
    )
    TICKETS_LOST = EventKind(
        1353,
        "No heir took the tickets of a leaving entry VM; resends of them "
        "get the answer unknown.",
        "none; callers look up what became of their requests",
        logging.WARNING,
    )
    CLAIMS_DOWN = EventKind(
        1361,
        "The claims stream cannot be read; calls under callers' own keys "
        "are not run.",
        'see "platform down" in OPERATIONS',
        logging.WARNING,
    )
    CLAIMS_BACK = EventKind(1362, "The claims stream is read again.")
    CLAIMS_WAITING = EventKind(
        1363,
        "An append of claims got no answer; reading on shows whether it "
        "took effect.",
        'see "platform down" in OPERATIONS',
        logging.WARNING,
    )
    REQUEST_REFUSED = EventKind(1401, "A request was refused, not run.")
    REQUEST_UNKNOWN = EventKind(
        1402,
        "The outcome of a request is not known.",
        "look at the endpoint named in the event",
        logging.WARNING,
    )
    REQUEST_BAD = EventKind(1403, "A caller sent a malformed request.")
    REQUEST_UNPROVEN = EventKind(
        1405, "A caller's key, session token or ticket was not accepted."
    )
    RUN_RESUMED = EventKind(
        1404, "A run is read on over a new connection to its engine."
    )
    ENDPOINT_FAILED = EventKind(
        1501,
        "A call of an endpoint failed.",
        "look at the endpoint",
        logging.WARNING,
    )
    ENDPOINT_LISTED = EventKind(
        1508, "The registry lists an endpoint, or says that it leaves."
    )
    ENDPOINT_UNLISTED = EventKind(
        1509, "The registry lists an endpoint no longer; it gets no work."
    )
    ENDPOINT_MISSING = EventKind(
        1517,
        "An endpoint's entry was missing after an outage of the store; the "
        "endpoint is still used until it is known whether it has left.",
    )
    DOMAIN_EVACUATED = EventKind(
        1519,
        "An operator has a failure domain evacuated; its endpoints get no "
        "new requests.",
    )
    DOMAIN_RETURNED = EventKind(
        1520,
        "The endpoints of a failure domain are used again after an "
        "evacuation, as if they were cold at first.",
    )
    ENDPOINT_HELD = EventKind(
        1518,
        "A copy of the store lists an endpoint that has left since; it gets "
        "no work unless its entry is renewed.",
    )
    DELEGATE_CHOSEN = EventKind(
        1203,
        "Another entry VM, or this one itself, reads the platform's store "
        "for this one from now on.",
    )
    ENTRY_UNREADABLE = EventKind(
        1510,
        "A record in the platform's store cannot be read and is ignored.",
        "look at who wrote the record named in the event",
        logging.WARNING,
    )
    REQUEST_FORWARDED = EventKind(
        1511, "A forwarded request has its final answer."
    )
    ATTEMPT_ENDED = EventKind(
        1512, "One attempt of a forwarded request did not bring its answer."
    )
    ROLLOUT_ORDERED = EventKind(
        1513, "An operator asks for a service's traffic to change version."
    )
    HEAD_READ = EventKind(
        1516,
        "An engine has read a prompt; how long that was predicted to take "
        "and how long it took.",
    )
    ROLLOUT_JUDGED = EventKind(
        1514, "What the answers so far say of a version has changed."
    )
    ROLLOUT_ENDED = EventKind(1515, "A roll-out was completed or rolled back.")
    ENDPOINT_EJECTED = EventKind(
        1502,
        "An endpoint is left out for a while: it fails or is far slower "
        "than its pool.",
        "look at the endpoint",
        logging.WARNING,
    )
    ENDPOINT_BACK = EventKind(1503, "An endpoint that was left out is back.")
    ENDPOINT_CRASHED = EventKind(
        1504,
        "An endpoint broke off a run and refuses connections; what was in "
        "flight on it is suspect.",
        "restart the endpoint",
        logging.ERROR,
    )
    REQUEST_CONVICTED = EventKind(
        1505,
        "A request crashed two endpoints and is refused from now on.",
        'see "a request that crashes endpoints" in docs/operations/load.md',
        logging.ERROR,
    )
    REQUEST_CLEARED = EventKind(
        1506, "A suspect request was answered and is no longer suspect."
    )
    REQUEST_HEDGED = EventKind(
        1507, "A silent run was started a second time elsewhere."
    )
    BILLS_WAITING = EventKind(
        1601,
        "Bills wait for the log.",
        'see "platform down" in OPERATIONS',
        logging.WARNING,
    )
    RATINGS_SILENT = EventKind(
        1701,
        "The ratings service does not answer; declared plans stand.",
        'see "ratings silent" in ROLLOUTS',
        logging.WARNING,
    )
    RATINGS_BACK = EventKind(1702, "The ratings service answers again.")
    ROLLOUT_STAGE = EventKind(1703, "A roll-out has entered a stage.")
    ROLLOUT_HALTED = EventKind(
        1704,
        "A roll-out was halted: its version is worse than the baseline.",
        "look at the group named, then withdraw the version or resume",
        logging.ERROR,
    )
    ROLLOUT_STARVED = EventKind(
        1705,
        "A roll-out's exposure budget is spent and no ratings come back.",
        'see "roll-out starved" in ROLLOUTS',
        logging.WARNING,
    )
    ORDER_SENT = EventKind(1706, "An endpoint was ordered to change.")
    ORDER_REFUSED = EventKind(
        1707,
        "An endpoint refused an order.",
        "none if another entry VM's newer order holds; else look at it",
        logging.WARNING,
    )
    ORDERS_HELD = EventKind(
        1708,
        "Orders wait: too many endpoints of the pool are silent.",
        "look at the endpoints named, or take them off the VM list",
        logging.WARNING,
    )
    LOGIN_REFUSED = EventKind(
        1709,
        "A login at the console failed.",
        "none, unless it is frequent",
        logging.WARNING,
    )
    CONSOLE_PUBLISHED = EventKind(
        1710, "An operator published from the console."
    )
    BILLS_ADOPTED = EventKind(
        1602, "Bills held for a vanished entry VM are appended by this one."
    )
    BILL_NOT_SAFE = EventKind(
        1603,
        "A bill has no copy beyond this entry VM yet; its answer was "
        "reported as not whole.",
        'see "platform down" in OPERATIONS',
        logging.WARNING,
    )
    BILL_TOO_OLD = EventKind(
        1604,
        "A bill is too old to be appended: a copy of it may have been in "
        "the log and left.",
        "compare the bill in this event with the exported ledger, and enter "
        "it by hand if it is missing",
        logging.ERROR,
    )
    FAULT = EventKind(
        1901,
        "An unexpected error was caught; the request or task that met it "
        "ended, the process goes on.",
        "report it with the event",
        logging.ERROR,
    )


def log_event(event: Event, **fields: typing.Any) -> None:
    """Write one structured line; ``fields`` must hold no caller's text."""
    kind = event.value
    line = {"event": kind.code, "name": event.name.lower(), **fields}
    logging.log(kind.level, "%s", json.dumps(line, default=str))
