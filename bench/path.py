"""Measures the added latency, throughput and memory of one entry VM.

``./build.sh bench path`` runs entry VMs, engines and the load generator as
separate processes. There are two entry VMs, since a bill needs a second one
for its copy; only the first gets load.
"""

import json
import os
import pathlib
import subprocess
import sys
import time

import attrs
import fire
import yaml

from tests.common import deployment
from tests.common import loopback
from tests.common import streaming

RESULTS = pathlib.Path("bench/results/path.md")
ENGINES = 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BARE_PROCESS_CODE = """
import absl.logging, attrs, cattrs, cbor2, fire, hdrh.histogram, httpcore
import hypercorn.trio, itsdangerous, jinja2, starlette.applications, statsd
import trio, websockets.trio.client, websockets.trio.server, yaml, time
print("ready", flush=True)
time.sleep(60)
"""


# How tokens arrive, concurrent streams, answers per connection, and the
# message that tells the engine what to send.
RELAY_LOADS = (
    ("without a pause", 32, 4, "tokens=4000 gap_ms=0"),
    ("every 37 ms", 50, 1, "tokens=200 gap_ms=37"),
    ("every 37 ms", 200, 1, "tokens=200 gap_ms=37"),
    ("every 37 ms", 800, 1, "tokens=200 gap_ms=37"),
)


@attrs.define
class BenchDeployment(deployment.Deployment):
    """Two entry VMs with engines that use little CPU time."""

    plan: deployment.Plan = attrs.field(
        factory=lambda: streaming.make_plan(entry_vms=2)
    )

    def start_endpoints(self) -> None:
        """Start the engines."""
        for number in range(ENGINES):
            name = f"matchers-{number}"
            self.pools.setdefault("matchers", []).append(name)
            self.start_standin(
                name, "bench.path_engine", "--versions", streaming.VERSION
            )
        for name in self.pools["matchers"]:
            loopback.wait_until_listening(self.addresses[name])

    def start_entry_vm(self, vm: deployment.EntryProcess) -> None:
        """Start one entry VM without effective concurrency limits."""
        path = self.folder / f"{vm.name}.yaml"
        path.write_text(yaml.safe_dump(self.make_settings(vm)))
        vm.process = self.spawn(
            vm.name, "-m", "bench.path_daemon", "--settings", str(path)
        )
        self.processes[vm.name] = vm.process


def generate(mode: str, **options: object) -> dict:
    """Run the load generator and return what it measured."""
    arguments = [f"--{name}={value}" for name, value in options.items()]
    done = subprocess.run(
        [sys.executable, "-m", "bench.path_load", mode, *arguments],
        capture_output=True,
        text=True,
        timeout=300,
        env={**os.environ, "PYTHONPATH": "src:."},
    )
    if done.returncode:
        raise RuntimeError(done.stderr[-2_000:])
    return json.loads(done.stdout)


def read_cpu_s(pid: int) -> float:
    """Read the CPU time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    return sum(int(each) for each in fields.split()[11:13]) / TICKS_PER_S


def read_rss_mb(pid: int) -> float:
    """Read the resident memory of a process, in MB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) / 1024


def measure_bare_mb() -> float:
    """Measure the resident memory of an interpreter with the libraries."""
    with subprocess.Popen(
        [sys.executable, "-c", BARE_PROCESS_CODE], stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        process.stdout.readline()
        used = read_rss_mb(process.pid)
        process.kill()
    return used


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile by nearest rank."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * percent / 100))]


def measure_latency(running: BenchDeployment, count: int) -> list[str]:
    """Measure the added latency; return the lines of a table."""
    timings = generate(
        "compare",
        engine=running.addresses["matchers-0"],
        entry=running.entry_vms[0].callers,
        count=count,
        gap_ms=2,
        text="'tokens=8 gap_ms=5'",
    )
    lines = [
        "| to | percentile | direct ms | routed ms | added ms |",
        "| --- | --- | --- | --- | --- |",
    ]
    for column, name in ((0, "first token"), (1, "whole answer")):
        for percent in (50, 99):
            direct, routed = (
                find_percentile(
                    [row[column] for row in timings[kind]], percent
                )
                for kind in ("direct", "routed")
            )
            lines.append(
                f"| {name} | p{percent} | {direct:.2f} | {routed:.2f} "
                f"| {routed - direct:+.2f} |"
            )
    return lines


def measure_relay(
    running: BenchDeployment, name: str, count: int, repeat: int, text: str
) -> str:
    """Measure tokens per second of wall and CPU time; return a table row."""
    process = running.entry_vms[0].process
    assert process is not None
    before = read_cpu_s(process.pid)
    got = generate(
        "stream_many",
        entry=running.entry_vms[0].callers,
        count=count,
        repeat=repeat,
        text=f"'{text}'",
    )
    used = read_cpu_s(process.pid) - before
    return (
        f"| {name} | {count} | {got['tokens']} "
        f"| {got['tokens'] / got['seconds']:.0f} "
        f"| {got['tokens'] / used:.0f} | {used / got['seconds']:.2f} "
        f"| {got['tokens'] / got['pieces']:.1f} |"
    )


def measure_memory(running: BenchDeployment, streams: int) -> list[str]:
    """Measure resident memory when idle and with open streams."""
    process = running.entry_vms[0].process
    assert process is not None
    bare = measure_bare_mb()
    idle = read_rss_mb(process.pid)
    load = subprocess.Popen(
        [
            *(sys.executable, "-m", "bench.path_load", "stream_many"),
            f"--entry={running.entry_vms[0].callers}",
            f"--count={streams}",
            "--repeat=1",
            "--text='tokens=30 gap_ms=500'",
        ],
        stdout=subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": "src:."},
    )
    peak_mb = 0.0
    while load.poll() is None:
        peak_mb = max(peak_mb, read_rss_mb(process.pid))
        time.sleep(0.2)
    return [
        "| state | resident MB | over bare |",
        "| --- | --- | --- |",
        f"| interpreter with libraries | {bare:.1f} | |",
        f"| idle entry VM | {idle:.1f} | {idle - bare:+.1f} |",
        f"| {streams} open streams | {peak_mb:.1f} | {peak_mb - bare:+.1f} |",
    ]


def measure(requests: int, streams: int) -> list[str]:
    """Run all measurements; return the lines of the results page."""
    with BenchDeployment() as running:
        time.sleep(2.0)
        memory = measure_memory(running, streams)
    with BenchDeployment() as running:
        time.sleep(2.0)
        latency = measure_latency(running, requests)
        relay = [
            "| arrival | streams | tokens | tokens/s | tokens/s a core "
            "| cores used | tokens a piece |",
            "| --- | --- | --- | --- | --- | --- | --- |",
            *(
                measure_relay(running, name, count, repeat, text)
                for name, count, repeat, text in RELAY_LOADS
            ),
        ]
    return [
        "## Latency that one entry VM adds",
        "",
        f"{requests} requests each way in turn, 8 tokens, 5 ms apart.",
        "",
        *latency,
        "",
        "## Tokens relayed",
        "",
        *relay,
        "",
        "## Memory",
        "",
        *memory,
    ]


def main(
    requests: int = 1_000, streams: int = 1_000, save: bool = False
) -> None:
    """Measure and print; ``--save`` writes bench/results/path.md."""
    lines = [
        "# One entry VM: latency, tokens and memory",
        "",
        f"`./build.sh bench path --requests {requests} --streams {streams}`, "
        "one run, loopback, all on one machine that others used too; the "
        "entry VMs' concurrency limits were open (bench/path_daemon.py).",
        "",
        *measure(requests, streams),
    ]
    text = "\n".join(lines) + "\n"
    print(text)
    if save:
        RESULTS.write_text(text)


if __name__ == "__main__":
    fire.Fire(main)
