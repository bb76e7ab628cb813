"""Calls an entry VM's ASGI application in process, without sockets."""

import json
import pathlib
import typing

import attrs
import trio
import yaml

from carawayward import blackboard
from carawayward import daemon as daemon_module
from carawayward import declaration
from carawayward import settings as settings_module
from tests.common import deployment

AUTH = (b"authorization", b"Bearer demo-ikeja-families")
JSON = (b"content-type", b"application/json")


@attrs.frozen
class Reply:
    """The application's reply to a request."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the decoded body."""
        return json.loads(self.body)


def make_daemon(**limits: int) -> daemon_module.Daemon:
    """Make a ready entry VM with a configuration but no endpoints."""
    settings = settings_module.Settings.from_config(
        yaml.safe_dump(
            {
                "name": "oduya-0",
                "failure_domain": "ikeja",
                "listen": {
                    name: f"127.0.0.1:{port}"
                    for port, name in enumerate(
                        ("callers", "peers", "operators"), 7000
                    )
                },
                "platform": {"log": "http://127.0.0.1:1", "vms": "http://x"},
                "keys": deployment.KEYS,
                "limits": limits,
            }
        )
    )
    daemon = daemon_module.Daemon.from_config(settings)
    text = pathlib.Path("examples/oduya.yaml").read_text()
    read = declaration.Declaration.from_text(text)
    daemon.board.config = blackboard.ConfigInForce.from_config(
        1, declaration.unstructure(read)
    )
    daemon.board.state = blackboard.NodeState.READY
    return daemon


async def exchange(
    app: typing.Any,
    method: str,
    path: str,
    headers: typing.Sequence[tuple[bytes, bytes]] = (AUTH, JSON),
    body: typing.Sequence[bytes | None] = (b"",),
    state: dict | None = None,
) -> Reply:
    """Send one request; None in the body makes the caller disconnect."""
    chunks = list(body)
    sent: list[dict] = []

    async def receive() -> dict:
        if not chunks:
            await trio.sleep_forever()
        chunk = chunks.pop(0)
        if chunk is None:
            return {"type": "http.disconnect"}
        more = bool(chunks)
        return {"type": "http.request", "body": chunk, "more_body": more}

    async def send(message: dict) -> None:
        sent.append(message)

    scope = {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.1"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "root_path": "",
        "headers": list(headers),
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
        "state": state or {},
        "extensions": {},
    }
    await app(scope, receive, send)
    if not sent:
        return Reply(0, {}, b"")
    return Reply(
        sent[0]["status"],
        {
            name.decode().lower(): value.decode("latin-1")
            for name, value in sent[0]["headers"]
        },
        b"".join(each.get("body", b"") for each in sent[1:]),
    )


def call(app: typing.Any, *arguments: typing.Any, **more: typing.Any) -> Reply:
    """Call ``exchange`` in a trio run of its own, for at most 20 s."""

    async def run() -> Reply:
        with trio.fail_after(20):
            return await exchange(app, *arguments, **more)

    return trio.run(run)
