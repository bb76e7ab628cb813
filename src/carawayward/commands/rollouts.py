"""Commands that show, halt and resume roll-outs."""

import datetime

from carawayward.commands import access
from carawayward.controllers import rollout_reader
from carawayward.decisions import rollout as decisions
from carawayward import errors
from carawayward.services import log as log_module


def rollouts(log: str) -> str:
    """Print the stage and state of each roll-out recorded in the log.

    Args:
        log: base URL of the platform's log.
    """

    async def run(client: log_module.LogClient) -> str:
        state = await read_state(client)
        lines = [f"{'roll-out':<32}{'stage':>6}  since                state"]
        for name, each in sorted(state.progress.items()):
            since = datetime.datetime.fromtimestamp(
                each.since_ms / 1000, datetime.UTC
            )
            shown = f"halted: {each.halted}" if each.halted else "running"
            lines.append(
                f"{name:<32}{each.stage + 1:>6}  "
                f"{since:%Y-%m-%d %H:%M:%S}  {shown}"
            )
        return "\n".join(lines)

    return access.run_with_log(log, run)


def halt(rollout: str, log: str, reason: str = "halted by operator") -> str:
    """Halt a roll-out on every entry VM.

    Args:
        rollout: name of the roll-out in the declaration.
        log: base URL of the platform's log.
        reason: shown to operators as the reason for the halt.
    """

    async def run(client: log_module.LogClient) -> str:
        known = (await read_state(client)).progress.get(
            rollout, decisions.Progress()
        )
        await client.append(
            rollout_reader.STREAM,
            [
                decisions.encode(
                    decisions.Halt(
                        rollout=rollout,
                        generation=known.generation,
                        node="carawaywardctl",
                        reason=reason,
                    )
                )
            ],
        )
        return f"{rollout} is halted"

    return access.run_with_log(log, run)


def resume(
    rollout: str, log: str, stage: int = 1, operator: str = "operator"
) -> str:
    """Resume a halted roll-out.

    Args:
        rollout: name of the roll-out in the declaration.
        log: base URL of the platform's log.
        stage: the stage at which to resume; the first is 1.
        operator: name of whoever resumes it.
    """

    async def run(client: log_module.LogClient) -> str:
        known = (await read_state(client)).progress.get(rollout)
        if known is None or not known.halted:
            raise errors.BadRequest(
                "rollout", rollout, "name a roll-out that is halted"
            )
        record = decisions.Resume(
            rollout=rollout,
            base=known.base,
            stage=max(0, stage - 1),
            operator=operator,
        )
        offset = await client.append(
            rollout_reader.STREAM, [decisions.encode(record)]
        )
        after = (await read_state(client)).progress[rollout]
        if after.base != offset:
            raise errors.PublishConflict(known.base, after.base)
        return f"{rollout} goes on at stage {stage}"

    return access.run_with_log(log, run)


async def read_state(client: log_module.LogClient) -> decisions.RolloutLog:
    """Read the state of all roll-outs by applying their whole log."""
    state = decisions.RolloutLog(known=False)
    offset = 1
    while True:
        batch = await client.read(rollout_reader.STREAM, offset)
        if offset == 1:
            state = decisions.start_reading(batch.oldest)
        if not batch.records:
            return state
        for item in batch.records:
            record = decisions.decode(item.data)
            if record is not None:
                state = decisions.apply_record(
                    state, item.offset, item.at_ms, record
                )
        offset = batch.next_offset
