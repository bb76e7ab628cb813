"""Types and ranges of what is decoded from the store's records."""

import json
import types
import typing

import attrs
import hypothesis
from hypothesis import strategies

from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import table
from carawayward.platform import records
from carawayward.platform import store as store_module
from tests.common import forwarding
from tests.common import odd_json

ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:1",
    "zone": "north",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
}


def assert_typed(value, expected):
    """Assert that a decoded value has the type that its class declares."""
    origin, arguments = typing.get_origin(expected), typing.get_args(expected)
    if origin is typing.Union or origin is types.UnionType:
        assert any(is_typed(value, each) for each in arguments), value
    elif origin is tuple:
        assert type(value) is tuple
        for each in value:
            assert_typed(each, arguments[0])
    elif origin is not None:
        for key, each in value.items():
            assert_typed(key, arguments[0])
            assert_typed(each, arguments[1])
    elif attrs.has(expected):
        assert type(value) is expected
        hints = typing.get_type_hints(expected)
        for field in attrs.fields(expected):
            if field.init:
                assert_typed(getattr(value, field.name), hints[field.name])
    else:
        assert type(value) is expected, (value, expected)
        if expected is str:
            value.encode()
        if expected is float:
            assert 0.0 <= value < float("inf")


def is_typed(value, expected):
    try:
        assert_typed(value, expected)
    except AssertionError:
        return False
    return True


CONFIG = forwarding.make_config()
PATHS = (
    [("tenants", 0, name) for name in ("name", "apiKeys", "priority")]
    + [("routes", 2, name) for name in CONFIG["routes"][2]]
    + [("routes", 2, "split"), ("routes", 2, "unknown")]
    + [("services", 1, name) for name in CONFIG["services"][1]]
    + [("services", 1, name) for name in ("coldStartS", "coldPerS")]
    + [("services", 1, "engine", name) for name in forwarding.ENGINE]
    + [("services", 1, "engine", "models", 0, n) for n in ("name", "cost")]
    + [("limits", name) for name in CONFIG["limits"]]
    + [(name,) for name in CONFIG]
)


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.sampled_from(PATHS), odd_json.ANY_JSON)
def test_decoded_configuration_has_the_types_that_its_users_expect(
    path, value
):
    """Guards against a value that only raises where it is used."""
    config = json.loads(json.dumps(CONFIG))
    parent = config
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    record = keyed_log.Record("config", json.dumps(config).encode(), 7)
    found = records.decode_declaration(record)
    if found is not None:
        assert_typed(found, table.RoutingTable)


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    strategies.sampled_from(
        ["service", "target", "durationS", "state", "slots", "address"]
        + ["zone", "version", "born", "coldRemainingMs"]
    ),
    odd_json.ANY_JSON,
)
def test_decoded_entry_order_and_status_have_the_expected_types(field, value):
    """Guards against a value that only raises where it is used."""
    order = {"service": "desk", "target": "v2", "durationS": 5}
    status = {"state": "completed", "target": "v2"}
    for kind, decode, key, body in (
        (
            message_types.EndpointEntry,
            records.decode_endpoint,
            "a",
            ENTRY,
        ),
        (
            message_types.RolloutOrder,
            records.decode_declaration,
            "rollout/desk",
            order,
        ),
        (
            message_types.RolloutStatus,
            records.decode_status,
            "rollout/desk",
            status,
        ),
    ):
        raw = json.dumps({**body, field: value}).encode()
        found = decode(keyed_log.Record(key, raw, 7))
        if found is not None:
            assert_typed(found, kind)


@hypothesis.given(
    strategies.sampled_from([*sorted(ENTRY), "born"]),
    strategies.sampled_from([None, True, 1.5, -1, 2**60, "x", "", [], {}]),
)
def test_entry_with_a_field_missing_or_odd_names_no_endpoint(field, value):
    """An entry of another writer brought back an endpoint that had left."""

    def decode(entry):
        raw = json.dumps(entry).encode()
        return records.decode_endpoint(keyed_log.Record("a", raw, 7))

    assert decode(ENTRY) is not None
    assert decode({**ENTRY, "born": 1_700_000_000_000}) is not None
    if field != "born":
        rest = {name: ENTRY[name] for name in ENTRY if name != field}
        assert decode(rest) is None
    is_text = type(value) is str and field in ("service", "zone", "version")
    is_time = value == 1.5 and field == "coldRemainingMs"
    is_left_out = value is None and field == "born"
    assert (decode({**ENTRY, field: value}) is not None) == (
        is_text or is_time or is_left_out
    )


def test_names_that_cannot_be_sent_in_a_header_name_no_endpoint():
    """Guards against a failure of each request that is sent to an endpoint."""
    for key in ("", " a", "a\r\nx: y", "a\x00", "\x7f"):
        record = keyed_log.Record(key, json.dumps(ENTRY).encode(), 7)
        assert records.decode_endpoint(record) is None


@hypothesis.given(
    strategies.text() | strategies.sampled_from(["\ud800", "x" * 300])
)
def test_status_of_any_order_can_be_written(service):
    """Guards against roll-outs that all stand still at a foreign order."""
    body = {"service": service, "target": "v2", "durationS": 5}
    record = keyed_log.Record("rollout/x", json.dumps(body).encode(), 7)
    order = records.decode_declaration(record)
    if order is not None:
        assert isinstance(order, message_types.RolloutOrder)
        state = message_types.RolloutState.RUNNING
        status = message_types.RolloutStatus(order.service, "v2", state)
        store_module.encode_record(records.encode_status(status))
