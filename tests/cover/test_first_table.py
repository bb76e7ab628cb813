"""What an entry VM does before its first table is known to be current."""

import types
import typing

from carawayward.forwarding import app
from carawayward.forwarding import board as board_module
from carawayward.forwarding import declarations
from carawayward.forwarding import feed
from carawayward.forwarding import freshness
from carawayward.forwarding import keyed_log
from carawayward.forwarding import metrics
from carawayward.forwarding import store_outages
from carawayward.platform import records
from tests.common import clocks
from tests.common import forwarding


def make_board():
    return board_module.ForwardingBoard(name="vm", failure_domain="north")


def make_record(version):
    value = forwarding.dump(forwarding.make_config(version))
    return keyed_log.Record("config", value, version)


def test_table_that_follows_an_empty_list_can_be_relied_on_at_once():
    """Guards against an entry VM that is not ready once it has a table.

    A delegate passed it on; the next confirmation came up to 0.4 s later.
    """
    board = make_board()
    reader = declarations.DeclarationReader(board, records.decode_declaration)
    reader.replace([])
    reader.mark_current(1_000.0)
    reader.apply(make_record(1))
    assert board.is_key_lease_valid(1_100.0)
    assert board.compute_table_age_ms(1_100.0) == 100


def test_refusals_and_metrics_before_the_table_is_current():
    """Guards against 500 in place of a refusal right after a start."""
    board = make_board()
    assert board.compute_table_age_ms(5.0) is None
    reader = declarations.DeclarationReader(board, records.decode_declaration)
    reader.apply(make_record(1))
    assert board.compute_table_age_ms(5.0) is None
    fake: typing.Any = types.SimpleNamespace(
        board=board,
        clock=types.SimpleNamespace(boot_ms=lambda: 5.0),
        metrics=metrics.Metrics(),
        dialect=types.SimpleNamespace(find_id=lambda headers: "x"),
    )
    refusal = app.Refused(404, "no such route")
    app.ForwardingApp._log_refusal(fake, {"headers": []}, refusal)
    gauges = metrics.collect_gauges(board, 5.0)
    assert gauges["table_revision"] == 1
    assert "table_age_ms" not in gauges


def test_delegate_attests_nothing_before_its_list_is_complete():
    """Guards against an exception at the query of a client."""
    outages = store_outages.OutageTracker(clocks.TrioClock())
    fake: typing.Any = None
    followed = feed.TopicFeed(
        "declarations",
        fake,
        outages.clock,
        outages,
        lambda records: None,
        lambda record: None,
    )
    followed._apply_batch(keyed_log.Batch([], 3, complete=False))
    assert followed.get_position() == 3
    sent: list[bytes] = []
    reporter: typing.Any = types.SimpleNamespace(
        send=lambda name, data: sent.append(data),
        add_handler=lambda kind, handler: None,
    )
    controller = freshness.FreshnessController(
        make_board(), outages.clock, reporter
    )
    controller.topics["declarations"] = followed
    controller._send_report(
        "client", freshness.Client(1, 0.0, {}), ("declarations",)
    )
    assert not sent
