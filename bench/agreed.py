"""What agreement costs and how fast it is, over real processes.

``./build.sh bench agreed propagation|grouping|control``; each prints a
table of Markdown. Every process runs on this one machine, so times hold
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
GAP_S = 1.0
OUTAGE_GAP_S = 2.5
STARTS = 3
ACCEPTED = re.compile(r'"name": "config_in_force", "revision": (\d+)')
STAMP = re.compile(r"^[IWE](\d{4}) (\d\d):(\d\d):(\d\d\.\d+) ")
AUTH = {"Authorization": "Bearer demo-ikeja-families"}
PATH = "/v1/services/swap-desk/log-swap"
TICKS = os.sysconf("SC_CLK_TCK")

PLAN = attrs.evolve(
    deployment.ODUYA,
    pools=(deployment.Pool(name="swap-desk", count=2),),
)


def read_stream(running: deployment.Deployment, stream: str) -> list[dict]:
    """Every record of a stream."""
    path = f"/streams/{stream}/records?from=1&limit=1000000"
    address = running.addresses["log"]
    return deployment.call("GET", address, path).json()["records"]


def list_arrivals(
    running: deployment.Deployment,
) -> dict[int, dict[str, float]]:
    """When each revision came into force on each node (wall clock, ms)."""
    found: dict[int, dict[str, float]] = collections.defaultdict(dict)
    for vm in running.entry_vms:
        text = (running.folder / f"{vm.name}.out").read_text()
        for line in text.splitlines():
            stamp, accepted = STAMP.match(line), ACCEPTED.search(line)
            if stamp is None or accepted is None:
                continue
            year = time.localtime().tm_year
            day = time.strptime(f"{year}{stamp[1]}", "%Y%m%d")
            seconds = int(stamp[2]) * 3600 + int(stamp[3]) * 60
            at_s = time.mktime(day) + seconds + float(stamp[4])
            found[int(accepted[1])].setdefault(vm.name, at_s * 1000)
    return found


def publish_many(running: deployment.Deployment, gap_s: float) -> None:
    """Publish changed declarations one after another."""
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
    """Median, 99th percentile and maximum, as cells."""
    times = sorted(times)
    last = len(times) - 1
    cells = (times[last // 2], times[round(last * 0.99)], times[last])
    return " | ".join(f"{cell:.0f}" for cell in cells)


def propagation(nodes: int = 8) -> None:
    """Time from the log's acceptance until each node has a revision."""
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
            publish_many(running, OUTAGE_GAP_S if cut else GAP_S)
            time.sleep(3)
            arrivals = list_arrivals(running)
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
    """One call under a caller's own key; ms, or None if it failed."""
    vm = running.entry_vms[number % len(running.entry_vms)]
    began = time.monotonic()
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
    return (time.monotonic() - began) * 1000 if reply.status == 200 else None


def send_at_rate(
    running: deployment.Deployment, rate: float, seconds: float
) -> list[float | None]:
    """Send calls at a steady rate, whether or not answers come."""
    with concurrent.futures.ThreadPoolExecutor(200) as pool:
        began = time.monotonic()
        jobs = []
        for number in range(int(rate * seconds)):
            due = began + number / rate
            time.sleep(max(0.0, due - time.monotonic()))
            jobs.append(pool.submit(send_keyed, running, number))
        return [job.result() for job in jobs]


def grouping(seconds: float = 10.0) -> None:
    """Appends a second for claims and bills against requests a second."""
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
    """Calls of append that the log has taken."""
    reply = deployment.call("GET", running.addresses["log"], "/control")
    return reply.json()["appends"]


@attrs.frozen
class Usage:
    """What all sockets and processes have used so far."""

    peer_bytes: int
    peer_segments: int
    platform_bytes: int
    cpu_s: float
    memory_mb: float


def read_usage(running: deployment.Deployment) -> Usage:
    """Add up the sockets (both ends of each) and the daemons."""
    peers = {vm.peers for vm in running.entry_vms}
    platform = {running.addresses[name] for name in ("log", "vms")}
    listed = subprocess.run(
        ["ss", "-tinH"], capture_output=True, text=True, check=True
    ).stdout
    totals = collections.Counter[str]()
    ends: tuple[str, str] = ("", "")
    for line in listed.splitlines():
        if not line.startswith(("\t", " ")):
            words = line.split()
            ends = (words[3], words[4])
            continue
        kind = "other"
        if peers & set(ends):
            kind = "peer"
        elif platform & set(ends):
            kind = "platform"
        for field in ("bytes_sent", "data_segs_out"):
            found = re.search(rf"{field}:(\d+)", line)
            totals[f"{kind} {field}"] += int(found[1]) if found else 0
    cpu_s = memory_mb = 0.0
    for vm in running.entry_vms:
        assert vm.process is not None
        folder = pathlib.Path(f"/proc/{vm.process.pid}")
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        cpu_s += (int(fields[11]) + int(fields[12])) / TICKS
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
def start_many(
    plan: deployment.Plan,
) -> typing.Iterator[deployment.Deployment]:
    """Run a large deployment; begin again when a port was taken meanwhile."""
    for attempt in range(STARTS):
        try:
            running = deployment.Deployment(plan).__enter__()
            break
        except TimeoutError:
            if attempt == STARTS - 1:
                raise
    try:
        yield running
    finally:
        running.kill_all()


def control(seconds: float = 20.0) -> None:
    """Control bytes, messages and processor time a node, with no load.

    Bytes are those of TCP payloads, each counted once, where it is sent;
    a node receives as much as it sends. Two endpoints are probed.
    """
    print(
        "| entry VMs | peer bytes/s a node | peer segments/s | platform "
        "bytes/s a node | core % a node | MB a node |"
    )
    print("|---|---|---|---|---|---|")
    for nodes in (8, 32, 64):
        with start_many(attrs.evolve(PLAN, entry_vms=nodes)) as running:
            time.sleep(15)
            before, began = read_usage(running), time.monotonic()
            time.sleep(seconds)
            after, spent = read_usage(running), time.monotonic() - began
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
