"""Tests of operators' commands against a log that has forgotten its start."""

import pathlib
import tempfile
from unittest import mock

import attrs
from nose2.tools import params
import trio
import yaml

from carawayward import clock as clock_module
from carawayward.commands import access
from carawayward.commands import declarations
from carawayward import declaration
from carawayward import errors
from carawayward.protocol import config_log
from tests.common import platform_fakes

DOCUMENT = {
    "format": 1,
    "models": [
        {
            "name": "m",
            "versions": [{"name": "v1", "cost": 1.0, "state": "active"}],
        }
    ],
    "tasks": [{"name": "t", "cascade": ["m"]}],
    "customers": [],
}
SNAPSHOT = config_log.Snapshot(
    revision=5,
    document=DOCUMENT,
    digest=declaration.digest_document(DOCUMENT),
    as_of=2,
)


@attrs.define
class LateSnapshotLog(platform_fakes.FakeLog):
    """Has no snapshot until it has been read to its tail once."""

    async def read(self, stream, offset, wait_ms=0):
        batch = await super().read(stream, offset, wait_ms)
        if not batch.records and len(self.records) == 2:
            await self.append(stream, [config_log.encode(SNAPSHOT)])
        return batch


def run_command(command, *arguments):
    """Run an operators' command against a log without a known beginning."""
    log = LateSnapshotLog(clock_module.ManualClock(), oldest=2)
    publish = config_log.Publish(
        publish_id="p",
        base_revision=4,
        document=DOCUMENT,
        digest=declaration.digest_document(DOCUMENT),
        operator="op",
    )

    def run_with_log(url, run):
        async def call():
            await log.append("configuration", [config_log.encode(publish)] * 2)
            return await run(log)

        return trio.run(call)

    with mock.patch.object(access, "run_with_log", run_with_log):
        return command(*arguments)


@params(declarations.publish, declarations.diff)
def test_command_says_to_wait_while_the_configuration_is_unknown(command):
    """A snapshot that came a moment later was taken for another operator's."""
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "next.yaml"
        file.write_text(yaml.safe_dump(DOCUMENT))
        try:
            run_command(command, str(file), "log")
        except errors.ConfigurationForgotten as fault:
            assert "wait" in str(fault)
        else:
            raise AssertionError("based on a configuration that is unknown")


def test_unknown_configuration_is_not_shown_as_an_empty_one():
    """Operators would take it for a deployment without configuration."""
    try:
        shown = run_command(declarations.show, "log")
    except errors.ConfigurationForgotten:
        return
    raise AssertionError(shown)
