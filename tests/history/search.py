"""``./build.sh search --seconds N``: runs under faults on new seeds."""

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

# Bills of a node that was killed reach the log through a buddy, which waits
# until the node has been silent for long enough.
SETTLE_S = 25.0
ENDPOINTS_KNOWN_S = 1.5


@attrs.define
class Run:
    """One deployment under one seed's faults."""

    seed: int
    running: linked.LinkedDeployment
    recorder: recorder_module.Recorder
    revision: int = 1
    withdrawn: int = 0
    trace: list[str] = attrs.field(factory=list)
    _repairs: list[threading.Thread] = attrs.field(factory=list)
    _publishing: threading.Lock = attrs.field(factory=threading.Lock)

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{recorder_module.now_ms():.0f} {text}")

    def bring_about(self, timed: schedule.Timed) -> None:
        """Begin a fault, and end it after its time, in a thread."""
        actions = {
            schedule.Fault.KILL: self.kill,
            schedule.Fault.FREEZE: self.freeze,
            schedule.Fault.CUT: self.cut,
            schedule.Fault.CUT_PLATFORM: self.cut_platform,
            schedule.Fault.LOG_DOWN: self.stop_log,
            schedule.Fault.LOG_SLOW: self.slow_log,
            schedule.Fault.LOSE_ANSWERS: self.lose_answers,
            schedule.Fault.RACE: self.race,
            schedule.Fault.WITHDRAW: self.withdraw,
            schedule.Fault.LEAVE: self.leave,
            schedule.Fault.STOP: self.stop,
            schedule.Fault.STALE: self.silence,
            schedule.Fault.CRASH: self.crash,
            schedule.Fault.LATE: self.be_late,
        }
        self.note(f"{timed.fault.value}: {timed}")
        thread = threading.Thread(
            target=actions[timed.fault],
            args=(timed.target, timed.lasts_ms / 1000),
        )
        thread.start()
        self._repairs.append(thread)

    @property
    def history(self) -> events.History:
        """What has been recorded."""
        return self.recorder.history

    def name_vm(self, target: int) -> typing.Any:
        """The entry VM that a target stands for."""
        return self.running.entry_vms[target % len(self.running.entry_vms)]

    def record_outage(self, names: list[str], began_ms: float) -> None:
        """Note that entry VMs heard nothing until now."""
        ended_ms = recorder_module.now_ms()
        outage = events.Outage(
            vms=tuple(names), from_ms=began_ms, to_ms=ended_ms
        )
        self.history.outages.append(outage)

    def kill(self, target: int, lasts_s: float) -> None:
        """Kill an entry VM and start it anew."""
        vm = self.name_vm(target)
        crashed_ms = recorder_module.now_ms()
        self.running.kill(vm)
        self.history.crashes.append(
            events.Crash(name=vm.name, at_ms=crashed_ms)
        )
        time.sleep(lasts_s)
        self.running.start_entry_vm(vm)

    def freeze(self, target: int, lasts_s: float) -> None:
        """Freeze an entry VM and wake it."""
        vm = self.name_vm(target)
        began_ms = recorder_module.now_ms()
        self.running.suspend(vm)
        time.sleep(lasts_s)
        self.running.resume(vm)
        self.record_outage([vm.name], began_ms)

    def cut(self, target: int, lasts_s: float) -> None:
        """Cut a failure domain off from everything."""
        domains = self.running.plan.failure_domains
        domain = domains[target % len(domains)]
        began_ms = recorder_module.now_ms()
        links = self.running.cut(domain)
        time.sleep(lasts_s)
        self.running.switch_links(links, "open")
        names = [
            vm.name
            for vm in self.running.entry_vms
            if vm.failure_domain == domain
        ]
        self.record_outage(names, began_ms)

    def cut_platform(self, target: int, lasts_s: float) -> None:
        """Cut a failure domain off from the platform alone."""
        domains = self.running.plan.failure_domains
        domain = domains[target % len(domains)]
        links = self.running.find_links(domain, "platform")
        self.running.switch_links(links, "held")
        time.sleep(lasts_s)
        self.running.switch_links(links, "open")

    def with_log(self, lasts_s: float, **faults: typing.Any) -> None:
        """Let the log suffer for a while."""
        began_ms = recorder_module.now_ms()
        self.running.set_faults("log", **faults)
        time.sleep(lasts_s)
        self.running.set_faults("log", **dict.fromkeys(faults, 0))
        names = [vm.name for vm in self.running.entry_vms]
        self.record_outage(names, began_ms)

    def stop_log(self, target: int, lasts_s: float) -> None:
        """Take the log down."""
        self.with_log(lasts_s, down=1)

    def slow_log(self, target: int, lasts_s: float) -> None:
        """Slow the log down."""
        self.with_log(lasts_s, slow_ms=200 + 100 * target)

    def lose_answers(self, target: int, lasts_s: float) -> None:
        """Lose the answers of some appends of the system's own streams."""
        stream = ("claims", "billing")[target % 2]
        self.running.set_faults(
            "log", lose_answers=1 + target // 4, lose_in=stream
        )

    def publish(self, document: dict) -> None:
        """Publish on the newest accepted revision."""
        told = self.recorder.publish(document, self.revision)
        self.note(f"publish on {self.revision}: {told}")
        if told.accepted:
            self.revision = told.revision

    def race(self, target: int, lasts_s: float) -> None:
        """Two operators publish on the same base at once.

        Both let the version in use drain: its sessions stay on it.
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

    def withdraw(self, target: int, lasts_s: float) -> None:
        """Withdraw the cheap version in use; the other takes its place."""
        with self._publishing:
            self.withdrawn = 1 + self.withdrawn % 2
            self.publish(self.make_document())

    def make_document(self, **states: str) -> dict:
        """The document with what is withdrawn by now, and more states."""
        withdrawn = {f"cheap_{self.withdrawn}": "withdrawn"}
        return linked.make_document(**withdrawn, **states)

    def leave(self, target: int, lasts_s: float) -> None:
        """Let an engine leave for good, the same one if it comes twice."""
        name = self.running.pools["engines"][1]
        if not any(left.endpoint == name for left in self.history.left):
            self.history.left.append(
                events.Left(endpoint=name, at_ms=recorder_module.now_ms())
            )
        self.running.send_vm_list(leaving={name})
        self.running.set_faults(name, leaving=True)

    def stop(self, target: int, lasts_s: float) -> None:
        """Ask an entry VM to stop, and start it anew."""
        vm = self.name_vm(target)
        process = vm.process
        asked_ms = recorder_module.now_ms()
        process.terminate()
        code = process.wait(30)
        killed = any(
            crash.name == vm.name and crash.at_ms >= asked_ms
            for crash in self.history.crashes
        )
        if not killed:
            self.history.stopped.append(
                events.Stopped(
                    vm=vm.name,
                    asked_ms=asked_ms,
                    ended_ms=recorder_module.now_ms(),
                    exit_code=code,
                )
            )
        time.sleep(lasts_s)
        if vm.process is process:
            self.running.start_entry_vm(vm)

    def silence(self, target: int, lasts_s: float) -> None:
        """Silence an entry VM's connections; new ones work."""
        name = self.name_vm(target).name
        links = [link for link in self.running.links if name in link]
        self.running.switch_links(links, "stale")

    def crash(self, target: int, lasts_s: float) -> None:
        """A marked request crashes an engine; its caller sends it again."""
        names = self.running.pools["engines"]
        for name in names:
            self.running.set_faults(
                name, crash_mark=recorder_module.CRASH_MARK
            )
        draw = random.Random(target)
        key = f"crash-{len(self.trace)}"
        mark = recorder_module.CRASH_MARK
        self.recorder.send(key, "deep", "alpha", draw, mark)
        time.sleep(lasts_s)
        for name in names:
            if self.running.processes[name].poll() is not None:
                self.history.crashes.append(
                    events.Crash(name=name, at_ms=recorder_module.now_ms())
                )
                self.restart_engine(name)

    def restart_engine(self, name: str) -> None:
        """Start a crashed engine anew."""
        pool = self.running.plan.pools[0]
        words = ["--name", name, "--versions", ",".join(pool.versions)]
        self.running.start_standin(name, "tests.standins.engine", *words)
        loopback.wait_until_listening(self.running.addresses[name])

    def be_late(self, target: int, lasts_s: float) -> None:
        """An engine and a service answer late, within their timeouts."""
        names = [pool[target % 2] for pool in self.running.pools.values()]
        for name in names:
            self.running.set_faults(name, late_ms=300 + 100 * target)
        time.sleep(lasts_s)
        for name in names:
            self.running.set_faults(name, late_ms=0)

    def play(self) -> None:
        """All faults of the seed, at their times, then repair."""
        began_ms = recorder_module.now_ms()
        for timed in schedule.draw_faults(self.seed):
            due_ms = began_ms + timed.at_ms
            time.sleep(max(0, due_ms - recorder_module.now_ms()) / 1000)
            self.bring_about(timed)
        left_ms = began_ms + schedule.WORK_MS - recorder_module.now_ms()
        time.sleep(max(0, left_ms) / 1000)
        for thread in self._repairs:
            thread.join()
        self.running.heal()
        for name in self.running.pools["engines"]:
            if self.running.processes[name].poll() is not None:
                self.restart_engine(name)
        for vm in self.running.entry_vms:
            self.running.wait_until_ready(vm)

    def settle(self) -> list[str]:
        """Wait until every bill is in the log, then check everything."""
        deadline = time.monotonic() + SETTLE_S
        while time.monotonic() < deadline:
            if not checkers.check_bills(self.recorder.collect()):
                break
            time.sleep(0.5)
        return checkers.check_all(self.recorder.collect())


def run_seed(
    seed: int, daemon: str = linked.DAEMON, retain: int = 0
) -> tuple[Run, list[str]]:
    """Run a deployment under a seed's faults and check its history.

    With ``retain``, readers get no more than that many records a stream.
    """
    with linked.LinkedDeployment(daemon=daemon) as running:
        if retain:
            running.set_faults("log", retain=retain)
        time.sleep(ENDPOINTS_KNOWN_S)
        run = Run(seed, running, recorder_module.Recorder(running))
        work = run.recorder.work(seed)
        try:
            run.play()
        finally:
            work.stop()
        return run, run.settle()


def main(
    seconds: float = 60, seed: int = -1, without: str = "", retain: int = 0
) -> None:
    """Search for seeds that break a property.

    Args:
        seconds: how long to go on.
        seed: run this one alone.
        without: guards to take away, as tests.common.unguarded names them.
        retain: records a stream that the log keeps; 0 for all.
    """
    daemon = linked.DAEMON
    if without:
        daemon = f"{linked.UNGUARDED} {without}"
    deadline = time.monotonic() + seconds
    seeds = [seed] if seed >= 0 else random.sample(range(10**6), 10**4)
    broken = 0
    for number, each in enumerate(seeds):
        if number and time.monotonic() > deadline:
            break
        run, violations = run_seed(each, daemon, retain)
        kinds = [call.kind.value for call in run.history.calls]
        counts = {kind: kinds.count(kind) for kind in sorted(set(kinds))}
        print(f"seed {each}: {len(violations)} violations, {counts}")
        if violations:
            broken += 1
            for line in [*violations, *run.trace]:
                print(f"  {line}")
        sys.stdout.flush()
    print(f"{broken} seeds broke a property")
    sys.exit(bool(broken))


if __name__ == "__main__":
    fire.Fire(main)
