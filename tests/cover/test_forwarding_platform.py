"""Parsing of the platform's records, headers and settings, and metrics."""

import email.utils
import json
import pathlib
import re
import struct
import time
from unittest import mock

import hypothesis
from hypothesis import strategies
from nose2.tools import params
import trio
import yaml

from carawayward.decisions import retry_budget
from carawayward import errors
from carawayward import events
from carawayward.forwarding import daemon
from carawayward.forwarding import event_stream
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import metrics
from carawayward.forwarding import settings
from carawayward.forwarding import table
from carawayward.platform import entry
from carawayward.platform import headers
from carawayward.platform import records
from carawayward.platform import store
from tests.common import forwarding
from tests.soak import traffic
from tests.standins import backend

ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "north",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
STANDARD_HEADERS = (b"last-event-id", b"session", b"retry-after")
TEMPLATE_FIELDS = {
    "nodeName|json": '"edge-1"',
    "zone|json": '"north"',
    "listen.frontend|json": '"10.0.0.1:80"',
    "listen.ready|json": '"10.0.0.1:81"',
    "platform.address|json": '"10.0.0.9:90"',
    "ip": "10.0.0.1",
    "portRange.0": "7340",
    "bounds.revokeMs": "5000",
    "bounds.revokeFailClosed|json": "true",
    "bounds.drainMs": "2000",
    "bounds.configApplyMs": "2000",
    "bounds.rollbackMs": "5000",
    "bounds.retryBudgetRatio": "0.9",
    "bounds.retryBudgetSlack": "58",
    "bounds.exposureShare": "0.15",
    "bounds.exposureSlack": "30",
}


def record(key, value):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return keyed_log.Record(key, raw, 7)


def find_route(path, host=forwarding.HOST, routes=None):
    config = forwarding.make_config()
    config["routes"] = routes or config["routes"]
    found = records.decode_declaration(record("config", config))
    assert isinstance(found, table.RoutingTable)
    route = found.find_route(host, path)
    return route.name if route else None


def test_longest_prefix_of_the_host_wins():
    """A more specific route takes precedence over a general one."""
    base = forwarding.make_config()["routes"][0]
    routes = [
        {**base, "name": "all", "pathPrefix": "/"},
        {**base, "name": "deep", "pathPrefix": "/a/b/"},
        {**base, "name": "mid", "pathPrefix": "/a/"},
        {**base, "name": "other", "pathPrefix": "/a/b/c/", "host": "x"},
    ]
    assert find_route("/a/b/c/d", routes=routes) == "deep"
    assert find_route("/a/bb", routes=routes) == "mid"
    assert find_route("/a", routes=routes) == "all"
    assert find_route("/a", host="nowhere", routes=routes) is None


def test_route_that_is_split_keeps_its_shares():
    """A tenth of a route's requests go to another service."""
    config = forwarding.make_config()
    config["routes"][0]["split"] = [
        {"service": "desk", "weight": 90},
        {"service": "engines", "weight": 10},
    ]
    found = records.decode_declaration(record("config", config))
    assert isinstance(found, table.RoutingTable)
    assert [(t.service, t.weight) for t in found.routes[0].targets] == [
        ("desk", 90.0),
        ("engines", 10.0),
    ]
    chosen = [found.routes[0].choose_service(n / 100) for n in range(100)]
    assert chosen.count("desk") == 90


def test_rank_is_the_customers_before_the_routes():
    """Ranks that are missing, huge or no numbers must not stop a table."""
    for customer, route, rank in (
        (None, 3, 3),
        (1, 3, 1),
        (None, None, table.DEFAULT_RANK),
        (-7, 3, table.MOST_URGENT),
        (10**30, 3, table.LEAST_URGENT),
        ("2", True, table.DEFAULT_RANK),
        (float("nan"), [1], table.DEFAULT_RANK),
    ):
        body = traffic.make_config()
        body["tenants"][0]["priority"] = customer
        body["routes"][0]["priority"] = route
        found = records.read_table(body)
        assert rank == found.find_rank(
            found.routes[0], found.customers_by_key[traffic.KEY]
        )
        assert found.find_rank(found.routes[1], None) == 1


def test_target_without_weight_gets_nothing():
    """A service with weight 0 gets none of a route's requests."""
    config = forwarding.make_config()
    config["routes"][0]["split"] = [
        {"service": "desk", "weight": 0},
        {"service": "engines", "weight": 100},
    ]
    found = records.decode_declaration(record("config", config))
    assert isinstance(found, table.RoutingTable)
    chosen = {found.routes[0].choose_service(n / 50) for n in range(50)}
    assert chosen == {"engines"}


ANY_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from([*ENTRY, "routes", "x"]), inner, max_size=4
        )
    ),
    max_leaves=8,
)


@hypothesis.given(ANY_JSON | strategies.binary(max_size=40))
def test_no_record_of_another_writer_raises(value):
    """Arbitrary content of the store is ignored without an exception."""
    for key in ("config", "rollout/desk", "servers"):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        given_record = keyed_log.Record(key, raw)
        records.decode_declaration(given_record)
        records.decode_endpoint(given_record)
        records.decode_status(given_record)


@hypothesis.given(strategies.sampled_from(sorted(ENTRY)), ANY_JSON)
def test_entry_with_a_field_of_the_wrong_type_is_valid_or_ignored(
    field, value
):
    """An entry with a field of the wrong type is valid or ignored."""
    found = records.decode_endpoint(record("i-1", {**ENTRY, field: value}))
    if found is not None:
        assert type(found.service) is str
        assert type(found.slots) is int
        assert found.address.count(":") == 1
        assert found.born is None or type(found.born) is int


def test_headers_that_only_the_system_sets_are_dropped():
    """Callers cannot forge the headers that the system sends to endpoints."""
    forged = [
        (name, b"forged")
        for name in headers.SYSTEM_HEADERS - {headers.DEADLINE}
    ]
    sent = headers.write_request(
        [(b"x-mine", b"1"), *forged],
        message_types.DispatchMetadata(
            instance="i-1", remaining_ms=70.9, customer="ikeja"
        ),
    )
    found = {name.lower(): value for name, value in sent}
    assert b"forged" not in found.values()
    assert found[headers.CUSTOMER] == b"ikeja"
    assert found[headers.DEADLINE] == b"70"
    assert found[b"x-mine"] == b"1"


@hypothesis.given(
    strategies.binary(max_size=30), strategies.binary(max_size=30)
)
def test_odd_headers_are_read_as_far_as_they_can_be(tokens, prefix):
    """Malformed optional headers of callers are ignored."""
    found = headers.read_request(
        [
            (b"Carawayward-Attempt-Id", b"a"),
            (b"Carawayward-Token-Count", tokens),
            (b"Carawayward-Prefix-Hash", prefix),
            (b"Carawayward-Deadline-Ms", tokens),
            (b"Last-Event-Id", prefix),
        ]
    )
    assert found.request_id == "a"
    assert found.deadline_ms is None or found.deadline_ms >= 0


def test_prompt_parts_are_read_in_order():
    """The example in the published protocol."""
    found = headers.read_request(
        [
            (b"carawayward-attempt-id", b"9c41d07be2a35f68"),
            (b"carawayward-token-count", b"1460,80"),
            (b"carawayward-prefix-hash", b"5c1e07a2:800,91bd3f06:410,e4:250"),
        ]
    )
    assert (found.prompt_tokens, found.output_tokens) == (1460, 80)
    assert [part.tokens for part in found.prompt] == [800, 410, 250]


def test_records_survive_encoding_and_decoding():
    """Keys and values, and removed keys, survive encoding and decoding."""
    for each in (
        keyed_log.Record("rollout/desk", b'{"a": 1}'),
        keyed_log.Record("gone", None),
    ):
        raw = store.encode_record(each)
        (inner,) = store.split_records(raw)
        found = store.decode_record(inner, 3)
        assert (found.key, found.value) == (each.key, each.value)


def test_truncated_read_yields_only_whole_records():
    """An answer of the store that ends within a length field."""
    whole = struct.pack(">I", 3) + b"\x01ab"
    assert list(store.split_records(whole + b"\x00\x00")) == [b"\x01ab"]


@hypothesis.given(strategies.lists(strategies.integers(1, 9), max_size=12))
def test_events_are_whole_however_they_are_cut(lengths):
    """Engines and networks split a stream at arbitrary positions."""
    raw = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 7))
    splitter = event_stream.EventSplitter()
    found = []
    position = 0
    for length in [*lengths, len(raw)]:
        found += splitter.feed(raw[position : position + length])
        position += length
    assert b"".join(event.raw for event in found) == raw
    assert [event.number for event in found] == [1, 2, 3, 4, 5, 6]
    assert not splitter.pending


def test_event_that_never_ends_is_refused():
    """A broken endpoint sends an endless event; memory stays bounded."""
    splitter = event_stream.EventSplitter()
    try:
        for _ in range(3):
            splitter.feed(b"x" * 500_000)
    except event_stream.MalformedStream:
        return
    raise AssertionError("the oversized event was accepted")


SECTIONS = {"heartbeatMs": "1200", "limits.linkMbps": "5.0"}
COLD_SECTIONS = {
    "bounds.coldOvershoot": "1.5",
    "bounds.coldSlack": "5",
    "bounds.evacuateMs": "4000",
}
SECONDS_SECTIONS = {
    "bounds.sessionS": "8.5",
    "bounds.graceS": "8",
    "bounds.budgetWindowS": "12",
}


def fill_template(sections=SECTIONS, **changes):
    """Fill the settings template with values; drop sections without one."""

    def fill_section(found):
        value = sections.get(found[1])
        return found[2].replace("{{.}}", value) if value else ""

    text = pathlib.Path("deploy/settings.yaml").read_text()
    text = re.sub(
        r"{{#([\w.]+)}}(.*?){{/\1}}", fill_section, text, flags=re.DOTALL
    )
    for name, value in {**TEMPLATE_FIELDS, **changes}.items():
        text = text.replace("{{" + name + "}}", value)
    return text


def test_filled_template_gives_valid_settings():
    """The platform fills in the template at each start of a process."""
    text = fill_template()
    assert "{{" not in text
    found = settings.ForwardingSettings.from_config(text)
    assert found.listen.peers == "10.0.0.1:7340"
    assert found.bounds.key_lease_ms == 5000
    assert found.bounds.apply_ms == 2000
    assert found.bounds.retry_ratio == 0.9
    assert found.bounds.cold_slack == 0.0
    assert found.link_mbps == 5.0


def test_process_started_with_the_settings_of_the_first_start_has_no_slack():
    """A former process may have spent it, and the settings may be older."""
    text = fill_template(SECTIONS | {"bootstrap": "true"})
    found = settings.ForwardingSettings.from_config(text)
    made = daemon.ForwardingDaemon.from_config(found, entry.make_ports(found))
    placer = made.app.forwarder.placer
    budget = placer.find_budget("desk")
    budget.vms = 1
    assert not retry_budget.may_spend(budget, placer.clock.now_ms())


def test_bounds_of_cold_endpoints_reach_the_settings():
    """A deployment with cold endpoints bounds the requests to them."""
    text = fill_template(SECTIONS | COLD_SECTIONS)
    found = settings.ForwardingSettings.from_config(text).bounds
    assert (found.cold_overshoot, found.cold_slack) == (1.5, 5.0)
    assert found.evacuate_ms == 4000


def test_limits_of_the_machine_reach_the_settings():
    """Callers took the memory and the descriptors of all other uses."""
    text = fill_template(
        SECTIONS | {"limits.memoryMb": "300"}, **{"limits.maxFds": "4100"}
    )
    found = settings.ForwardingSettings.from_config(text).resources
    assert (found.memory_mb, found.descriptors) == (300.0, 4_100)


def test_bounds_in_seconds_reach_the_settings():
    """Sessions were pinned for the default time, not for the deployment's."""
    text = fill_template(SECTIONS | SECONDS_SECTIONS)
    found = settings.ForwardingSettings.from_config(text).bounds
    assert found.session_ms == 8_500.0
    assert found.grace_ms == 8_000.0
    assert found.retry_window_ms == 12_000.0


DEPLOYMENTS = yaml.safe_load(
    pathlib.Path("tests/common/deployment_bounds.yaml").read_text()
)
FIELDS = {
    "bounds.revokeMs": "key_lease_ms",
    "bounds.drainMs": "drain_ms",
    "bounds.configApplyMs": "apply_ms",
    "bounds.rollbackMs": "rollback_ms",
    "bounds.retryBudgetRatio": "retry_ratio",
    "bounds.retryBudgetSlack": "retry_slack",
    "bounds.exposureShare": "exposure_share",
    "bounds.exposureSlack": "exposure_slack",
    "bounds.coldOvershoot": "cold_overshoot",
    "bounds.coldSlack": "cold_slack",
    "bounds.evacuateMs": "evacuate_ms",
}


@params(*DEPLOYMENTS)
def test_settings_of_each_known_deployment_have_its_figures(name):
    """A figure that the template misses would have its default."""
    figures = {n: json.dumps(v) for n, v in DEPLOYMENTS[name].items()}
    sections = {n: v for n, v in figures.items() if n not in TEMPLATE_FIELDS}
    found = settings.ForwardingSettings.from_config(
        fill_template(sections, **figures)
    )
    for figure, value in DEPLOYMENTS[name].items():
        if figure in FIELDS:
            assert getattr(found.bounds, FIELDS[figure]) == value, figure
    assert found.heartbeat_ms == DEPLOYMENTS[name]["heartbeatMs"]
    seconds = DEPLOYMENTS[name]["bounds.sessionS"]
    assert found.bounds.session_ms == 1_000.0 * seconds


# Each figure that the platform fills into the template, except addresses.
FIGURES = (
    "bounds.revokeMs",
    "bounds.drainMs",
    "bounds.configApplyMs",
    "bounds.rollbackMs",
    "bounds.retryBudgetRatio",
    "bounds.retryBudgetSlack",
    "bounds.exposureShare",
    "bounds.exposureSlack",
    "bounds.coldOvershoot",
    "bounds.coldSlack",
    "bounds.evacuateMs",
    "heartbeatMs",
    "bounds.sessionS",
    "bounds.graceS",
    "bounds.budgetWindowS",
)


def read_settings_with(**figures):
    """Fill the template with ``figures`` and read it."""
    sections = SECTIONS | COLD_SECTIONS | SECONDS_SECTIONS
    changes = {n: v for n, v in figures.items() if n not in sections}
    sections |= {n: v for n, v in figures.items() if n in sections}
    return settings.ForwardingSettings.from_config(
        fill_template(sections, **changes)
    )


@params(*FIGURES)
def test_entry_vm_starts_with_any_figure_of_an_unseen_deployment(name):
    """A fractional bound kept all entry VMs of a deployment from starting."""
    for text in ("37.91666666666667", "38.0", "0", "1e3", "1.5e+3", "1000000"):
        read_settings_with(**{name: text})


@params(*FIGURES)
def test_figure_that_is_no_usable_number_is_refused_by_name(name):
    for text in ("-1", ".nan", ".inf", "1e999", "soon", "[1]", "true"):
        try:
            read_settings_with(**{name: text})
        except errors.SettingsError as fault:
            assert "bounds." in str(fault) or "heartbeat_ms" in str(fault)
        else:
            raise AssertionError(f"{name}: {text} was accepted")


@params(*FIGURES[:8])
def test_figure_without_a_value_keeps_its_default(name):
    """A deployment may have no figure for what it does not use."""
    default = settings.Bounds()
    with mock.patch.object(events, "log_event") as log_event:
        found = read_settings_with(**{name: ""}).bounds
    field = log_event.call_args.kwargs["field"].removeprefix("bounds.")
    assert getattr(found, field) == getattr(default, field)


@hypothesis.given(
    strategies.sampled_from(FIGURES),
    strategies.floats(0.0, allow_infinity=False, allow_nan=False),
)
@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
def test_any_finite_figure_makes_an_entry_vm(name, value):
    """Values that no deployment had before reach the daemon's parts."""
    try:
        found = read_settings_with(**{name: repr(value)})
    except errors.SettingsError as fault:
        # In seconds, it exceeds the range of a float in ms.
        assert value > 1e300 and name in FIGURES[-3:], str(fault)
        return
    daemon.ForwardingDaemon.from_config(found, entry.make_ports(found))


def test_bad_settings_name_the_field_and_the_remedy():
    """The platform fills in an empty value, or one of the wrong type."""
    for changes, field in (
        ({"listen.frontend|json": ""}, "callers"),
        ({"listen.ready|json": '"nowhere"'}, "listen.readiness"),
        ({"bounds.revokeMs": '"soon"'}, "key_lease_ms"),
        ({"bounds.drainMs": "-1"}, "bounds.drain_ms"),
        ({"nodeName|json": '""'}, "name"),
    ):
        try:
            settings.ForwardingSettings.from_config(fill_template(**changes))
        except errors.SettingsError as fault:
            assert field in str(fault), str(fault)
        else:
            raise AssertionError(f"{changes} was accepted")


def test_platform_names_occur_in_its_package_only():
    """Names of the platform's protocol occur only in its own package.

    Everything else uses the product's own terms, so that another platform
    needs another package and nothing else.
    """
    names = {
        value.decode()
        for value in vars(headers).values()
        if isinstance(value, bytes) and value not in STANDARD_HEADERS
    } | {name.decode() for name in headers.SYSTEM_HEADERS}
    # The product's own API speaks of deadlines under the same name.
    names -= {headers.DEADLINE.decode()}
    whole = "|".join(map(re.escape, names))
    others = r"keyed\.|/api/log-|heartbeatMs|pathPrefix|routeKind|apiKeys"
    words = re.compile(rf"(?i:(?:{whole})(?![a-z-]))|{others}")
    for path in pathlib.Path("src").rglob("*.py"):
        if "platform" in path.parts:
            continue
        found = words.findall(path.read_text())
        assert not found, f"{path}: {found}"


def test_names_on_the_metrics_page_are_bounded():
    """With hundreds of routes the number of series stays bounded."""
    counted = metrics.Metrics()
    for number in range(2 * metrics.MAX_COUNTERS):
        counted.count("requests", route=f"r-{number}", status="200")
        counted.observe("answer", 12.0, route=f"r-{number}")
    assert len(counted.counters) == metrics.MAX_COUNTERS + 1
    assert len(counted.latencies) <= metrics.MAX_HISTOGRAMS + 1
    page = metrics.render_page(counted, {"ready": 1.0}).decode()
    assert 'carawayward_answer_ms{route="r-1",quantile="0.99"} 12' in page
    assert "carawayward_ready 1" in page


def test_answer_on_a_closing_connection_counts_as_delivered():
    """Logs and counters reported served requests as "caller left".

    Cause: a connection that closes after its answer was mistaken for a caller
    that gives up.
    """

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as deployment:
            for _ in range(3):
                answer = await deployment.call(
                    "GET", "/look/", connection="close"
                )
                assert answer.status == 200
            wanted = 'carawayward_requests_total{route="look",status="200"} 3'
            found = deployment.daemon.app.metrics
            await deployment.wait_for(
                lambda: wanted in metrics.render_page(found, {}).decode()
            )

    trio.run(main)


def test_metrics_are_served():
    """The platform scrapes the metrics page every few seconds."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk) as deployment:
            page = metrics.render_page(
                deployment.daemon.app.metrics,
                metrics.collect_gauges(
                    deployment.daemon.board, deployment.daemon.clock.boot_ms()
                ),
            )
        assert b"carawayward_table_revision 1" in page

    trio.run(main)


def test_request_limit_of_an_endpoint_is_read_from_its_response():
    """A limit that cannot be read neither sets nor lifts one."""

    def read(*values):
        pairs = [(b"Server-Limit", value) for value in values]
        return headers.read_response(200, pairs)

    assert read(b"1.3").request_limit == 1.3
    assert read(b"0").request_limit == 0.0
    assert read(b"1e300").request_limit == 1e300
    assert read(b"3", b"x", b"2").request_limit == 2.0
    for value in (b"many", b"", b"-1", b"nan"):
        assert read(value).request_limit is None
        assert read(value).limit_malformed
    assert read().request_limit is None
    assert not read().limit_malformed
    other = headers.read_response(421, [(b"Server-Limit", b"1")])
    assert other.request_limit is None
    assert not other.signed


def test_endpoint_that_leaves_is_recognised_by_its_response():
    """Another process at its address does not speak for it."""

    def read(value, status=200):
        pairs = [(b"Server-Leaving", value)]
        return headers.read_response(status, pairs).leaving

    assert read(b"1")
    assert read(b"1", 503)
    assert not read(b"0")
    assert not read(b"")
    assert not read(b"1", 421)
    assert not headers.read_response(200, []).leaving


def test_pause_that_an_endpoint_asks_for_is_read_from_its_response():
    """An unreadable time must not keep requests away for ever."""

    def read(value, status=503):
        pairs = [(b"Retry-After", value)]
        return headers.read_response(status, pairs).rest_ms

    assert read(b"3") == 3_000.0
    assert read(b"0.25", 429) == 250.0
    assert read(b"3", 200) == 0.0
    for value in (b"", b"-1", b"nan", b"inf", b"soon", b"Thu, 01 Jan 1970"):
        assert read(value) == 0.0
    assert read(b"Thu, 01 Jan 1970 00:00:00 GMT") == 0.0
    date = email.utils.formatdate(time.time() + 100.0, usegmt=True)
    assert 90_000.0 < read(date.encode()) < 110_000.0


ODD_VALUES = strategies.binary(max_size=20) | strategies.sampled_from(
    [b"nan", b"inf", b"1e400", b"-1", b"\xb2", b"9" * 5_000, b"1_0", b"1,1"]
    + [b"Mon, 01 Jan 99999 00:00:00 GMT", b"Mon, 01 Jan 2020 00:00:00 +9999"]
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [headers.SERVER_LIMIT, headers.RETRY_AFTER]
                + [headers.CONFIDENCE, headers.SERVER_LEAVING]
            ),
            ODD_VALUES,
        ),
        max_size=4,
    ),
    strategies.sampled_from([200, 421, 429, 503]),
)
def test_odd_headers_of_an_endpoint_give_finite_numbers(pairs, status):
    """Guards against an endpoint whose header makes a request fail."""
    found = headers.read_response(status, pairs)
    for number in (found.confidence, found.request_limit, found.rest_ms):
        assert number is None or 0.0 <= number < float("inf")
