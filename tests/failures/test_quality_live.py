"""A roll-out on running entry VMs, from the first canary to a halt."""

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
    """Plan three entry VMs, and a roll-out with stages of one second."""
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


def send_request(vm: deployment.EntryProcess, number: int) -> str:
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


def send_until(
    running: deployment.Deployment, condition: typing.Callable[[], bool]
) -> list[str]:
    """Send requests through all entry VMs until ``condition`` holds."""
    answered: list[str] = []
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, read_log(running)
        for vm in running.entry_vms:
            answered.append(send_request(vm, len(answered)))
    return answered


def read_log(running: deployment.Deployment) -> list[dict]:
    """All records of the roll-out stream."""
    return demo.read_stream_records(running, "rollouts")


def list_rollout_states(running: deployment.Deployment) -> set[str]:
    """The roll-out's state on each entry VM, without duplicates."""
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
    """Every rating of the new version is bad.

    Some callers get bad answers; within seconds every entry VM must use the
    old version again. The operator, who found the cause elsewhere, resumes the
    roll-out, which then completes.
    """
    with deployment.Deployment(make_plan()) as running:
        running.set_faults("ratings", good={"sorter-4": 0.0})
        log = f"http://{running.addresses['log']}"
        tool = test_product_tools.run_tool
        answered = send_until(running, lambda: is_halted(running))
        assert 0 < answered.count("sorter-4") <= 2 * 6
        time.sleep(2.0)
        for number, vm in enumerate(running.entry_vms * 10):
            assert send_request(vm, 10_000 + number) == "sorter-3"
        shown = tool("rollouts", "--log", log).stdout
        assert "halted: worse than its baseline" in shown
        status = tool("status", running.entry_vms[1].operators).stdout
        assert "roll-out sorter-4-december: halted" in status
        running.set_faults("ratings", good={})
        name = "sorter-4-december"
        resumed = tool("resume", name, "--log", log)
        assert resumed.returncode == 0, resumed
        send_until(running, lambda: list_rollout_states(running) == {"done"})
        for number, vm in enumerate(running.entry_vms):
            version = send_request(vm, 20_000 + number)
            assert version == "sorter-4", (vm.name, version, read_log(running))
