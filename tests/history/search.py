"""Searches for fault schedules that violate a property.

``./build.sh search --seconds N`` runs deployments under faults drawn from
random seeds and checks the history of each.
"""

import random
import sys
import threading
import time
import typing

import attrs
import fire

from tests.common import linked
from tests.common import loopback
from tests.history import checkers
from tests.history import events
from tests.history import recorder as recorder_module
from tests.history import schedule

# The bills of a killed entry VM reach the log through the peer that holds
# copies of them, which first waits until that VM has been silent long enough.
BILLS_TIMEOUT_S = 25.0
ENDPOINT_DISCOVERY_S = 1.5


@attrs.define
class Run:
    """A run of one deployment under the faults of one seed.

    ``revision`` is the newest accepted one; ``withdrawn`` is the number of
    the withdrawn cheap version, 0 for none.
    """

    seed: int
    running: linked.LinkedDeployment
    recorder: recorder_module.Recorder
    revision: int = 1
    withdrawn: int = 0
    trace: list[str] = attrs.field(factory=list)
    _fault_threads: list[threading.Thread] = attrs.field(factory=list)
    _publishing: threading.Lock = attrs.field(factory=threading.Lock)

    def note(self, text: str) -> None:
        """Add a line with the time to the trace."""
        self.trace.append(f"{recorder_module.now_ms():.0f} {text}")

    def inject(self, scheduled: schedule.ScheduledFault) -> None:
        """Start a thread that injects a fault and ends it when due."""
        actions = {
            schedule.Fault.KILL: self.kill,
            schedule.Fault.SUSPEND: self.suspend,
            schedule.Fault.CUT: self.cut,
            schedule.Fault.CUT_PLATFORM: self.cut_platform,
            schedule.Fault.LOG_DOWN: self.take_log_down,
            schedule.Fault.LOG_SLOW: self.slow_log,
            schedule.Fault.LOSE_ANSWERS: self.lose_answers,
            schedule.Fault.RACE: self.publish_concurrently,
            schedule.Fault.WITHDRAW: self.withdraw,
            schedule.Fault.LEAVE: self.make_engine_leave,
            schedule.Fault.STOP: self.stop,
            schedule.Fault.STALE: self.make_connections_stale,
            schedule.Fault.CRASH: self.crash,
            schedule.Fault.LATE: self.delay_answers,
        }
        self.note(f"{scheduled.fault.value}: {scheduled}")
        thread = threading.Thread(
            target=actions[scheduled.fault],
            args=(scheduled.target, scheduled.duration_ms / 1000),
        )
        thread.start()
        self._fault_threads.append(thread)

    @property
    def history(self) -> events.History:
        """The history recorded so far."""
        return self.recorder.history

    def get_vm(self, target: int) -> typing.Any:
        """The entry VM that a target selects."""
        return self.running.entry_vms[target % len(self.running.entry_vms)]

    def record_outage(self, names: list[str], began_ms: float) -> None:
        """Record an outage of entry VMs that ends now."""
        ended_ms = recorder_module.now_ms()
        outage = events.Outage(
            vms=tuple(names), from_ms=began_ms, to_ms=ended_ms
        )
        self.history.outages.append(outage)

    def kill(self, target: int, duration_s: float) -> None:
        """Kill an entry VM and restart it."""
        vm = self.get_vm(target)
        crashed_ms = recorder_module.now_ms()
        self.running.kill(vm)
        self.history.crashes.append(
            events.Crash(name=vm.name, at_ms=crashed_ms)
        )
        time.sleep(duration_s)
        self.running.start_entry_vm(vm)

    def suspend(self, target: int, duration_s: float) -> None:
        """Suspend an entry VM and resume it."""
        vm = self.get_vm(target)
        began_ms = recorder_module.now_ms()
        self.running.suspend(vm)
        time.sleep(duration_s)
        self.running.resume(vm)
        self.record_outage([vm.name], began_ms)

    def cut(self, target: int, duration_s: float) -> None:
        """Partition a failure domain from everything else."""
        domains = self.running.plan.failure_domains
        domain = domains[target % len(domains)]
        began_ms = recorder_module.now_ms()
        links = self.running.cut(domain)
        time.sleep(duration_s)
        self.running.switch_links(links, "open")
        names = [
            vm.name
            for vm in self.running.entry_vms
            if vm.failure_domain == domain
        ]
        self.record_outage(names, began_ms)

    def cut_platform(self, target: int, duration_s: float) -> None:
        """Partition a failure domain from the platform only."""
        domains = self.running.plan.failure_domains
        domain = domains[target % len(domains)]
        links = self.running.find_links(domain, "platform")
        self.running.switch_links(links, "held")
        time.sleep(duration_s)
        self.running.switch_links(links, "open")

    def disturb_log(self, duration_s: float, **faults: typing.Any) -> None:
        """Set faults of the log for a time."""
        began_ms = recorder_module.now_ms()
        self.running.set_faults("log", **faults)
        time.sleep(duration_s)
        self.running.set_faults("log", **dict.fromkeys(faults, 0))
        names = [vm.name for vm in self.running.entry_vms]
        self.record_outage(names, began_ms)

    def take_log_down(self, target: int, duration_s: float) -> None:
        """Let the log refuse every call."""
        self.disturb_log(duration_s, down=1)

    def slow_log(self, target: int, duration_s: float) -> None:
        """Delay every call of the log."""
        self.disturb_log(duration_s, slow_ms=200 + 100 * target)

    def lose_answers(self, target: int, duration_s: float) -> None:
        """Lose the answers of one to three appends of claims or of bills."""
        stream = ("claims", "billing")[target % 2]
        self.running.set_faults(
            "log", lose_answers=1 + target // 4, lose_in=stream
        )

    def publish(self, document: dict) -> None:
        """Publish with the newest accepted revision as the base."""
        result = self.recorder.publish(document, self.revision)
        self.note(f"publish on {self.revision}: {result}")
        if result.accepted:
            self.revision = result.revision

    def publish_concurrently(self, target: int, duration_s: float) -> None:
        """Let two operators publish on the same base concurrently.

        Both set the cheap version in use to draining, so that its sessions
        stay on it.
        """
        with self._publishing:
            used = 2 if self.withdrawn == 1 else 1
            document = self.make_document(**{f"cheap_{used}": "draining"})
            threads = [
                threading.Thread(target=self.publish, args=(document,))
                for _ in range(2)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def withdraw(self, target: int, duration_s: float) -> None:
        """Withdraw the cheap version in use and reactivate the other."""
        with self._publishing:
            self.withdrawn = 1 + self.withdrawn % 2
            self.publish(self.make_document())

    def make_document(self, **states: str) -> dict:
        """Make a document with the current withdrawal and more states."""
        withdrawn = {f"cheap_{self.withdrawn}": "withdrawn"}
        return linked.make_document(**withdrawn, **states)

    def make_engine_leave(self, target: int, duration_s: float) -> None:
        """Mark an engine as leaving, always the same one."""
        name = self.running.pools["engines"][1]
        if not any(left.endpoint == name for left in self.history.left):
            self.history.left.append(
                events.EndpointLeaving(
                    endpoint=name, at_ms=recorder_module.now_ms()
                )
            )
        self.running.send_vm_list(leaving={name})
        self.running.set_faults(name, leaving=True)

    def stop(self, target: int, duration_s: float) -> None:
        """Stop an entry VM with SIGTERM and restart it."""
        vm = self.get_vm(target)
        process = vm.process
        asked_ms = recorder_module.now_ms()
        process.terminate()
        code = process.wait(30)
        killed = any(
            crash.name == vm.name and crash.at_ms >= asked_ms
            for crash in self.history.crashes
        )
        if not killed:
            self.history.stops.append(
                events.EntryVmStop(
                    vm=vm.name,
                    asked_ms=asked_ms,
                    ended_ms=recorder_module.now_ms(),
                    exit_code=code,
                )
            )
        time.sleep(duration_s)
        if vm.process is process:
            self.running.start_entry_vm(vm)

    def make_connections_stale(self, target: int, duration_s: float) -> None:
        """Stop an entry VM's open connections for good; new ones work."""
        name = self.get_vm(target).name
        links = [link for link in self.running.links if name in link]
        self.running.switch_links(links, "stale")

    def crash(self, target: int, duration_s: float) -> None:
        """Send a request that crashes an engine; its caller retries it."""
        names = self.running.pools["engines"]
        for name in names:
            self.running.set_faults(
                name, crash_mark=recorder_module.CRASH_MARK
            )
        draw = random.Random(target)
        key = f"crash-{len(self.trace)}"
        mark = recorder_module.CRASH_MARK
        self.recorder.send(key, "deep", "alpha", draw, mark)
        time.sleep(duration_s)
        for name in names:
            if self.running.processes[name].poll() is not None:
                self.history.crashes.append(
                    events.Crash(name=name, at_ms=recorder_module.now_ms())
                )
                self.restart_engine(name)

    def restart_engine(self, name: str) -> None:
        """Restart a crashed engine."""
        pool = self.running.plan.pools[0]
        arguments = ["--name", name, "--versions", ",".join(pool.versions)]
        self.running.start_standin(name, "tests.standins.engine", *arguments)
        loopback.wait_until_listening(self.running.addresses[name])

    def delay_answers(self, target: int, duration_s: float) -> None:
        """Delay the answers of an engine and a service within timeouts."""
        names = [pool[target % 2] for pool in self.running.pools.values()]
        for name in names:
            self.running.set_faults(name, late_ms=300 + 100 * target)
        time.sleep(duration_s)
        for name in names:
            self.running.set_faults(name, late_ms=0)

    def run_faults(self) -> None:
        """Inject the seed's faults at their times, then repair everything."""
        began_ms = recorder_module.now_ms()
        for scheduled in schedule.draw_faults(self.seed):
            due_ms = began_ms + scheduled.at_ms
            time.sleep(max(0, due_ms - recorder_module.now_ms()) / 1000)
            self.inject(scheduled)
        left_ms = began_ms + schedule.WORKLOAD_MS - recorder_module.now_ms()
        time.sleep(max(0, left_ms) / 1000)
        for thread in self._fault_threads:
            thread.join()
        self.running.heal()
        for name in self.running.pools["engines"]:
            if self.running.processes[name].poll() is not None:
                self.restart_engine(name)
        for vm in self.running.entry_vms:
            self.running.wait_until_ready(vm)

    def wait_and_check(self) -> list[str]:
        """Wait until the bills are in the log, then run all checkers."""
        deadline = time.monotonic() + BILLS_TIMEOUT_S
        while time.monotonic() < deadline:
            if not checkers.check_bills(self.recorder.collect()):
                break
            time.sleep(0.5)
        return checkers.check_all(self.recorder.collect())


def run_seed(
    seed: int, daemon: str = linked.DAEMON, retain: int = 0
) -> tuple[Run, list[str]]:
    """Run a deployment under a seed's faults; return the violations too.

    With ``retain`` the log keeps only that many records per stream.
    """
    with linked.LinkedDeployment(daemon=daemon) as running:
        if retain:
            running.set_faults("log", retain=retain)
        time.sleep(ENDPOINT_DISCOVERY_S)
        run = Run(seed, running, recorder_module.Recorder(running))
        work = run.recorder.work(seed)
        try:
            run.run_faults()
        finally:
            work.stop()
        return run, run.wait_and_check()


def main(
    seconds: float = 60, seed: int = -1, without: str = "", retain: int = 0
) -> None:
    """Search for seeds that violate a property.

    Args:
        seconds: no new run is started after this time.
        seed: run only this seed.
        without: guards to disable, named as in tests.common.unguarded.
        retain: records that the log keeps per stream; 0 for all.
    """
    daemon = linked.DAEMON
    if without:
        daemon = f"{linked.UNGUARDED} {without}"
    deadline = time.monotonic() + seconds
    seeds = [seed] if seed >= 0 else random.sample(range(10**6), 10**4)
    failed_seeds = 0
    for number, next_seed in enumerate(seeds):
        if number and time.monotonic() > deadline:
            break
        run, violations = run_seed(next_seed, daemon, retain)
        kinds = [call.kind.value for call in run.history.calls]
        counts = {kind: kinds.count(kind) for kind in sorted(set(kinds))}
        print(f"seed {next_seed}: {len(violations)} violations, {counts}")
        if violations:
            failed_seeds += 1
            for line in [*violations, *run.trace]:
                print(f"  {line}")
        sys.stdout.flush()
    print(f"{failed_seeds} seeds violated a property")
    sys.exit(bool(failed_seeds))


if __name__ == "__main__":
    fire.Fire(main)
