"""Bills while the log and entry VMs fail."""

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


def complete(vm: deployment.EntryProcess, key: str) -> deployment.Response:
    """Ask for a completion under a caller's own key."""
    return deployment.call(
        "POST",
        vm.callers,
        "/v1/chat/completions",
        COMPLETION,
        {**once.AUTH, "Idempotency-Key": key},
    )


def read_bills(running: deployment.Deployment) -> list[dict]:
    """Every record of the stream, doubles and all."""
    reply = deployment.call(
        "GET",
        running.addresses["log"],
        "/streams/billing/records?from=1&limit=100000",
    )
    return [record["data"] for record in reply.json()["records"]]


def list_billed(running: deployment.Deployment) -> set[str]:
    """Request keys that the log has a bill for."""
    return {bill["request_key"] for bill in read_bills(running)}


def test_bills_survive_an_outage_and_the_node_that_made_them():
    """The log is down, answers go out, and the entry VM is killed.

    Its restarted self knows nothing of the bills. Unless the buddies append
    them under the old incarnation, the answers are never paid for.
    """
    with once.run_linked(SMALL) as running:
        vm = running.entry_vms[0]
        running.set_faults("log", down=True)
        keys = {f"dark-{number}" for number in range(5)}
        for key in keys:
            assert complete(vm, key).status == 200
        assert vm.process is not None
        vm.process.send_signal(signal.SIGKILL)
        vm.process.wait()
        running.start_entry_vm(vm)
        time.sleep(1.0)
        running.set_faults("log", down=False)
        assert once.wait_until(lambda: keys <= list_billed(running), 25)


def test_planned_stop_in_an_outage_hands_its_bills_over():
    """A VM is replaced on plan while the log is down.

    The stop must neither hang until the log is back nor lose the bills.
    """
    with once.run_linked(SMALL) as running:
        vm = running.entry_vms[0]
        running.set_faults("log", down=True)
        assert complete(vm, "handed").status == 200
        assert vm.process is not None
        vm.process.send_signal(signal.SIGTERM)
        assert vm.process.wait(20) == 0
        running.set_faults("log", down=False)
        assert once.wait_until(lambda: "handed" in list_billed(running))


def test_lost_answers_of_the_log_bill_each_request_once():
    """Appends take effect and their answers are lost.

    The node appends again; the stream then holds doubles, the ledger must
    not.
    """
    with once.run_linked(SMALL) as running:
        running.set_faults("log", lose_answers=2, lose_in="billing")
        assert complete(running.entry_vms[0], "twice").status == 200
        assert once.wait_until(lambda: len(read_bills(running)) >= 3, 30)
        file = str(running.folder / "ledger")
        log = f"http://{running.addresses['log']}"
        assert bills.export(log, file).startswith("1 bills added")
        assert bills.export(log, file).startswith("0 bills added")
        assert "each once" in bills.check(file)


def test_alone_and_without_the_log_nothing_is_run_unbilled():
    """A single VM is cut off from its peers and from the log.

    No copy of a bill could be made anywhere. Work under way is reported as
    not whole within seconds, and new work is refused as not run.
    """
    alone = attrs.evolve(SMALL, entry_vms=1)
    with deployment.Deployment(alone) as running:
        vm = running.entry_vms[0]
        running.set_faults("log", down=True)
        began = time.monotonic()
        first = complete(vm, "first")
        assert (first.status, first.json()["not_run"]) == (502, False)
        assert time.monotonic() - began < 15
        second = complete(vm, "second")
        assert second.json()["reason"] == "not-billable"
        assert second.json()["not_run"] is True
        running.set_faults("log", down=False)
        assert once.wait_until(lambda: "first" in list_billed(running))
        assert once.wait_until(lambda: complete(vm, "third").status == 200)
        assert "second" not in list_billed(running)
