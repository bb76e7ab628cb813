"""Commands for forwarded routes: a request's log lines, and settings."""

import json
import sys
import typing

from fire import decorators

from carawayward import errors
from carawayward.forwarding import settings

# Fields that every line has, or that another part of the row shows.
OMITTED_FIELDS = frozenset(("at_ms", "event", "name", "request"))


@decorators.SetParseFn(str)
def explain_request(request: str) -> None:
    """Print one request's log lines from standard input, in time order.

    Args:
        request: the id of the caller's attempt.
    """
    rows = list(format_request_log(request, sys.stdin))
    if not rows:
        raise errors.Unwell(
            f"no line names request {request}; pass the logs of all entry "
            "VMs, and check them for lines_dropped"
        )
    print("\n".join(rows))


def check_settings(path: str) -> None:
    """Validate the settings file of an entry VM with forwarded routes.

    Args:
        path: the settings file, with the platform's values filled in.
    """
    found = settings.ForwardingSettings.from_file(path)
    print(f"{path}: usable, entry VM {found.name}")


def format_request_log(request: str, lines: typing.Iterable[str]) -> list[str]:
    """Format one request's log lines as rows, earliest first.

    Times are in milliseconds after the first row. They are not corrected
    for differences between the entry VMs' clocks. Text before the JSON of
    a line, such as an entry VM's name added by a log collector, is kept.
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
