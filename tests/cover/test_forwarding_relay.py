"""Messages, border and path tracking of requests relayed for peers."""

import attrs
import cbor2
from hypothesis import given
from hypothesis import strategies
import trio

from carawayward import clock as clock_module
from carawayward.forwarding import attempt
from carawayward.forwarding import board as board_module
from carawayward.forwarding import fleet
from carawayward.forwarding import hops
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import metrics
from carawayward.forwarding import relay_messages
from carawayward.forwarding import relay_server
from carawayward.forwarding import service_paths
from carawayward.forwarding import table
from carawayward.platform import headers
from tests.soak import partitioned

PEER = "10.0.0.2"
RELAYED = relay_messages.RelayedRequest(
    endpoint="desk-0",
    born=7,
    service="desk",
    request_id="0042",
    customer="ikeja",
    key="key-of-ikeja",
    remaining_ms=900.0,
    silence_ms=None,
    forwarded=attempt.ForwardedRequest(
        method=b"POST",
        target=b"/log/1?a=b",
        headers=[(b"Host", b"swap.example")],
        body=b"parcel",
    ),
)
Outcome = relay_messages.RelayOutcome


def make_entry(name="desk-0", born=7):
    return message_types.EndpointEntry(
        name=name,
        service="desk",
        address=f"127.0.0.1:{name[-1]}",
        failure_domain="north",
        born=born,
    )


def make_board(*entries):
    board = board_module.ForwardingBoard(name="edge", failure_domain="north")
    board.state = board_module.State.READY
    board.endpoints = {entry.name: entry for entry in entries}
    board.generation += 1
    board.table = table.RoutingTable(
        revision=1,
        routes=(),
        services={},
        customers_by_key={"key-of-ikeja": table.Customer("ikeja")},
        limits=table.CallerLimits(),
        keyed=True,
    )
    board.table_as_of_ms = float("inf")
    return board


def make_paths(board, connects=False):
    async def probe(address):
        return connects

    return service_paths.ServicePaths(
        board, clock_module.Clock(), lambda: None, probe
    )


def make_server(*entries):
    board = make_board(*entries)
    clock = clock_module.Clock()
    return relay_server.RelayServer(
        board,
        clock,
        headers.DIALECT,
        fleet.Fleet(board, clock),
        make_paths(board, connects=True),
        metrics.Metrics(),
        lambda: {PEER},
    )


def call(server, body=b"", method="POST", client=PEER, path=b"/relay"):
    """Make a request of a peer; return the status, outcome and body."""
    sent = []

    async def receive():
        if body is None or sent_body:
            await trio.sleep_forever()
        sent_body.append(body)
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(event):
        sent.append(event)

    sent_body: list[bytes] = []
    scope = {
        "type": "http",
        "method": method,
        "raw_path": path,
        "client": (client, 4711),
    }
    trio.run(server, scope, receive, send)
    answer = b"".join(e.get("body", b"") for e in sent[1:])
    outcome = relay_messages.read_outcome(sent[0]["headers"])
    return sent[0]["status"], outcome, answer


def test_only_known_entry_vms_are_served():
    """A caller must not use an entry VM as an open proxy."""
    server = make_server(make_entry())
    assert call(server, RELAYED.to_bytes(), client="10.0.0.9")[0] == 403
    assert call(server, method="GET", client="10.0.0.9")[0] == 403
    assert call(server, method="GET")[0] == 204


def test_malformed_relayed_request_is_declined():
    """A peer of another version sends fields that this one does not know."""
    server = make_server(make_entry())
    for body in (b"", b"\xff", cbor2.dumps([1, 2, 3]), cbor2.dumps("text")):
        assert call(server, body)[1] is Outcome.DECLINED
        assert call(server, body, path=b"/probe")[0] == 400


def test_relayed_request_for_an_unknown_endpoint_is_declined():
    """This entry VM lists another process under the name, or none."""
    for server in (make_server(), make_server(make_entry(born=8))):
        assert call(server, RELAYED.to_bytes())[1] is Outcome.DECLINED


def test_relayed_request_with_another_customers_key_is_declined():
    """The customer is what the key says, not what the peer says."""
    relayed = attrs.evolve(RELAYED, customer="lekki")
    server = make_server(make_entry())
    assert call(server, relayed.to_bytes())[1] is Outcome.DECLINED


def test_endpoint_that_leaves_is_named_unusable():
    """The peer has not read the registry since."""
    server = make_server(attrs.evolve(make_entry(), leaving=True))
    assert call(server, RELAYED.to_bytes())[1] is Outcome.UNUSABLE


def test_entry_vm_without_a_path_or_room_is_unavailable():
    """The peer asks another one, also for its next requests."""
    server = make_server(make_entry())
    server.board.open_relays = relay_server.MAX_OPEN_RELAYS
    assert call(server, RELAYED.to_bytes())[1] is Outcome.UNAVAILABLE
    server.board.open_relays = 0
    server.board.state = board_module.State.LEAVING
    assert call(server, RELAYED.to_bytes())[1] is Outcome.UNAVAILABLE
    server.board.state = board_module.State.READY
    server.paths.record_unreached(make_entry(), 1.0)
    assert call(server, RELAYED.to_bytes())[1] is Outcome.UNAVAILABLE


def test_probe_tells_whether_this_entry_vm_connects():
    """It cannot tell of endpoints that it does not know or has lost."""
    asked = relay_messages.ProbeRequest(endpoint="desk-0", born=7).to_bytes()
    server = make_server(make_entry())

    def probe():
        body = call(server, asked, path=b"/probe")[2]
        return relay_messages.decode_probe_reply(body)

    assert probe() is True
    server.paths.record_unreached(make_entry(), 1.0)
    assert probe() is None
    server = make_server()
    assert probe() is None


def test_endpoint_cannot_forge_the_outcome_of_a_relay():
    """Its headers of that name are dropped at the peer."""
    kept = hops.select_response_headers(
        [(b"X-Relay-Outcome", b"declined"), (b"a", b"b")], frozenset()
    )
    assert kept == [(b"a", b"b")]
    assert relay_messages.read_outcome([(b"x-relay-outcome", b"?")]) is None


@given(
    strategies.builds(
        relay_messages.RelayedRequest,
        endpoint=strategies.text(),
        born=strategies.none() | strategies.integers(0, 2**60),
        service=strategies.text(),
        request_id=strategies.text(),
        customer=strategies.text(),
        key=strategies.text(),
        remaining_ms=strategies.floats(0, 1e9),
        silence_ms=strategies.none() | strategies.integers(0, 10**6),
        forwarded=strategies.builds(
            attempt.ForwardedRequest,
            method=strategies.binary(),
            target=strategies.binary(),
            headers=strategies.lists(
                strategies.tuples(strategies.binary(), strategies.binary())
            ),
            body=strategies.binary(),
        ),
    )
)
def test_relayed_request_is_decoded_as_it_was_encoded(relayed):
    """Whatever bytes a caller's headers and body have."""
    decoded = relay_messages.RelayedRequest.from_bytes(relayed.to_bytes())
    assert decoded == relayed


def test_reports_say_nothing_while_no_path_is_lost():
    """Datagrams are as long as before on a day without partitions."""
    paths = make_paths(make_board(make_entry()))
    paths.record_connected("desk")
    assert not paths.describe()


def test_peer_counts_as_cut_off_while_its_report_is_valid():
    """It says so until its path is back; reports may be lost."""
    paths = make_paths(make_board())
    lost = [load_report_messages.hash_name("desk")]
    paths.merge("edge-1/abc", lost, 1_000.0)
    assert paths.is_lost_by("edge-1", "desk")
    assert not paths.is_lost_by("edge-1", "matcher")
    assert not paths.is_lost_by("edge-2", "desk")
    paths.merge("edge-1/abc", lost, -1.0)
    assert not paths.is_lost_by("edge-1", "desk")


def test_probes_find_the_path_back_though_an_endpoint_is_down():
    """The endpoints are probed in turn."""
    entries = [make_entry(f"desk-{number}") for number in range(4)]
    board = make_board(*entries)
    clock = clock_module.Clock()

    async def probe(address):
        return address == entries[3].address

    async def main():
        paths = service_paths.ServicePaths(board, clock, lambda: None, probe)
        for entry in entries:
            paths.record_unreached(entry, clock.now_ms())
        assert paths.list_lost() == ["desk"]
        async with trio.open_nursery() as nursery:
            await paths.start(nursery)
            with trio.fail_after(3.5):
                while paths.is_lost("desk"):
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_probe_tells_refused_connections_from_silent_ones():
    """Silence is no crash: a partition looks the same."""
    refusing, kept_refusing = partitioned.make_refusing_address()
    hanging, kept_hanging = partitioned.make_hanging_address()

    async def probe(address):
        return await service_paths.try_to_connect(f"{address[0]}:{address[1]}")

    async def probe_accepting():
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        async with listener:
            return await probe(listener.socket.getsockname())

    assert trio.run(probe_accepting) is True
    assert trio.run(probe, refusing) is False
    assert trio.run(probe, hanging) is None
    for each in (*kept_refusing, *kept_hanging):
        each.close()


def test_service_whose_endpoints_have_left_is_no_longer_lost():
    """Nothing is left to probe, and the gauge would stay up for good."""

    async def main():
        board = make_board(make_entry())
        paths = make_paths(board)
        paths.record_unreached(make_entry(), 1.0)
        assert paths.list_lost() == ["desk"]
        board.endpoints = {}
        async with trio.open_nursery() as nursery:
            await paths.start(nursery)
            with trio.fail_after(2.5):
                while paths.list_lost():
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    trio.run(main)
