"""Keeps signals that arrive before the program has been imported.

Without a handler SIGHUP would end the process. This imports nothing slow.
"""

import signal

_received: set[int] = set()


def install() -> None:
    """Record SIGHUP from now on."""
    signal.signal(signal.SIGHUP, lambda number, frame: _received.add(number))


def take_reload() -> bool:
    """Whether SIGHUP has been received since the last call."""
    pending = signal.SIGHUP in _received
    _received.discard(signal.SIGHUP)
    return pending
