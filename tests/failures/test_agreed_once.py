"""Non-repeatable calls run at most once although processes fail."""

import concurrent.futures
import contextlib
import signal
import time
import typing

import attrs

from tests.common import deployment

SMALL = attrs.evolve(
    deployment.ODUYA,
    quiet=True,
    entry_vms=3,
    pools=(deployment.Pool(name="swap-desk", count=2),),
)
AUTH = {"Authorization": "Bearer demo-ikeja-families"}
OPERATORS = {"Authorization": f"Bearer {deployment.KEYS['operators'][0]}"}
PATH = "/v1/services/swap-desk/log-swap"


def call_once(
    vm: deployment.EntryProcess, swap: str, **headers: str
) -> deployment.Reply:
    """Call the non-repeatable operation through an entry VM."""
    extra_headers = {
        name.replace("_", "-"): text for name, text in headers.items()
    }
    return deployment.call(
        "POST", vm.callers, PATH, {"swap": swap}, {**AUTH, **extra_headers}
    )


def call_keyed(
    vm: deployment.EntryProcess, swap: str, made_ms: int = 0, **more: str
) -> deployment.Reply:
    """Call the operation under the caller's own key, made now by default."""
    return call_once(
        vm,
        swap,
        Idempotency_Key=f"key-{swap}",
        Carawayward_Key_Made_At=str(made_ms or int(time.time() * 1000)),
        **more,
    )


def get_ticket(vm: deployment.EntryProcess) -> str:
    """Get a ticket from an entry VM."""
    reply = deployment.call("POST", vm.callers, "/v1/tickets", {}, AUTH)
    return reply.json()["ticket"]


def look_up(vm: deployment.EntryProcess, key: str) -> dict:
    """Look up the outcome of a request at an entry VM."""
    path = f"/v1/requests/{key}"
    return deployment.call("GET", vm.callers, path, None, AUTH).json()


def count_runs(running: deployment.Deployment, swap: str) -> int:
    """Count how often the services have run a swap."""
    return sum(
        run["body"] == {"swap": swap}
        for name in running.pools["swap-desk"]
        for run in running.runs_of(name)
    )


def wait_until(check, timeout_s: float = 15.0) -> bool:
    """Wait until ``check`` is true; return False if it is not in time."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if check():
            return True
        time.sleep(0.05)
    return False


@contextlib.contextmanager
def run_linked(
    plan: deployment.Plan,
) -> typing.Iterator[deployment.Deployment]:
    """Run a deployment whose entry VMs have all heard from each other."""

    def count_heard_peers(vm: deployment.EntryProcess) -> int:
        shown = deployment.call(
            "GET", vm.operators, "/v1/status", None, OPERATORS
        ).json()
        return sum(each["heard_age_ms"] < 3_000 for each in shown["entry_vms"])

    with deployment.Deployment(plan) as running:
        others = plan.entry_vms - 1
        assert wait_until(
            lambda: all(
                count_heard_peers(vm) == others for vm in running.entry_vms
            )
        )
        yield running


def test_one_key_through_all_nodes_at_once_runs_once():
    """A caller sends one key through three entry VMs at once, twice each.

    This happens when a caller gives up on slow answers and calls the next
    VM. Any of the VMs could run the call, but only the one whose claim is
    first in the log may. Keys outside the time window do not run.
    """
    with run_linked(SMALL) as running:
        made_ms = int(time.time() * 1000)
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            replies = list(
                pool.map(
                    lambda vm: call_keyed(vm, "both", made_ms),
                    running.entry_vms * 2,
                )
            )
        assert [reply.status for reply in replies] == [200] * 6
        assert len({reply.content for reply in replies}) == 1
        assert count_runs(running, "both") == 1
        first, second = running.entry_vms[:2]
        assert look_up(second, "key-both")["outcome"] == "answered"
        assert look_up(first, "nothing")["outcome"] == "not-known"
        hour_ms = 3_600_000
        old = call_keyed(first, "old", made_ms - hour_ms - 1)
        assert (old.status, old.json()["reason"]) == (504, "key-expired")
        future = call_keyed(first, "future", made_ms + hour_ms)
        assert future.json()["reason"] == "key-expired"
        assert count_runs(running, "old") == count_runs(running, "future") == 0


def test_lost_answer_of_the_log_neither_repeats_nor_loses_a_call():
    """The log stores a claim, but its answer is lost.

    A node that ran the call without reading its claim back could run it a
    second time; one that gives up would lose it although its claim has won.
    """
    with run_linked(SMALL) as running:
        running.switch("log", lose_answers=1, lose_in="claims")
        reply = call_keyed(running.entry_vms[0], "lost")
        assert reply.status == 200
        again = call_keyed(running.entry_vms[1], "lost")
        assert again.content == reply.content
        assert count_runs(running, "lost") == 1


def test_while_the_log_is_down_keys_are_refused_and_tickets_run():
    """The platform log is down while callers use keys and tickets.

    A key may have been run by a VM that is gone, and only the log would show
    it. So "not run" may be said only if the caller states that this is its
    first attempt. Tickets still work, and refusals are not delayed.
    """
    with run_linked(SMALL) as running:
        vm = running.entry_vms[0]
        ticket = get_ticket(vm)
        running.switch("log", down=True)
        time.sleep(2.5)
        started_s = time.monotonic()
        reply = call_keyed(vm, "dark")
        assert (reply.status, reply.json()["reason"]) == (504, "no-claim")
        assert "retry-after" in reply.headers
        first = call_keyed(vm, "dark", Carawayward_Attempt="1")
        assert (first.status, first.json()["not_run"]) == (503, True)
        assert time.monotonic() - started_s < 3.0
        other = running.entry_vms[1]
        ran = call_once(other, "lit", Carawayward_Ticket=ticket)
        assert ran.status == 200
        running.switch("log", down=False)
        assert wait_until(lambda: call_keyed(vm, "dark").status == 200)
        assert count_runs(running, "dark") == count_runs(running, "lit") == 1


def test_resend_during_the_run_and_after_its_node_was_killed():
    """The caller of a slow service resends its ticket through another VM.

    It does so during the run and again after the issuer has been killed. The
    first resend gets the answer of the only run, the second gets "unknown".
    """
    with run_linked(SMALL) as running:
        issuer, other = running.entry_vms[:2]
        for name in running.pools["swap-desk"]:
            running.switch(name, slow_ms=1_500)
        ticket = get_ticket(issuer)
        with concurrent.futures.ThreadPoolExecutor(3) as pool:
            calls = [
                pool.submit(
                    call_once,
                    vm,
                    "slow",
                    Carawayward_Ticket=ticket,
                    Idempotency_Key="slow-key",
                )
                for vm in (issuer, other)
            ]
            time.sleep(0.3)
            found_outcomes = [
                look_up(vm, "slow-key").get("outcome")
                for vm in running.entry_vms
            ]
            short_deadline = call_once(
                other,
                "slow",
                Carawayward_Ticket=ticket,
                Carawayward_Deadline_Ms="100",
            )
            replies = [each.result() for each in calls]
        assert short_deadline.json()["reason"] == "in-progress"
        assert found_outcomes == ["running"] * 3
        assert [reply.status for reply in replies] == [200, 200]
        assert issuer.process is not None
        issuer.process.send_signal(signal.SIGKILL)
        issuer.process.wait()
        late = call_once(other, "slow", Carawayward_Ticket=ticket)
        assert (late.status, late.json()["not_run"]) == (504, False)
        assert count_runs(running, "slow") == 1


def test_503_of_a_service_does_not_make_a_ticket_reusable():
    """A service replies 503 without stating that the call did not run.

    Some services do so after they have begun to write, so the ticket stays
    used.
    """
    with run_linked(SMALL) as running:
        vm = running.entry_vms[0]
        for name in running.pools["swap-desk"]:
            running.switch(name, down=True)
        ticket = get_ticket(vm)
        reply = call_once(vm, "half", Carawayward_Ticket=ticket)
        assert (reply.status, reply.json()["not_run"]) == (504, False)
        for name in running.pools["swap-desk"]:
            running.switch(name, down=False)
        again = call_once(vm, "half", Carawayward_Ticket=ticket)
        assert again.status == 504
        assert count_runs(running, "half") == 0


def test_heirs_take_over_from_nodes_that_leave_one_after_another():
    """VMs are stopped as planned between the issue of a ticket and its use.

    The heir runs the unused ticket and replays the answer of the used one,
    also for calls through another VM. Then the heir leaves too.
    """
    with run_linked(SMALL) as running:
        issuer, heir, last = running.entry_vms
        used, unused, later = (get_ticket(issuer) for _ in range(3))
        before = call_once(issuer, "used", Carawayward_Ticket=used)
        stop(issuer)
        for vm in (heir, last):
            after = call_once(vm, "used", Carawayward_Ticket=used)
            assert (after.status, after.content) == (200, before.content)
            reply = call_once(vm, "unused", Carawayward_Ticket=unused)
            assert reply.status == 200
        stop(heir)
        for name, ticket in (("used", used), ("later", later)):
            reply = call_once(last, name, Carawayward_Ticket=ticket)
            assert reply.status == 200
        for name in ("used", "unused", "later"):
            assert count_runs(running, name) == 1


def stop(vm: deployment.EntryProcess) -> None:
    """Stop an entry VM as planned, with SIGTERM."""
    assert vm.process is not None
    vm.process.send_signal(signal.SIGTERM)
    assert vm.process.wait(20) == 0
