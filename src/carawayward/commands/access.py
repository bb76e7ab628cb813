"""How commands reach the platform."""

import typing

import trio

from carawayward.services import log as log_module


def run_with_log(
    url: str,
    run: typing.Callable[[log_module.LogClient], typing.Awaitable],
) -> typing.Any:
    """Call ``run`` with a client of the log at ``url``."""

    async def call() -> typing.Any:
        client = log_module.LogClient.from_config(url)
        try:
            return await run(client)
        finally:
            await client.close()

    return trio.run(call)
