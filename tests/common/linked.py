"""A small deployment whose every connection runs over links to cut."""

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
# Followed by the names of guards, it stands for the daemon without them.
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
    """The declaration in use; ``states`` sets versions' states by name."""

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
class Published:
    """What an operator's tool answered."""

    accepted: bool
    revision: int
    text: str
    began_ms: float
    ended_ms: float


@attrs.define
class LinkedDeployment(deployment.Deployment):
    """A deployment with a relay between its parts, and its faults.

    ``spare_count`` entry VMs have addresses and links and are started later.
    """

    plan: deployment.Plan = SMALL
    spare_count: int = 0
    daemon: str = DAEMON
    links: dict[str, list[int]] = attrs.field(factory=dict)
    waiting: list[deployment.EntryProcess] = attrs.field(factory=list)
    _drafts: typing.Iterator[int] = attrs.field(factory=itertools.count)

    def start(self) -> None:
        """Start everything, with links between entry VMs and the rest."""
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
        """Make a link from each entry VM to all that it talks to."""
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
        """List endpoints, each under the address of the viewer's link."""
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
        """Settings whose addresses are those of this VM's links."""
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
        # An entry VM also dials peers that it has only heard of; it must
        # not get round the links by doing so.
        settings["peer_routes"] = {
            peer.peers: f"127.0.0.1:{ports[peer.name]}"
            for peer in self.entry_vms
            if peer.name != vm.name
        }
        settings["peers"] = list(settings["peer_routes"].values())
        return settings

    def start_entry_vm(self, vm: deployment.EntryProcess) -> None:
        """Start one entry VM's daemon, or the module that stands for it."""
        path = self.folder / f"{vm.name}.yaml"
        path.write_text(yaml.safe_dump(self.make_settings(vm)))
        vm.process = self.spawn(
            vm.name, "-m", *self.daemon.split(), "--settings", str(path)
        )
        self.processes[vm.name] = vm.process

    def publish_document(self, document: dict, base: int) -> Published:
        """Publish through the operators' tool; a refusal is no exception."""
        file = self.folder / f"document-{next(self._drafts)}.yaml"
        file.write_text(yaml.safe_dump(document))
        words = ["publish", str(file), "--base", str(base)]
        words += ["--log", f"http://{self.addresses['log']}"]
        began_ms = time.monotonic() * 1000
        done = subprocess.run(
            [sys.executable, "-m", "carawayward.command", *words],
            capture_output=True,
            text=True,
            env=self.environment,
        )
        accepted = done.returncode == 0
        digits = [w for w in done.stdout.split() if w.isdecimal()]
        return Published(
            accepted,
            int(digits[0]) if accepted and digits else 0,
            done.stdout + done.stderr,
            began_ms,
            time.monotonic() * 1000,
        )

    def switch_links(
        self, names: list[str], mode: str, delay_ms: float = 0.0
    ) -> None:
        """Set the mode of links, by name."""
        order = {"links": names, "mode": mode, "delay_ms": delay_ms}
        host, _, port = self.addresses["link"].rpartition(":")
        with socket.create_connection((host, int(port)), 5) as stream:
            stream.sendall(json.dumps(order).encode() + b"\n")
            assert stream.recv(16)

    def get_failure_domain(self, name: str) -> str:
        """Failure domain of a VM; the platform is in none of them."""
        for vm in [*self.entry_vms, *self.waiting]:
            if vm.name == name:
                return vm.failure_domain
        for names in self.pools.values():
            if name in names:
                domains = self.plan.failure_domains
                return domains[names.index(name) % len(domains)]
        return "platform"

    def find_links(self, one: str, other: str) -> list[str]:
        """Links between two failure domains, either way."""
        found = []
        for link in self.links:
            ends = {self.get_failure_domain(name) for name in link.split(">")}
            if ends == {one, other}:
                found.append(link)
        return found

    def cut(self, *domains: str, mode: str = "held") -> list[str]:
        """Cut domains off from all others and from the platform."""
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
        """Open every link."""
        self.switch_links(list(self.links), "open")

    def kill(self, vm: deployment.EntryProcess) -> None:
        """End an entry VM at once."""
        assert vm.process is not None
        vm.process.kill()
        vm.process.wait()

    def suspend(self, vm: deployment.EntryProcess) -> None:
        """Stop an entry VM where it stands; it notices nothing."""
        assert vm.process is not None
        vm.process.send_signal(signal.SIGSTOP)

    def resume(self, vm: deployment.EntryProcess) -> None:
        """Let a frozen entry VM go on."""
        assert vm.process is not None
        vm.process.send_signal(signal.SIGCONT)

    def restart(self, vm: deployment.EntryProcess) -> None:
        """Start an entry VM anew: same addresses, new incarnation."""
        if vm.process is not None and vm.process.poll() is None:
            self.kill(vm)
        self.start_entry_vm(vm)
        self.wait_until_ready(vm)

    def replace(self, vm: deployment.EntryProcess) -> deployment.EntryProcess:
        """Start a spare, then ask ``vm`` to stop; return the spare."""
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
        """Every record ever appended, forgotten ones too."""
        log = self.addresses["log"]
        return deployment.call("GET", log, f"/all/{stream}").json()
