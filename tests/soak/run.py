"""Soak of forwarded routes: ``./build.sh soak --seed N --seconds S``.

Runs entry VMs as processes before stand-ins for the store and the endpoints,
sends them requests over relays, injects the faults of a seed, and checks the
retry rules. The logs of a run that breaks a rule are kept.
"""

import json
import math
import pathlib
import shutil
import subprocess
import sys
import tempfile

import attrs
import fire
import trio

from carawayward import events
from tests.soak import checkers
from tests.soak import configurations
from tests.soak import deployment
from tests.soak import lost
from tests.soak import records
from tests.soak import schedule

SOURCE = pathlib.Path("src")
MAX_SECONDS = 600
MAX_ENTRY_VMS = 120
BUSY = "while True: pass"


@attrs.frozen(kw_only=True)
class Result:
    """The violations of a run by clause, and what it covered."""

    seed: int
    violations: dict[str, list[str]]
    sent: int
    answered: int
    arrivals: int
    repeats: int
    worst_window: float
    crashes: int
    rests: int
    ends_unasked: int
    partitions: list[str]
    crashing_parts: list[str]
    skews: list[str]
    configurations: str
    stops: int
    reloads: int
    tries: dict[str, int]
    harness_delay_ms: float
    peak_mb: float

    @property
    def broken(self) -> bool:
        """Whether any clause was broken."""
        return any(self.violations.values())


def summarize(soak: deployment.Soak) -> Result:
    """Check a run."""
    history = soak.history
    for process in history.processes:
        name = f"{process.vm}.{process.start}.log"
        lost.read_log(process, soak.folder / name)
    windows = checkers.list_windows(history, soak.bounds)
    return Result(
        seed=soak.seed,
        violations={
            **checkers.check_all(history, soak.bounds),
            "faults": list_faults(soak.folder),
        },
        sent=len(history.sent),
        answered=sum(200 <= s < 300 for s in history.statuses.values()),
        arrivals=len(history.arrivals),
        repeats=len(windows),
        worst_window=max(
            (each.repeats / each.allowed for each in windows), default=0.0
        ),
        crashes=sum(each.crashed for each in history.arrivals),
        rests=sum(each.rest_ms > 0.0 for each in history.arrivals),
        ends_unasked=sum(vm.ends_unasked for vm in soak.vms),
        partitions=[
            describe_partition(soak, each) for each in history.partitions
        ],
        crashing_parts=[
            describe_crashing_part(soak, each)
            for each in history.crashing_parts
        ],
        skews=[describe_skew(soak, each) for each in history.skews],
        configurations=describe_configurations(soak),
        stops=sum(each.stop_ms < math.inf for each in history.processes),
        reloads=sum(map(len, history.reloads_ms.values())),
        tries=lost.count_endings(history, soak.bounds),
        harness_delay_ms=round(soak.max_delay_ms),
        peak_mb=round(
            max((each.peak_bytes for each in history.processes), default=0)
            / 1e6
        ),
    )


def list_faults(folder: pathlib.Path) -> list[str]:
    """The unexpected exceptions that entry VMs have logged."""
    marks = (f'"event": {events.Event.FAULT.value.code}', "Traceback")
    return [
        f"{path.stem}: {line.strip()}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if any(mark in line for mark in marks)
    ]


def describe_configurations(soak: deployment.Soak) -> str:
    """How many versions were written, and what probes of them showed."""
    history = soak.history
    if not history.probes:
        return ""
    added, first = configurations.count_probes(history, soak.bounds)
    ran = sum(each.status in configurations.RAN for each in history.probes)
    return (
        f"{len(history.versions)} versions, {len(history.invalid_paths)} not "
        f"valid; {ran} of {len(history.probes)} probes ran; served on added "
        f"routes {sum(added)} of {len(added)}, on a first one {sum(first)} of "
        f"{len(first)}"
    )


def describe_skew(soak: deployment.Soak, skew: records.Skew) -> str:
    """How many calls were served before, during and after a skew."""
    counts = ", ".join(
        f"{each.served} of {each.sent}"
        for each in checkers.count_calls(soak.history, soak.bounds, skew)
    )
    unread = sum(
        soak.history.sent[each].at_ms <= skew.until_ms
        for each in soak.history.unread
        if soak.history.sent[each].at_ms >= skew.from_ms
    )
    where = skew.zone or "all zones"
    return f"{where} to {skew.vms}: {counts}; {unread} not read"


def describe_crashing_part(
    soak: deployment.Soak, part: records.CrashingPart
) -> str:
    """How many endpoints a part crashed, and how sound requests fared."""
    crashes = sum(
        each.crashed and part.part in soak.history.sent[each.request_id].parts
        for each in soak.history.arrivals
    )
    counts = []
    for shares in checkers.SELECTIONS:
        after, calm = checkers.count_begun(
            soak.history, soak.bounds, part, shares
        )
        counts.append(
            f"{shares.__name__} {after.begun} of {after.sent} after, "
            f"{calm.begun} of {calm.sent} calm"
        )
    return f"{part.part}: {crashes} crashes; {'; '.join(counts)}"


def describe_partition(
    soak: deployment.Soak, partition: records.Partition
) -> str:
    """How many first tries were served during a partition."""
    inside, outside = checkers.count_first_tries(
        soak.history, soak.bounds, partition
    )
    return (
        f"{len(partition.vms)} {partition.kind}: {inside.served} of "
        f"{inside.sent}, others {outside.served} of {outside.sent}"
    )


def run_seed(
    seed: int,
    seconds: float,
    source: pathlib.Path = SOURCE,
    kinds: tuple[schedule.Fault, ...] = schedule.USUAL_FAULTS,
    entry_vms: int = deployment.ENTRY_VMS,
    proxied: bool = False,
    core_share: float = 1.0,
    load: float = 1.0,
    max_load: float = math.inf,
    store_mbps: float = math.inf,
) -> tuple[deployment.Soak, Result]:
    """Play one seed; the logs are removed unless a rule was broken."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = deployment.Soak(
        seed=seed,
        source=source.resolve(),
        folder=folder,
        entry_vms=min(entry_vms, MAX_ENTRY_VMS),
        proxied=proxied,
        core_share=core_share,
        load=load,
        max_load=max_load,
        store_mbps=store_mbps,
    )
    trio.run(soak.play, min(seconds, MAX_SECONDS), kinds)
    result = summarize(soak)
    if result.broken:
        _write_trace(soak, result)
    else:
        shutil.rmtree(folder)
    return soak, result


def _write_trace(soak: deployment.Soak, result: Result) -> None:
    """Write the records of a run next to its logs."""
    history = soak.history
    trace = {
        "result": attrs.asdict(result),
        "began_ms": soak.began_ms,
        "faults": [
            {**attrs.asdict(each), "fault": each.fault.value}
            for each in soak.faults
        ],
        "sent": [attrs.asdict(each) for each in history.sent.values()],
        "tries": {
            key: attrs.asdict(each) for key, each in history.tries.items()
        },
        "processes": [
            attrs.asdict(each, filter=lambda field, _: field.name != "logged")
            for each in history.processes
        ],
        "reloads_ms": history.reloads_ms,
        "arrivals": [attrs.asdict(each) for each in history.arrivals],
        "probes": [attrs.asdict(each) for each in history.probes],
        "disruptions": [
            attrs.asdict(each)
            for each in (
                *history.vm_disruptions,
                *history.endpoint_disruptions,
                *history.stalls,
            )
        ],
    }
    path = soak.folder / "trace.json"
    path.write_text(json.dumps(trace), encoding="utf-8")
    print(f"seed {soak.seed}: logs and trace in {soak.folder}")


def main(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 30.0,
    source: str = str(SOURCE),
    faults: str = "",
    vms: int = deployment.ENTRY_VMS,
    busy: int = 0,
    proxied: bool = False,
    core_share: float = 1.0,
    load: float = 1.0,
    max_load: float = math.inf,
    store_mbps: float = math.inf,
) -> int:
    """Play seeds, print a line for each; the exit code is 0 if all hold.

    Args:
        seed: the first seed.
        seeds: how many seeds to play, one after the other.
        seconds: how long faults are injected in each.
        source: the folder with the sources of the entry VMs.
        faults: names of the faults to draw from, such as "VM_KILLED,ABUSE".
        vms: how many entry VMs to run.
        busy: how many processes keep the machine busy meanwhile.
        proxied: whether addresses of endpoints that are down accept
            connections.
        core_share: how much of a core each entry VM gets.
        load: how many times the usual rates callers send.
        max_load: the same at most, where bursts overlap.
        store_mbps: the rate of each entry VM's link to the store.
    """
    names = faults if isinstance(faults, tuple) else faults.split(",")
    kinds = tuple(schedule.Fault[name] for name in names if name)
    hogs = [
        subprocess.Popen([sys.executable, "-c", BUSY]) for _ in range(busy)
    ]
    broken = 0
    try:
        for each in range(seed, seed + seeds):
            _, result = run_seed(
                each,
                seconds,
                pathlib.Path(source),
                kinds or schedule.USUAL_FAULTS,
                vms,
                proxied,
                core_share,
                load,
                max_load,
                store_mbps,
            )
            broken += result.broken
            print(json.dumps(attrs.asdict(result)), flush=True)
    finally:
        for process in hogs:
            process.kill()
            process.wait()
    return int(broken > 0)


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main))
