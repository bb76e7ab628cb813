"""Tests of properties under faults injected at one exact point.

Each test named "without" removes a guard and shows that the test of the same
fault would then fail: see docs/PROOFS.md.
"""

import concurrent.futures
import pathlib
import random
import time
import typing

import attrs
import httpcore

from carawayward.protocol import claims
from tests.common import deployment
from tests.common import linked
from tests.history import checkers
from tests.history import events
from tests.history import recorder as recorder_module

AUTH = {"Authorization": "Bearer demo-alpha"}
DISPATCH_WITHIN_S = claims.Rules().dispatch_within_ms / 1000
TWO = attrs.evolve(linked.SMALL, entry_vms=2, failure_domains=("east",))
THREE = attrs.evolve(linked.SMALL, entry_vms=3)


def make_ticket_headers(vm: deployment.EntryProcess) -> dict[str, str]:
    """Take a ticket and return the headers of a call with it."""
    reply = deployment.call("POST", vm.callers, "/v1/tickets", {}, AUTH)
    return {**AUTH, "Carawayward-Ticket": reply.json()["ticket"]}


def call_log_operation(
    vm: deployment.EntryProcess,
    headers: dict[str, str],
    text: str,
    timeout_s: float = 10.0,
) -> deployment.Reply | None:
    """Call the non-repeatable operation "log"; None if there is no answer."""
    path = "/v1/services/desk/log"
    try:
        return deployment.call(
            "POST", vm.callers, path, {"text": text}, headers, timeout_s
        )
    except (httpcore.TimeoutException, httpcore.NetworkError):
        return None


def count_runs(running: linked.LinkedDeployment, text: str) -> int:
    """Count the runs of a call at the endpoints of the service."""
    return sum(
        run["body"]["text"] == text
        for name in running.pools["desk"]
        for run in running.runs_of(name)
    )


def read_revision(vm: deployment.EntryProcess) -> int:
    """Read the revision that an entry VM serves."""
    return deployment.call("GET", vm.callers, "/readyz").json()["revision"]


def check_readiness(vm: deployment.EntryProcess) -> int:
    """Return the status code of an entry VM's readiness check."""
    return deployment.call("GET", vm.callers, "/readyz").status


def wait_until(
    condition: typing.Callable[[], bool], timeout_s: float = 20.0
) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, (
            "condition not met before the time-out"
        )
        time.sleep(0.05)


def is_stopped(vm: deployment.EntryProcess) -> bool:
    """Whether an entry VM's process is stopped by a signal."""
    assert vm.process is not None
    stat = pathlib.Path(f"/proc/{vm.process.pid}/stat").read_text()
    return stat.rpartition(")")[2].split()[0] == "T"


def count_runs_after_late_resume(guards: str) -> int:
    """Count the runs after a holder resumes long after its caller gave up."""
    daemon = f"{linked.UNGUARDED} {guards}"
    with linked.LinkedDeployment(plan=TWO, daemon=daemon) as running:
        vm = running.entry_vms[0]
        headers = make_ticket_headers(vm)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(call_log_operation, vm, headers, "swap", 1.0)
            wait_until(lambda: is_stopped(vm))
            assert first.result() is None
        time.sleep(DISPATCH_WITHIN_S + 0.5)
        assert count_runs(running, "swap") == 0
        running.wake(vm)
        wait_until(lambda: not is_stopped(vm))
        time.sleep(1.5)
        return count_runs(running, "swap")


def test_holder_paused_between_mark_and_send_does_not_run():
    """A call runs long after its caller has given up.

    The ticket's holder is paused between marking the ticket used and sending
    the call. The caller gets no answer, finds no effect, and may call again
    with a new ticket. Then the holder resumes, with the call still to send.
    """
    assert count_runs_after_late_resume("pause") == 0


def test_without_the_dispatch_limit_the_resumed_holder_runs():
    """The test above fails without the limit."""
    assert count_runs_after_late_resume("pause,woken") == 1


def resend_ticket(daemon: str) -> list[int]:
    """Count the runs of a ticket sent before, during and after its first run.

    Counted while the issuer runs, and after it was killed.
    """
    with linked.LinkedDeployment(plan=THREE, daemon=daemon) as running:
        issuer, *others = running.entry_vms
        for name in running.pools["desk"]:
            running.switch(name, late_ms=600)
        headers = make_ticket_headers(issuer)
        with concurrent.futures.ThreadPoolExecutor(3) as pool:
            replies = list(
                pool.map(
                    lambda vm: call_log_operation(vm, headers, "swap"),
                    [*others, issuer],
                )
            )
        replies += [call_log_operation(vm, headers, "swap") for vm in others]
        runs = [count_runs(running, "swap")]
        running.kill(issuer)
        last = call_log_operation(others[0], headers, "swap")
        assert last is not None and last.status == 504
        assert not last.json()["not_run"]
        runs.append(count_runs(running, "swap"))
        if runs[0] == 1:
            answers = {reply.content for reply in replies if reply}
            assert [reply.status for reply in replies if reply] == [200] * 5
            assert len(answers) == 1
        return runs


def test_ticket_resent_through_other_nodes_runs_once():
    """A call runs twice.

    The caller sends its ticket through two other nodes before the issuer has
    run it, through the issuer during the run, through others after it, and
    again after the issuer was killed.
    """
    assert resend_ticket(linked.DAEMON) == [1, 1]


def test_without_the_rights_table_a_resent_ticket_runs_again():
    """The test above fails if the rights table is not consulted."""
    assert resend_ticket(f"{linked.UNGUARDED} mark")[0] > 1


def list_not_run_answers(daemon: str) -> list[bool]:
    """Whether a leaving node says "not run" to a resend and a first call."""
    stop = {"unready_ms": 4_000, "deadline_ms": 15_000}
    plan = attrs.evolve(TWO, settings={**linked.SETTINGS, "stop": stop})
    with linked.LinkedDeployment(plan=plan, daemon=daemon) as running:
        leaving, other = running.entry_vms
        headers = make_ticket_headers(other)
        first = call_log_operation(other, headers, "swap")
        assert first is not None and first.status == 200
        assert leaving.process is not None
        leaving.process.terminate()
        wait_until(lambda: check_readiness(leaving) == 503)
        replies = [
            call_log_operation(leaving, headers, "swap"),
            call_log_operation(
                leaving, {**headers, "Carawayward-Attempt": "1"}, "x"
            ),
        ]
        return [reply.json()["not_run"] for reply in replies if reply]


def test_leaving_node_does_not_answer_not_run_to_a_resent_ticket():
    """A call runs twice.

    The answer to the caller's first attempt was lost, and it resends its
    ticket through a node that is stopping. If that node answered "not run",
    the caller would take a new ticket.
    """
    assert list_not_run_answers(linked.DAEMON) == [False, True]


def test_without_the_retry_check_a_leaving_node_answers_not_run():
    """The test above fails if the attempt's number is not checked."""
    assert list_not_run_answers(f"{linked.UNGUARDED} doubt") == [
        True,
        True,
    ]


def test_session_opened_without_a_version_never_gets_one():
    """A session changes its version half-way.

    When the session is opened, all versions of the customer's model are
    draining, so it gets none. Later one version becomes
    active, and then another.
    """
    with linked.LinkedDeployment(plan=TWO) as running:
        time.sleep(1.5)
        vm = running.entry_vms[0]
        auth = {"Authorization": "Bearer demo-beta"}

        def publish(base: int, **states: str) -> int:
            document = linked.make_document(**states)
            reply = running.publish_document(document, base)
            wait_until(lambda: read_revision(vm) == reply.revision)
            return reply.revision

        draining = publish(1, cheap_1="draining", cheap_2="draining")
        opened = deployment.call("POST", vm.callers, "/v1/sessions", {}, auth)
        publish(draining, cheap_1="draining")
        path = "/v1/chat/completions"
        messages = [{"role": "user", "content": "a stage"}]
        body = {"model": "quick", "messages": messages}
        held = {**auth, "Carawayward-Session": opened.json()["token"]}
        refused = deployment.call("POST", vm.callers, path, body, held)
        assert refused.status == 409 and refused.json()["not_run"]
        free = deployment.call("POST", vm.callers, path, body, auth)
        assert free.json()["model"] == "cheap-2"


def list_runs_after_withdrawal(daemon: str) -> list[str]:
    """List runs of a version after its withdrawal is in force everywhere."""
    with linked.LinkedDeployment(plan=THREE, daemon=daemon) as running:
        for name in running.pools["engines"]:
            running.switch(name, late_ms=700)
        recorder = recorder_module.Recorder(running)
        work = recorder.work(seed=1, callers=40)
        time.sleep(3.0)
        published = recorder.publish(
            linked.make_document(cheap_1="withdrawn"), 1
        )
        assert published.accepted
        seen = recorder.history.seen
        wait_until(
            lambda: (
                {s.vm for s in seen if s.revision == published.revision}
                == {vm.name for vm in running.entry_vms}
            )
        )
        in_force_ms = recorder_module.now_ms()
        time.sleep(3.0)
        work.stop()
        history = recorder.collect()
        assert any(run.version == "cheap-2" for run in history.runs)
        late = [
            run.key
            for run in history.runs
            if run.version == "cheap-1" and run.at_ms > in_force_ms + 300
        ]
        return late


def test_withdrawn_version_gets_no_queued_requests():
    """A request is answered by a version that was withdrawn earlier.

    Requests are queued because the engines are at capacity. The version that
    was chosen for them is withdrawn while they wait.
    """
    assert list_runs_after_withdrawal(linked.DAEMON) == []


def test_bill_of_a_node_paused_after_its_answer_is_counted_once():
    """A request is not billed, or billed twice.

    The node is paused right after its answer, before its bill is in the log.
    Its buddies conclude that it has failed and append the bill; it resumes
    and appends the bill as well.
    """
    with linked.LinkedDeployment(plan=THREE) as running:
        recorder = recorder_module.Recorder(running)
        vm = running.entry_vms[0]
        time.sleep(1.5)
        running.switch("log", down=True)
        running.entry_vms = [vm]
        for number in range(5):
            draw = random.Random(number)
            recorder.send(f"b-{number}", "quick", "alpha", draw)
        running.freeze(vm)
        running.switch("log", down=False)
        wait_until(lambda: len(running.log_records("billing")) >= 5, 30.0)
        running.wake(vm)
        time.sleep(2.0)
        history = recorder.collect()
        kinds = [call.kind for call in history.calls]
        assert kinds == [events.Kind.ANSWERED] * 5
        assert checkers.check_bills(history) == []


def test_of_two_concurrent_publishes_one_wins_and_one_is_refused():
    """Two operators publish concurrently, based on the same revision.

    Without an explicit refusal, both would assume that their own document is
    in force.
    """
    with linked.LinkedDeployment(plan=TWO) as running:
        documents = [
            linked.make_document(cheap_1=state)
            for state in ("withdrawn", "draining")
        ]
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            replies = list(
                pool.map(lambda d: running.publish_document(d, 1), documents)
            )
        (winner,) = (each for each in replies if each.accepted)
        (loser,) = (each for each in replies if not each.accepted)
        expected = f"revision {winner.revision} is in force"
        assert expected in loser.text, loser.text
        wait_until(
            lambda: (
                {read_revision(vm) for vm in running.entry_vms}
                == {winner.revision}
            )
        )


def test_replacing_all_initial_nodes_under_load_loses_no_state():
    """State is lost after all entry VMs were replaced one by one.

    Each initial entry VM is replaced while callers continue. Afterwards, a
    key that ran on the first of them is sent again and does not run, sessions
    continue, the configuration is unchanged, and every answer has its bill.
    """
    with linked.LinkedDeployment(plan=TWO, spares=2) as running:
        time.sleep(1.5)
        key = {
            **AUTH,
            "Idempotency-Key": "swap",
            "Carawayward-Key-Made-At": str(time.time_ns() // 10**6),
        }
        first = call_log_operation(running.entry_vms[0], key, "swap")
        assert first is not None and first.status == 200
        recorder = recorder_module.Recorder(running)
        work = recorder.work(seed=2)
        published = recorder.publish(
            linked.make_document(cheap_2="draining"), 1
        )
        for vm in list(running.entry_vms):
            asked_ms = recorder_module.now_ms()
            running.replace(vm)
            recorder.history.stopped.append(
                events.Stopped(
                    vm=vm.name,
                    asked_ms=asked_ms,
                    ended_ms=recorder_module.now_ms(),
                    exit_code=0,
                )
            )
        time.sleep(1.0)
        work.stop()
        again = call_log_operation(running.entry_vms[0], key, "swap")
        assert count_runs(running, "swap") == 1
        assert again is not None and not again.json().get("not_run")
        last = max(recorder.history.seen, key=lambda seen: seen.at_ms)
        assert last.revision == published.revision
        recorder.history.calls.append(make_answered_call("swap"))
        wait_until(lambda: checkers.check_bills(recorder.collect()) == [])
        found = checkers.check_all(recorder.collect())
        assert found == [], found


def make_answered_call(key: str) -> events.Call:
    """Make an answered call that was not sent by the recorder."""
    return events.Call(
        key=key,
        customer="alpha",
        vm="",
        began_ms=0,
        ended_ms=1,
        kind=events.Kind.ANSWERED,
        once=True,
        text=key,
        expected={"": key},
    )
