"""What load reports cost when much has to be told: 76 entry VMs."""

import types
import typing

import cbor2
from nose2.tools import params

from carawayward import clock as clock_module
from carawayward.forwarding import crashing_parts
from carawayward.forwarding import report_channels
from carawayward.forwarding import suspects
from carawayward.forwarding import work_items

VMS = 76
CRASHED_ENGINES = 35
RUNS_PER_ENGINE = 4
PEERS_PER_REPORT = 16
REPORT_INTERVAL_MS = 400.0
# No report takes a multiple of a millisecond, so that ages are rounded.
REPORT_TAKES_MS = 7.3
HOT, COLD = "0000" + "0a" * 6, "0000{:012x}"


class Network:
    """Entry VMs that report on their parts and suspects in turn."""

    def __init__(self, vms: int) -> None:
        self.clock = clock_module.ManualClock(10_000_000.0)
        self.reported_soon = 0
        self.described = 0
        used = typing.cast(typing.Any, self.clock)
        find_state: typing.Any = None
        self.parts = [
            crashing_parts.CrashingParts(used, self.report_soon)
            for _ in range(vms)
        ]
        self.suspects = [
            suspects.SuspectRequests(used, each, self.report_soon, find_state)
            for each in self.parts
        ]

    def report_soon(self) -> None:
        self.reported_soon += 1

    def crash(self, vm: int, engine: int, number: int) -> None:
        """One run of ``vm`` breaks off as an engine crashes."""
        content = f"{engine:08x}{number:08x}"
        parts = (HOT, COLD.format(100 * engine + number))
        self.parts[vm].record_crash(content, parts, str(engine), 5)
        self.suspects[vm].add_crash(content, str(engine), 5)

    def answer(self, vm: int, *parts: str) -> None:
        now_ms = self.clock.now_ms()
        answer = work_items.AnswerProgress(now_ms, now_ms)
        work: typing.Any = types.SimpleNamespace(
            shared_parts=parts,
            progress=work_items.Progress(0.0, answer=answer),
        )
        self.parts[vm].record_answer(work)

    def exchange(self, rounds: int) -> None:
        """All report to the next peers, once in each interval."""
        for turn in range(rounds):
            values = [
                cbor2.dumps([each.describe(), other.describe()])
                for each, other in zip(self.parts, self.suspects, strict=True)
            ]
            self.clock.advance(REPORT_TAKES_MS)
            count = min(PEERS_PER_REPORT, len(values) - 1)
            for sender, value in enumerate(values):
                for step in range(count):
                    first = sender + 1 + turn * count
                    peer = (first + step) % len(values)
                    parts, suspected = cbor2.loads(value)
                    if parts and peer != sender:
                        self.parts[peer].merge("edge/a", parts, 3_000.0)
                    if suspected and peer != sender:
                        self.suspects[peer].merge("e/a", suspected, 3_000.0)
            self.clock.advance(REPORT_INTERVAL_MS - REPORT_TAKES_MS)


def test_crashes_of_many_engines_are_not_reported_soon_by_all():
    """Each entry VM that learned of one sent all peers a report at once."""
    network = Network(VMS)
    for engine in range(CRASHED_ENGINES):
        for number in range(RUNS_PER_ENGINE):
            vm = (engine * RUNS_PER_ENGINE + number) % VMS
            network.crash(vm, engine, number)
    seen = network.reported_soon
    network.exchange(4)
    convicted = sum(len(each.convicted) for each in network.parts)
    assert all(each.records.prompts for each in network.parts)
    assert network.reported_soon - seen <= 2 * convicted + VMS


def test_answer_told_again_and_again_stays_where_it_was():
    """It seemed later with each report, and was taken for a new one."""
    network = Network(4)
    network.answer(0, HOT)
    began_ms = int(network.clock.now_ms())
    network.clock.advance(500.0)
    network.crash(1, 1, 1)
    network.exchange(60)
    for each in network.parts:
        assert each.records.answered_ms[HOT] - began_ms <= REPORT_TAKES_MS + 2
        assert each.records.by_part[HOT].crashes


def test_what_peers_told_is_told_on_for_a_bounded_time():
    """Reports of crashes went round long after all entry VMs knew them."""
    network = Network(VMS)
    for number in range(RUNS_PER_ENGINE):
        network.crash(number, 1, number)
    rounds = 2 * crashing_parts.RELAYED_MS // int(REPORT_INTERVAL_MS) + 1
    network.exchange(rounds)
    telling = [
        vm
        for vm in range(VMS)
        if network.parts[vm].describe() or network.suspects[vm].describe()
    ]
    assert telling == list(range(RUNS_PER_ENGINE))


@params((25, 150.0), (136, 700.0))
def test_peers_are_sent_a_bounded_number_of_reports(local, oldest_ms):
    """At 76 and 410 entry VMs, more changes a second than reports are sent.

    Each change went to sixteen peers at once, 530 datagrams a second.
    """
    channel = report_channels.Channel(local=True)
    peers = [
        report_channels.Peer(f"vm-{each}", ("", each), "a", 0.0)
        for each in range(local - 1)
    ]
    now_ms, sent_ms = 0.0, dict.fromkeys(range(local - 1), 0.0)
    count = 0
    while now_ms < 10_000.0:
        for peer in channel.choose_peers(peers):
            count += 1
            number = peer.address[1]
            assert now_ms - sent_ms[number] <= oldest_ms
            sent_ms[number] = now_ms
        now_ms += channel.compute_pause_ms(500)
    assert count <= 10.2 * report_channels.LOCAL_DATAGRAMS_PER_SECOND
    assert all(now_ms - each <= oldest_ms for each in sent_ms.values())
