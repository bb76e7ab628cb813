"""Decodes and encodes the records in the platform's store.

Records come from other programs: fields may be missing, of the wrong type or
out of range. All are checked here, so that what is decoded can be used
without further checks.
"""

import functools
import ipaddress
import json
import math
import typing

import attrs

from carawayward.decisions import version_history
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import table
from carawayward import record_isolation

CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
HISTORY_PREFIX = "versions/"
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

# Larger than any count or time in ms that a record can hold; floats represent
# all whole numbers up to it.
MAX_NUMBER = 2**53 - 1
# A key has up to 255 bytes, with its prefix.
MAX_KEY_PART_BYTES = 200

Decoded = typing.TypeVar("Decoded")


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
    if record.key == CONFIG_KEY:
        return _decode(record, read_table)
    if record.key.startswith(ROLLOUT_PREFIX):
        return _decode(record, read_order)
    return None


def decode_endpoint(
    record: keyed_log.Record,
) -> message_types.EndpointEntry | None:
    """Decode a record of the servers' topic; None if it is unusable."""
    return _decode(record, functools.partial(read_endpoint, record.key))


def read_endpoint(name: str, body: dict) -> message_types.EndpointEntry:
    """Convert the entry that an endpoint wrote under its name.

    One that lacks a field is another writer's: filled up with defaults, it
    would bring back an endpoint that has left.
    """
    _require_count(body["sequence"])
    born = body.get("born")
    return message_types.EndpointEntry(
        name=_require_header_text(name),
        service=_require_type(body["service"], str),
        address=_require_address(body["address"]),
        failure_domain=_require_type(body["zone"], str),
        version=_require_type(body["version"], str),
        slots=_require_count(body["slots"], minimum=1),
        leaving=LEAVING_BY_STATE[_require_type(body["state"], str)],
        born=None if born is None else _require_count(born),
        cold_ms=_require_number(body["coldRemainingMs"]),
    )


def read_table(body: dict) -> table.RoutingTable:
    """Convert a configuration to a routing table."""
    customers = {}
    tenants = _require_type(body.get("tenants", []), list)
    for tenant in tenants:
        customer = table.Customer(
            _require_header_text(tenant["name"]),
            _parse_rank(tenant.get("priority")),
        )
        for key in _require_type(tenant["apiKeys"], list):
            customers[_require_type(key, str)] = customer
    limits = body.get("limits", {})
    return table.RoutingTable(
        revision=_require_count(body["version"]),
        routes=tuple(map(read_route, _require_type(body["routes"], list))),
        services={
            service.name: service
            for service in map(
                read_service, _require_type(body["services"], list)
            )
        },
        customers_by_key=customers,
        keyed="tenants" in body,
        limits=table.CallerLimits(
            header_bytes=_require_count(limits.get("maxHeaderBytes", 16_384)),
            body_bytes=_require_count(limits.get("maxBodyBytes", 4_194_304)),
            header_ms=_require_time(limits.get("headerTimeoutMs", 3_000)),
            idle_ms=_require_time(limits.get("idleTimeoutMs", 15_000)),
        ),
    )


def read_route(body: dict) -> table.Route:
    """Convert a route, which names one service or splits over several."""
    split = body.get("split") or [{"service": body["service"], "weight": 1}]
    timeout_ms = _require_time(body["timeoutMs"])
    gap_target_ms = body.get("gapTargetMs")
    return table.Route(
        name=_require_type(body["name"], str),
        host=_require_type(body["host"], str),
        path_prefix=_require_type(body["pathPrefix"], str),
        kind=ROUTE_KINDS[_require_type(body["routeKind"], str)],
        targets=tuple(
            table.Target(
                _require_type(each["service"], str),
                _require_number(each["weight"]),
            )
            for each in split
        ),
        timeout_ms=timeout_ms,
        target_ms=_require_number(body.get("targetLatencyMs") or timeout_ms),
        max_attempts=_require_count(body.get("maxAttempts", 1)),
        priority=_parse_rank(body.get("priority")),
        anonymous=_require_flag(body, "anonymous"),
        affinity=_require_flag(body, "affinity"),
        resumable=_require_flag(body, "resumable"),
        gap_target_ms=(
            None if gap_target_ms is None else _require_number(gap_target_ms)
        ),
        models=tuple(map(_require_header_text, _parse_list(body, "sizes"))),
    )


def read_service(body: dict) -> table.Service:
    """Convert a service, with its engine settings if it has engines."""
    engine = body.get("engine")
    max_connections = body.get("maxConnections")
    return table.Service(
        name=_require_type(body["name"], str),
        health_path=_require_type(body.get("healthPath") or "", str),
        max_connections=(
            None
            if max_connections is None
            else _require_count(max_connections)
        ),
        cold_start_ms=1000.0 * (_parse_number(body.get("coldStartS")) or 0.0),
        cold_per_s=_parse_number(body.get("coldPerS")),
        engine=read_engine(engine) if engine else None,
    )


def read_engine(body: dict) -> table.Engine:
    """Convert the settings of a service's engines."""
    return table.Engine(
        slots=_require_count(body["slots"], minimum=1),
        cache_tokens=_require_count(body["kvCapacityTokens"], minimum=1),
        costs={
            _require_type(each["name"], str): _require_number(each["cost"])
            for each in _parse_list(body, "models")
        },
    )


def read_order(body: dict) -> message_types.RolloutOrder:
    """Convert an order to move a service to another version."""
    return message_types.RolloutOrder(
        service=_require_key_part(body["service"]),
        version=_require_type(body["target"], str),
        duration_ms=_require_number(body["durationS"]) * 1000.0,
    )


def decode_status(
    record: keyed_log.Record,
) -> message_types.RolloutStatus | message_types.ServiceHistory | None:
    """Decode a record of the statuses' topic; None if it is unusable."""
    if record.value is None:
        return None
    prefix, slash, service = record.key.partition("/")
    if prefix + slash == ROLLOUT_PREFIX:
        return _decode(record, functools.partial(read_status, service))
    if prefix + slash == HISTORY_PREFIX:
        return _decode(record, functools.partial(read_history, service))
    return None


def read_status(service: str, body: dict) -> message_types.RolloutStatus:
    """Convert the status of a service's roll-out."""
    return message_types.RolloutStatus(
        service,
        _require_type(body["target"], str),
        ROLLOUT_STATES[_require_type(body["state"], str)],
    )


def read_history(service: str, body: dict) -> message_types.ServiceHistory:
    """Convert what the earlier roll-outs of a service left."""
    kinds = {
        kind: tuple(
            _require_type(each, str)
            for each in _require_type(body[kind], list)
        )
        for kind in ("stable", "rejected", "undecided")
    }
    return message_types.ServiceHistory(
        service,
        _require_type(body["target"], str),
        version_history.History(**kinds),
    )


def encode_status(
    status: message_types.RolloutStatus | message_types.ServiceHistory,
) -> keyed_log.Record:
    """Encode a status or history; the inverse of ``decode_status``."""
    body: dict[str, object]
    if isinstance(status, message_types.ServiceHistory):
        body = {"target": status.version, **attrs.asdict(status.history)}
        return keyed_log.Record(
            HISTORY_PREFIX + status.service, json.dumps(body).encode()
        )
    body = {
        "state": ROLLOUT_STATE_NAMES[status.state],
        "target": status.version,
    }
    return keyed_log.Record(
        ROLLOUT_PREFIX + status.service, json.dumps(body).encode()
    )


def _decode(
    record: keyed_log.Record, read: typing.Callable[[dict], Decoded]
) -> Decoded | None:
    """Decode a record whose value is a JSON object; None if it cannot be."""

    def decode() -> Decoded | None:
        return read(_require_type(json.loads(record.value or b""), dict))

    return record_isolation.isolate(
        decode, None, key=record.key, offset=record.offset
    )


def _parse_number(value: typing.Any) -> float | None:
    """A finite, non-negative number; None for anything else."""
    if type(value) not in (int, float) or not 0 <= value <= MAX_NUMBER:
        return None
    return float(value)


def _parse_rank(value: typing.Any) -> int | None:
    """The rank of a route or customer; None for anything but a number."""
    if type(value) not in (int, float) or not -math.inf < value < math.inf:
        return None
    return int(max(table.MOST_URGENT, min(table.LEAST_URGENT, value)))


def _require_type(value: typing.Any, kind: type) -> typing.Any:
    """A value of a type; text that can be encoded, logged and sent."""
    if type(value) is not kind:
        raise TypeError(f"{kind.__name__} expected")
    if isinstance(value, str) and not value.isprintable():
        raise ValueError("text has characters that cannot be printed")
    return value


def _require_number(value: typing.Any) -> float:
    """A finite, non-negative number."""
    number = _parse_number(value)
    if number is None:
        raise ValueError("non-negative number expected")
    return number


def _require_time(value: typing.Any) -> float:
    """A time limit, in ms; one of zero would refuse every request."""
    time_ms = _require_number(value)
    if not time_ms:
        raise ValueError("time above zero expected")
    return time_ms


def _parse_list(body: dict, field: str) -> list:
    """A list; empty if it is missing or null."""
    value = body.get(field)
    return [] if value is None else _require_type(value, list)


def _require_flag(body: dict, field: str) -> bool:
    """A field that is true or false; false if it is missing or null."""
    value = body.get(field)
    return False if value is None else _require_type(value, bool)


def _require_count(value: typing.Any, minimum: int = 0) -> int:
    """A whole number that is not less than ``minimum``."""
    count = _require_type(value, int)
    if not minimum <= count <= MAX_NUMBER:
        raise ValueError("number is out of range")
    return count


def _require_header_text(value: typing.Any) -> str:
    """Text that can be sent as the value of a header."""
    text = _require_type(value, str)
    if not text or text != text.strip():
        raise ValueError("cannot be the value of a header")
    return text


def _require_key_part(value: typing.Any) -> str:
    """Text that can be a part of a record's key."""
    text = _require_type(value, str)
    if len(text.encode()) > MAX_KEY_PART_BYTES:
        raise ValueError("too long for a key")
    return text


def _require_address(value: typing.Any) -> str:
    """The IP address and port of an endpoint; names are not resolved."""
    address = _require_type(value, str)
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    if not port.isdecimal() or not port.isascii():
        raise ValueError("port is not a number")
    if not 0 < int(port) < 65536:
        raise ValueError("port is out of range")
    return address
