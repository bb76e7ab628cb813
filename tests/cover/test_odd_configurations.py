"""Versions of the configuration with odd values."""

import copy
import json
import math
import typing

import hypothesis
from hypothesis import strategies

from carawayward.forwarding import board as board_module
from carawayward.forwarding import declarations
from carawayward.forwarding import keyed_log
from carawayward.platform import records
from tests.common import forwarding
from tests.common import odd_json

SHORT_TIMES = [0, 0.0, -1, -0.5, math.nan, math.inf, 10**400, 1e300, True]


def list_paths(value, path=()):
    """The paths to all values in a configuration."""
    yield path
    if isinstance(value, dict):
        items: typing.Any = value.items()
    else:
        items = enumerate(value) if isinstance(value, list) else ()
    for key, each in items:
        yield from list_paths(each, (*path, key))


PATHS = [path for path in list_paths(forwarding.make_config()) if path]


def make_odd(path, odd):
    """A configuration with one odd value."""
    config = copy.deepcopy(forwarding.make_config(5))
    inner = config
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = odd
    return keyed_log.Record("config", json.dumps(config).encode(), 5)


def make_good(version):
    config = forwarding.dump(forwarding.make_config(version))
    return keyed_log.Record("config", config, version)


def make_reader():
    board = board_module.ForwardingBoard(name="vm", failure_domain="north")
    return declarations.DeclarationReader(board, records.decode_declaration)


@hypothesis.settings(max_examples=400)
@hypothesis.given(
    strategies.sampled_from(PATHS),
    odd_json.ANY_JSON
    | strategies.sampled_from(["", [], {}, None, 2**53, 1e300]),
)
def test_later_version_is_followed_whatever_one_holds(path, odd):
    """Guards against a version number above those of all later versions."""
    newer = type(odd) is int and 6 <= odd <= records.MAX_NUMBER
    hypothesis.assume(path != ("version",) or not newer)
    reader = make_reader()
    for each in (make_good(4), make_odd(path, odd), make_good(6)):
        reader.apply(each)
    assert reader.board.table == records.decode_declaration(make_good(6))


@hypothesis.given(
    strategies.sampled_from(
        [("routes", 0, "timeoutMs")]
        + [("limits", f"{name}TimeoutMs") for name in ("header", "idle")]
    ),
    strategies.sampled_from(SHORT_TIMES),
)
def test_version_with_a_time_that_serves_nobody_is_unusable(path, odd):
    """Guards against requests that time out as soon as they arrive."""
    assert records.decode_declaration(make_odd(path, odd)) is None


@hypothesis.given(
    strategies.sampled_from(
        [("routes",), ("services",), ("routes", 2, "sizes")]
        + [("services", 1, "engine", "models")]
    ),
    strategies.sampled_from(["", "x", {}, {"a": 1}, 0, True]),
)
def test_version_without_a_list_where_one_belongs_is_unusable(path, odd):
    """Guards against a version that takes all routes out of service."""
    assert records.decode_declaration(make_odd(path, odd)) is None
