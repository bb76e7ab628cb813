"""Properties under failures that must happen at one certain moment.

Each test named "without" takes a guard away and shows that the test of the
same fault would notice: see docs/PROOFS.md.
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


def take_ticket(vm: deployment.EntryProcess) -> dict[str, str]:
    """Headers of a call with a new ticket."""
    reply = deployment.call("POST", vm.callers, "/v1/tickets", {}, AUTH)
    return {**AUTH, "Carawayward-Ticket": reply.json()["ticket"]}


def log_swap(
    vm: deployment.EntryProcess,
    headers: dict[str, str],
    text: str,
    timeout_s: float = 10.0,
) -> deployment.Response | None:
    """Call an operation that may not be repeated; None for no answer."""
    path = "/v1/services/desk/log"
    try:
        return deployment.call(
            "POST", vm.callers, path, {"text": text}, headers, timeout_s
        )
    except (httpcore.TimeoutException, httpcore.NetworkError):
        return None


def count_runs(running: linked.LinkedDeployment, text: str) -> int:
    """How often the plain services have run a call."""
    return sum(
        run["body"]["text"] == text
        for name in running.pools["desk"]
        for run in running.fetch_runs(name)
    )


def read_revision(vm: deployment.EntryProcess) -> int:
    """The revision that an entry VM serves."""
    return deployment.call("GET", vm.callers, "/readyz").json()["revision"]


def ask_ready(vm: deployment.EntryProcess) -> int:
    """Status of an entry VM's readiness."""
    return deployment.call("GET", vm.callers, "/readyz").status


def wait_until(
    condition: typing.Callable[[], bool], timeout_s: float = 20.0
) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "it did not happen in time"
        time.sleep(0.05)


def is_stopped(vm: deployment.EntryProcess) -> bool:
    """Whether an entry VM's process is frozen."""
    assert vm.process is not None
    stat = pathlib.Path(f"/proc/{vm.process.pid}/stat").read_text()
    return stat.rpartition(")")[2].split()[0] == "T"


def wake_late(guards: str) -> int:
    """Runs after a ticket's holder woke long after its caller gave up."""
    daemon = f"{linked.UNGUARDED} {guards}"
    with linked.LinkedDeployment(plan=TWO, daemon=daemon) as running:
        vm = running.entry_vms[0]
        headers = take_ticket(vm)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(log_swap, vm, headers, "swap", 1.0)
            wait_until(lambda: is_stopped(vm))
            assert first.result() is None
        time.sleep(DISPATCH_WITHIN_S + 0.5)
        assert count_runs(running, "swap") == 0
        running.resume(vm)
        wait_until(lambda: not is_stopped(vm))
        time.sleep(1.5)
        return count_runs(running, "swap")


def test_holder_that_slept_between_mark_and_send_does_not_run():
    """A stamp is credited although its caller has long given up.

    The ticket's holder is frozen between marking the ticket used and sending
    the call. The caller gets no answer, finds no stamp, and may do it anew.
    The holder wakes and still believes that it is in charge.
    """
    assert wake_late("pause") == 0


def test_without_the_dispatch_limit_the_woken_holder_runs():
    """The test above notices when the limit is gone."""
    assert wake_late("pause,woken") == 1


def resend(daemon: str) -> list[int]:
    """Runs after a ticket was sent before, during and after its first run."""
    with linked.LinkedDeployment(plan=THREE, daemon=daemon) as running:
        issuer, *others = running.entry_vms
        for name in running.pools["desk"]:
            running.set_faults(name, late_ms=600)
        headers = take_ticket(issuer)
        with concurrent.futures.ThreadPoolExecutor(3) as pool:
            replies = list(
                pool.map(
                    lambda vm: log_swap(vm, headers, "swap"),
                    [*others, issuer],
                )
            )
        replies += [log_swap(vm, headers, "swap") for vm in others]
        runs = [count_runs(running, "swap")]
        running.kill(issuer)
        last = log_swap(others[0], headers, "swap")
        assert last is not None and last.status == 504
        assert not last.json()["not_run"]
        runs.append(count_runs(running, "swap"))
        if runs[0] == 1:
            answers = {reply.content for reply in replies if reply}
            assert [reply.status for reply in replies if reply] == [200] * 5
            assert len(answers) == 1
        return runs


def test_ticket_resent_through_other_nodes_runs_once():
    """A puzzle is promised twice.

    The caller sends its ticket through two other nodes before the issuer has
    run it, through the issuer during the run, through others after it, and
    once more when the issuer has died.
    """
    assert resend(linked.DAEMON) == [1, 1]


def test_without_the_book_a_resent_ticket_runs_again():
    """The test above notices when the book is not asked."""
    assert resend(f"{linked.UNGUARDED} mark")[0] > 1


def resend_to_leaving(daemon: str) -> list[bool]:
    """Whether a leaving node says "not run" of a resend, and of a first."""
    stop = {"unready_ms": 4_000, "deadline_ms": 15_000}
    plan = attrs.evolve(TWO, settings={**linked.SETTINGS, "stop": stop})
    with linked.LinkedDeployment(plan=plan, daemon=daemon) as running:
        leaving, other = running.entry_vms
        headers = take_ticket(other)
        first = log_swap(other, headers, "swap")
        assert first is not None and first.status == 200
        assert leaving.process is not None
        leaving.process.terminate()
        wait_until(lambda: ask_ready(leaving) == 503)
        replies = [
            log_swap(leaving, headers, "swap"),
            log_swap(leaving, {**headers, "Carawayward-Attempt": "1"}, "x"),
        ]
        return [reply.json()["not_run"] for reply in replies if reply]


def test_leaving_node_does_not_call_a_resent_ticket_not_run():
    """A parcel is logged twice.

    The caller lost the answer of its first attempt and sends its ticket
    through a node that is stopping. Told "not run", it takes a new ticket.
    """
    assert resend_to_leaving(linked.DAEMON) == [False, True]


def test_without_the_doubt_a_leaving_node_calls_it_not_run():
    """The test above notices when the attempt is not asked for."""
    assert resend_to_leaving(f"{linked.UNGUARDED} doubt") == [True, True]


def test_session_opened_without_a_version_never_gets_one():
    """A pilgrim's narrative changes its version half way.

    When the session opens, all versions of the customer's model drain, so
    none can start one. Later one becomes current, and then another.
    """
    with linked.LinkedDeployment(plan=TWO) as running:
        time.sleep(1.5)
        vm = running.entry_vms[0]
        auth = {"Authorization": "Bearer demo-beta"}

        def publish(base: int, **states: str) -> int:
            document = linked.make_document(**states)
            told = running.publish_document(document, base)
            wait_until(lambda: read_revision(vm) == told.revision)
            return told.revision

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


def run_queue(daemon: str) -> list[str]:
    """Runs of a version after its withdrawal was in force everywhere."""
    with linked.LinkedDeployment(plan=THREE, daemon=daemon) as running:
        for name in running.pools["engines"]:
            running.set_faults(name, late_ms=700)
        recorder = recorder_module.Recorder(running)
        work = recorder.work(seed=1, callers=40)
        time.sleep(3.0)
        told = recorder.publish(linked.make_document(cheap_1="withdrawn"), 1)
        assert told.accepted
        seen = recorder.history.observed_revisions
        wait_until(
            lambda: (
                {s.vm for s in seen if s.revision == told.revision}
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


def test_withdrawn_version_takes_nothing_that_was_queued():
    """A pilgrim gets a page by a version that was withdrawn a while ago.

    More requests wait than the engines take at once. The version that they
    were planned for is withdrawn while they wait.
    """
    assert run_queue(linked.DAEMON) == []


def test_bill_of_a_node_frozen_after_its_answer_is_there_once():
    """A member is not billed, or billed twice.

    The node freezes right after its answer, before its bill is in the log.
    Its buddies take it for gone and append the bill; it wakes and appends
    the bill as well.
    """
    with linked.LinkedDeployment(plan=THREE) as running:
        recorder = recorder_module.Recorder(running)
        vm = running.entry_vms[0]
        time.sleep(1.5)
        running.set_faults("log", down=True)
        running.entry_vms = [vm]
        for number in range(5):
            draw = random.Random(number)
            recorder.send(f"b-{number}", "quick", "alpha", draw)
        running.suspend(vm)
        running.set_faults("log", down=False)
        wait_until(
            lambda: len(running.fetch_all_records("billing")) >= 5, 30.0
        )
        running.resume(vm)
        time.sleep(2.0)
        history = recorder.collect()
        kinds = [call.kind for call in history.calls]
        assert kinds == [events.Kind.ANSWERED] * 5
        assert checkers.check_bills(history) == []


def test_of_two_racing_operators_one_wins_and_one_is_told_so():
    """Both operators believe that their document is in force.

    They drew their documents from the same revision and publish at once.
    """
    with linked.LinkedDeployment(plan=TWO) as running:
        documents = [
            linked.make_document(cheap_1=state)
            for state in ("withdrawn", "draining")
        ]
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            told = list(
                pool.map(lambda d: running.publish_document(d, 1), documents)
            )
        (winner,) = (each for each in told if each.accepted)
        (loser,) = (each for each in told if not each.accepted)
        told_so = f"revision {winner.revision} is in force"
        assert told_so in loser.text, loser.text
        wait_until(
            lambda: (
                {read_revision(vm) for vm in running.entry_vms}
                == {winner.revision}
            )
        )


def test_replacing_every_first_node_under_work_forgets_nothing():
    """After a week of replacements the circle's swaps look new again.

    Each entry VM is replaced while callers go on, until none of the first is
    left. A key that ran on the first node is sent once more, a session goes
    on, the configuration stands, and every answer has its bill.
    """
    with linked.LinkedDeployment(plan=TWO, spare_count=2) as running:
        time.sleep(1.5)
        key = {
            **AUTH,
            "Idempotency-Key": "swap",
            "Carawayward-Key-Made-At": str(time.time_ns() // 10**6),
        }
        first = log_swap(running.entry_vms[0], key, "swap")
        assert first is not None and first.status == 200
        recorder = recorder_module.Recorder(running)
        work = recorder.work(seed=2)
        told = recorder.publish(linked.make_document(cheap_2="draining"), 1)
        for vm in list(running.entry_vms):
            asked_ms = recorder_module.now_ms()
            running.replace(vm)
            recorder.history.stops.append(
                events.EntryVmStop(
                    vm=vm.name,
                    asked_ms=asked_ms,
                    ended_ms=recorder_module.now_ms(),
                    exit_code=0,
                )
            )
        time.sleep(1.0)
        work.stop()
        again = log_swap(running.entry_vms[0], key, "swap")
        assert count_runs(running, "swap") == 1
        assert again is not None and not again.json().get("not_run")
        last = max(
            recorder.history.observed_revisions, key=lambda seen: seen.at_ms
        )
        assert last.revision == told.revision
        recorder.history.calls.append(make_known("swap"))
        wait_until(lambda: checkers.check_bills(recorder.collect()) == [])
        found = checkers.check_all(recorder.collect())
        assert found == [], found


def make_known(key: str) -> events.Call:
    """An answered call that was sent beside the recorder."""
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
