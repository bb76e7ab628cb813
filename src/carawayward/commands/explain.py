"""Puts the log lines of one request together, over all entry VMs."""

import json
import sys
import typing

from fire import decorators

from carawayward import errors
from carawayward.forwarding import settings

# Fields that every line has or that are shown elsewhere in the row.
OMITTED_FIELDS = frozenset(("at_ms", "event", "name", "request"))


@decorators.SetParseFn(str)
def explain_request(request: str) -> None:
    """Print what the logs on standard input say of one request, in order.

    Args:
        request: the id of the caller's attempt.
    """
    rows = list(format_request_log(request, sys.stdin))
    if not rows:
        raise errors.Unwell(
            f"no line names request {request}; put the logs of all entry VMs "
            "together, and look for lines_dropped in them"
        )
    print("\n".join(rows))


def check_settings(path: str) -> None:
    """Check a settings file of an entry VM with forwarded routes.

    Args:
        path: the file as the platform fills it in.
    """
    found = settings.ForwardingSettings.from_file(path)
    print(f"{path}: usable, entry VM {found.name}")


def format_request_log(request: str, lines: typing.Iterable[str]) -> list[str]:
    """The rows for one request, the earliest first.

    Times are in ms after the first line; the entry VMs' clocks may differ
    by some. What stands before the JSON of a line, such as the entry VM's
    name that a collector adds, is kept.
    """
    found = []
    for line in lines:
        start = line.find("{")
        if start < 0 or request not in line:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(entry, dict) and entry.get("request") == request:
            found.append((entry.get("at_ms", 0), line[:start].strip(), entry))
    found.sort(key=lambda row: row[0])
    return [
        f"+{at_ms - found[0][0]:>6} ms  {prefix:<16} {entry.get('name')}: "
        + ", ".join(
            f"{name}={value}"
            for name, value in entry.items()
            if name not in OMITTED_FIELDS and value not in (None, "")
        )
        for at_ms, prefix, entry in found
    ]
