"""An endpoint that sends bytes without end, as fast as they are read.

It runs in threads, so that it goes on while the event loop under test is busy.
"""

import socket
import threading

import attrs

RECEIVE_BYTES = 65_536
ATTEMPT_ID = "carawayward-attempt-id"
SEAL_HEADER = "Carawayward-Server-Seal: s\r\n"


@attrs.define(eq=False)
class Flood:
    """Answers with a head, to which it adds the request's id, and filler.

    ``sent`` counts the bytes of filler; ``closed`` is set once a connection
    has been closed by the other side.
    """

    head: bytes
    filler: bytes
    sent: int = 0
    port: int = 0
    closed: threading.Event = attrs.field(factory=threading.Event)
    _stopped: threading.Event = attrs.field(factory=threading.Event)
    _listener: socket.socket = attrs.field(init=False)

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Listen and serve."""
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Close all connections."""
        self._stopped.set()
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while not self._stopped.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                head = self._make_head(connection)
                connection.sendall(head)
                while not self._stopped.is_set():
                    self.sent += connection.send(self.filler)
            except OSError:
                self.closed.set()

    def _make_head(self, connection: socket.socket) -> bytes:
        """Read a request, and add its id to the head of the answer."""
        received = b""
        while b"\r\n\r\n" not in received:
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                raise ConnectionError("no request")
            received += data
        for line in received.decode("latin-1").split("\r\n"):
            name, _, value = line.partition(": ")
            if name.lower() == ATTEMPT_ID:
                added = f"\r\n{name}: {value}\r\n".encode()
                return self.head.replace(b"\r\n", added, 1)
        return self.head


def repeat(data: bytes, total: int = 262_144) -> bytes:
    """Repeat bytes up to a total length."""
    return data * (total // len(data))


def cut_into_chunks(data: bytes, length: int) -> bytes:
    """Frame each piece of a body as a chunk."""
    pieces = (
        data[begin : begin + length] for begin in range(0, len(data), length)
    )
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces)
