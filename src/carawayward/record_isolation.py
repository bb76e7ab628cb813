"""Confines an exception that one record causes to that record.

Records of the platform's topics are written by other programs. If one of them
made its reader raise, the records after it would not be read, and the reader
would meet it again after each restart.
"""

import typing

from carawayward import events
from carawayward import supervision

Result = typing.TypeVar("Result")


def isolate(
    handle: typing.Callable[[], Result],
    default: Result,
    **names: typing.Any,
) -> Result:
    """Return what ``handle`` does with one record; ``default`` if it raises.

    ``names`` identify the record in the log. No kind of exception is
    excepted, since which ones a record can cause depends on all code that its
    contents pass through.
    """
    try:
        return handle()
    except Exception as fault:
        events.log_event(
            events.Event.ENTRY_UNREADABLE,
            **names,
            fault=supervision.describe_fault(fault),
        )
        return default
