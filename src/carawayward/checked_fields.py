"""Makes attrs objects from decoded fields whose types are not known."""

import typing

import attrs

Made = typing.TypeVar("Made")


def make_checked(
    kind: typing.Callable[..., Made], fields: typing.Mapping[str, typing.Any]
) -> Made:
    """Make an object; raise TypeError if a field has another type.

    Of a field that is a container, only its own type is checked.
    """
    made = kind(**fields)
    for field in attrs.fields(typing.cast(type, type(made))):
        expected = typing.get_origin(field.type) or field.type
        if type(getattr(made, field.name)) is not expected:
            raise TypeError(f"{field.name} has another type")
    return made
