"""Accepts connections one at a time, and resets some of those that wait."""

import collections
import errno
import socket
import struct
import typing

import trio

from carawayward import events
from carawayward import supervision

# Has the kernel reset a connection when it is closed.
NO_LINGER = struct.pack("ii", 1, 0)
# Connections that are counted before other tasks have their turn.
MAX_COUNTED_PER_TURN = 256
# How long nothing is accepted after the kernel had no descriptor or memory.
SHORTAGE_PAUSE_S = 0.1
SHORTAGES = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
# The connection had ended before it was accepted; others wait behind it.
ABORTED = frozenset((errno.ECONNABORTED, errno.EPERM, errno.EPROTO))
LOG_INTERVAL_S = 1.0


class Policy(typing.Protocol):
    """Decides how fast connections are accepted, and whether all are."""

    def count_turns(self) -> int:
        """How many turns of the event loop each connection takes."""

    def record_empty(self) -> None:
        """Record that no connection waits."""

    def should_count(self) -> bool:
        """Record that one was accepted; whether to count those that wait."""

    def should_turn_away(self, waiting: int) -> bool:
        """Whether to turn away the ``waiting`` connections."""

    def record_turned_away(self, count: int) -> None:
        """Record how many were turned away."""


class KeepWaiting:
    """The policy by which all connections wait until they are accepted."""

    def count_turns(self) -> int:
        """Accept one connection in each turn."""
        return 1

    def record_empty(self) -> None:
        """Do nothing."""

    def should_count(self) -> bool:
        """Never count connections."""
        return False

    def should_turn_away(self, waiting: int) -> bool:
        """Never turn connections away."""
        return False

    def record_turned_away(self, count: int) -> None:
        """Do nothing."""


class AcceptingListener(trio.abc.Listener[trio.SocketStream]):
    """Accepts connections; ``aclose`` leaves its socket open.

    It accepts one connection in as many turns of the event loop as its
    ``policy`` says, so that requests in hand go on. The policy also decides
    whether those that wait meanwhile are turned away.

    Closing a listening socket resets the connections in its accept queue,
    and with them requests that callers have already sent. ``drain`` accepts
    these connections, then closes the socket.
    """

    def __init__(
        self, listening_socket: socket.socket, policy: Policy
    ) -> None:
        self.listening_socket = listening_socket
        self.policy = policy
        self.counted: collections.deque[socket.socket] = collections.deque()
        self.logged_s = float("-inf")
        self.inner = trio.SocketListener(
            trio.socket.from_stdlib_socket(listening_socket)
        )

    async def accept(self) -> trio.SocketStream:
        """Wait for the next connection, also while none can be accepted."""
        while True:
            try:
                return await self._accept()
            except OSError as fault:
                if fault.errno in ABORTED:
                    continue
                if fault.errno not in SHORTAGES:
                    raise
                self._log_shortage(fault)
                await trio.sleep(SHORTAGE_PAUSE_S)

    def _log_shortage(self, fault: OSError) -> None:
        now_s = trio.current_time()
        if now_s - self.logged_s >= LOG_INTERVAL_S:
            self.logged_s = now_s
            events.log_event(
                events.Event.ACCEPT_FAILED,
                detail=supervision.describe_fault(fault),
            )

    async def _accept(self) -> trio.SocketStream:
        for _ in range(self.policy.count_turns()):
            await trio.lowlevel.checkpoint()
        accepted = self._accept_next()
        if accepted is None:
            self.policy.record_empty()
            return await self.inner.accept()
        if self.policy.should_count():
            self._count_waiting()
            if self.policy.should_turn_away(len(self.counted)):
                self._turn_away_counted()
        return make_stream(accepted)

    def _accept_next(self) -> socket.socket | None:
        """Accept the connection that has waited longest; None without any."""
        if self.counted:
            return self.counted.popleft()
        while True:
            try:
                return self.listening_socket.accept()[0]
            except BlockingIOError:
                return None
            except OSError as fault:
                if fault.errno not in ABORTED:
                    raise

    def _count_waiting(self) -> None:
        """Take the connections that wait from the kernel, unread."""
        while len(self.counted) < MAX_COUNTED_PER_TURN:
            try:
                self.counted.append(self.listening_socket.accept()[0])
            except OSError:
                # None is left, or none can be accepted now.
                return

    def _turn_away_counted(self) -> None:
        """Reset the connections that were counted, with nothing read."""
        count = len(self.counted)
        while self.counted:
            with self.counted.popleft() as waiting:
                waiting.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
        self.policy.record_turned_away(count)

    def turn_away(self, most: int) -> None:
        """Reset connections that wait, with nothing read; close the socket.

        ``most`` wait in the kernel. It resets those that come after them:
        callers that connect again at once would keep this from ending.
        """
        most += len(self.counted)
        with self.listening_socket:
            while most > 0:
                self._count_waiting()
                if not self.counted:
                    return
                most -= len(self.counted)
                self._turn_away_counted()

    async def aclose(self) -> None:
        """Do nothing; ``drain`` closes the socket."""
        await trio.lowlevel.checkpoint()

    def drain(self) -> typing.Iterator[trio.SocketStream]:
        """Accept the queued connections, then close the socket."""
        with self.listening_socket:
            while True:
                try:
                    accepted = self._accept_next()
                except OSError as fault:
                    events.log_event(
                        events.Event.FAULT,
                        task="closing a listener",
                        detail=supervision.describe_fault(fault),
                    )
                    return
                if accepted is None:
                    return
                yield make_stream(accepted)


def make_stream(accepted: socket.socket) -> trio.SocketStream:
    """Make the stream of an accepted connection."""
    return trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
