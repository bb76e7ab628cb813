"""The other entry VMs that this one knows, and whose datagrams it takes."""

import attrs

from carawayward.forwarding import load_report_messages
from carawayward.forwarding import report_channels
from carawayward import settings as settings_module

# A peer without a report for this long gets none any more.
REMOVE_AFTER_MS = 30_000.0


@attrs.define
class PeerDirectory:
    """Peers by name, by the number of their start, and by address.

    ``own`` is this entry VM, which is no peer of itself.
    """

    own: load_report_messages.Sender
    peers: dict[str, report_channels.Peer] = attrs.field(factory=dict)
    names: dict[int, str] = attrs.field(factory=dict)
    addresses: dict[report_channels.Address, str] = attrs.field(factory=dict)

    def add(self, sender: load_report_messages.Sender, now_ms: float) -> bool:
        """Add a peer, or a new start of it; whether it was not known."""
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
        self._forget_number(sender.name)
        self.peers[sender.name] = peer
        self.names[sender.number] = sender.name
        self.addresses[peer.address] = sender.name
        return True

    def get_by_number(self, number: int) -> report_channels.Peer | None:
        """The peer whose present start has this number."""
        return self.peers.get(self.names.get(number, ""))

    def list_domain(self, failure_domain: str) -> list[str]:
        """The names of a failure domain's entry VMs, with the own one."""
        names = [
            peer.name
            for peer in self.peers.values()
            if peer.failure_domain == failure_domain
        ]
        if self.own.failure_domain == failure_domain:
            names.append(self.own.name)
        return names

    def remove_silent(self, now_ms: float) -> None:
        """Remove the peers without a report for long."""
        for name, peer in list(self.peers.items()):
            if now_ms - peer.last_seen_ms > REMOVE_AFTER_MS:
                del self.peers[name]
                self._forget_number(name)

    def _forget_number(self, name: str) -> None:
        """Take no more datagrams by a former start's number for this name.

        One that comes late would raise the sequence number past those of the
        present start, whose datagrams would then count as overtaken.
        """
        self.names = {
            number: known
            for number, known in self.names.items()
            if known != name
        }
