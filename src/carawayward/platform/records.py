"""Decodes and encodes the records in the platform's store.

Records come from other programs: fields may be missing or of the wrong type.
"""

import json
import math
import typing

from carawayward import errors
from carawayward import events
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import table

CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"

ROUTE_KINDS = {
    "safe": table.RouteKind.IDEMPOTENT,
    "unsafe": table.RouteKind.ONCE,
    "streaming": table.RouteKind.STREAM,
}
ROLLOUT_STATES = {
    "in_progress": message_types.RolloutState.RUNNING,
    "completed": message_types.RolloutState.COMPLETED,
    "rolled_back": message_types.RolloutState.ROLLED_BACK,
}
ROLLOUT_STATE_NAMES = {state: name for name, state in ROLLOUT_STATES.items()}
LEAVING_BY_STATE = {"ready": False, "draining": True}

# Errors raised while decoding a malformed record.
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


def decode_declaration(
    record: keyed_log.Record,
) -> (
    table.RoutingTable
    | message_types.RolloutOrder
    | message_types.Evacuation
    | None
):
    """Decode a record of the operators' topic; None if it is unusable."""
    if record.key.startswith(EVACUATION_PREFIX):
        # The body is ignored, so a record with a malformed one counts too.
        domain = record.key.removeprefix(EVACUATION_PREFIX)
        lifted = record.value is None
        return message_types.Evacuation(domain, lifted) if domain else None
    if record.value is None:
        return None
    try:
        body = json.loads(record.value)
        if record.key == CONFIG_KEY:
            return read_table(body)
        if record.key.startswith(ROLLOUT_PREFIX):
            return read_order(body)
    except (*DECODE_ERRORS, errors.DeclarationError) as fault:
        _log_unreadable(record, fault)
    return None


def decode_endpoint(
    record: keyed_log.Record,
) -> message_types.EndpointEntry | None:
    """Decode a record of the servers' topic; None if it is unusable."""
    try:
        body = json.loads(record.value or b"")
        born = body.get("born")
        entry = message_types.EndpointEntry(
            name=record.key,
            service=_require_type(body["service"], str),
            address=_require_type(body["address"], str),
            failure_domain=_require_type(body.get("zone", ""), str),
            version=_require_type(body.get("version", ""), str),
            slots=_require_type(body.get("slots", 1), int),
            leaving=LEAVING_BY_STATE[body["state"]],
            born=born if type(born) is int else None,
            cold_ms=_parse_number(body.get("coldRemainingMs")),
        )
        host, _, port = entry.address.rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ValueError("invalid address")
        return entry
    except DECODE_ERRORS as fault:
        _log_unreadable(record, fault)
        return None


def read_table(body: dict) -> table.RoutingTable:
    """Convert a configuration to a routing table."""
    customers = {}
    tenants = body.get("tenants", [])
    for tenant in tenants:
        customer = table.Customer(
            tenant["name"], _parse_rank(tenant.get("priority"))
        )
        for key in tenant["apiKeys"]:
            customers[key] = customer
    limits = body.get("limits", {})
    return table.RoutingTable(
        revision=_require_type(body["version"], int),
        routes=tuple(read_route(each) for each in body["routes"]),
        services={
            each["name"]: read_service(each) for each in body["services"]
        },
        customers_by_key=customers,
        keyed=bool(tenants),
        limits=table.CallerLimits(
            header_bytes=_require_count(limits, "maxHeaderBytes", 16_384),
            body_bytes=_require_count(limits, "maxBodyBytes", 4_194_304),
            header_ms=_require_count(limits, "headerTimeoutMs", 3_000),
            idle_ms=_require_count(limits, "idleTimeoutMs", 15_000),
        ),
    )


def read_route(body: dict) -> table.Route:
    """Convert a route, which names one service or splits over several."""
    split = body.get("split") or [{"service": body["service"], "weight": 1}]
    return table.Route(
        name=_require_type(body["name"], str),
        host=_require_type(body["host"], str),
        path_prefix=_require_type(body["pathPrefix"], str),
        kind=ROUTE_KINDS[body["routeKind"]],
        targets=tuple(
            table.Target(each["service"], float(each["weight"]))
            for each in split
        ),
        timeout_ms=float(body["timeoutMs"]),
        target_ms=float(body.get("targetLatencyMs") or body["timeoutMs"]),
        max_attempts=_require_count(body, "maxAttempts", 1),
        priority=_parse_rank(body.get("priority")),
        anonymous=body.get("anonymous", False),
        affinity=body.get("affinity", False),
        resumable=body.get("resumable", False),
        gap_target_ms=body.get("gapTargetMs"),
        models=tuple(body.get("sizes", ())),
    )


def read_service(body: dict) -> table.Service:
    """Convert a service, with its engine settings if it has engines."""
    engine = body.get("engine")
    return table.Service(
        name=body["name"],
        health_path=body.get("healthPath", ""),
        max_connections=body.get("maxConnections"),
        cold_start_ms=1000.0 * (_parse_number(body.get("coldStartS")) or 0.0),
        cold_per_s=_parse_number(body.get("coldPerS")),
        engine=table.Engine(
            slots=engine["slots"],
            cache_tokens=engine["kvCapacityTokens"],
            costs={
                each["name"]: float(each["cost"])
                for each in engine.get("models", ())
            },
        )
        if engine
        else None,
    )


def read_order(body: dict) -> message_types.RolloutOrder:
    """Convert an order to move a service to another version."""
    return message_types.RolloutOrder(
        service=_require_type(body["service"], str),
        version=_require_type(body["target"], str),
        duration_ms=float(body["durationS"]) * 1000.0,
    )


def decode_status(
    record: keyed_log.Record,
) -> message_types.RolloutStatus | None:
    """Decode a record of the statuses' topic; None if it is unusable."""
    service = record.key.removeprefix(ROLLOUT_PREFIX)
    if record.value is None or service == record.key:
        return None
    try:
        body = json.loads(record.value)
        state = ROLLOUT_STATES[body["state"]]
        return message_types.RolloutStatus(service, body["target"], state)
    except DECODE_ERRORS as fault:
        _log_unreadable(record, fault)
        return None


def encode_status(status: message_types.RolloutStatus) -> keyed_log.Record:
    """Encode a status; the inverse of ``decode_status``."""
    body = {
        "state": ROLLOUT_STATE_NAMES[status.state],
        "target": status.version,
    }
    return keyed_log.Record(
        ROLLOUT_PREFIX + status.service, json.dumps(body).encode()
    )


def _parse_number(value: typing.Any) -> float | None:
    """A finite, non-negative number; None for anything else."""
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        return None
    return float(value)


def _parse_rank(value: typing.Any) -> int | None:
    """The rank of a route or customer; None for anything but a number."""
    if type(value) not in (int, float) or not math.isfinite(value):
        return None
    return max(table.MOST_URGENT, min(table.LEAST_URGENT, int(value)))


def _require_type(value: typing.Any, kind: type) -> typing.Any:
    if type(value) is not kind:
        raise TypeError(f"{kind.__name__} expected")
    return value


def _require_count(body: dict, field: str, default: int) -> int:
    """A field that is a non-negative whole number, or the default."""
    value = _require_type(body.get(field, default), int)
    if value < 0:
        raise ValueError(f"{field} is negative")
    return value


def _log_unreadable(record: keyed_log.Record, fault: Exception) -> None:
    events.log_event(
        events.Event.ENTRY_UNREADABLE,
        key=record.key,
        offset=record.offset,
        fault=type(fault).__name__,
    )
