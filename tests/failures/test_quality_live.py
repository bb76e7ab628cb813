"""A roll-out on running entry VMs, from the first canary to the halt."""

import os
import pathlib
import tempfile
import time
import typing

import attrs
import yaml

from tests.common import deployment
from tests import demo
from tests.failures import test_product_tools

DOMAINS = ("ikeja", "yaba")
WAIT_S = 45.0


def make_plan() -> deployment.Plan:
    """Three entry VMs and a roll-out whose stages last a second."""
    document = yaml.safe_load(pathlib.Path("examples/oduya.yaml").read_text())
    document["rollouts"][0]["stages"] = [
        {
            "share": share,
            "dwell_ms": 1_000,
            "evidence": evidence,
            "exposure_budget": dict.fromkeys(DOMAINS, budget),
        }
        for share, evidence, budget in ((0.3, 10, 6), (1.0, 40, 30))
    ]
    handle, path = tempfile.mkstemp(suffix=".yaml")
    with os.fdopen(handle, "w") as file:
        yaml.safe_dump(document, file)
    return attrs.evolve(
        deployment.ODUYA,
        failure_domains=DOMAINS,
        entry_vms=3,
        pools=(
            deployment.Pool(
                name="matchers",
                count=2,
                versions=("sorter-3", "sorter-4", "matchmaker-2"),
            ),
        ),
        declaration=path,
    )


def ask(vm: deployment.EntryProcess, number: int) -> str:
    """Send one easy request; return the version that answered."""
    reply = deployment.call(
        "POST",
        vm.callers,
        "/v1/chat/completions",
        {
            "model": "swap-suggestion",
            "messages": [{"role": "user", "content": f"easy {number}"}],
        },
        {"Authorization": "Bearer demo-ikeja-families"},
    )
    assert reply.status == 200, reply
    return reply.json()["model"]


def ask_until(
    running: deployment.Deployment, holds: typing.Callable[[], bool]
) -> list[str]:
    """Send requests through all entry VMs until something holds."""
    answered: list[str] = []
    deadline = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < deadline, read_log(running)
        for vm in running.entry_vms:
            answered.append(ask(vm, len(answered)))
    return answered


def read_log(running: deployment.Deployment) -> list[dict]:
    """All records of the stream of roll-outs."""
    return demo.read_stream_records(running, "rollouts")


def list_states(running: deployment.Deployment) -> set[str]:
    """How the roll-out stands, on each entry VM."""
    key = deployment.KEYS["operators"][0]
    auth = {"Authorization": f"Bearer {key}"}
    return {
        trial["state"]
        for vm in running.entry_vms
        for trial in deployment.call(
            "GET", vm.operators, "/v1/status", headers=auth
        ).json()["rollouts"]
    }


def is_halted(running: deployment.Deployment) -> bool:
    """Whether a halt is in the log."""
    return any(record["kind"] == "halt" for record in read_log(running))


def test_bad_version_is_halted_on_every_entry_vm_and_resumed_by_tool():
    """The new version answers, and every rating of it is bad.

    Some callers get bad answers; within seconds every entry VM gives the
    old version again. The operator, who found the fault elsewhere, resumes
    the roll-out, and it is passed to the end.
    """
    with deployment.Deployment(make_plan()) as running:
        running.set_faults("ratings", good={"sorter-4": 0.0})
        log = f"http://{running.addresses['log']}"
        tool = test_product_tools.run_tool
        answered = ask_until(running, lambda: is_halted(running))
        assert 0 < answered.count("sorter-4") <= 2 * 6
        time.sleep(2.0)
        for number, vm in enumerate(running.entry_vms * 10):
            assert ask(vm, 10_000 + number) == "sorter-3"
        shown = tool("rollouts", "--log", log).stdout
        assert "halted: worse than its baseline" in shown
        status = tool("status", running.entry_vms[1].operators).stdout
        assert "roll-out sorter-4-december: halted" in status
        running.set_faults("ratings", good={})
        name = "sorter-4-december"
        resumed = tool("resume", name, "--log", log)
        assert resumed.returncode == 0, resumed
        ask_until(running, lambda: list_states(running) == {"done"})
        for number, vm in enumerate(running.entry_vms):
            given = ask(vm, 20_000 + number)
            assert given == "sorter-4", (vm.name, given, read_log(running))
