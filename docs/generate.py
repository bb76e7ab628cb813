"""Writes the pages that are made from the code: ./build.sh docs."""

import enum
import pathlib
import typing

import attrs

from carawayward import declaration
from carawayward import events
from carawayward.forwarding import settings as forwarding_settings
from carawayward import settings

EVENTS_PAGE = pathlib.Path("docs/EVENTS.md")
CONFIGURATION_PAGE = pathlib.Path("docs/CONFIGURATION.md")
FIELD_ROW = "| `{path}` | {kind} | {default} |"


def make_events_page() -> str:
    """The catalogue of log events as a page."""
    lines = [
        "# Log events",
        "",
        "Made by `./build.sh docs` from the catalogue in events.py; codes are",
        "never reused. Each line of the log is JSON with `event` (the code),",
        "`name` and fields; no caller's text and no secret stands in it.",
        "",
        "| code | name | meaning | what the operator does |",
        "|---|---|---|---|",
    ]
    for event in sorted(events.Event, key=lambda e: e.value.code):
        kind = event.value
        lines.append(
            f"| {kind.code} | {event.name.lower()} | {kind.meaning} "
            f"| {kind.action} |"
        )
    return "\n".join(lines) + "\n"


def list_fields(cls: type, prefix: str = "") -> list[str]:
    """A row for each field of an attrs class and of those inside it."""
    rows = []
    hints = typing.get_type_hints(cls)
    for field in attrs.fields(cls):
        path = f"{prefix}{field.name}"
        kind = hints[field.name]
        inner = find_inner(kind)
        default = describe_default(field)
        row = FIELD_ROW.format(
            path=path, kind=describe_kind(kind), default=default
        )
        rows.append(row)
        if inner is not None:
            many = typing.get_origin(kind) is list
            rows += list_fields(inner, f"{path}{'[]' if many else ''}.")
    return rows


def find_inner(kind: typing.Any) -> type | None:
    """The attrs class inside a type such as ``list[Model]``."""
    for part in (kind, *typing.get_args(kind)):
        if isinstance(part, type) and attrs.has(part):
            return part
    return None


def describe_kind(kind: typing.Any) -> str:
    """A type in a reader's words."""
    names = {str: "text", int: "whole number", float: "number", bool: "yes/no"}
    if kind in names:
        return names[kind]
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return " / ".join(member.value for member in kind)
    origin, parts = typing.get_origin(kind), typing.get_args(kind)
    if origin is list:
        return f"list of {describe_kind(parts[0])}"
    if origin is dict:
        return f"map of text to {describe_kind(parts[1])}"
    if origin is not None and type(None) in parts:
        return f"{describe_kind(parts[0])}, or nothing"
    return kind.__name__.lower() if isinstance(kind, type) else str(kind)


def describe_default(field: attrs.Attribute) -> str:
    """A field's default, or that it is required."""
    default: typing.Any = field.default
    if default is attrs.NOTHING:
        return "required"
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        default = default.factory()
        if attrs.has(type(default)):
            return "see its fields"
    if isinstance(default, enum.Enum):
        default = default.value
    return f"`{default!r}`" if default not in ("", None) else "none"


def make_configuration_page() -> str:
    """Every field of the settings and of the declaration."""
    head = ["| field | kind | default |", "|---|---|---|"]
    notes = pathlib.Path("docs/configuration-notes.md").read_text()
    lines = [
        "# Configuration",
        "",
        "Made by `./build.sh docs` from the classes that check the documents",
        "and from docs/configuration-notes.md. A name that ends in `_ms` is",
        "in milliseconds, one in `_bytes` in bytes.",
        "",
        "## Settings of an entry VM (YAML, read at start)",
        "",
        *head,
        *list_fields(settings.Settings),
        "",
        "## Settings of an entry VM with forwarded routes (YAML)",
        "",
        "The platform fills in deploy/settings.yaml at each start; SIGHUP",
        "reads the bounds anew.",
        "",
        *head,
        *list_fields(forwarding_settings.ForwardingSettings),
        "",
        "## The declaration (published through the platform's log)",
        "",
        *head,
        *list_fields(declaration.Declaration),
        "",
        notes.strip(),
    ]
    return "\n".join(lines) + "\n"


PAGES = {
    EVENTS_PAGE: make_events_page,
    CONFIGURATION_PAGE: make_configuration_page,
}


def main() -> None:
    """Write all pages."""
    for path, make in PAGES.items():
        path.write_text(make(), encoding="utf-8")


if __name__ == "__main__":
    main()
