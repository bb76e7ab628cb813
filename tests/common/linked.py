"""A small deployment whose connections run through a fault-injecting relay.

The relay, tests/standins/link.py, gives each pair of processes a link that
tests can delay, hold or reset.
"""

import itertools
import json
import signal
import socket
import subprocess
import sys
import time
import typing

import attrs
import yaml

from carawayward import declaration
from tests.common import deployment
from tests.common import loopback

VERSIONS = ("cheap-1", "cheap-2", "strong-1")
DAEMON = "carawayward.daemon"
# Runs the daemon without the guards that are named as its argument.
UNGUARDED = "tests.common.unguarded"

SETTINGS = {
    "limits": {"engine_silence_ms": 3_000, "service_timeout_ms": 2_000},
    "stop": {"unready_ms": 200, "deadline_ms": 15_000},
}

SMALL = deployment.Plan(
    name="small",
    failure_domains=("east", "west", "south"),
    entry_vms=4,
    pools=(
        deployment.Pool(name="engines", count=2, versions=VERSIONS),
        deployment.Pool(name="desk", count=2),
    ),
    declaration="",
    settings=SETTINGS,
)


def make_document(**states: str) -> dict:
    """Make the declaration; ``states`` sets the states of versions.

    Its keywords are names of versions with "_" for "-", for instance
    ``cheap_1="withdrawn"``; other versions are active.
    """

    def make_version(name: str, cost: float) -> dict:
        state = states.get(name.replace("-", "_"), "active")
        return {"name": name, "cost": cost, "state": state}

    def make_customer(name: str, models: list[str]) -> dict:
        return {
            "name": name,
            "key_digests": [declaration.digest_key(f"demo-{name}")],
            "tasks": ["quick", "deep"],
            "models": models,
            "services": ["desk"],
        }

    cheap = [make_version("cheap-1", 0.2), make_version("cheap-2", 0.2)]
    check = {"confidence": 0.7}
    tasks: list[dict] = [
        {"name": "quick", "cascade": ["cheap", "strong"], "check": check},
        {"name": "deep", "cascade": ["strong"]},
    ]
    operations = [{"name": "log", "repeatable": False}, {"name": "look"}]
    return {
        "format": 1,
        "models": [
            {"name": "cheap", "versions": cheap},
            {"name": "strong", "versions": [make_version("strong-1", 2.0)]},
        ],
        "tasks": [{**task, "deadline_ms": 8_000} for task in tasks],
        "services": [
            {"name": "desk", "pool": "desk", "operations": operations}
        ],
        "customers": [
            make_customer("alpha", ["cheap", "strong"]),
            make_customer("beta", ["cheap"]),
        ],
    }


@attrs.frozen
class PublishResult:
    """The result of a publish with the operators' tool.

    ``revision`` is 0 if it was refused; ``text`` is the tool's output.
    """

    accepted: bool
    revision: int
    text: str
    began_ms: float
    ended_ms: float


@attrs.define
class LinkedDeployment(deployment.Deployment):
    """A deployment with a relay between entry VMs and everything else.

    ``spare_count`` more entry VMs get addresses and links but are not
    started; they are in ``waiting``. ``daemon`` is the module that entry
    VMs run, with its arguments.
    """

    plan: deployment.Plan = SMALL
    spare_count: int = 0
    daemon: str = DAEMON
    links: dict[str, list[int]] = attrs.field(factory=dict)
    waiting: list[deployment.EntryProcess] = attrs.field(factory=list)
    _document_numbers: typing.Iterator[int] = attrs.field(
        factory=itertools.count
    )

    def start(self) -> None:
        """Start all processes, the relay before the entry VMs."""
        self.start_platform()
        self.start_endpoints()
        published = self.publish_document(make_document(), 0)
        if not published.accepted:
            raise RuntimeError(published.text)
        self.allocate_entry_vms(self.spare_count)
        self.start_relay()
        self.send_vm_list()
        self.waiting = self.entry_vms[self.plan.entry_vms :]
        del self.entry_vms[self.plan.entry_vms :]
        for vm in self.entry_vms:
            self.start_entry_vm(vm)
        for vm in self.entry_vms:
            self.wait_until_ready(vm)

    def start_relay(self) -> None:
        """Start the relay: a link from each entry VM to all its targets."""
        vms = self.entry_vms
        targets = {
            f"{one.name}>{other.name}": other.peers
            for one, other in itertools.permutations(vms, 2)
        }
        for vm in vms:
            for name, address in self.addresses.items():
                targets[f"{vm.name}>{name}"] = address
        ports = loopback.find_free_ports(len(targets) + 1)
        self.addresses["link"] = f"127.0.0.1:{ports.pop()}"
        self.links = {
            name: [port, int(address.rpartition(":")[2])]
            for port, (name, address) in zip(
                ports, targets.items(), strict=True
            )
        }
        file = self.folder / "links.json"
        file.write_text(json.dumps(self.links))
        self.start_standin("link", "tests.standins.link", "--file", str(file))
        loopback.wait_until_listening(self.addresses["link"])

    def send_vm_list(self, leaving: typing.Collection[str] = ()) -> None:
        """Send the list of endpoints, with each viewer's link addresses."""
        domains = self.plan.failure_domains
        vms = [
            {
                "name": name,
                "role": "endpoint",
                "pool": pool,
                "failure_domain": domains[index % len(domains)],
                "address": self.addresses[name],
                "leaving": name in leaving,
            }
            for pool, names in self.pools.items()
            for index, name in enumerate(names)
        ]
        seen_by: dict[str, dict[str, str]] = {}
        for link, (port, _) in self.links.items():
            viewer, _, name = link.partition(">")
            seen_by.setdefault(viewer, {})[name] = f"127.0.0.1:{port}"
        body = {"vms": vms, "seen_by": seen_by}
        deployment.call("PUT", self.addresses["vms"], "/vms", body)

    def make_settings(self, vm: deployment.EntryProcess) -> dict:
        """Make settings whose addresses are those of this VM's links."""
        settings = super().make_settings(vm)
        ports = {
            name.partition(">")[2]: port
            for name, (port, _) in self.links.items()
            if name.startswith(f"{vm.name}>")
        }
        settings["platform"] = {
            "log": f"http://127.0.0.1:{ports['log']}",
            "vms": f"http://127.0.0.1:{ports['vms']}/for/{vm.name}",
        }
        # An entry VM also dials peers that it has learned of through other
        # peers. Without these routes it would bypass the relay.
        settings["peer_routes"] = {
            peer.peers: f"127.0.0.1:{ports[peer.name]}"
            for peer in self.entry_vms
            if peer.name != vm.name
        }
        settings["peers"] = list(settings["peer_routes"].values())
        return settings

    def start_entry_vm(self, vm: deployment.EntryProcess) -> None:
        """Start one entry VM with the module in ``daemon``."""
        path = self.folder / f"{vm.name}.yaml"
        path.write_text(yaml.safe_dump(self.make_settings(vm)))
        vm.process = self.spawn(
            vm.name, "-m", *self.daemon.split(), "--settings", str(path)
        )
        self.processes[vm.name] = vm.process

    def publish_document(self, document: dict, base: int) -> PublishResult:
        """Publish with the operators' tool; a refusal does not raise."""
        file = self.folder / f"document-{next(self._document_numbers)}.yaml"
        file.write_text(yaml.safe_dump(document))
        arguments = ["publish", str(file), "--base", str(base)]
        arguments += ["--log", f"http://{self.addresses['log']}"]
        began_ms = time.monotonic() * 1000
        done = subprocess.run(
            [sys.executable, "-m", "carawayward.command", *arguments],
            capture_output=True,
            text=True,
            env=self.environment,
        )
        accepted = done.returncode == 0
        digits = [w for w in done.stdout.split() if w.isdecimal()]
        return PublishResult(
            accepted,
            int(digits[0]) if accepted and digits else 0,
            done.stdout + done.stderr,
            began_ms,
            time.monotonic() * 1000,
        )

    def switch_links(
        self, names: list[str], mode: str, delay_ms: float = 0.0
    ) -> None:
        """Set the mode of the named links; see tests/standins/link.py."""
        command = {"links": names, "mode": mode, "delay_ms": delay_ms}
        host, _, port = self.addresses["link"].rpartition(":")
        with socket.create_connection((host, int(port)), 5) as stream:
            stream.sendall(json.dumps(command).encode() + b"\n")
            assert stream.recv(16)

    def get_failure_domain(self, name: str) -> str:
        """The failure domain of a VM, or "platform" for anything else."""
        for vm in [*self.entry_vms, *self.waiting]:
            if vm.name == name:
                return vm.failure_domain
        for names in self.pools.values():
            if name in names:
                domains = self.plan.failure_domains
                return domains[names.index(name) % len(domains)]
        return "platform"

    def find_links(self, one: str, other: str) -> list[str]:
        """Find the links between two failure domains, in both directions.

        "platform" counts as a domain.
        """
        found = []
        for link in self.links:
            ends = {self.get_failure_domain(name) for name in link.split(">")}
            if ends == {one, other}:
                found.append(link)
        return found

    def cut(self, *domains: str, mode: str = "held") -> list[str]:
        """Partition domains from all others and from the platform.

        Returns the links that were set to ``mode``.
        """
        others = {*self.plan.failure_domains, "platform"} - set(domains)
        links = [
            link
            for domain in domains
            for other in others
            for link in self.find_links(domain, other)
        ]
        self.switch_links(links, mode)
        return links

    def heal(self) -> None:
        """Open all links."""
        self.switch_links(list(self.links), "open")

    def kill(self, vm: deployment.EntryProcess) -> None:
        """Kill an entry VM with SIGKILL."""
        assert vm.process is not None
        vm.process.kill()
        vm.process.wait()

    def suspend(self, vm: deployment.EntryProcess) -> None:
        """Suspend an entry VM with SIGSTOP, which it cannot observe."""
        assert vm.process is not None
        vm.process.send_signal(signal.SIGSTOP)

    def resume(self, vm: deployment.EntryProcess) -> None:
        """Resume a suspended entry VM."""
        assert vm.process is not None
        vm.process.send_signal(signal.SIGCONT)

    def restart(self, vm: deployment.EntryProcess) -> None:
        """Restart an entry VM: same addresses, new incarnation."""
        if vm.process is not None and vm.process.poll() is None:
            self.kill(vm)
        self.start_entry_vm(vm)
        self.wait_until_ready(vm)

    def replace(self, vm: deployment.EntryProcess) -> deployment.EntryProcess:
        """Start a spare entry VM, then stop ``vm``; return the spare."""
        spare = self.waiting.pop(0)
        self.entry_vms.append(spare)
        self.start_entry_vm(spare)
        self.wait_until_ready(spare)
        assert vm.process is not None
        vm.process.send_signal(signal.SIGTERM)
        assert vm.process.wait(deployment.STOP_TIMEOUT_S) == 0
        self.entry_vms.remove(vm)
        return spare

    def fetch_all_records(self, stream: str) -> list[dict]:
        """Fetch every record ever appended, including trimmed ones."""
        log = self.addresses["log"]
        return deployment.call("GET", log, f"/all/{stream}").json()
