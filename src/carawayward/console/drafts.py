"""Drafts of a document, kept in hidden fields of the forms."""

import json
import typing
import urllib.parse

import attrs
from starlette import requests as http_requests

from carawayward import declaration
from carawayward import errors

MAX_FORM_BYTES = 4_000_000
MAX_FIELDS = 20_000

Values = dict[str, list[str]]


@attrs.frozen(kw_only=True)
class Draft:
    """A document being edited.

    ``base`` is the revision that it is based on, ``origin`` that revision's
    document.
    """

    base: int
    origin: typing.Any
    document: typing.Any

    @classmethod
    def from_form(cls, values: Values) -> "Draft":
        """Read a draft from the hidden fields of a form."""
        try:
            return cls(
                base=int(values["base"][0]),
                origin=json.loads(values["origin"][0]),
                document=json.loads(values["draft"][0]),
            )
        except (KeyError, ValueError, RecursionError):
            raise errors.BadRequest(
                "draft", "not a draft", "start again from the overview"
            ) from None


def make_hidden_fields(draft: Draft) -> dict[str, str]:
    """Return a draft as the hidden fields of a form."""
    return {
        "base": str(draft.base),
        "origin": json.dumps(draft.origin),
        "draft": json.dumps(draft.document),
    }


def normalize(document: typing.Any) -> typing.Any:
    """Validate a document and write out every default."""
    return declaration.unstructure(
        declaration.Declaration.from_config(document)
    )


def parse_number(values: Values, name: str) -> int:
    """Return the whole number in a hidden field."""
    text = values.get(name, [""])[0]
    if not text.isdecimal():
        raise errors.BadRequest(
            name, text[:40], "submit the form from the console"
        )
    return int(text)


async def read_form_values(request: http_requests.Request) -> Values:
    """Read a form's fields, up to a maximum size and number."""
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_FORM_BYTES:
            raise errors.BadRequest(
                "form",
                "too large",
                "publish it as a file with carawaywardctl",
                status=413,
            )
    try:
        return urllib.parse.parse_qs(
            body.decode(),
            keep_blank_values=True,
            max_num_fields=MAX_FIELDS,
        )
    except ValueError:
        raise errors.BadRequest(
            "form", "malformed", "submit the form from the console"
        ) from None
