"""Commands about roll-outs: show, halt, resume."""

import datetime

from carawayward.commands import access
from carawayward.controllers import rollout_reader
from carawayward.decisions import rollout as decisions
from carawayward import errors
from carawayward.services import log as log_module


def rollouts(log: str) -> str:
    """Print where each roll-out stands, as the log has it."""

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
        rollout: its name in the declaration.
        log: base URL of the platform's log.
        reason: shown to operators.
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
    """Let a halted roll-out go on.

    Args:
        rollout: its name in the declaration.
        log: base URL of the platform's log.
        stage: the stage to go on at; the first is 1.
        operator: who resumes it.
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
    """Fold the stream of roll-outs up to its tail."""
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
