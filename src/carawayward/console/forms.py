"""Forms made from the declaration's own classes, and read back.

A form is a tree of groups and fields with paths such as
``customers.0.weight``. It is made from the attrs classes, so a field that
the declaration gains appears here by itself.
"""

import enum
import types
import typing

import attrs

from carawayward import declaration

Plain = typing.Any
Values = typing.Mapping[str, list[str]]

SECTIONS = ("customers", "models", "tasks", "services", "rollouts", "pools")
# Fields whose texts name something else in the document.
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
    "key_digests": "one a line; carawaywardctl digest KEY prints one",
    "exposure_budget": "one a line: failure domain, colon, answers",
    "cascade": "from cheap to strong, one a line",
    "share": "of new sessions, above 0 and up to 1",
    "dwell_ms": "milliseconds",
    "deadline_ms": "milliseconds",
    "target": "share of answers that must be good",
    "change_at_once": "share of the pool, up to 0.5",
}


@attrs.frozen(kw_only=True)
class Field:
    """One input."""

    path: str
    label: str
    kind: str
    value: str = ""
    choices: tuple[str, ...] = ()
    help: str = ""
    error: str = ""


@attrs.frozen(kw_only=True)
class Group:
    """One thing with its inputs and the lists of things inside it."""

    path: str
    title: str
    fields: list[Field]
    lists: list["ThingList"]


@attrs.frozen(kw_only=True)
class ThingList:
    """A list of things that can be added to and removed from."""

    path: str
    title: str
    groups: list[Group]


def unwrap_optional(kind: typing.Any) -> typing.Any:
    """A field's type without ``| None``."""
    if isinstance(kind, types.UnionType):
        inner = [a for a in typing.get_args(kind) if a is not type(None)]
        return inner[0]
    return kind


def list_fields(
    kind: type,
) -> list[tuple[str, typing.Any, bool]]:
    """Names, types and requiredness of a class's fields."""
    hints = typing.get_type_hints(kind)
    return [
        (each.name, hints[each.name], each.default is attrs.NOTHING)
        for each in attrs.fields(kind)
    ]


def get_item_type(section: str) -> type:
    """The class of a section's things."""
    hints = typing.get_type_hints(declaration.Declaration)
    return typing.get_args(hints[section])[0]


def make_form(
    document: Plain, section: str, field_errors: typing.Mapping[str, str]
) -> ThingList:
    """The form of one section of a draft."""
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
    for name, declared, _ in list_fields(kind):
        inner = f"{path}.{name}"
        value = item.get(name)
        hint = unwrap_optional(declared)
        if attrs.has(hint):
            # A part that may be left out, such as a check: its own fields
            # stand among the others, and all empty means none.
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
        kind, choices = (
            "checks",
            list_referable_names(document, REFERENCES[name]),
        )
        shown = "\n".join(map(str, value or []))
    elif origin is list:
        kind, shown = "lines", "\n".join(map(str, value or []))
    elif origin is dict:
        kind = "lines"
        shown = "\n".join(f"{k}: {v}" for k, v in (value or {}).items())
    elif name in REFERENCES:
        kind = "select"
        choices = ("", *list_referable_names(document, REFERENCES[name]))
    return Field(
        path=path,
        label=name.replace("_", " "),
        kind=kind,
        value=shown,
        choices=choices,
        help=HELP.get(name, ""),
        error=field_errors.get(path, ""),
    )


def list_referable_names(document: Plain, what: str) -> tuple[str, ...]:
    """Names that a field may refer to."""
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
    """A section's things as filled in, and a message for each bad field.

    The number of things is that of the draft that made the form. What
    cannot be read is kept as it was typed, so that nothing is lost.
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
    for name, declared, required in list_fields(kind):
        inner = f"{path}.{name}"
        hint = unwrap_optional(declared)
        if attrs.has(hint):
            nested_errors: dict[str, str] = {}
            part = _read_group(
                hint, item.get(name) or {}, inner, values, nested_errors
            )
            if part:
                field_errors.update(nested_errors)
                read[name] = part
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
            read[name] = read_value(hint, texts)
        except ValueError as fault:
            field_errors[inner] = str(fault)
            read[name] = texts[0]
    return read


def read_value(hint: typing.Any, texts: list[str]) -> Plain:
    """A typed value from a form's texts; raise ValueError with a remedy."""
    lines = [x.strip() for t in texts for x in t.splitlines() if x.strip()]
    origin = typing.get_origin(hint)
    if origin is list:
        return lines
    if origin is dict:
        pairs = [line.partition(":") for line in lines]
        try:
            return {key.strip(): int(value) for key, _, value in pairs}
        except ValueError:
            raise ValueError("write lines such as: hall-a: 10") from None
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
    """The form's path of a field that an error names by names.

    ``customers.lekki-club.tasks`` and ``customers[2].tasks`` both become
    ``customers.2.tasks``.
    """
    steps = field.replace("[", ".").replace("]", "").split(".")
    place: Plain = document
    path = []
    for step in steps:
        if isinstance(place, list):
            names = [str(each.get("name")) for each in place]
            if step in names:
                step = str(names.index(step))
            place = place[int(step)] if step.isdecimal() else None
        elif isinstance(place, dict):
            place = place.get(step)
        path.append(step)
    return ".".join(path)


def edit_list(document: Plain, action: str, path: str) -> None:
    """Add an empty thing to a list, or remove one, in place."""
    *steps, last = path.split(".")
    place = document
    for step in steps:
        place = place[int(step)] if isinstance(place, list) else place[step]
    if action == "add":
        place[last] = [*(place.get(last) or []), {}]
    else:
        del place[int(last)]
