"""docs/openapi.yaml agrees with the callers' API."""

import json
import pathlib
import re
import typing

from starlette import routing
import yaml

from carawayward.gateway import replies
from carawayward import outcomes
from tests.common import asgi

DOCUMENT = yaml.safe_load(pathlib.Path("docs/openapi.yaml").read_text())
COMPLETIONS = "/v1/chat/completions"
MESSAGES = [{"role": "user", "content": "hello"}]


def resolve(node: typing.Any) -> typing.Any:
    """Resolve a ``$ref`` within the document."""
    while "$ref" in node:
        found: typing.Any = DOCUMENT
        for part in node["$ref"].removeprefix("#/").split("/"):
            found = found[part]
        node = found
    return node


def list_routes() -> set[tuple[str, str]]:
    """Return the paths and methods that the application serves."""
    app: typing.Any = asgi.make_daemon().api.build().inner
    return {
        (route.path, method)
        for route in app.routes
        if isinstance(route, routing.Route)
        for method in route.methods or ()
        if method != "HEAD"
    }


def check_value(value: object, schema: dict, location: str) -> None:
    """Check a value against a schema, as far as the document uses schemas."""
    schema = resolve(schema)
    python_types: dict[str, typing.Any] = {
        "object": dict,
        "array": list,
        "string": str,
        "boolean": bool,
        "integer": int,
        "number": (int, float),
    }
    if "type" in schema:
        assert isinstance(value, python_types[schema["type"]]), location
    if "const" in schema:
        assert value == schema["const"], location
    if "enum" in schema:
        assert value in schema["enum"], location
    if isinstance(value, dict):
        assert set(schema.get("required", ())) <= set(value), location
        for name, inner in schema.get("properties", {}).items():
            if name in value:
                check_value(value[name], inner, f"{location}.{name}")
    if isinstance(value, list) and "items" in schema:
        for item in value:
            check_value(item, schema["items"], location)


def check_reply(path: str, method: str, reply: asgi.Reply) -> None:
    """Check that the document describes a reply's status and body."""
    operation = DOCUMENT["paths"][path][method.lower()]
    location = f"{method} {path} {reply.status}"
    assert str(reply.status) in operation["responses"], location
    documented = resolve(operation["responses"][str(reply.status)])
    kind = reply.headers["content-type"].partition(";")[0]
    assert kind in documented["content"], location
    schema = documented["content"][kind].get("schema", {})
    check_value(reply.json(), schema, location)


def test_document_lists_exactly_the_served_routes():
    """Adding or removing a route requires a change to the document."""
    documented = {
        (path, method.upper())
        for path, methods in DOCUMENT["paths"].items()
        for method in methods
    }
    assert documented == list_routes()


def test_references_can_be_resolved():
    """Every ``$ref`` resolves, so that tools can read the document."""
    text = pathlib.Path("docs/openapi.yaml").read_text()
    for reference in set(re.findall(r'\$ref: "([^"]+)"', text)):
        assert resolve({"$ref": reference}), reference


def test_status_of_each_outcome_is_documented():
    """The document lists the status of every possible outcome."""
    for path in (COMPLETIONS, "/v1/services/{service}/{operation}"):
        statuses = DOCUMENT["paths"][path]["post"]["responses"]
        for reason in outcomes.Reason:
            for outcome in (
                outcomes.NotRun(reason, "r"),
                outcomes.Unknown(reason, "r"),
                outcomes.Interrupted(reason, "", "r"),
            ):
                failure = replies.make_failure(outcome, "k")
                assert str(failure.status_code) in statuses, outcome


def test_replies_match_the_document():
    """Replies that handlers make themselves match the document."""
    daemon = asgi.make_daemon()
    app = daemon.api.build()
    service = "/v1/services/{service}/{operation}"
    calls = [
        ("GET", "/healthz", "/healthz", b"", 200),
        ("GET", "/readyz", "/readyz", b"", 200),
        ("POST", "/v1/sessions", "/v1/sessions", b"{}", 201),
        ("POST", "/v1/tickets", "/v1/tickets", b"{}", 201),
        ("GET", "/v1/requests/{key}", "/v1/requests/none", b"", 404),
        ("POST", service, "/v1/services/a/b", b"{}", 403),
        ("POST", service, "/v1/services/swap-desk/log-swap", b"{}", 400),
        ("POST", COMPLETIONS, COMPLETIONS, b"[]", 400),
    ]
    for method, path, target, body, status in calls:
        headers = [asgi.AUTH, asgi.JSON]
        reply = asgi.call(app, method, target, headers, [body])
        assert reply.status == status, (target, reply)
        check_reply(path, method, reply)


def test_answers_and_streams_match_the_document():
    """A complete answer and the events of a stream match their schemas."""
    answer = outcomes.Answered(
        text="good day",
        version="sorter-3",
        endpoint="matchers-0",
        input_tokens=1,
        output_tokens=2,
        cost=0.5,
        plan=("sorter-3",),
    )
    schemas = DOCUMENT["components"]["schemas"]
    whole = json.loads(bytes(replies.make_completion(answer, "k").body))
    check_value(whole, schemas["Completion"], "completion")
    events = replies.make_chunk_encoder("k")('good "day"\n')
    events += replies.encode_end("k", answer)
    lines = [line[6:] for line in events.split(b"\n") if b"{" in line]
    for line in lines:
        check_value(json.loads(line), schemas["Chunk"], "chunk")
    assert json.loads(lines[-1])["carawayward"]["length"] == 8
