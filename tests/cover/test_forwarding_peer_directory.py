"""Which entry VMs count as members of the deployment."""

from carawayward.forwarding import load_report_messages
from carawayward.forwarding import peer_directory


def make_sender(number):
    return load_report_messages.Sender(
        f"edge-{number}", "a", f"10.0.0.{number}:7340", "north"
    )


def test_peers_behind_a_partition_count_as_members_for_a_while():
    """Both sides of a cut would share the retry budget among fewer."""
    directory = peer_directory.PeerDirectory(make_sender(0))
    for number in range(1, 9):
        directory.add(make_sender(number), 0.0)
    assert directory.count_possible_members(0.0) == 9
    directory.remove_silent(peer_directory.REMOVE_AFTER_MS + 1.0)
    assert len(directory.peers) == 0
    assert directory.count_possible_members(31_000.0) == 9
    directory.add(make_sender(1), 60_000.0)
    assert directory.count_possible_members(60_000.0) == 9
    later_ms = 32_000.0 + peer_directory.COUNTED_AFTER_REMOVAL_MS
    assert directory.count_possible_members(later_ms) == 2
