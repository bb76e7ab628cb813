"""A request that is run twice ends as soon as one run has ended."""

import trio

from carawayward.gateway import endpoints
from carawayward.gateway import hedging

END = endpoints.RunEnd(
    length=1, input_tokens=1, output_tokens=1, confidence=1.0
)


def test_second_run_that_begins_as_the_first_gives_text_is_cancelled():
    """A member's whole answer is there, and its end comes 40 s later.

    The first run gives text between the moment at which a second one is
    begun and that at which its task first runs. Cause: whoever wins cancels
    the runs that it knows of, and it does not know of that one yet.
    """

    async def run() -> None:
        go = trio.Event()
        got: list[str] = []

        async def collect(text: str) -> None:
            got.append(text)

        async def first(on_text: hedging.OnText) -> endpoints.RunEnd:
            await go.wait()
            await on_text("a")
            return END

        async def second(on_text: hedging.OnText) -> endpoints.RunEnd:
            await on_text("b")
            return END

        def make_hedge() -> hedging.Runner:
            go.set()
            return second

        with trio.fail_after(5):
            race = hedging.HedgedRun(collect)
            await race.run(first, 1.0, make_hedge)
        assert len(got) == 1

    # Which of the two tasks runs first is left to chance by trio.
    for _ in range(30):
        trio.run(run)
