"""HTML forms generated from the declaration's classes, and their parsing.

A form is a tree of groups and fields with paths such as
``customers.0.weight``. It is generated from the attrs classes, so a field
that is added to the declaration appears in the form without further code.
"""

import enum
import types
import typing

import attrs

from carawayward import declaration

Plain = typing.Any
Values = typing.Mapping[str, list[str]]

SECTIONS = ("customers", "models", "tasks", "services", "rollouts", "pools")
# Fields that hold names defined elsewhere in the document, and where those
# are defined.
REFERENCES = {
    "tasks": "tasks",
    "models": "models",
    "services": "services",
    "cascade": "models",
    "model": "models",
    "from_version": "versions",
    "to_version": "versions",
    "baseline": "versions",
}
HELP = {
    "key_digests": "one per line; carawaywardctl digest KEY prints one",
    "exposure_budget": "one per line, as failure domain: number of answers",
    "cascade": "from cheap to strong, one per line",
    "share": "of new sessions, above 0 and up to 1",
    "dwell_ms": "milliseconds",
    "deadline_ms": "milliseconds",
    "target": "share of answers that must be good",
    "change_at_once": "share of the pool, up to 0.5",
}


@attrs.frozen(kw_only=True)
class Field:
    """One input of a form.

    ``kind`` selects the element: text, number, lines, select or checks.
    """

    path: str
    label: str
    kind: str
    value: str = ""
    choices: tuple[str, ...] = ()
    help: str = ""
    error: str = ""


@attrs.frozen(kw_only=True)
class Group:
    """The form of one object: its inputs and the lists nested in it."""

    path: str
    title: str
    fields: list[Field]
    lists: list["ThingList"]


@attrs.frozen(kw_only=True)
class ThingList:
    """The form of a list of objects, which can be added and removed."""

    path: str
    title: str
    groups: list[Group]


def unwrap_optional(kind: typing.Any) -> typing.Any:
    """Return a field's type without ``| None``."""
    if isinstance(kind, types.UnionType):
        inner = [a for a in typing.get_args(kind) if a is not type(None)]
        return inner[0]
    return kind


def list_fields(
    kind: type,
) -> list[tuple[str, typing.Any, bool]]:
    """Return each field's name, its type and whether it is required."""
    hints = typing.get_type_hints(kind)
    return [
        (each.name, hints[each.name], each.default is attrs.NOTHING)
        for each in attrs.fields(kind)
    ]


def get_item_type(section: str) -> type:
    """Return the class of a section's items."""
    hints = typing.get_type_hints(declaration.Declaration)
    return typing.get_args(hints[section])[0]


def make_form(
    document: Plain, section: str, field_errors: typing.Mapping[str, str]
) -> ThingList:
    """Make the form of one section of a draft.

    ``field_errors`` holds messages by path, shown at their fields.
    """
    return _make_list(
        get_item_type(section),
        document.get(section) or [],
        section,
        section,
        document,
        field_errors,
    )


def _make_list(
    kind: type,
    items: list,
    path: str,
    title: str,
    document: Plain,
    field_errors: typing.Mapping[str, str],
) -> ThingList:
    groups = [
        _make_group(kind, item, f"{path}.{index}", document, field_errors)
        for index, item in enumerate(items)
    ]
    return ThingList(path=path, title=title, groups=groups)


def _make_group(
    kind: type,
    item: Plain,
    path: str,
    document: Plain,
    field_errors: typing.Mapping[str, str],
) -> Group:
    fields: list[Field] = []
    lists: list[ThingList] = []
    for name, declared_type, _ in list_fields(kind):
        inner = f"{path}.{name}"
        value = item.get(name)
        hint = unwrap_optional(declared_type)
        if attrs.has(hint):
            # A nested object, such as a check, may be left out. Its fields
            # are shown among the group's own; all empty means absent.
            nested = _make_group(
                hint, value or {}, inner, document, field_errors
            )
            fields += nested.fields
        elif _is_thing_list(hint):
            of = typing.get_args(hint)[0]
            lists.append(
                _make_list(
                    of, value or [], inner, name, document, field_errors
                )
            )
        else:
            fields.append(
                _make_field(name, hint, value, inner, document, field_errors)
            )
    title = str(item.get("name") or "new")
    return Group(path=path, title=title, fields=fields, lists=lists)


def _is_thing_list(hint: typing.Any) -> bool:
    arguments = typing.get_args(hint)
    return typing.get_origin(hint) is list and attrs.has(arguments[0])


def _make_field(
    name: str,
    hint: typing.Any,
    value: Plain,
    path: str,
    document: Plain,
    field_errors: typing.Mapping[str, str],
) -> Field:
    origin = typing.get_origin(hint)
    choices: tuple[str, ...] = ()
    kind, shown = "text", "" if value is None else str(value)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        kind, choices = "select", tuple(each.value for each in hint)
    elif hint is bool:
        kind, choices = "select", ("true", "false")
        shown = "" if value is None else str(value).lower()
    elif hint in (int, float):
        kind = "number"
    elif origin is list and name in REFERENCES and name != "cascade":
        kind, choices = "checks", list_choices(document, REFERENCES[name])
        shown = "\n".join(map(str, value or []))
    elif origin is list:
        kind, shown = "lines", "\n".join(map(str, value or []))
    elif origin is dict:
        kind = "lines"
        shown = "\n".join(f"{k}: {v}" for k, v in (value or {}).items())
    elif name in REFERENCES:
        kind = "select"
        choices = ("", *list_choices(document, REFERENCES[name]))
    return Field(
        path=path,
        label=name.replace("_", " "),
        kind=kind,
        value=shown,
        choices=choices,
        help=HELP.get(name, ""),
        error=field_errors.get(path, ""),
    )


def list_choices(document: Plain, what: str) -> tuple[str, ...]:
    """Return the names that a field may refer to."""
    if what == "versions":
        return tuple(
            version.get("name", "")
            for model in document.get("models") or []
            for version in model.get("versions") or []
        )
    return tuple(each.get("name", "") for each in document.get(what) or [])


def read_form(
    document: Plain, section: str, values: Values
) -> tuple[list, dict[str, str]]:
    """Return a section's items as submitted, and errors by field path.

    The number of items is that in the draft from which the form was made.
    A value that cannot be parsed is kept as it was typed, so that the
    operator can correct it.
    """
    field_errors: dict[str, str] = {}
    items = [
        _read_group(
            get_item_type(section),
            item,
            f"{section}.{index}",
            values,
            field_errors,
        )
        for index, item in enumerate(document.get(section) or [])
    ]
    return items, field_errors


def _read_group(
    kind: type,
    item: Plain,
    path: str,
    values: Values,
    field_errors: dict[str, str],
) -> Plain:
    read: dict[str, Plain] = {}
    for name, declared_type, required in list_fields(kind):
        inner = f"{path}.{name}"
        hint = unwrap_optional(declared_type)
        if attrs.has(hint):
            nested_errors: dict[str, str] = {}
            nested = _read_group(
                hint, item.get(name) or {}, inner, values, nested_errors
            )
            if nested:
                field_errors.update(nested_errors)
                read[name] = nested
            continue
        if _is_thing_list(hint):
            of = typing.get_args(hint)[0]
            read[name] = [
                _read_group(of, each, f"{inner}.{index}", values, field_errors)
                for index, each in enumerate(item.get(name) or [])
            ]
            continue
        texts = [text.strip() for text in values.get(inner, [])]
        if not any(texts):
            if required and typing.get_origin(hint) is not list:
                field_errors[inner] = "fill this in"
            elif typing.get_origin(hint) is list:
                read[name] = []
            continue
        try:
            read[name] = parse_value(hint, texts)
        except ValueError as fault:
            field_errors[inner] = str(fault)
            read[name] = texts[0]
    return read


def parse_value(hint: typing.Any, texts: list[str]) -> Plain:
    """Parse a field's texts; raise ValueError with a remedy."""
    lines = [x.strip() for t in texts for x in t.splitlines() if x.strip()]
    origin = typing.get_origin(hint)
    if origin is list:
        return lines
    if origin is dict:
        pairs = [line.partition(":") for line in lines]
        try:
            return {key.strip(): int(value) for key, _, value in pairs}
        except ValueError:
            raise ValueError(
                "write one entry per line, such as hall-a: 10"
            ) from None
    if hint is bool:
        return texts[0] == "true"
    if hint in (int, float):
        try:
            return hint(texts[0])
        except ValueError:
            wanted = "a whole number" if hint is int else "a number"
            raise ValueError(f"write {wanted}") from None
    return texts[0]


def resolve_path(document: Plain, field: str) -> str:
    """Convert the field path of an error message to that of the form.

    ``customers.lekki-club.tasks`` and ``customers[2].tasks`` both become
    ``customers.2.tasks``.
    """
    steps = field.replace("[", ".").replace("]", "").split(".")
    current: Plain = document
    path = []
    for step in steps:
        if isinstance(current, list):
            names = [str(each.get("name")) for each in current]
            if step in names:
                step = str(names.index(step))
            current = current[int(step)] if step.isdecimal() else None
        elif isinstance(current, dict):
            current = current.get(step)
        path.append(step)
    return ".".join(path)


def edit_list(document: Plain, action: str, path: str) -> None:
    """Add an empty item to a list, or remove an item, in place."""
    *steps, last = path.split(".")
    current = document
    for step in steps:
        current = (
            current[int(step)] if isinstance(current, list) else current[step]
        )
    if action == "add":
        current[last] = [*(current.get(last) or []), {}]
    else:
        del current[int(last)]
