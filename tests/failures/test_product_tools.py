"""Tests of the operators' tool against running entry VMs."""

import json
import os
import subprocess
import sys

import trio

from tests.common import deployment
from tests import demo
from tests import demo_forwarded
from tests.failures import test_whole_path


def run_tool(*words: str) -> subprocess.CompletedProcess:
    """Run carawaywardctl with the demo's operators' key."""
    return subprocess.run(
        [sys.executable, "-m", "carawayward.command", *words],
        capture_output=True,
        text=True,
        env={
            **os.environ,
            "PYTHONPATH": "src:.",
            "CARAWAYWARD_OPERATOR_KEY": deployment.KEYS["operators"][0],
        },
    )


def test_operators_see_state_and_histograms_of_running_entry_vms():
    """status, top, histogram and bills agree with what was answered.

    A wrong operators' key is refused with a hint.
    """
    with deployment.Deployment(test_whole_path.SMALL) as running:
        jobs = demo.make_jobs(running, 12, seed=3)
        answered = [r for r in map(demo.send_job, jobs) if r.status == 200]
        nodes = [vm.operators for vm in running.entry_vms]
        shown = run_tool("status", nodes[0])
        assert "oduya-0 (ikeja): ready" in shown.stdout, shown
        assert "matchers-1" in shown.stdout
        rows = run_tool("top", *nodes).stdout.splitlines()[1:]
        assert sum(int(row.split()[2]) for row in rows) == len(answered)
        drawn = run_tool("histogram", *nodes, "--metric", "first_token")
        assert "#" in drawn.stdout
        refused = run_tool("status", nodes[0], "--key", "wrong")
        assert refused.returncode == 1
        assert "keys.operators" in refused.stderr
        bills = json.loads(
            run_tool(
                "bills", "--log", f"http://{running.addresses['log']}"
            ).stdout
        )
        assert sum(count for count, _ in bills.values()) <= len(answered)


def test_doctor_reports_what_does_not_answer_with_a_remedy():
    """An endpoint is killed while the platform's list still has it.

    The doctor runs on an entry VM's settings file, before and after.
    """
    with deployment.Deployment(test_whole_path.SMALL) as running:
        path = str(running.folder / "oduya-0.yaml")
        healthy = run_tool("doctor", path)
        assert healthy.returncode == 0, healthy
        running.processes["matchers-0"].kill()
        running.processes["matchers-0"].wait()
        failing = run_tool("doctor", path)
        assert failing.returncode == 1
        assert "BAD  endpoint matchers-0" in failing.stderr
        assert "-> start it" in failing.stderr


def test_demo_of_forwarded_routes_serves_everybody():
    """Servers decline calls and break off; every caller gets a response."""
    results = trio.run(demo_forwarded.play, 60)
    assert len(results) >= 60
    assert {result.kind for result in results} == {"look-up", "log", "stream"}
    assert all(r.status == 200 and r.whole for r in results)
