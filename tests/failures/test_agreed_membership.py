"""Endpoints that leave, vanish from the list, or are known to peers only."""

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
    """Endpoints that an entry VM knows, and whether each is leaving."""
    shown = config.read_status(vm)["endpoints"]
    return {each["name"]: each["leaving"] for each in shown}


def test_leaving_endpoint_gets_nothing_new_while_the_platform_is_down():
    """An engine begins to leave while list and log are down.

    Only the engine itself says so. Within a few seconds no entry VM may
    send it anything, or the work is cut off with it.
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


def test_newcomer_without_a_list_learns_endpoints_from_its_peers():
    """The platform's list is down and an entry VM is replaced.

    It has to serve: its peers know the endpoints.
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
    """Whether an entry VM takes requests."""
    try:
        return deployment.call("GET", vm.callers, "/readyz").status == 200
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return False


def test_endpoint_that_the_list_has_lost_is_kept_while_it_answers():
    """The list is wrong for a while: it shows no endpoint at all.

    Dropping what answers would be an outage made by the list.
    """
    with once.run_linked(SMALL) as running:
        address = running.addresses["vms"]
        deployment.call("PUT", address, "/vms", {"vms": []})
        time.sleep(3.0)
        for vm in running.entry_vms:
            assert len(show_endpoints(vm)) == 2
