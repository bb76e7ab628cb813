"""Runs one test module with nose2 and writes the outcomes as JSON."""

import json
import pathlib
import sys
import time
import typing

from nose2 import events
from nose2 import main as nose2_main


class Collector(events.Plugin):
    """Records the outcome and the duration of each test.

    A skipped test does not count as passed.
    """

    configSection = "collector"  # noqa: N815 - nose2's name
    alwaysOn = True  # noqa: N815 - nose2's name
    outcomes: typing.ClassVar[dict[str, str]] = {}
    seconds: typing.ClassVar[dict[str, float]] = {}

    def startTest(self, event: typing.Any) -> None:  # noqa: N802
        """Record when a test starts."""
        self.started_s = time.monotonic()

    def stopTest(self, event: typing.Any) -> None:  # noqa: N802
        """Record the duration of a test."""
        name = event.test.id().partition("\n")[0]
        self.seconds[name] = time.monotonic() - self.started_s

    def testOutcome(self, event: typing.Any) -> None:  # noqa: N802
        """Record a test's outcome; a failure is not overwritten."""
        name = event.test.id().partition("\n")[0]
        if self.outcomes.get(name, "passed") == "passed":
            self.outcomes[name] = event.outcome


def main(module: str, results: str) -> None:
    """Run ``module`` and write its outcomes to the file ``results``."""
    nose2_main(
        module=None,
        argv=["nose2", "-s", ".", "-t", ".", module],
        plugins=[
            "tests.common.collecting",
            "nose2.plugins.loader.functions",
            "nose2.plugins.loader.generators",
            "nose2.plugins.loader.parameters",
            "nose2.plugins.result",
            "nose2.plugins.logcapture",
        ],
        exit=False,
    )
    collected = sys.modules["tests.common.collecting"].Collector
    pathlib.Path(results).write_text(
        json.dumps(
            {"outcomes": collected.outcomes, "seconds": collected.seconds}
        )
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
