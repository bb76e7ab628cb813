"""Which entry VMs have a wide link, as they say in their load reports."""

import attrs

from carawayward.decisions import delegates
from carawayward.forwarding import board as board_module


@attrs.define(eq=False)
class WideLinks:
    """The entry VMs whose links are wide, by what their processes reported.

    Processes whose links are not wide, or of a former version, report nothing.
    """

    board: board_module.ForwardingBoard
    peers: set[str] = attrs.field(factory=set)

    def describe(self) -> bool:
        """Say whether the link of this entry VM is wide."""
        return self.board.link_mbps >= delegates.WIDE_LINK_MBPS

    def merge(self, sender: str, is_wide: object, ttl_ms: float) -> None:
        """Keep what a peer reports; it holds for as long as the peer does."""
        name = sender.partition("/")[0]
        if is_wide is True:
            self.peers.add(name)

    def list_names(self) -> set[str]:
        """List the entry VMs with wide links, this one too if it has one."""
        return self.peers | ({self.board.name} if self.describe() else set())
