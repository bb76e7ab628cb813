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
from carawayward.forwarding import positions
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


def follow(written):
    """The revisions that a reader puts into force, one record at a time."""
    reader = make_reader()
    found = []
    for revision, position in written:
        record = make_good(revision)
        reader.apply(keyed_log.Record(record.key, record.value, position))
        assert reader.board.table is not None
        found.append(reader.board.table.revision)
    return found


@hypothesis.given(
    strategies.lists(strategies.integers(7, records.MAX_NUMBER), min_size=1)
)
def test_versions_that_are_too_high_hide_none_that_follow(too_high):
    """Guards against a number above those of all later versions."""
    revisions = [5, *too_high, 6, 7, 9]
    hypothesis.assume(not {7, 9}.intersection(too_high))
    written = [(each, place) for place, each in enumerate(revisions)]
    assert follow(written)[-3:] == [6, 7, 9]


@hypothesis.settings(max_examples=400)
@hypothesis.given(
    strategies.lists(strategies.booleans(), min_size=1, max_size=20),
    strategies.lists(strategies.integers(1, 9), min_size=20, max_size=20),
    strategies.data(),
)
def test_no_older_version_returns_however_a_store_is_restored(
    restores, steps, data
):
    """Guards against keys that work again once they have been taken away.

    A restored history has lost its last versions. Those may be written again,
    and writes without an answer may be done late.
    """
    histories, revision = [[(1, 0)]], 1
    shown = [(1, 0)]
    for restored, step in zip(restores, steps, strict=False):
        if restored:
            kept = data.draw(strategies.integers(1, len(histories[-1])))
            era = len(histories) * positions.OFFSETS_PER_ERA
            copy = [
                (each, era + place)
                for place, (each, _) in enumerate(histories[-1][:kept])
            ]
            histories.append(copy)
            shown.append(copy[-1])
            revision = max(copy)[0]
        revision += step
        history = histories[-1]
        history.append((revision, history[-1][1] + 1))
        shown.append(history[-1])
        if data.draw(strategies.booleans()):
            repeated = data.draw(strategies.sampled_from(shown))[0]
            shown.append((repeated, history[-1][1] + 1))
            history.append(shown[-1])
    found = follow(shown)
    assert found == sorted(found)
