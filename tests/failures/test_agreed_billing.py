"""Tests that requests are billed while the log and entry VMs fail."""

import signal
import time

import attrs

from carawayward.commands import bills
from tests.common import deployment
from tests.failures import test_agreed_once as once

SMALL = attrs.evolve(
    once.SMALL,
    pools=(
        deployment.Pool(name="matchers", count=2, versions=("sorter-3",)),
        deployment.Pool(name="swap-desk", count=1),
    ),
)
COMPLETION = {
    "model": "swap-suggestion",
    "messages": [{"role": "user", "content": "an easy swap"}],
}


def complete(vm: deployment.EntryProcess, key: str) -> deployment.Reply:
    """Request a completion with a caller's own key."""
    return deployment.call(
        "POST",
        vm.callers,
        "/v1/chat/completions",
        COMPLETION,
        {**once.AUTH, "Idempotency-Key": key},
    )


def read_bills(running: deployment.Deployment) -> list[dict]:
    """Read all records of the stream, including duplicates."""
    reply = deployment.call(
        "GET",
        running.addresses["log"],
        "/streams/billing/records?from=1&limit=100000",
    )
    return [record["data"] for record in reply.json()["records"]]


def list_billed(running: deployment.Deployment) -> set[str]:
    """List the request keys that have a bill in the log."""
    return {bill["request_key"] for bill in read_bills(running)}


def test_bills_survive_an_outage_and_a_crash_of_their_node():
    """The entry VM answers while the log is down, and is then killed.

    After its restart it has no record of the bills. Unless the buddies
    append them for the old incarnation, the answers are never billed.
    """
    with once.run_linked(SMALL) as running:
        vm = running.entry_vms[0]
        running.switch("log", down=True)
        keys = {f"outage-{number}" for number in range(5)}
        for key in keys:
            assert complete(vm, key).status == 200
        assert vm.process is not None
        vm.process.send_signal(signal.SIGKILL)
        vm.process.wait()
        running.start_entry_vm(vm)
        time.sleep(1.0)
        running.switch("log", down=False)
        assert once.wait_until(lambda: keys <= list_billed(running), 25)


def test_planned_stop_during_an_outage_hands_over_its_bills():
    """An entry VM is stopped as planned while the log is down.

    The stop must neither wait for the log to recover nor lose the bills.
    """
    with once.run_linked(SMALL) as running:
        vm = running.entry_vms[0]
        running.switch("log", down=True)
        assert complete(vm, "handed").status == 200
        assert vm.process is not None
        vm.process.send_signal(signal.SIGTERM)
        assert vm.process.wait(20) == 0
        running.switch("log", down=False)
        assert once.wait_until(lambda: "handed" in list_billed(running))


def test_each_request_is_billed_once_when_the_log_loses_responses():
    """Appends take effect, but their responses are lost.

    The node appends again, so the stream holds duplicates; the ledger must
    not.
    """
    with once.run_linked(SMALL) as running:
        running.switch("log", lose_answers=2, lose_in="billing")
        assert complete(running.entry_vms[0], "twice").status == 200
        assert once.wait_until(lambda: len(read_bills(running)) >= 3, 30)
        file = str(running.folder / "ledger")
        log = f"http://{running.addresses['log']}"
        assert bills.export(log, file).startswith("1 bills added")
        assert bills.export(log, file).startswith("0 bills added")
        assert "each once" in bills.check(file)


def test_isolated_entry_vm_without_the_log_runs_nothing_unbilled():
    """A single entry VM has no peers and cannot reach the log.

    No copy of a bill can be stored anywhere. A running request fails within
    seconds with an unknown outcome, and new ones are refused as not run.
    """
    single = attrs.evolve(SMALL, entry_vms=1)
    with deployment.Deployment(single) as running:
        vm = running.entry_vms[0]
        running.switch("log", down=True)
        sent_s = time.monotonic()
        first = complete(vm, "first")
        assert (first.status, first.json()["not_run"]) == (502, False)
        assert time.monotonic() - sent_s < 15
        second = complete(vm, "second")
        assert second.json()["reason"] == "not-billable"
        assert second.json()["not_run"] is True
        running.switch("log", down=False)
        assert once.wait_until(lambda: "first" in list_billed(running))
        assert once.wait_until(lambda: complete(vm, "third").status == 200)
        assert "second" not in list_billed(running)
