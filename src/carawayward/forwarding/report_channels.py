"""Decides which peers are sent load reports, how often, and what about."""

import math
import typing

import attrs
import trio

from carawayward.forwarding import board as board_module
from carawayward.forwarding import load_report_messages

# The least time between two datagrams. At about ten dispatches a second on one
# entry VM, most are reported at once and bursts are batched.
MIN_PAUSE_MS = 30.0
# Rate of datagrams to entry VMs of this failure domain; each is sent by its
# peers as many as it sends. What changes within a pause is sent together.
LOCAL_DATAGRAMS_PER_SECOND = 250.0
# Byte rate allowed to entry VMs of other failure domains: traffic between
# domains is billed.
REMOTE_BYTES_PER_SECOND = 6_000.0
# How often a report carries its sender's name and address; the others carry
# only the sender's number.
INTRODUCTION_INTERVAL_MS = 1_000.0
# This many prompt parts fit into an Ethernet frame together with the engines.
MAX_PARTS = 40
# Maximum number of peers that a datagram goes to. If there are more, the
# datagrams go to them in rotation.
MAX_PEERS_PER_DATAGRAM = 16

# With many peers each is sent reports only in rotation. A report is therefore
# valid for this multiple of the observed interval between reports, up to the
# maximum; the interval is smoothed with this gain.
INTERVALS_PER_TTL = 2.5
MAX_REPORT_TTL_MS = 10_000.0
INTERVAL_GAIN = 0.3

Address = tuple[str, int]


@attrs.define
class Peer:
    """Another entry VM; ``local`` if it is of the same failure domain.

    ``stale`` is set if it reported that its keys may be out of date.
    ``interval_ms`` is the smoothed interval between two of its reports. Its
    last report of overload counts until ``overloaded_until_ms``.
    """

    name: str
    address: Address
    incarnation: str
    last_seen_ms: float
    local: bool = True
    sequence: int = 0
    stale: bool = False
    interval_ms: float = 0.0
    failure_domain: str = ""
    overloaded_until_ms: float = -math.inf

    def record_report(self, sequence: int, now_ms: float) -> None:
        """Update the report interval and the time when it was last seen."""
        if self.sequence:
            gap_ms = now_ms - self.last_seen_ms
            self.interval_ms += INTERVAL_GAIN * (gap_ms - self.interval_ms)
        self.sequence, self.last_seen_ms = sequence, now_ms

    def compute_ttl_ms(self, min_ttl_ms: float) -> float:
        """The time for which its last report is valid, in ms."""
        ttl_ms = INTERVALS_PER_TTL * self.interval_ms
        return max(min_ttl_ms, min(ttl_ms, MAX_REPORT_TTL_MS))


@attrs.define(eq=False)
class Channel:
    """Pending reports to the peers of this failure domain, or to all others.

    ``local`` selects the former. ``rotation``, modulo the number of peers, is
    the index of the first peer that the last datagram went to, and
    ``receivers`` the number of peers that it went to. On the local
    channel each prompt part is reported twice, so that a single lost datagram
    loses none.
    """

    local: bool
    changed: trio.Event = attrs.field(factory=trio.Event)
    new_parts: list[load_report_messages.CachedPart] = attrs.field(
        factory=list
    )
    previous_parts: list[load_report_messages.CachedPart] = attrs.field(
        factory=list
    )
    introduced_at_ms: float = board_module.NEVER
    rotation: int = 0
    receivers: int = 0

    def add_parts(self, parts: list[load_report_messages.CachedPart]) -> None:
        """Queue prompt parts to report; only the newest if too many."""
        self.new_parts += parts
        del self.new_parts[:-MAX_PARTS]

    def take_parts(self) -> list[load_report_messages.CachedPart]:
        """Return the prompt parts for the next datagram."""
        parts = self.previous_parts + self.new_parts
        self.previous_parts = self.new_parts if self.local else []
        self.new_parts = []
        return parts

    def claim_introduction(self, now_ms: float) -> bool:
        """Whether the next datagram has to introduce its sender.

        If so, the introduction counts as sent at ``now_ms``.
        """
        if now_ms - self.introduced_at_ms < INTRODUCTION_INTERVAL_MS:
            return False
        self.introduced_at_ms = now_ms
        return True

    def choose_peers(self, known: typing.Iterable[Peer]) -> list[Peer]:
        """Choose the peers that the next datagram is sent to."""
        peers = [peer for peer in known if peer.local == self.local]
        self.receivers = min(len(peers), MAX_PEERS_PER_DATAGRAM)
        if len(peers) <= MAX_PEERS_PER_DATAGRAM:
            return peers
        self.rotation += MAX_PEERS_PER_DATAGRAM
        start = self.rotation % len(peers)
        return (peers + peers)[start : start + MAX_PEERS_PER_DATAGRAM]

    def compute_pause_ms(self, sent_bytes: int) -> float:
        """The pause after having sent ``sent_bytes``, in ms."""
        if self.local:
            seconds = self.receivers / LOCAL_DATAGRAMS_PER_SECOND
        else:
            seconds = sent_bytes / REMOTE_BYTES_PER_SECOND
        return max(MIN_PAUSE_MS, 1000.0 * seconds)


def make_channels() -> list[Channel]:
    """Create the channels to local peers and to those of other domains."""
    return [Channel(local=True), Channel(local=False)]
