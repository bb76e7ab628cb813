"""Access of commands to the platform's log."""

import typing

import trio

from carawayward.services import log as log_module


def run_with_log(
    url: str,
    run: typing.Callable[[log_module.LogClient], typing.Awaitable],
) -> typing.Any:
    """Run an async function with a log client, and close the client.

    Args:
        url: base URL of the platform's log.
        run: called with the client; its result is returned.
    """

    async def call() -> typing.Any:
        client = log_module.LogClient.from_config(url)
        try:
            return await run(client)
        finally:
            await client.close()

    return trio.run(call)
