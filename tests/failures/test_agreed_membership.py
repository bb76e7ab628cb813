"""Endpoints that leave, vanish from the list, or are known only to peers."""

import time

import attrs
import httpcore

from tests.common import deployment
from tests.failures import test_agreed_config as config
from tests.failures import test_agreed_once as once

SMALL = attrs.evolve(
    deployment.ODUYA,
    without_rollouts=True,
    entry_vms=3,
    pools=(deployment.Pool(name="matchers", count=2, versions=("sorter-3",)),),
)


def show_endpoints(vm: deployment.EntryProcess) -> dict[str, bool]:
    """Whether each endpoint known to an entry VM is leaving, by name."""
    shown = config.read_status(vm)["endpoints"]
    return {each["name"]: each["leaving"] for each in shown}


def test_leaving_endpoint_gets_nothing_new_while_the_platform_is_down():
    """An engine starts to leave while the list and the log are down.

    Only the engine itself reports it. Within a few seconds no entry VM may
    send it new work, which would be lost when it stops.
    """
    with once.run_linked(SMALL) as running:
        running.set_faults("vms", down=True)
        running.set_faults("log", down=True)
        running.set_faults("matchers-0", leaving=True)
        assert once.wait_until(
            lambda: all(
                show_endpoints(vm)["matchers-0"] for vm in running.entry_vms
            ),
            6.0,
        )
        before = len(running.fetch_runs("matchers-0"))
        for vm in running.entry_vms * 3:
            reply = deployment.call(
                "POST",
                vm.callers,
                "/v1/chat/completions",
                {
                    "model": "swap-suggestion",
                    "messages": [{"role": "user", "content": "easy"}],
                },
                once.AUTH,
            )
            assert reply.status == 200, reply.content
        assert len(running.fetch_runs("matchers-0")) == before


def test_new_entry_vm_without_a_list_learns_endpoints_from_peers():
    """An entry VM is replaced while the platform's list is down.

    It must become ready and serve: its peers know the endpoints.
    """
    with once.run_linked(SMALL) as running:
        running.set_faults("vms", down=True)
        vm = running.entry_vms[0]
        assert vm.process is not None
        vm.process.kill()
        vm.process.wait()
        running.start_entry_vm(vm)
        assert once.wait_until(lambda: is_ready(vm))
        assert once.wait_until(lambda: len(show_endpoints(vm)) == 2)


def is_ready(vm: deployment.EntryProcess) -> bool:
    """Whether an entry VM accepts requests."""
    try:
        return deployment.call("GET", vm.callers, "/readyz").status == 200
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return False


def test_endpoint_that_the_list_has_lost_is_kept_while_it_answers():
    """The list is wrong for a while and shows no endpoint at all.

    Dropping endpoints that answer would turn the list's fault into an outage.
    """
    with once.run_linked(SMALL) as running:
        address = running.addresses["vms"]
        deployment.call("PUT", address, "/vms", {"vms": []})
        time.sleep(3.0)
        for vm in running.entry_vms:
            assert len(show_endpoints(vm)) == 2
