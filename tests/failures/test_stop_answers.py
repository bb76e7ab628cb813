"""A planned stop answers each request that it does not let finish."""

import collections
import concurrent.futures
import contextlib
import functools
import json
import signal
import socket
import threading
import time
import typing

import attrs
import httpcore

from tests.common import deployment
from tests.common import streaming

STOP = {"unready_ms": 100, "deadline_ms": 3_000}
# Ends before the wait for a claim would end by itself.
SHORT_STOP = {"unready_ms": 100, "deadline_ms": 2_000}
LONG_STOP = {"unready_ms": 100, "deadline_ms": 90_000}
FINAL_EVENTS = ("request_refused", "request_unknown")
# How long a process may take to end after what it must do is done.
EXIT_TIMEOUT_S = 20.0


@attrs.frozen
class Ended:
    """How the requests of one stop ended, by request key.

    ``replies`` holds a caller's reply or the exception that it got instead;
    ``took_s`` is measured from the signal.
    """

    replies: dict[str, typing.Any]
    took_s: dict[str, float]
    exit_code: int
    events: list[dict]

    def find_events(self, name: str) -> list[dict]:
        """Return the logged events of a kind."""
        return [event for event in self.events if event["name"] == name]

    def count_final_lines(self) -> collections.Counter[str]:
        """Count the lines that say how a request has ended."""
        return collections.Counter(
            event["request"]
            for event in self.events
            if event["name"] in FINAL_EVENTS
        )


def read_events(running: deployment.Deployment, name: str) -> list[dict]:
    """Return the events that an entry VM has logged."""
    lines = (running.folder / f"{name}.out").read_text().splitlines()
    found = [line[line.index("{") :] for line in lines if '{"event"' in line]
    return [json.loads(line) for line in found]


def call_api(
    vm: deployment.EntryProcess, key: str, path: str, body: dict, **more: str
) -> deployment.Response:
    """Call the callers' API under a request key."""
    headers = {**streaming.AUTH, "Idempotency-Key": key, **more}
    return deployment.call("POST", vm.callers, path, body, headers)


def complete(
    vm: deployment.EntryProcess, key: str, text: str
) -> deployment.Response:
    """Send a completion that is not streamed."""
    body = streaming.make_body(text, stream=False)
    return call_api(vm, key, "/v1/chat/completions", body)


def call_service(
    vm: deployment.EntryProcess, key: str, operation: str, **headers: str
) -> deployment.Response:
    """Call an operation of the service."""
    path = f"/v1/services/swap-desk/{operation}"
    return call_api(vm, key, path, {"text": key}, **headers)


def call_with_key(
    vm: deployment.EntryProcess, key: str, attempt: str
) -> deployment.Response:
    """Call an operation that may not be repeated, under a caller's key."""
    made_ms = str(time.time_ns() // 1_000_000)
    return call_service(
        vm,
        key,
        "log-swap",
        **{
            "Carawayward-Key-Made-At": made_ms,
            "Carawayward-Attempt": attempt,
        },
    )


def count_running(vm: deployment.EntryProcess) -> int:
    """Count the requests that an entry VM runs or has queued."""
    auth = {"Authorization": f"Bearer {deployment.KEYS['operators'][0]}"}
    reply = deployment.call("GET", vm.operators, "/v1/status", None, auth)
    return int(reply.json()["running"])


def is_in_hand(vm: deployment.EntryProcess, key: str) -> bool:
    """Whether an entry VM has a request in hand."""
    path = f"/v1/requests/{key}"
    reply = deployment.call("GET", vm.callers, path, None, streaming.AUTH)
    return bool(reply.json()["outcome"] == "running")


def stop_and_collect(
    running: deployment.Deployment,
    calls: typing.Mapping[str, typing.Callable[[], deployment.Response]],
    begun: typing.Callable[[], bool],
    signals: int = 1,
) -> Ended:
    """Start the calls, stop the first entry VM once they have begun.

    A call of an entry VM that is not the first one's is let end as well.
    """
    vm = running.entry_vms[0]
    assert vm.process is not None
    replies: dict[str, typing.Any] = {}
    took_s: dict[str, float] = {}
    signalled_s = 0.0

    def run(key: str) -> None:
        try:
            replies[key] = calls[key]()
        except Exception as fault:
            replies[key] = fault
        took_s[key] = time.monotonic() - signalled_s

    with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
        for key in calls:
            pool.submit(run, key)
        assert streaming.wait_for(begun), replies
        signalled_s = time.monotonic()
        for number in range(signals):
            vm.process.send_signal(signal.SIGTERM)
            if number + 1 < signals:
                assert streaming.wait_for(
                    lambda: any(
                        event["name"] == "node_leaving"
                        for event in read_events(running, vm.name)
                    )
                )
        exit_code = vm.process.wait(EXIT_TIMEOUT_S)
    return Ended(replies, took_s, exit_code, read_events(running, vm.name))


def describe(reply: typing.Any) -> tuple[int, bool] | str:
    """Return a refusal's status and whether it says "not run"."""
    if not isinstance(reply, deployment.Response):
        return type(reply).__name__
    return reply.status, reply.json()["not_run"]


def read_error(reply: typing.Any) -> dict | None:
    """Return the error event that ends a stream, if it has one."""
    if not isinstance(reply, deployment.Response):
        return None
    *_, event, rest = reply.content.decode().split("\n\n")
    if rest or not event.startswith("event: error\n"):
        return None
    return dict(json.loads(event.partition("data: ")[2])["error"])


def count_runs(running: deployment.Deployment, pool: str) -> int:
    """Count the runs that the endpoints of a pool have recorded."""
    return sum(len(running.fetch_runs(name)) for name in running.pools[pool])


def stop_while_endpoints_work(signals: int) -> Ended:
    """Stop while endpoints work on a request of each kind."""
    stop = STOP if signals == 1 else LONG_STOP
    plan = streaming.make_plan(engines=1, stop=stop)
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        running.set_faults("swap-desk-0", silent_after=True)
        issued = call_api(vm, "", "/v1/tickets", {}).json()
        ticket = {"Carawayward-Ticket": issued["ticket"]}
        running.set_faults("matchers-0", late_ms=60_000)
        return stop_and_collect(
            running,
            {
                "run": lambda: complete(vm, "run", "a run"),
                "service": lambda: call_service(
                    vm, "service", "look-up-parcel"
                ),
                "ticket": lambda: call_service(
                    vm, "ticket", "log-swap", **ticket
                ),
            },
            lambda: (
                count_runs(running, "matchers") == 1
                and count_runs(running, "swap-desk") == 2
            ),
            signals,
        )


def check_unknown(ended: Ended, counted_as: str) -> None:
    """Check that each request got an answer that promises nothing.

    ``counted_as`` is the field of the event of the stop that counts them.
    """
    found = {key: describe(reply) for key, reply in ended.replies.items()}
    assert found == dict.fromkeys(
        ("run", "service", "ticket"), (504, False)
    ), ended.replies
    assert ended.count_final_lines() == dict.fromkeys(found, 1)
    assert ended.exit_code == 1
    (cut,) = ended.find_events("work_cut")
    assert cut[counted_as] == 3, cut


def test_requests_that_endpoints_work_on_are_answered_before_the_deadline():
    """Callers get a reset connection and the log has no line.

    An engine's first token, a service's answer and that of a call that may
    not be repeated are still to come when the deadline of the stop passes.
    """
    check_unknown(stop_while_endpoints_work(signals=1), "ended")


def test_requests_that_endpoints_work_on_are_answered_at_a_second_signal():
    """An operator in a hurry resets the connections of all callers."""
    check_unknown(stop_while_endpoints_work(signals=2), "running")


def stop_during_a_stream(signals: int) -> Ended:
    """Stop while a stream of minutes is being sent.

    Its caller has received some of it; one that has not gets a whole reply.
    """
    stop = STOP if signals == 1 else LONG_STOP
    plan = streaming.make_plan(engines=1, stop=stop)
    begun = threading.Event()
    with deployment.Deployment(plan) as running:
        address = running.entry_vms[0].callers

        def read() -> deployment.Response:
            content = b""
            with streaming.open_stream(
                address, "long tokens=90000", key="stream"
            ) as response:
                for chunk in response.iter_stream():
                    content += chunk
                    begun.set()
            return deployment.Response(response.status, {}, content)

        return stop_and_collect(
            running, {"stream": read}, begun.is_set, signals
        )


def test_stream_that_a_stop_cuts_off_ends_with_an_error_event():
    """A caller cannot tell a stop from a broken network.

    A stream of minutes ended in the middle, without its last chunk.
    """
    for signals in (1, 2):
        ended = stop_during_a_stream(signals)
        error = read_error(ended.replies["stream"])
        assert error is not None, ended.replies
        assert error["outcome"] == "unknown"
        assert ended.count_final_lines() == {"stream": 1}
        assert ended.exit_code == 1


def test_queued_requests_without_time_left_are_refused_when_the_stop_begins():
    """Callers wait for nothing until the deadline, and then get a reset.

    The engine is busy with runs of minutes. What still waits has not run
    and another entry VM can run it.
    """
    plan = streaming.make_plan(
        engines=1, stop=LONG_STOP | {"deadline_ms": 6000}
    )
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        # From this run the entry VM learns how long such an answer takes.
        running.set_faults("matchers-0", late_ms=8_000)
        assert complete(vm, "learn", "first").status == 200
        running.set_faults("matchers-0", late_ms=60_000)
        calls = {
            key: functools.partial(complete, vm, key, key)
            for key in (f"request-{number}" for number in range(12))
        }

        def all_wait() -> bool:
            return count_running(vm) == len(calls)

        ended = stop_and_collect(running, calls, all_wait)
        run_count = count_runs(running, "matchers") - 1
    refused = [
        key
        for key, reply in ended.replies.items()
        if describe(reply) == (503, True)
    ]
    unknown = [
        key
        for key, reply in ended.replies.items()
        if describe(reply) == (504, False)
    ]
    assert len(unknown) == run_count, ended.replies
    assert len(refused) == len(calls) - run_count > 0
    for key in refused:
        assert ended.replies[key].json()["reason"] == "leaving"
        assert ended.took_s[key] < 3.0, ended.took_s
    assert ended.count_final_lines() == dict.fromkeys(calls, 1)


def test_calls_that_wait_for_a_claim_are_answered_before_the_deadline():
    """Callers with keys of their own get a reset when the log hangs.

    Nothing has been sent. Only the caller who states that it is its first
    attempt can be told "not run".
    """
    plan = streaming.make_plan(engines=1, stop=SHORT_STOP)
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        running.processes["log"].send_signal(signal.SIGSTOP)
        ended = stop_and_collect(
            running,
            {
                "first": lambda: call_with_key(vm, "first", "1"),
                "again": lambda: call_with_key(vm, "again", "2"),
            },
            lambda: is_in_hand(vm, "first") and is_in_hand(vm, "again"),
        )
        assert count_runs(running, "swap-desk") == 0
    found = {key: describe(reply) for key, reply in ended.replies.items()}
    assert found == {"first": (503, True), "again": (504, False)}, found
    assert ended.count_final_lines() == {"first": 1, "again": 1}


def test_call_relayed_to_a_stopping_peer_is_answered():
    """A caller of one entry VM waits in vain for another that has stopped.

    The peer that issued the ticket runs the call and stops meanwhile.
    """
    plan = streaming.make_plan(entry_vms=2, engines=1, stop=STOP)
    with deployment.Deployment(plan) as running:
        holder, entry = running.entry_vms
        running.set_faults("swap-desk-0", silent_after=True)
        issued = call_api(holder, "", "/v1/tickets", {}).json()
        ticket = {"Carawayward-Ticket": issued["ticket"]}
        ended = stop_and_collect(
            running,
            {
                "relayed": lambda: call_service(
                    entry, "relayed", "log-swap", **ticket
                )
            },
            lambda: count_runs(running, "swap-desk") == 1,
        )
        entry_events = read_events(running, entry.name)
    assert describe(ended.replies["relayed"]) == (504, False)
    found = ended.replies["relayed"].json()
    assert found["reason"] == "leaving", found
    assert ended.took_s["relayed"] < 3.0
    lines = [e for e in entry_events if e["name"] in FINAL_EVENTS]
    assert [line["request"] for line in lines] == ["relayed"]


def test_call_that_is_queued_for_a_service_is_refused_as_not_run():
    """A caller must look up a call that was never sent.

    All slots of the service are taken by calls that give no answer. The
    ticket of the queued call stays unused, and its heir runs it.
    """
    plan = streaming.make_plan(entry_vms=2, engines=1, stop=STOP)
    with deployment.Deployment(plan) as running:
        vm, heir = running.entry_vms
        running.set_faults("swap-desk-0", silent_before=True)
        tickets = {
            f"call-{number}": call_api(vm, "", "/v1/tickets", {}).json()
            for number in range(8)
        }
        calls = {
            key: functools.partial(
                call_service,
                vm,
                key,
                "log-swap",
                **{"Carawayward-Ticket": issued["ticket"]},
            )
            for key, issued in tickets.items()
        }
        ended = stop_and_collect(
            running, calls, lambda: count_running(vm) == len(calls)
        )
        refused = [
            key
            for key, reply in ended.replies.items()
            if describe(reply) == (503, True)
        ]
        assert refused, ended.replies
        for key in set(calls) - set(refused):
            assert describe(ended.replies[key]) == (504, False)
        assert ended.count_final_lines() == dict.fromkeys(calls, 1)
        running.set_faults("swap-desk-0", silent_before=False)
        for key in refused:
            assert ended.replies[key].json()["reason"] == "leaving"
            ticket = {"Carawayward-Ticket": tickets[key]["ticket"]}
            again = call_service(heir, key, "log-swap", **ticket)
            assert again.status == 200, again
        assert count_runs(running, "swap-desk") == len(refused)


def test_body_that_is_still_being_sent_is_answered_by_a_stop():
    """A caller that sends its body slowly gets a reset connection."""
    plan = streaming.make_plan(engines=1, stop=STOP)
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        assert vm.process is not None
        host, _, port = vm.callers.partition(":")
        with socket.create_connection((host, int(port)), 20.0) as connection:
            connection.sendall(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: vm\r\n"
                b"Authorization: Bearer demo-ikeja-families\r\n"
                b"Content-Length: 1000\r\n\r\n{"
            )
            # The head has been read once a later request is answered.
            assert deployment.call("GET", vm.callers, "/readyz").status == 200
            vm.process.send_signal(signal.SIGTERM)
            reply = connection.recv(65_536)
        assert reply.startswith(b"HTTP/1.1 408 "), reply
        assert b'"not_run":true' in reply, reply
        vm.process.wait(EXIT_TIMEOUT_S)
        bad = [
            event
            for event in read_events(running, vm.name)
            if event["name"] == "request_bad"
        ]
        assert len(bad) == 1, bad


def test_request_whose_caller_stops_reading_has_its_line():
    """An operator cannot find the request that a stop cut off.

    The caller of a long stream reads no more, so that nothing can be
    written until the process ends.
    """
    plan = streaming.make_plan(engines=1, stop=SHORT_STOP)
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        assert vm.process is not None
        running.set_faults("matchers-0", token_ms=0)
        with streaming.open_stream(vm.callers, "tokens=900000") as response:
            chunks = response.iter_stream()
            next(chunks)
            headers = dict(response.headers)
            key = headers[b"carawayward-request"].decode()
            assert streaming.wait_for(lambda: has_stalled(running))
            vm.process.send_signal(signal.SIGTERM)
            assert vm.process.wait(EXIT_TIMEOUT_S) == 1
        lines = [
            event["request"]
            for event in read_events(running, vm.name)
            if event["name"] in FINAL_EVENTS
        ]
    assert lines == [key], lines


def has_stalled(running: deployment.Deployment) -> bool:
    """Whether the engine makes no more tokens of its only run."""
    address = running.addresses["matchers-0"]
    counts = []
    for _ in range(2):
        (run,) = deployment.call("GET", address, "/kept").json()
        counts.append(run["made"])
        time.sleep(0.5)
        assert run["state"] == "running", run
    return bool(counts[0] == counts[1])


def test_requests_that_arrive_during_a_stop_have_a_line_each():
    """An operator cannot tell how many requests a stop has turned away.

    They come over connections that were open before, are answered at once,
    and the log had no line of them.
    """
    plan = streaming.make_plan(
        engines=1, stop={"unready_ms": 1_500, "deadline_ms": 20_000}
    )
    paths = ("/v1/chat/completions", "/v1/services/swap-desk/look-up-parcel")
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        assert vm.process is not None
        with contextlib.ExitStack() as stack:
            pools = [
                stack.enter_context(httpcore.ConnectionPool()) for _ in paths
            ]
            for pool in pools:
                pool.request("GET", f"http://{vm.callers}/healthz")
            vm.process.send_signal(signal.SIGTERM)
            assert streaming.wait_for(
                lambda: any(
                    event["name"] == "node_leaving"
                    for event in read_events(running, vm.name)
                )
            )
            for pool, path in zip(pools, paths, strict=True):
                reply = pool.request(
                    "POST",
                    f"http://{vm.callers}{path}",
                    headers=list(streaming.HEADERS.items()),
                    content=json.dumps(streaming.make_body("late")).encode(),
                )
                assert reply.status == 503, reply
                assert json.loads(reply.content)["not_run"] is True
        assert vm.process.wait(EXIT_TIMEOUT_S) == 0
        lines = [
            (event["name"], event["reason"])
            for event in read_events(running, vm.name)
            if event["name"] in FINAL_EVENTS
        ]
    assert lines == [("request_refused", "leaving")] * 2, lines


def test_unfinished_form_of_an_operator_does_not_delay_a_stop():
    """A form whose body never ends kept the process until its deadline."""
    plan = streaming.make_plan(stop=LONG_STOP)
    with deployment.Deployment(plan) as running:
        vm = running.entry_vms[0]
        assert vm.process is not None
        host, _, port = vm.operators.partition(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(
                b"POST /console/login HTTP/1.1\r\nHost: x\r\n"
                b"Content-Type: application/x-www-form-urlencoded\r\n"
                b"Content-Length: 50\r\n\r\nkey="
            )
            time.sleep(0.5)
            vm.process.send_signal(signal.SIGTERM)
            assert vm.process.wait(EXIT_TIMEOUT_S) == 0
