"""A hedged request ends as soon as one of its runs has ended."""

import trio

from carawayward.gateway import endpoints
from carawayward.gateway import hedging

END = endpoints.RunEnd(
    length=1, input_tokens=1, output_tokens=1, confidence=1.0
)


def test_second_run_that_begins_as_the_first_gives_text_is_cancelled():
    """A second run must not keep a request open that has been answered.

    The first run gives text after the second was created and before its
    task begins. The winner cancels only runs that have registered, so the
    second run must check on its start whether another has already won.
    Without that check a complete answer ended only 40 s later.
    """

    async def run() -> None:
        hedge_requested = trio.Event()
        texts: list[str] = []

        async def collect(text: str) -> None:
            texts.append(text)

        async def first(on_text: hedging.OnText) -> endpoints.RunEnd:
            await hedge_requested.wait()
            await on_text("a")
            return END

        async def second(on_text: hedging.OnText) -> endpoints.RunEnd:
            await on_text("b")
            return END

        def make_hedge() -> hedging.Runner:
            hedge_requested.set()
            return second

        with trio.fail_after(5):
            hedged_run = hedging.HedgedRun(collect)
            await hedged_run.run(first, 1.0, make_hedge)
        assert len(texts) == 1

    # trio runs the two tasks in random order; repeat to cover both orders.
    for _ in range(30):
        trio.run(run)
