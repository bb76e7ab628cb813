"""Signals to the process of an entry VM, until it has ended."""

import contextlib
import signal
import typing

import trio


@contextlib.contextmanager
def open_receiver(
    *numbers: signal.Signals,
    record: typing.Callable[[int], None] = lambda number: None,
) -> typing.Iterator[typing.AsyncIterator[int]]:
    """Receive signals; afterwards the process ignores them until it ends.

    ``record`` is called with each when it comes. The receiver has it a turn of
    the event loop later, which may take seconds in a starved process.

    When trio's receiver closes, it restores the handlers that it found and
    raises again what has not been taken: the default ones would end a process
    that has stopped in order as if it had been killed. While the interpreter
    ends it resets all handlers in Python, but leaves ignored signals ignored.
    """
    received: set[int] = set()
    for number in numbers:
        signal.signal(number, lambda number, frame: received.add(number))
    try:
        with trio.open_signal_receiver(*numbers) as signals:
            for number in numbers:
                signal.signal(number, make_handler(number, record))
            for early in received:
                signal.raise_signal(early)
            yield signals
    finally:
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)


def make_handler(
    number: int, record: typing.Callable[[int], None]
) -> typing.Callable[[int, typing.Any], None]:
    """Make a handler that records a signal before the present one has it."""
    inner = typing.cast(typing.Callable, signal.getsignal(number))

    def handle(number: int, frame: typing.Any) -> None:
        record(number)
        inner(number, frame)

    return handle
