"""Configuration of listeners: socket options, limits and TLS."""

import socket
import ssl
import struct

from hypercorn import config as hypercorn_config
import trio

from carawayward import accept_queue
from carawayward import buffers
from carawayward import closes
from carawayward.decisions import resource_limits
from carawayward import errors
from carawayward import settings as settings_module
from carawayward import write_progress

# Heads of requests may have twice what operators allow for headers, with the
# request line; the application refuses headers above the limit itself.
MIN_HEAD_BYTES = 32_768
MAX_HEAD_BYTES = 262_144
# What the kernel may receive on each connection before it is read. It doubles
# this for what packets take besides, and would else let it grow to megabytes.
MAX_UNREAD_BYTES = 24_576
# What the kernel holds of a reply besides what is on its way. With more, a
# reply would look sent long before a slow caller has read it.
MAX_UNSENT_BYTES = 131_072
# Where ``tcp_info`` of a listening socket has the length of its accept queue.
ACCEPT_QUEUE_LENGTH = struct.Struct("=24xI")


def make_socket_options(silence_ms: int) -> list[tuple[int, int, int]]:
    """Socket options that end a TCP connection whose peer went silent.

    Keep-alive probes detect a dead connection that carries no data. The
    user timeout ends a connection whose data is not accepted, also if the
    peer still acknowledges but never reads.
    """
    probe_s = max(1, silence_ms // 4000)
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2 * probe_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms),
    ]


class ListenerConfig(hypercorn_config.Config):
    """A hypercorn configuration that sets options on listening sockets.

    Accepted connections inherit the options of the listening socket.
    ``changed`` is set, and replaced, by each change to when idle connections
    are closed.
    ``listening_sockets`` are those that were created last. ``accept_policy``
    decides whether connections wait to be accepted. ``closes`` counts the
    connections that the listener has closed, ``writes`` watches those that
    wait for their callers. ``buffers`` accounts for the bytes that all
    connections of the process hold. At most ``max_connections`` are open. The
    head of a request may have ``h11_max_incomplete_size`` bytes. While the
    listener is ``draining``, connections are closed as they become idle.
    Requests that are in hand or unread when the listener stops have until
    ``closing_deadline_s``, on trio's clock, if that is longer than the usual
    time-out.
    With ``turns_away_queued`` those that still wait to be accepted are reset
    then, unread.
    """

    silence_ms: int
    writes: write_progress.WriteWatch
    buffers: buffers.BufferAccount
    max_connections: int = resource_limits.MAX_DESCRIPTORS
    accept_policy: accept_queue.Policy = accept_queue.KeepWaiting()
    draining: bool = False
    turns_away_queued: bool = False
    closing_deadline_s: float = 0.0

    def __init__(self) -> None:
        super().__init__()
        self.changed = trio.Event()
        self.closes = closes.CloseRecorder()
        self.listening_sockets: list[socket.socket] = []

    def set_header_limit(self, header_bytes: int) -> None:
        """Change how long heads of requests may be, on new connections."""
        self.h11_max_incomplete_size = min(
            max(2 * header_bytes, MIN_HEAD_BYTES), MAX_HEAD_BYTES
        )

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Change the idle time-out, also of open connections."""
        if self.keep_alive_timeout == timeout_ms / 1000:
            return
        self.keep_alive_timeout = timeout_ms / 1000
        self._notify_changed()

    def start_draining(self) -> None:
        """Close connections as they become idle, for callers to move away.

        A caller that keeps one would send its next request here.
        """
        self.draining = True
        self._notify_changed()

    def _notify_changed(self) -> None:
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def create_sockets(self) -> hypercorn_config.Sockets:
        """Create the listening sockets."""
        sockets = super().create_sockets()
        self.listening_sockets = (
            sockets.secure_sockets + sockets.insecure_sockets
        )
        for each in self.listening_sockets:
            for option in make_socket_options(self.silence_ms):
                each.setsockopt(*option)
            each.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_UNREAD_BYTES
            )
            each.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_NOTSENT_LOWAT,
                MAX_UNSENT_BYTES,
            )
        return sockets

    def count_waiting(self) -> int:
        """How many connections wait to be accepted."""
        return sum(map(_get_queue_length, self.listening_sockets))


def _get_queue_length(listening_socket: socket.socket) -> int:
    try:
        info = listening_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, ACCEPT_QUEUE_LENGTH.size
        )
    except OSError:
        # The listener has been closed.
        return 0
    if len(info) < ACCEPT_QUEUE_LENGTH.size:
        return 0
    return int(ACCEPT_QUEUE_LENGTH.unpack(info)[0])


def make_config(
    address: str,
    limits: settings_module.Limits,
    tls: settings_module.Tls | None,
    graceful_ms: int,
    account: buffers.BufferAccount | None = None,
) -> ListenerConfig:
    """Create a listener's configuration.

    ``graceful_ms`` is how long open requests may take after the listener
    is stopped. The idle timeout also applies to reading a request's head.
    """
    config = ListenerConfig()
    config.silence_ms = limits.caller_silence_ms
    config.buffers = account or buffers.BufferAccount()
    config.writes = write_progress.WriteWatch(limits.caller_silence_ms / 1000)
    config.bind = [address]
    config.graceful_timeout = graceful_ms / 1000
    config.keep_alive_timeout = limits.idle_connection_ms / 1000
    config.ssl_handshake_timeout = limits.body_timeout_ms / 1000
    config.h11_max_incomplete_size = MIN_HEAD_BYTES
    config.include_server_header = False
    config.loglevel = "CRITICAL"
    config.alpn_protocols = ["http/1.1"]
    if tls is not None:
        config.certfile = tls.certificate
        config.keyfile = tls.key
        if tls.client_ca:
            config.ca_certs = tls.client_ca
            config.verify_mode = ssl.CERT_REQUIRED
    return config


def make_server_context(tls: settings_module.Tls) -> ssl.SSLContext:
    """Create a server's context.

    With ``client_ca`` it requires client certificates.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load_pair(context, tls)
    if tls.client_ca:
        context.load_verify_locations(tls.client_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(tls: settings_module.Tls) -> ssl.SSLContext:
    """Create a client's context for links between entry VMs.

    Entry VMs connect to each other by IP address and may be replaced at any
    time, so a certificate proves only that the peer belongs to the
    deployment. The handshake on the link proves which peer it is.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations(tls.client_ca or tls.certificate)
    _load_pair(context, tls)
    return context


def _load_pair(context: ssl.SSLContext, tls: settings_module.Tls) -> None:
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except (OSError, ssl.SSLError) as cause:
        raise errors.SettingsError(
            "tls",
            tls.certificate,
            f"name a readable certificate and its key: {cause}",
        ) from None
