"""Which entry VMs get load reports, how often, and of what."""

import typing

import attrs
import trio

from carawayward.forwarding import board as board_module
from carawayward.forwarding import load_report_messages

# No more often than this: with the ten or so dispatches a second of one entry
# VM, most go out at once and bursts are grouped.
MIN_PAUSE_MS = 30.0
# What may go to entry VMs of other failure domains, in bytes a second: bytes
# between domains are paid for.
REMOTE_BYTES_PER_SECOND = 6_000.0
# How often an entry VM gives its name and address; its number goes out else.
INTRODUCE_MS = 1_000.0
# So many parts fit into an Ethernet frame beside the engines.
MAX_PARTS = 40
# Told to at most this many peers; beyond it, a part of the others each time.
MAX_PEERS_PER_DATAGRAM = 16

# With many peers each gets a report in turn only: what one says counts for so
# many of the intervals at which its reports come, within these bounds.
INTERVALS_PER_TTL = 2.5
MAX_REPORT_TTL_MS = 10_000.0
INTERVAL_GAIN = 0.3

Address = tuple[str, int]


@attrs.define
class Peer:
    """Another entry VM; ``stale`` if it cannot prove its keys.

    ``interval_ms`` is how long there is between two of its reports.
    """

    name: str
    address: Address
    incarnation: str
    last_seen_ms: float
    near: bool = True
    sequence: int = 0
    stale: bool = False
    interval_ms: float = 0.0
    failure_domain: str = ""

    def record_report(self, sequence: int, now_ms: float) -> None:
        """A report has come."""
        if self.sequence:
            gap_ms = now_ms - self.last_seen_ms
            self.interval_ms += INTERVAL_GAIN * (gap_ms - self.interval_ms)
        self.sequence, self.last_seen_ms = sequence, now_ms

    def compute_ttl_ms(self, least_ms: float) -> float:
        """How long its last report counts."""
        ttl_ms = INTERVALS_PER_TTL * self.interval_ms
        return max(least_ms, min(ttl_ms, MAX_REPORT_TTL_MS))


@attrs.define(eq=False)
class Channel:
    """What peers of this failure domain, or all others, have yet to get.

    ``turn`` is where among them the next datagram begins. Near, each part is
    reported twice, so that one lost datagram loses none.
    """

    near: bool
    changed: trio.Event = attrs.field(factory=trio.Event)
    new_parts: list[load_report_messages.CachedPart] = attrs.field(
        factory=list
    )
    last_parts: list[load_report_messages.CachedPart] = attrs.field(
        factory=list
    )
    introduced_ms: float = board_module.NEVER
    turn: int = 0

    def add_parts(self, parts: list[load_report_messages.CachedPart]) -> None:
        """Add parts to report; the newest, if there are too many."""
        self.new_parts += parts
        del self.new_parts[:-MAX_PARTS]

    def take_parts(self) -> list[load_report_messages.CachedPart]:
        """The parts for the next datagram."""
        parts = self.last_parts + self.new_parts
        self.last_parts = self.new_parts if self.near else []
        self.new_parts = []
        return parts

    def introduces(self, now_ms: float) -> bool:
        """Whether the next datagram is to name its sender."""
        if now_ms - self.introduced_ms < INTRODUCE_MS:
            return False
        self.introduced_ms = now_ms
        return True

    def choose_peers(self, known: typing.Iterable[Peer]) -> list[Peer]:
        """Those that the next datagram goes to."""
        peers = [peer for peer in known if peer.near == self.near]
        if len(peers) <= MAX_PEERS_PER_DATAGRAM:
            return peers
        self.turn += MAX_PEERS_PER_DATAGRAM
        start = self.turn % len(peers)
        return (peers + peers)[start : start + MAX_PEERS_PER_DATAGRAM]

    def find_pause_ms(self, sent_bytes: int) -> float:
        """How long to be quiet after so many bytes."""
        if self.near:
            return MIN_PAUSE_MS
        return max(MIN_PAUSE_MS, 1000.0 * sent_bytes / REMOTE_BYTES_PER_SECOND)


def make_channels() -> list[Channel]:
    """One to this failure domain's peers and one to the others."""
    return [Channel(near=True), Channel(near=False)]
