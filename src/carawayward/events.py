"""Catalogue of log events; docs/EVENTS.md is generated from it."""

import enum
import json
import typing

from absl import logging
from absl.logging import converter
import attrs


@attrs.frozen
class EventKind:
    """A kind of log event, its meaning and the operator's action."""

    code: int
    meaning: str
    action: str = "none"
    level: int = logging.INFO


class Event(enum.Enum):
    """All kinds of log events. Codes are never reused."""

    NODE_STARTED = EventKind(1001, "The daemon has started.")
    NODE_READY = EventKind(1002, "The entry VM accepts requests.")
    NODE_LEAVING = EventKind(1003, "A planned stop has begun.")
    NODE_STOPPED = EventKind(1004, "The daemon has stopped.")
    WORK_CUT = EventKind(
        1005,
        "A stop ended requests or tasks that had not finished.",
        "raise stop.deadline_ms if this is frequent",
        logging.ERROR,
    )
    SETTINGS_READ = EventKind(1006, "The settings were reloaded.")
    SETTING_UNSET = EventKind(
        1009, "A setting has no value; its default is used."
    )
    SETTINGS_REFUSED = EventKind(
        1007,
        "Reloading found invalid settings; the previous ones stay in force.",
        "correct the field named in the event and send SIGHUP again",
        logging.WARNING,
    )
    CONFIG_IN_FORCE = EventKind(
        1101, "A configuration is now in force on this entry VM."
    )
    CONFIG_REFUSED = EventKind(
        1102,
        "A published configuration was not valid at its position in the log.",
        "compare it with the revision in force and publish again",
        logging.WARNING,
    )
    FRESHNESS_LOST = EventKind(
        1103,
        "The configuration may no longer be current; roll-outs are frozen.",
        'see "cut off" in docs/operations/agreed.md',
        logging.WARNING,
    )
    FRESHNESS_BACK = EventKind(
        1104, "The configuration is known to be current again."
    )
    CONFIG_BEHIND = EventKind(
        1105,
        "The log removed records before this entry VM read them.",
        "raise the retention of the stream, or find out why the VM stalled",
        logging.WARNING,
    )
    SNAPSHOT_APPENDED = EventKind(
        1106, "A snapshot of the configuration was appended to the log."
    )
    MEMBER_FORGOTTEN = EventKind(
        1107, "An entry VM was silent for too long and was removed."
    )
    PLATFORM_DOWN = EventKind(
        1201,
        "A platform service does not respond.",
        'see "Platform down" in docs/OPERATIONS.md',
        logging.WARNING,
    )
    PLATFORM_BACK = EventKind(1202, "A platform service responds again.")
    STORE_ERA_CHANGED = EventKind(
        1204,
        "The platform's store was restored from a backup and may have lost "
        "acknowledged writes; all topics are listed again.",
        'see "The store comes back from a copy" in '
        "docs/operations/forwarding.md",
        logging.WARNING,
    )
    POSITION_REFUSED = EventKind(
        1205,
        "A peer reported a position of a topic that the store's own answer "
        "does not reach; it is ignored.",
        "look for a faulty entry VM in the same failure domain",
        logging.WARNING,
    )
    PEER_UP = EventKind(1301, "A link to a peer was established.")
    PEER_DOWN = EventKind(
        1302,
        "A link to a peer was lost.",
        'see "Cut off" in docs/OPERATIONS.md if it is not re-established',
        logging.WARNING,
    )
    PEER_REFUSED = EventKind(
        1303,
        "A peer failed to authenticate or sent malformed messages.",
        "check keys.peers on both entry VMs",
        logging.WARNING,
    )
    PEER_SILENT = EventKind(
        1304,
        "Nothing arrived on a link for too long; it is replaced.",
        "if it is frequent, check the network between the two entry VMs",
        level=logging.WARNING,
    )
    TICKETS_HANDED_OVER = EventKind(
        1351, "A leaving entry VM handed over its tickets to its heir."
    )
    TICKETS_ADOPTED = EventKind(
        1352, "This entry VM took over the tickets of a leaving one."
    )
    TICKETS_LOST = EventKind(
        1353,
        "No heir took over the tickets of a leaving entry VM; requests that "
        "are resent with them are answered as unknown.",
        "none; callers look up the outcomes of their requests",
        logging.WARNING,
    )
    CLAIMS_DOWN = EventKind(
        1361,
        "The claims stream cannot be read; requests with callers' own keys "
        "are refused.",
        'see "Platform down" in docs/OPERATIONS.md',
        logging.WARNING,
    )
    CLAIMS_BACK = EventKind(1362, "The claims stream can be read again.")
    CLAIMS_WAITING = EventKind(
        1363,
        "An append of claims got no response; reading the stream on will "
        "show whether it took effect.",
        'see "Platform down" in docs/OPERATIONS.md',
        logging.WARNING,
    )
    REQUEST_REFUSED = EventKind(1401, "A request was refused and has not run.")
    REQUEST_UNKNOWN = EventKind(
        1402,
        "The outcome of a request is unknown.",
        "check the endpoint named in the event",
        logging.WARNING,
    )
    REQUEST_BAD = EventKind(1403, "A caller sent a malformed request.")
    REQUEST_UNPROVEN = EventKind(
        1405, "A caller's key, session token or ticket was rejected."
    )
    REQUESTS_CUT = EventKind(
        1407,
        "The listener closed connections with requests in hand, or in a stop "
        "with unread ones; the event has how many, by reason. At most once a "
        "second.",
        "for stop: find out what the requests waited for; for unread: the "
        "process is short of processor time; else none",
        logging.WARNING,
    )
    DESCRIPTORS_SHORT = EventKind(
        1408,
        "There were more connections than descriptors allow: as many without "
        "a request were closed, the longest idle first. At most once a "
        "second.",
        'see "Clients that do not behave" in docs/OPERATIONS.md',
        logging.WARNING,
    )
    STOP_STARVED = EventKind(
        1410,
        "The process stops and its work takes many times its processor time: "
        "it closes its port to callers early, and replies before the time.",
        "give the process more of a core",
        logging.WARNING,
    )
    ACCEPT_FAILED = EventKind(
        1409,
        "No connection could be accepted.",
        "raise the process's limit of descriptors, or set "
        "resources.descriptors to it",
        logging.ERROR,
    )
    RUN_RESUMED = EventKind(
        1404, "A run was resumed over a new connection to its engine."
    )
    REQUEST_INCOMPLETE = EventKind(
        1406,
        "A request did not arrive whole: its caller left, or its connection "
        "was closed.",
    )
    ENDPOINT_FAILED = EventKind(
        1501,
        "A call to an endpoint failed.",
        "check the endpoint",
        logging.WARNING,
    )
    ENDPOINT_LISTED = EventKind(
        1508, "The registry lists a new endpoint, or an endpoint as leaving."
    )
    ENDPOINT_UNLISTED = EventKind(
        1509, "The registry no longer lists an endpoint; it gets no requests."
    )
    ENDPOINT_MISSING = EventKind(
        1517,
        "An endpoint's entry was missing after an outage of the store; the "
        "endpoint stays in use until it is known whether it has left.",
    )
    DOMAIN_EVACUATED = EventKind(
        1519,
        "An operator evacuates a failure domain; its endpoints get no new "
        "requests.",
    )
    DOMAIN_RETURNED = EventKind(
        1520,
        "The endpoints of a failure domain are used again after an "
        "evacuation; at first they are treated as cold.",
    )
    ENDPOINT_HELD = EventKind(
        1518,
        "The store, restored from a backup, lists an endpoint that has left; "
        "it gets no requests unless its entry is renewed.",
    )
    ENDPOINT_LEAVES = EventKind(
        1522, "An endpoint has said in a response that it is about to stop."
    )
    ENDPOINT_REPLACED = EventKind(
        1524,
        "Another process answers at an endpoint's address; the endpoint gets "
        "no more requests.",
    )
    ENDPOINT_RESTS = EventKind(
        1523,
        "An endpoint has declined a request and asked this entry VM to send "
        "it none for some time.",
    )
    ENDPOINT_LIMITED = EventKind(
        1521,
        "An endpoint has named, changed or lifted a limit on the requests a "
        "second that it accepts from all entry VMs together.",
    )
    DELEGATE_CHOSEN = EventKind(
        1203,
        "From now on, the entry VM named in the event, possibly this one "
        "itself, reads the platform's store for this one.",
    )
    ENTRY_UNREADABLE = EventKind(
        1510,
        "A record in the platform's store cannot be decoded or used and is "
        "ignored; the others hold.",
        "check the writer of the record named in the event",
        logging.WARNING,
    )
    REQUEST_FORWARDED = EventKind(
        1511,
        "A forwarded request has ended; with status 0 its caller does not "
        "have the whole response.",
    )
    ATTEMPT_ENDED = EventKind(
        1512, "An attempt of a forwarded request ended without its response."
    )
    RETRY_BUDGET_SPENT = EventKind(
        1525,
        "So many requests of a service fail that further attempts are "
        "refused; at most once a second.",
        "check the endpoints of the service",
        logging.WARNING,
    )
    SERVICE_UNREACHABLE = EventKind(
        1526,
        "This entry VM could not connect to several endpoints of a service, "
        "and to none of them since.",
        "if other entry VMs reach the service, check this one's network; if "
        "none does, check the endpoints",
        logging.WARNING,
    )
    SERVICE_REACHABLE = EventKind(
        1527, "This entry VM reaches an endpoint of a service again."
    )
    REQUEST_HANDED_OVER = EventKind(
        1528,
        "A peer was asked to send a request to an endpoint that this entry VM "
        "does not reach; if it declined, the event has the cause.",
    )
    REQUEST_RELAYED = EventKind(
        1529, "This entry VM was asked to send a request of a peer."
    )
    ROLLOUT_ORDERED = EventKind(
        1513, "An operator ordered a roll-out of a version of a service."
    )
    HEAD_READ = EventKind(
        1516,
        "An engine has processed a prompt; the event has the predicted and "
        "the actual duration.",
    )
    ROLLOUT_JUDGED = EventKind(
        1514, "The verdict on a version, based on its answers, has changed."
    )
    ROLLOUT_ENDED = EventKind(1515, "A roll-out was completed or rolled back.")
    VERSIONS_KNOWN = EventKind(
        1535,
        "Which versions of a service may serve besides the newest target has "
        "changed: neither rejected nor undecided ones do.",
    )
    ENDPOINT_EJECTED = EventKind(
        1502,
        "An endpoint was ejected temporarily: it fails or is far slower "
        "than its pool.",
        "check the endpoint",
        logging.WARNING,
    )
    ENDPOINT_BACK = EventKind(1503, "An ejected endpoint is used again.")
    ENDPOINT_CRASHED = EventKind(
        1504,
        "An endpoint aborted a run and refuses connections, or its process "
        "ended soon after; the requests in flight on it are suspect.",
        "restart the endpoint",
        logging.ERROR,
    )
    REQUEST_CONVICTED = EventKind(
        1505,
        "A request crashed several endpoints and is refused from now on.",
        'see "A request that crashes endpoints" in docs/operations/load.md',
        logging.ERROR,
    )
    REQUEST_CLEARED = EventKind(
        1506, "A suspect request was answered and is no longer suspect."
    )
    RUN_CRASHED = EventKind(
        1530,
        "A run was in flight on an endpoint that crashed. It names the shared "
        "parts of the prompt, and how long the answer had gone on.",
    )
    PART_CONVICTED = EventKind(
        1531,
        "A part of prompts crashes endpoints; requests with it are refused "
        "from now on.",
        'see "A part of prompts crashes endpoints" in '
        "docs/operations/forwarding.md",
        logging.ERROR,
    )
    PART_CLEARED = EventKind(
        1532, "A request with a refused part of prompts was answered."
    )
    REQUEST_SHED = EventKind(
        1533,
        "The engines are behind, and their room went to more urgent requests "
        "or to customers that ask for less. The request has not run.",
        'see "Room goes to others" in docs/operations/load.md',
    )
    CONNECTIONS_TURNED_AWAY = EventKind(
        1534,
        "New connections came faster than this entry VM accepts them, while "
        "others had room. Those that waited were reset with nothing read.",
        'see "One entry VM gets most connections" in docs/operations/load.md',
        logging.WARNING,
    )
    REQUEST_HEDGED = EventKind(
        1507, "A run without output was started again on another endpoint."
    )
    BILLS_WAITING = EventKind(
        1601,
        "Bills wait to be appended to the log.",
        'see "Platform down" in docs/OPERATIONS.md',
        logging.WARNING,
    )
    RATINGS_SILENT = EventKind(
        1701,
        "The ratings service does not respond; requests follow the declared "
        "plans.",
        'see "ratings silent" in docs/operations/rollouts.md',
        logging.WARNING,
    )
    RATINGS_BACK = EventKind(1702, "The ratings service responds again.")
    ROLLOUT_STAGE = EventKind(1703, "A roll-out has entered a stage.")
    ROLLOUT_HALTED = EventKind(
        1704,
        "A roll-out was halted: its version is worse than the baseline.",
        "check the group named in the event; withdraw the version or resume",
        logging.ERROR,
    )
    ROLLOUT_STARVED = EventKind(
        1705,
        "A roll-out's exposure budget is spent and no ratings arrive.",
        'see "roll-out starved" in docs/operations/rollouts.md',
        logging.WARNING,
    )
    ORDER_SENT = EventKind(
        1706, "An endpoint was ordered to change its versions."
    )
    ORDER_REFUSED = EventKind(
        1707,
        "An endpoint refused an order.",
        "none if it has a newer order of another entry VM; else check it",
        logging.WARNING,
    )
    ORDERS_HELD = EventKind(
        1708,
        "Orders are on hold: too many endpoints of the pool are silent.",
        "check the endpoints named, or remove them from the VM list",
        logging.WARNING,
    )
    LOGIN_REFUSED = EventKind(
        1709,
        "A login to the console failed.",
        "none, unless it is frequent",
        logging.WARNING,
    )
    CONSOLE_PUBLISHED = EventKind(
        1710, "An operator published from the console."
    )
    BILLS_ADOPTED = EventKind(
        1602,
        "This entry VM appends the bills it holds for one that has failed.",
    )
    BILL_NOT_SAFE = EventKind(
        1603,
        "A bill is not replicated beyond this entry VM yet; its answer was "
        "reported as incomplete.",
        'see "Platform down" in docs/OPERATIONS.md',
        logging.WARNING,
    )
    BILL_TOO_OLD = EventKind(
        1604,
        "A bill is too old to be appended: the log may have held it already "
        "and removed it at the end of its retention.",
        "compare the bill in this event with the exported ledger, and enter "
        "it by hand if it is missing",
        logging.ERROR,
    )
    FAULT = EventKind(
        1901,
        "An unexpected error ended a request or a task; the process "
        "continues.",
        "report it with the event",
        logging.ERROR,
    )


_encode = json.JSONEncoder(default=str).encode


def log_event(event: Event, **fields: typing.Any) -> None:
    """Log an event as JSON; ``fields`` must not contain callers' text."""
    kind = event.value
    logger = logging.get_absl_logger()
    level = converter.absl_to_standard(kind.level)
    if not logger.isEnabledFor(level):
        return
    line = {"event": kind.code, "name": event.name.lower(), **fields}
    # The logger's own methods search the stack for the caller, which costs
    # more than all the rest.
    logger.handle(
        logger.makeRecord(
            logger.name, level, __file__, 0, _encode(line), (), None
        )
    )
