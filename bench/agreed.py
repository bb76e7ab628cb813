"""Measures latency and cost of the agreement between entry VMs.

``./build.sh bench agreed propagation|grouping|control``; each prints a
Markdown table. All processes run on one machine, so that times are valid
only while it is not saturated.
"""

import collections
import concurrent.futures
import contextlib
import os
import pathlib
import re
import subprocess
import time
import typing

import attrs
import fire
import yaml

from tests.common import deployment

PUBLISHES = 20
PUBLISH_INTERVAL_S = 1.0
OUTAGE_PUBLISH_INTERVAL_S = 2.5
MAX_STARTS = 3
REVISION_IN_FORCE = re.compile(r'"name": "config_in_force", "revision": (\d+)')
LOG_TIMESTAMP = re.compile(r"^[IWE](\d{4}) (\d\d):(\d\d):(\d\d\.\d+) ")
AUTH = {"Authorization": "Bearer demo-ikeja-families"}
PATH = "/v1/services/swap-desk/log-swap"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

PLAN = attrs.evolve(
    deployment.ODUYA,
    pools=(deployment.Pool(name="swap-desk", count=2),),
)


def read_stream(running: deployment.Deployment, stream: str) -> list[dict]:
    """Read all records of a stream of the log."""
    path = f"/streams/{stream}/records?from=1&limit=1000000"
    address = running.addresses["log"]
    return deployment.call("GET", address, path).json()["records"]


def read_arrival_times(
    running: deployment.Deployment,
) -> dict[int, dict[str, float]]:
    """Read when each revision came into force on each entry VM.

    By revision and name; the times are wall-clock ms from the VMs' logs.
    """
    found: dict[int, dict[str, float]] = collections.defaultdict(dict)
    for vm in running.entry_vms:
        text = (running.folder / f"{vm.name}.out").read_text()
        for line in text.splitlines():
            stamp, accepted = (
                LOG_TIMESTAMP.match(line),
                REVISION_IN_FORCE.search(line),
            )
            if stamp is None or accepted is None:
                continue
            year = time.localtime().tm_year
            day = time.strptime(f"{year}{stamp[1]}", "%Y%m%d")
            seconds = int(stamp[2]) * 3600 + int(stamp[3]) * 60
            at_s = time.mktime(day) + seconds + float(stamp[4])
            found[int(accepted[1])].setdefault(vm.name, at_s * 1000)
    return found


def publish_many(running: deployment.Deployment, gap_s: float) -> None:
    """Publish a series of changed declarations."""
    document = yaml.safe_load(
        pathlib.Path(running.plan.declaration).read_text()
    )
    file = running.folder / "changed.yaml"
    for number in range(PUBLISHES):
        document["models"][0]["versions"][0]["cost"] = float(number + 1)
        file.write_text(yaml.safe_dump(document))
        running.publish(str(file))
        time.sleep(gap_s)


def summarize(times: list[float]) -> str:
    """Format median, 99th percentile and maximum as table cells."""
    times = sorted(times)
    last = len(times) - 1
    cells = (times[last // 2], times[round(last * 0.99)], times[last])
    return " | ".join(f"{cell:.0f}" for cell in cells)


def propagation(nodes: int = 8) -> None:
    """Measure the time from an append until each entry VM has a revision.

    Cases: the log reachable by all entry VMs, by one, and by all outside
    one failure domain; the others learn revisions from their peers.
    """
    print("| case | publishes | samples | p50 ms | p99 ms | max ms |")
    print("|---|---|---|---|---|---|")
    plan = attrs.evolve(PLAN, entry_vms=nodes)
    names = [f"{plan.name}-{number}" for number in range(nodes)]
    domain = names[:: len(plan.failure_domains)]
    cases: dict[str, list[str]] = {
        "log answers all": [],
        "log answers one node, the others have peers only": names[1:],
        "log answers all but one failure domain": domain,
    }
    for case, cut in cases.items():
        with deployment.Deployment(plan) as running:
            time.sleep(5)
            running.set_faults("log", cut=cut)
            time.sleep(12 if cut else 0)
            publish_many(
                running,
                OUTAGE_PUBLISH_INTERVAL_S if cut else PUBLISH_INTERVAL_S,
            )
            time.sleep(3)
            arrivals = read_arrival_times(running)
            records = read_stream(running, "configuration")
            accepted = {
                record["offset"]: record["at_ms"]
                for record in records[1:]
                if record["data"]["kind"] == "publish"
            }
            times = [
                at_ms - accepted[revision]
                for revision, nodes_at in arrivals.items()
                if revision in accepted
                for at_ms in nodes_at.values()
            ]
            print(f"| {case} | {len(accepted)} | {len(times)} ", end="")
            print(f"| {summarize(times)} |", flush=True)


def send_keyed(running: deployment.Deployment, number: int) -> float | None:
    """Send a call with a caller's key; return ms, or None if it failed."""
    vm = running.entry_vms[number % len(running.entry_vms)]
    started = time.monotonic()
    reply = deployment.call(
        "POST",
        vm.callers,
        PATH,
        {"swap": number},
        {
            **AUTH,
            "Idempotency-Key": f"bench-{number}",
            "Carawayward-Key-Made-At": str(int(time.time() * 1000)),
        },
    )
    return (time.monotonic() - started) * 1000 if reply.status == 200 else None


def send_at_rate(
    running: deployment.Deployment, rate: float, seconds: float
) -> list[float | None]:
    """Send calls at a fixed rate, without waiting for answers."""
    with concurrent.futures.ThreadPoolExecutor(200) as pool:
        started = time.monotonic()
        jobs = []
        for number in range(int(rate * seconds)):
            due = started + number / rate
            time.sleep(max(0.0, due - time.monotonic()))
            jobs.append(pool.submit(send_keyed, running, number))
        return [job.result() for job in jobs]


def grouping(seconds: float = 10.0) -> None:
    """Measure appends of claims and bills per second by request rate."""
    print(
        "| requests/s | answered | claim appends/s | claims an append "
        "| bill appends/s | bills an append | p50 ms | p99 ms | max ms |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for rate in (5, 20, 50, 100):
        with deployment.Deployment(PLAN) as running:
            time.sleep(5)
            before = count_appends(running)
            results = send_at_rate(running, rate, seconds)
            time.sleep(2)
            claims = read_stream(running, "claims")
            claimed = sum(len(each["data"]["claims"]) for each in claims)
            billed = len(read_stream(running, "billing"))
            bills = count_appends(running) - before - len(claims)
            answered = [each for each in results if each is not None]
            print(
                f"| {rate} | {len(answered)} of {len(results)} "
                f"| {len(claims) / seconds:.1f} "
                f"| {claimed / max(1, len(claims)):.1f} "
                f"| {bills / seconds:.1f} | {billed / max(1, bills):.1f} "
                f"| {summarize(answered)} |",
                flush=True,
            )


def count_appends(running: deployment.Deployment) -> int:
    """Read the number of append calls that the log has accepted."""
    reply = deployment.call("GET", running.addresses["log"], "/control")
    return reply.json()["appends"]


@attrs.frozen
class Usage:
    """Totals of all sockets and of all entry VMs' processes."""

    peer_bytes: int
    peer_segments: int
    platform_bytes: int
    cpu_s: float
    memory_mb: float


def read_usage(running: deployment.Deployment) -> Usage:
    """Sum up the sockets, with both ends of each, and the daemons."""
    peers = {vm.peers for vm in running.entry_vms}
    platform = {running.addresses[name] for name in ("log", "vms")}
    listed = subprocess.run(
        ["ss", "-tinH"], capture_output=True, text=True, check=True
    ).stdout
    totals = collections.Counter[str]()
    addresses: tuple[str, str] = ("", "")
    for line in listed.splitlines():
        if not line.startswith(("\t", " ")):
            words = line.split()
            addresses = (words[3], words[4])
            continue
        kind = "other"
        if peers & set(addresses):
            kind = "peer"
        elif platform & set(addresses):
            kind = "platform"
        for field in ("bytes_sent", "data_segs_out"):
            found = re.search(rf"{field}:(\d+)", line)
            totals[f"{kind} {field}"] += int(found[1]) if found else 0
    cpu_s = memory_mb = 0.0
    for vm in running.entry_vms:
        assert vm.process is not None
        folder = pathlib.Path(f"/proc/{vm.process.pid}")
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        cpu_s += (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        pages = int((folder / "statm").read_text().split()[1])
        memory_mb += pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    return Usage(
        peer_bytes=totals["peer bytes_sent"],
        peer_segments=totals["peer data_segs_out"],
        platform_bytes=totals["platform bytes_sent"],
        cpu_s=cpu_s,
        memory_mb=memory_mb,
    )


@contextlib.contextmanager
def start_large_deployment(
    plan: deployment.Plan,
) -> typing.Iterator[deployment.Deployment]:
    """Run a large deployment; retry the start if a port was in use."""
    for attempt in range(MAX_STARTS):
        try:
            running = deployment.Deployment(plan).__enter__()
            break
        except TimeoutError:
            if attempt == MAX_STARTS - 1:
                raise
    try:
        yield running
    finally:
        running.kill_all()


def control(seconds: float = 20.0) -> None:
    """Measure control traffic, CPU time and memory per idle entry VM.

    Bytes are TCP payload and counted once, at the sender; on average an
    entry VM receives as much as it sends. Two endpoints are probed.
    """
    print(
        "| entry VMs | peer bytes/s a node | peer segments/s | platform "
        "bytes/s a node | core % a node | MB a node |"
    )
    print("|---|---|---|---|---|---|")
    for nodes in (8, 32, 64):
        with start_large_deployment(
            attrs.evolve(PLAN, entry_vms=nodes)
        ) as running:
            time.sleep(15)
            before, started = read_usage(running), time.monotonic()
            time.sleep(seconds)
            after, spent = read_usage(running), time.monotonic() - started
            share = nodes * spent
            print(
                f"| {nodes} "
                f"| {(after.peer_bytes - before.peer_bytes) / share:.0f} "
                f"| {(after.peer_segments - before.peer_segments) / share:.1f}"
                f" | "
                f"{(after.platform_bytes - before.platform_bytes) / share:.0f}"
                f" | {(after.cpu_s - before.cpu_s) / share * 100:.2f} "
                f"| {after.memory_mb / nodes:.0f} |",
                flush=True,
            )


def main() -> None:
    """Entry point of the benchmark."""
    fire.Fire(
        {
            "propagation": propagation,
            "grouping": grouping,
            "control": control,
        }
    )


if __name__ == "__main__":
    main()
