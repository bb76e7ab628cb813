"""Commands about declarations, for people and for scripts.

Exit codes: 0 done, 1 refused or invalid, 2 wrong usage, 3 another publish
was first, 4 the platform gave no answer.
"""

import json
import pathlib
import time
import typing

from carawayward.commands import access
from carawayward.commands import inspect
from carawayward import comparison
from carawayward.controllers import publishing
from carawayward import declaration
from carawayward import errors
from carawayward.protocol import config_log
from carawayward.protocol import freshness
from carawayward.services import log as log_module

WAITING = str(freshness.Confirmation.WAITING)
POLL_S = 0.5

History = list[tuple[int, dict]]


def check(*files: str) -> str:
    """Check declarations without publishing them."""
    if not files:
        raise errors.BadRequest("files", "none", "name at least one file")
    for file in files:
        read_document(file)
    return "\n".join(f"{file}: valid" for file in files)


def diff(file: str, log: str) -> str:
    """Print how a file differs from what is in force.

    Args:
        file: the YAML document.
        log: base URL of the platform's log.
    """
    document = read_document(file)

    async def run(client: log_module.LogClient) -> str:
        state = await publishing.read_state(client)
        changes = comparison.list_changes(normalize(state.document), document)
        lines = comparison.show_changes(changes) or "no difference"
        return f"against revision {state.revision}:\n{lines}"

    return access.run_with_log(log, run)


def publish(
    file: str, log: str, base: int | None = None, operator: str = "operator"
) -> str:
    """Publish a declaration.

    Args:
        file: the YAML document.
        log: base URL of the platform's log.
        base: revision that the document was drawn from; by default the one
            in force now.
        operator: who publishes.
    """
    document = read_document(file)

    async def run(client: log_module.LogClient) -> int:
        drawn_from = base
        if drawn_from is None:
            state = await publishing.read_state(client)
            drawn_from = state.revision
        return await publishing.publish(client, document, drawn_from, operator)

    return f"revision {access.run_with_log(log, run)} is in the log"


def confirm(node: str, key: str = "", wait_s: float = 0.0) -> str:
    """Print where each entry VM stands with the revision in force.

    Fails while any is still waiting: neither has it confirmed, nor has its
    freshness lease passed.

    Args:
        node: the operators' address of an entry VM, ip:port.
        key: operators' key; by default from CARAWAYWARD_OPERATOR_KEY.
        wait_s: wait up to this long for the last ones.
    """
    deadline = time.monotonic() + wait_s
    while True:
        shown = inspect.fetch_json(node, "/v1/status", key)
        states: dict[str, str] = shown["confirmations"]
        waiting = [name for name, state in states.items() if state == WAITING]
        if not waiting:
            break
        if time.monotonic() >= deadline:
            raise errors.NotConfirmed(shown["revision"], waiting)
        time.sleep(POLL_S)
    lines = [f"revision {shown['revision']}"]
    lines += [f"  {name:<24}{state}" for name, state in sorted(states.items())]
    return "\n".join(lines)


def withdraw(version: str, log: str, operator: str = "operator") -> str:
    """Withdraw a version: publish what is in force without it.

    Args:
        version: the version's name.
        log: base URL of the platform's log.
        operator: who publishes.
    """

    async def run(client: log_module.LogClient) -> int:
        state = await publishing.read_state(client)
        document = comparison.withdraw(normalize(state.document), version)
        return await publishing.publish(
            client, document, state.revision, operator
        )

    return f"revision {access.run_with_log(log, run)} withdraws {version}"


def rollback(
    log: str,
    to: int | None = None,
    restore_withdrawn: bool = False,
    operator: str = "operator",
) -> str:
    """Publish an earlier document again, as a new revision.

    Args:
        log: base URL of the platform's log.
        to: the revision whose document is wanted; by default the one
            before that in force.
        restore_withdrawn: also bring back versions that were withdrawn
            since; without it such a rollback is refused.
        operator: who publishes.
    """

    async def run(client: log_module.LogClient) -> int:
        history = await read_history(client)
        current, document = select_document(history, to)
        if not restore_withdrawn:
            check_no_version_restored(history[-1][1], document)
        return await publishing.publish(client, document, current, operator)

    return f"revision {access.run_with_log(log, run)} is in the log"


def show(log: str) -> str:
    """Print the configuration in force, as the log has it."""

    async def run(client: log_module.LogClient) -> str:
        state = await publishing.read_state(client)
        return json.dumps(
            {"revision": state.revision, "document": state.document}, indent=2
        )

    return access.run_with_log(log, run)


def digest(key: str) -> str:
    """Print the form in which a customer's key stands in a declaration."""
    return declaration.digest_key(key)


def read_document(file: str) -> dict:
    """Read and check a declaration file."""
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        raise errors.DeclarationError(
            "(file)", file, f"name a readable YAML file: {cause}"
        ) from None
    return declaration.unstructure(declaration.Declaration.from_text(text))


def normalize(document: dict | None) -> typing.Any:
    """A document in force with every default written out."""
    if document is None:
        return {}
    return declaration.unstructure(
        declaration.Declaration.from_config(document)
    )


async def read_history(client: log_module.LogClient) -> History:
    """Every revision that the log still holds, oldest first."""
    batch = await client.read(config_log.STREAM, 1)
    state = config_log.start_reading(batch.oldest)
    history: History = []
    while batch.records:
        for item in batch.records:
            record = config_log.decode(item.data)
            if record is not None:
                state = config_log.apply_record(state, item.offset, record)
            known = history[-1][0] if history else 0
            if state.revision > known and state.document is not None:
                history.append((state.revision, state.document))
        batch = await client.read(config_log.STREAM, batch.next_offset)
    return history


def select_document(history: History, to: int | None) -> tuple[int, dict]:
    """The revision in force, and the document to publish again."""
    known = [revision for revision, _ in history]
    if len(known) < 2 and to is None:
        raise errors.DeclarationError(
            "rollback", known, "there is no earlier revision in the log"
        )
    wanted = known[-2] if to is None else to
    for revision, document in history:
        if revision == wanted:
            return known[-1], document
    raise errors.DeclarationError(
        "rollback.to", to, f"name a revision of the log: {known}"
    )


def check_no_version_restored(current: dict, earlier: dict) -> None:
    """Refuse a rollback that would bring a withdrawn version back."""
    withdrawn = list_withdrawn(current)
    restored = sorted(withdrawn - list_withdrawn(earlier))
    if restored:
        raise errors.DeclarationError(
            "rollback",
            restored,
            "these were withdrawn since; add --restore_withdrawn to bring "
            "them back as well",
        )


def list_withdrawn(document: dict) -> set[str]:
    """Names of a document's withdrawn versions."""
    return {
        version["name"]
        for model in document["models"]
        for version in model["versions"]
        if version.get("state") == declaration.VersionState.WITHDRAWN.value
    }
