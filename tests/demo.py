"""``./build.sh demo``: runs two example deployments and checks the results.

Each gets a mix of requests; a table shows their status, cost and latency.
"""

import collections
import concurrent.futures
import json
import random
import sys
import time
import typing

import attrs
import fire
import yaml

from tests.common import deployment
from tests.standins import engine

WORKERS = 16
BILLS_DELAY_S = 2.0


@attrs.frozen(kw_only=True)
class Job:
    """A request to send and the entry VM to send it through."""

    label: str
    customer: str
    vm: deployment.EntryProcess
    kind: str
    target: str
    text: str
    stream: bool = False
    session: str = ""


@attrs.frozen(kw_only=True)
class Result:
    """The result of a request; ``error`` says what is wrong with it."""

    label: str
    customer: str
    request: str
    status: int
    plan: str
    cost: float
    latency_ms: float
    error: str = ""


# By deployment: label, kind, task or operation, whether it is streamed, share
# of hard requests, relative frequency.
WORKLOADS: dict[str, list[tuple[str, str, str, bool, float, int]]] = {
    "oduya": [
        ("swap suggestion", "task", "swap-suggestion", False, 0.2, 6),
        ("hard match", "task", "hard-match", True, 1.0, 1),
        ("swap log", "once", "swap-desk/log-swap", False, 0.0, 2),
        ("parcel look-up", "service", "swap-desk/look-up-parcel", False, 0, 2),
    ],
    "wayfarer": [
        ("route narrative", "session", "route-narrative", True, 0.2, 3),
        ("chapel letter", "task", "chapel-letter", True, 1.0, 2),
        ("stage note", "task", "stage-note", False, 0.0, 4),
        ("stamp record", "once", "stamp-desk/record-stamp", False, 0.0, 2),
        ("host look-up", "service", "stamp-desk/look-up-host", False, 0.0, 2),
    ],
}


def make_jobs(
    running: deployment.Deployment, count: int, seed: int
) -> list[Job]:
    """Draw a deployment's requests, spread over all entry VMs."""
    draw = random.Random(seed)
    document = yaml.safe_load(open(running.plan.declaration))
    customers = [c["name"] for c in document["customers"]]
    weights = [c["weight"] for c in document["customers"]]
    workload = WORKLOADS[running.plan.name]
    jobs = []
    for number in range(count):
        label, kind, target, stream, hard, _ = draw.choices(
            workload, [row[-1] for row in workload]
        )[0]
        difficulty = "hard" if draw.random() < hard else "easy"
        jobs.append(
            Job(
                label=label,
                customer=draw.choices(customers, weights)[0],
                vm=running.entry_vms[number % len(running.entry_vms)],
                kind=kind,
                target=target,
                text=f"{label} {number}, {difficulty}",
                stream=stream,
            )
        )
    return jobs


def send_job(job: Job) -> Result:
    """Send one request and check its answer."""
    auth = {"Authorization": f"Bearer demo-{job.customer}"}
    began = time.monotonic()
    if job.kind in ("task", "session"):
        outcome = send_completion(job, auth)
    else:
        outcome = send_service_call(job, auth)
    latency_ms = (time.monotonic() - began) * 1000
    return attrs.evolve(outcome, latency_ms=latency_ms)


def send_completion(job: Job, auth: dict[str, str]) -> Result:
    """Send a completion, in a session if the job asks for one."""
    headers = dict(auth)
    versions: dict[str, str] = {}
    if job.kind == "session":
        opened = deployment.call(
            "POST", job.vm.callers, "/v1/sessions", {}, auth
        ).json()
        headers["Carawayward-Session"] = opened["token"]
        versions = opened["versions"]
    messages = [{"role": "user", "content": job.text}]
    reply = deployment.call(
        "POST",
        job.vm.callers,
        "/v1/chat/completions",
        {"model": job.target, "messages": messages, "stream": job.stream},
        headers,
    )
    if reply.status != 200:
        return make_result(job, reply)
    text, model, extra = (read_stream if job.stream else read_whole)(reply)
    error = ""
    if text != engine.make_answer(model, messages, 24):
        error = "not the answer to this request"
    elif versions and model not in versions.values():
        error = "not a version of the session"
    plan = " > ".join(extra["plan"])
    return make_result(job, reply, plan, extra["cost"], error)


def read_whole(reply: deployment.Response) -> tuple[str, str, dict]:
    """Parse text, model and extension fields of a complete answer."""
    body = reply.json()
    text = body["choices"][0]["message"]["content"]
    return text, body["model"], body["carawayward"]


def read_stream(reply: deployment.Response) -> tuple[str, str, dict]:
    """Parse text, model and extension fields of a streamed answer."""
    events = [
        json.loads(line[6:])
        for line in reply.content.decode().splitlines()
        if line.startswith("data: {")
    ]
    text = "".join(
        event["choices"][0]["delta"].get("content", "")
        for event in events
        if "choices" in event
    )
    last = events[-1]
    if not last.get("carawayward", {}).get("end"):
        return text, "", {"plan": [], "cost": 0.0}
    return text, last["model"], last["carawayward"]


def send_service_call(job: Job, auth: dict[str, str]) -> Result:
    """Call a plain service, with a ticket if it must not be repeated."""
    headers = dict(auth)
    if job.kind == "once":
        ticket = deployment.call(
            "POST", job.vm.callers, "/v1/tickets", {}, auth
        ).json()
        headers["Carawayward-Ticket"] = ticket["ticket"]
    reply = deployment.call(
        "POST",
        job.vm.callers,
        f"/v1/services/{job.target}",
        {"text": job.text},
        headers,
    )
    return make_result(job, reply, plan=job.target)


def make_result(
    job: Job,
    reply: deployment.Response,
    plan: str = "",
    cost: float = 0.0,
    error: str = "",
) -> Result:
    """Make the result of a job."""
    return Result(
        label=job.label,
        customer=job.customer,
        request=reply.headers.get("carawayward-request", ""),
        status=reply.status,
        plan=plan,
        cost=cost,
        latency_ms=0.0,
        error=error,
    )


def read_stream_records(
    running: deployment.Deployment, stream: str
) -> list[dict]:
    """Read all records of a stream of the log."""
    records: list[dict] = []
    offset = 1
    while True:
        path = f"/streams/{stream}/records?from={offset}"
        batch = deployment.call("GET", running.addresses["log"], path).json()
        if not batch["records"]:
            return records
        records += [item["data"] for item in batch["records"]]
        offset = batch["next"]


def find_errors(
    running: deployment.Deployment, jobs: list[Job], results: list[Result]
) -> list[str]:
    """Check answers, the number of bills and the number of runs."""
    errors = [f"{r.label}: {r.error}" for r in results if r.error]
    answered = [r for r in results if r.status == 200]
    bills = {
        (record["customer"], record["request_key"])
        for record in read_stream_records(running, "billing")
    }
    if len(bills) != len(answered):
        errors.append(f"{len(answered)} answers but {len(bills)} bills")
    runs: collections.Counter[str] = collections.Counter()
    for pool in running.plan.pools:
        if not pool.versions:
            for name in running.pools[pool.name]:
                runs.update(
                    r["body"]["text"] for r in running.fetch_runs(name)
                )
    for job, result in zip(jobs, results, strict=True):
        expected = 1 if result.status == 200 else 0
        if job.kind == "once" and runs[job.text] != expected:
            errors.append(
                f"{job.text}: status {result.status}, {runs[job.text]} runs"
            )
    return errors


def print_table(name: str, results: list[Result]) -> None:
    """Print results by kind of request, status and plan."""
    groups: dict[tuple[str, str, int], list[Result]] = {}
    for result in results:
        key = (result.label, result.plan, result.status)
        groups.setdefault(key, []).append(result)
    print(f"\n{name}: {len(results)} requests")
    row = "{:<17} {:>6} {:>5} {:<30} {:>8} {:>8} {:>8}"
    print(row.format(*"request status count plan cost p50ms maxms".split()))
    for (label, plan, status), group in sorted(groups.items()):
        times = sorted(r.latency_ms for r in group)
        print(
            row.format(
                label,
                status,
                len(group),
                plan,
                f"{sum(r.cost for r in group):.3f}",
                f"{times[len(times) // 2]:.1f}",
                f"{times[-1]:.1f}",
            )
        )


def run_user(plan: deployment.Plan, count: int, keep: bool) -> list[str]:
    """Run one deployment and return the errors that were found."""
    with deployment.Deployment(plan) as running:
        jobs = make_jobs(running, count, seed=len(plan.name))
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
            results = list(pool.map(send_job, jobs))
        print_table(plan.name, results)
        errors: list[str] = []
        if keep:
            # Check before calls of the demo's user add bills and runs.
            time.sleep(BILLS_DELAY_S)
            errors = find_errors(running, jobs, results)
            wait_for_interrupt(running)
        exit_codes = running.stop_entry_vms()
        if not keep:
            errors = find_errors(running, jobs, results)
        errors += [f"{n} exited with {c}" for n, c in exit_codes.items() if c]
        errors += [
            f"{r.label}: status {r.status}" for r in results if r.status != 200
        ]
        return errors


def wait_for_interrupt(running: deployment.Deployment) -> None:
    """Keep the deployment running until Ctrl-C."""
    print(f"\n{running.plan.name} is running; Ctrl-C stops it. Entry VMs:")
    for vm in running.entry_vms:
        print(f"  {vm.name}: callers {vm.callers}, operators {vm.operators}")
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print("stopping")


def main(count: int = 120, keep: bool = False, user: str = "") -> None:
    """Run the demo.

    Args:
        count: requests for each deployment.
        keep: keep each deployment running until Ctrl-C.
        user: the deployment to run, "oduya" or "wayfarer"; default both.
    """
    plans: list[typing.Any] = [deployment.ODUYA, deployment.WAYFARER]
    errors = []
    for plan in plans:
        if user in ("", plan.name):
            errors += run_user(plan, count, keep)
    for fault in errors:
        print("error:", fault)
    print("\nno errors" if not errors else f"\n{len(errors)} errors")
    sys.exit(bool(errors))


if __name__ == "__main__":
    fire.Fire(main)
