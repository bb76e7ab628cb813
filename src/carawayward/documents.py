"""Parses YAML into attrs classes; errors name the invalid field.

Used for the settings of an entry VM and for the declaration, so that both
report unknown keys and wrong types in the same way.
"""

import enum
import re
import typing

import cattrs
from cattrs import errors as cattrs_errors
import yaml

from carawayward import errors

T = typing.TypeVar("T")

ErrorKind = typing.Callable[[str, object, str], Exception]

# A larger document is a mistake or an attack, and parsing it would block all
# other work on the only thread. Documents that are nested too deeply fail with
# RecursionError.
MAX_DOCUMENT_BYTES = 1_000_000


_EXPONENT = re.compile(r"[-+]?[0-9]+(\.[0-9]*)?[eE][-+]?[0-9]+")


class WrongType(ValueError):
    """A value whose type does not match its field."""

    def __init__(self, found: object, expected: str) -> None:
        super().__init__(f"write {expected}")
        self.found = found


def _check_scalar(kind: type, name: str) -> typing.Callable:
    def check(value: object, target: type) -> object:
        # cattrs also calls the hook for str for its subclasses, the enums.
        if _is_enum(target):
            return _structure_enum(value, target)
        if kind is float and (type(value) is int or _is_exponent(value)):
            return float(typing.cast(typing.Any, value))
        if type(value) is not kind:
            raise WrongType(value, name)
        return value

    return check


def _is_exponent(value: object) -> bool:
    """Whether it is a number like 1e3, which YAML 1.1 reads as a text."""
    return isinstance(value, str) and bool(_EXPONENT.fullmatch(value))


def _structure_enum(value: object, kind: type[enum.Enum]) -> enum.Enum:
    try:
        return kind(value)
    except ValueError:
        names = ", ".join(str(member.value) for member in kind)
        raise WrongType(value, f"one of: {names}") from None


def _is_enum(kind: object) -> bool:
    return isinstance(kind, type) and issubclass(kind, enum.Enum)


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    for kind, name in _SCALARS.items():
        converter.register_structure_hook(kind, _check_scalar(kind, name))
    converter.register_structure_hook_func(_is_enum, _structure_enum)
    converter.register_unstructure_hook_func(_is_enum, lambda e: e.value)
    return converter


_SCALARS: dict[type, str] = {
    int: "a whole number",
    float: "a number",
    str: "a text",
    bool: "true or false",
}
_CONVERTER = _build_converter()


def structure(kind: type[T], data: object, error: ErrorKind) -> T:
    """Build ``kind`` from parsed YAML.

    Raises ``error`` for the first invalid field.
    """
    if not isinstance(data, dict):
        raise error("(document)", data, "write a mapping of fields")
    try:
        return _CONVERTER.structure(data, kind)
    except cattrs_errors.BaseValidationError as group:
        path, cause = _find_first_error(group, "")
        raise error(path, *_explain(cause)) from None


def unstructure(value: object) -> typing.Any:
    """Convert to plain mappings and lists for YAML, JSON or CBOR."""
    return _CONVERTER.unstructure(value)


def parse_yaml(text: str, error: ErrorKind) -> object:
    """Parse YAML (or JSON) text with the safe loader."""
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise error(
            "(document)",
            f"{len(text)} characters",
            f"keep it under {MAX_DOCUMENT_BYTES} bytes",
        )
    try:
        return yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError) as cause:
        first_line = str(cause).partition("\n")[0]
        raise error("(document)", first_line, "write valid YAML") from None


def _find_first_error(
    fault: BaseException, path: str
) -> tuple[str, BaseException]:
    if not isinstance(fault, cattrs_errors.BaseValidationError):
        return path or "(document)", fault
    first = fault.exceptions[0]
    for note in getattr(first, "__notes__", ()):
        if isinstance(note, cattrs_errors.AttributeValidationNote):
            path = f"{path}.{note.name}" if path else note.name
        elif isinstance(note, cattrs_errors.IterableValidationNote):
            path = f"{path}[{note.index}]"
    return _find_first_error(first, path)


def _explain(cause: BaseException) -> tuple[object, str]:
    if isinstance(cause, cattrs_errors.ForbiddenExtraKeysError):
        names = ", ".join(sorted(map(str, cause.extra_fields)))
        return names, "remove the unknown field or correct its name"
    if isinstance(cause, WrongType):
        return cause.found, str(cause)
    if isinstance(cause, KeyError):
        return "nothing", f"add the field {cause.args[0]}"
    if isinstance(cause, errors.CarawaywardError):
        return "a wrong value", str(cause)
    return str(cause), "correct the value; see docs/CONFIGURATION.md"
