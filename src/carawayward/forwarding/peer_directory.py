"""The known other entry VMs, whose datagrams are accepted."""

import attrs

from carawayward.forwarding import load_report_messages
from carawayward.forwarding import report_channels
from carawayward import settings as settings_module

# A peer that has sent no report for this long is removed.
REMOVE_AFTER_MS = 30_000.0
# A peer that was removed may be alive behind a partition and use its part of
# what all entry VMs share. It counts as an entry VM for this long.
COUNTED_AFTER_REMOVAL_MS = 600_000.0


@attrs.define
class PeerDirectory:
    """Peers by name, by sender number, and by address.

    The sender number identifies one incarnation of a peer. ``own`` describes
    this entry VM, which is not a peer of itself. ``removed_ms`` is when peers
    were removed that have not been seen since.
    """

    own: load_report_messages.Sender
    peers: dict[str, report_channels.Peer] = attrs.field(factory=dict)
    names_by_number: dict[int, str] = attrs.field(factory=dict)
    names_by_address: dict[report_channels.Address, str] = attrs.field(
        factory=dict
    )
    removed_ms: dict[str, float] = attrs.field(factory=dict)

    def add(self, sender: load_report_messages.Sender, now_ms: float) -> bool:
        """Add a peer or its new incarnation; return whether it was unknown."""
        known = self.peers.get(sender.name)
        if sender.name == self.own.name:
            return False
        if known is not None and known.incarnation == sender.incarnation:
            return False
        peer = report_channels.Peer(
            sender.name,
            settings_module.split_address(sender.address),
            sender.incarnation,
            now_ms,
            sender.failure_domain == self.own.failure_domain,
            failure_domain=sender.failure_domain,
        )
        self._remove_number(sender.name)
        self.removed_ms.pop(sender.name, None)
        self.peers[sender.name] = peer
        self.names_by_number[sender.number] = sender.name
        self.names_by_address[peer.address] = sender.name
        return True

    def get_by_number(self, number: int) -> report_channels.Peer | None:
        """The peer whose current incarnation has this sender number."""
        return self.peers.get(self.names_by_number.get(number, ""))

    def list_domain(self, failure_domain: str) -> list[str]:
        """The names of a failure domain's entry VMs, including this one."""
        names = [
            peer.name
            for peer in self.peers.values()
            if peer.failure_domain == failure_domain
        ]
        if self.own.failure_domain == failure_domain:
            names.append(self.own.name)
        return names

    def remove_silent(self, now_ms: float) -> None:
        """Remove the peers that have sent no report for too long."""
        for name, peer in list(self.peers.items()):
            if now_ms - peer.last_seen_ms > REMOVE_AFTER_MS:
                del self.peers[name]
                self.removed_ms[name] = now_ms
                self._remove_number(name)

    def count_possible_members(self, now_ms: float) -> int:
        """The number of entry VMs that may be alive, including this one."""
        self.removed_ms = {
            name: at_ms
            for name, at_ms in self.removed_ms.items()
            if now_ms - at_ms < COUNTED_AFTER_REMOVAL_MS
        }
        return 1 + len(self.peers) + len(self.removed_ms)

    def _remove_number(self, name: str) -> None:
        """Stop accepting datagrams of a former incarnation of this name.

        A delayed one would raise the sequence number past those of the
        current incarnation, whose datagrams would then be dropped as
        out of order.
        """
        self.names_by_number = {
            number: known
            for number, known in self.names_by_number.items()
            if known != name
        }
