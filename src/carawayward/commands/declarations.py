"""Commands that check, compare and publish declarations.

Their exit codes are for scripts: 0 done, 1 refused or invalid, 2 wrong
usage, 3 another publish took effect first, 4 no answer from the platform.
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
    """Validate declarations without publishing them.

    Args:
        files: the YAML documents.
    """
    if not files:
        raise errors.BadRequest("files", "none", "name at least one file")
    for file in files:
        read_document(file)
    return "\n".join(f"{file}: valid" for file in files)


def diff(file: str, log: str) -> str:
    """Print how a file differs from the configuration in force.

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
        base: revision that the document is based on; by default the one
            in force now.
        operator: name recorded as the publisher.
    """
    document = read_document(file)

    async def run(client: log_module.LogClient) -> int:
        based_on = base
        if based_on is None:
            state = await publishing.read_state(client)
            based_on = state.revision
        return await publishing.publish(client, document, based_on, operator)

    return f"revision {access.run_with_log(log, run)} is in the log"


def confirm(node: str, key: str = "", wait_s: float = 0.0) -> str:
    """Print whether each entry VM has confirmed the revision in force.

    Fails while any entry VM is waiting, which means that it has not
    confirmed the revision and its freshness lease has not expired.

    Args:
        node: address of an entry VM's operators' listener, ip:port.
        key: operators' key; by default from CARAWAYWARD_OPERATOR_KEY.
        wait_s: how many seconds to wait for all entry VMs.
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
    """Publish the document in force with one version withdrawn.

    Args:
        version: name of the version.
        log: base URL of the platform's log.
        operator: name recorded as the publisher.
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
    """Publish an earlier document as a new revision.

    Args:
        log: base URL of the platform's log.
        to: revision to roll back to; by default the one before the
            revision in force.
        restore_withdrawn: allow a rollback that restores versions which
            were withdrawn since; without it such a rollback is refused.
        operator: name recorded as the publisher.
    """

    async def run(client: log_module.LogClient) -> int:
        history = await read_history(client)
        current, document = select_document(history, to)
        if not restore_withdrawn:
            check_no_version_restored(history[-1][1], document)
        return await publishing.publish(client, document, current, operator)

    return f"revision {access.run_with_log(log, run)} is in the log"


def show(log: str) -> str:
    """Print the configuration in force according to the log.

    Args:
        log: base URL of the platform's log.
    """

    async def run(client: log_module.LogClient) -> str:
        state = await publishing.read_state(client)
        return json.dumps(
            {"revision": state.revision, "document": state.document}, indent=2
        )

    return access.run_with_log(log, run)


def digest(key: str) -> str:
    """Print the digest of a customer's key, for use in a declaration.

    Args:
        key: the key that the customer sends.
    """
    return declaration.digest_key(key)


def read_document(file: str) -> dict:
    """Read and validate a declaration file; write out every default."""
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        raise errors.DeclarationError(
            "(file)", file, f"name a readable YAML file: {cause}"
        ) from None
    return declaration.unstructure(declaration.Declaration.from_text(text))


def normalize(document: dict | None) -> typing.Any:
    """Return a document with every default written out; {} for None."""
    if document is None:
        return {}
    return declaration.unstructure(
        declaration.Declaration.from_config(document)
    )


async def read_history(client: log_module.LogClient) -> History:
    """Read every revision that the log still holds, oldest first."""
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
    """Return the revision in force, and the document to roll back to."""
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
        "rollback.to", to, f"name a revision that the log holds: {known}"
    )


def check_no_version_restored(current: dict, earlier: dict) -> None:
    """Raise DeclarationError if a rollback restores a withdrawn version."""
    withdrawn = list_withdrawn(current)
    restored = sorted(withdrawn - list_withdrawn(earlier))
    if restored:
        raise errors.DeclarationError(
            "rollback",
            restored,
            "these versions were withdrawn since; add --restore_withdrawn to "
            "restore them as well",
        )


def list_withdrawn(document: dict) -> set[str]:
    """Return the names of a document's withdrawn versions."""
    return {
        version["name"]
        for model in document["models"]
        for version in model["versions"]
        if version.get("state") == declaration.VersionState.WITHDRAWN.value
    }
