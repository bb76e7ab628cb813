"""Settings and figures of listening sockets."""

import socket

from carawayward import listening
from carawayward import settings
from tests.common import loopback


def test_connections_that_wait_to_be_accepted_are_counted():
    """A process that is too slow to accept shows it."""
    (port,) = loopback.find_free_ports(1)
    address = ("127.0.0.1", port)
    config = listening.make_config(
        f"127.0.0.1:{port}", settings.Limits(), None, 300
    )
    assert config.count_waiting() == 0
    (listener,) = config.create_sockets().insecure_sockets
    listener.listen(10)
    callers = [socket.create_connection(address) for _ in range(3)]
    assert config.count_waiting() == 3
    listener.accept()[0].close()
    assert config.count_waiting() == 2
    for each in (listener, *callers):
        each.close()
    assert config.count_waiting() == 0
