"""Operators that change the configuration, and probes that show its effect.

Each version replaces the route of the last one by another and its key by
another. Entry VMs are sent requests on the newest route and the one before,
with the newest key and the one before, and on routes of records that are not
valid; what they answer shows which versions they may have handled it by.
"""

import itertools
import json
import random
import typing

import attrs
import trio

from tests.soak import callers as callers_module
from tests.soak import processes
from tests.soak import records
from tests.soak import traffic
from tests.standins import store as store_module

TOPIC = "keyed.op"
PROBE_INTERVAL_S = 0.2
PROBE_DEADLINE_MS = 2_000.0
STORM_VERSIONS, STORM_GAP_S = 20, 0.1
# From below the pauses between requests of a kept connection to the usual.
IDLE_LIMITS_MS = (500, 1_000, 3_000, 15_000)
GROWN_ROUTES, MAX_IDLE_ROUTES = 700, 1_400
RAN = (200, 500)
MIN_PROBES_COMPARED = 20
MIN_SERVED_RATIO = 0.25
OPEN_PATH = f"/{traffic.KINDS[-1].name}/"


@attrs.define(eq=False, kw_only=True)
class Operator:
    """Writes versions to the store, which acknowledges them at once."""

    store: store_module.Store
    history: records.History
    draw: random.Random
    version: int = 1
    config: dict = attrs.field(factory=traffic.make_config)
    idle_ms: int | None = None

    def __attrs_post_init__(self) -> None:
        self.history.versions.append(self._make_record(0.0))

    def _make_record(self, acked_ms: float) -> records.Version:
        return records.Version(
            paths=frozenset(
                route["pathPrefix"] for route in self.config["routes"]
            ),
            keys=frozenset(
                key
                for tenant in self.config["tenants"]
                for key in tenant["apiKeys"]
            ),
            acked_ms=acked_ms,
        )

    def change(self, routes: int = 0) -> None:
        """Write a version with another route and key, and further routes."""
        self.version += self.draw.randint(1, 3)
        first = traffic.make_config(self.version)
        grown = [
            route
            for route in self.config["routes"]
            if route["name"].startswith("idle")
        ]
        routes = min(routes, MAX_IDLE_ROUTES - len(grown))
        grown += [
            make_route(f"idle-{len(grown) + number}")
            for number in range(routes)
        ]
        first["routes"] += [make_route(f"probe-{self.version}"), *grown]
        first["tenants"][0]["apiKeys"].append(f"key-{self.version}")
        if self.idle_ms is not None:
            first["limits"]["idleTimeoutMs"] = self.idle_ms
        self.config = first
        self.store.put(TOPIC, "config", self.config)
        self.history.versions.append(
            self._make_record(trio.current_time() * 1000)
        )

    def change_idle_limit(self, strength: float) -> None:
        """Write a version with another idle limit of connections."""
        self.idle_ms = IDLE_LIMITS_MS[int(strength * len(IDLE_LIMITS_MS))]
        self.change()

    def write_invalid(self) -> None:
        """Write a record that is no valid version."""
        self.version += 1
        path = f"/invalid-{self.version}/"
        broken = json.loads(json.dumps(self.config))
        broken["version"] = self.version
        # Whoever takes it does not know the newest route.
        broken["routes"] = [
            route
            for route in broken["routes"]
            if not route["name"].startswith("probe")
        ] + [make_route(path.strip("/"))]
        match self.draw.randrange(4):
            case 0:
                broken["routes"][0]["maxAttempts"] = "two"
            case 1:
                del broken["services"]
            case 2:
                broken["routes"][0]["routeKind"] = "unknown"
            case 3:
                broken["routes"][0]["timeoutMs"] = "soon"
        self.store.put(TOPIC, "config", broken)
        self.history.invalid_paths.append(path)

    async def storm(self) -> None:
        """Write versions in quick succession."""
        for _ in range(STORM_VERSIONS):
            self.change()
            await trio.sleep(STORM_GAP_S)


def make_route(name: str) -> dict:
    """A route to the desks, of which the system's work is small."""
    kind = traffic.KINDS[-1]
    return {
        "name": name,
        "host": traffic.HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind.route_kind,
        "service": kind.service,
        "maxAttempts": 2,
        "timeoutMs": PROBE_DEADLINE_MS,
        "targetLatencyMs": kind.target_ms,
        "priority": 1,
        "anonymous": False,
        "affinity": False,
    }


@attrs.define(eq=False, kw_only=True)
class Prober:
    """Sends each entry VM requests that show its version."""

    callers: callers_module.Callers
    history: records.History
    draw: random.Random

    async def run(self, vm: processes.EntryVm) -> None:
        """Probe one entry VM until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(
                    self.draw.uniform(0.5, 1.5) * PROBE_INTERVAL_S
                )
                path, key = self._choose()
                nursery.start_soon(self._probe, vm, path, key)

    def _choose(self) -> tuple[str, str]:
        """Choose a path and a key."""
        newest, last = (
            self.history.versions[-1],
            self.history.versions[-2:][0],
        )
        keys = sorted(newest.keys - {traffic.KEY}) or [traffic.KEY]
        old_keys = sorted(last.keys - newest.keys) or keys
        old_paths = sorted(last.paths - newest.paths) or [OPEN_PATH]
        new_paths = sorted(newest.paths - last.paths) or [OPEN_PATH]
        probe = [each for each in new_paths if "probe" in each] or new_paths
        choices = [
            (probe[0], keys[0]),
            (probe[0], keys[0]),
            (old_paths[0], traffic.KEY),
            (OPEN_PATH, old_keys[0]),
        ]
        choices += [
            (path, traffic.KEY) for path in self.history.invalid_paths[-1:]
        ]
        return self.draw.choice(choices)

    async def _probe(self, vm: processes.EntryVm, path: str, key: str) -> None:
        sent = records.Sent(
            request_id=f"{next(self.callers.ids):016x}",
            vm=vm.name,
            service=traffic.KINDS[-1].service,
            content=f"{path}{self.draw.randrange(10**9)}",
            at_ms=trio.current_time() * 1000,
            deadline_ms=PROBE_DEADLINE_MS,
            max_attempts=2,
            route="probe",
            call=next(self.callers.calls),
            zone=vm.zone,
        )
        self.history.sent[sent.request_id] = sent
        probe = records.Probe(
            vm=vm.name, start=vm.starts, path=path, key=key, at_ms=sent.at_ms
        )
        headers = {
            "host": traffic.HOST,
            "carawayward-attempt-id": sent.request_id,
            "carawayward-deadline-ms": str(int(PROBE_DEADLINE_MS)),
            "carawayward-key": key,
        }
        status = 0
        with trio.move_on_after(PROBE_DEADLINE_MS / 1000):
            try:
                response = await self.callers.get_pool(vm).request(
                    "GET",
                    f"http://127.0.0.1:{vm.caller_port}{sent.content}",
                    headers=list(headers.items()),
                )
                status = response.status
            except callers_module.CALL_FAILURES:
                pass
        probe.status = status
        probe.ended_ms = trio.current_time() * 1000
        if vm.starts == probe.start:
            self.history.probes.append(probe)


def _explains(version: records.Version, probe: records.Probe) -> bool:
    """Whether a version allows the answer to a probe."""
    if probe.status == 404:
        return probe.path not in version.paths
    allowed = probe.path in version.paths
    if probe.status == 401:
        return allowed and probe.key not in version.keys
    if probe.status in RAN:
        return allowed and probe.key in version.keys
    return True


def _list_explaining(
    versions: typing.Sequence[records.Version], probe: records.Probe
) -> list[int]:
    return [
        number
        for number, version in enumerate(versions)
        if _explains(version, probe)
    ]


def check_late_versions(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find answers that only a version allows that is no longer in force."""
    found = []
    for probe in history.probes:
        if history.is_vm_disrupted(
            probe.vm, probe.at_ms - bounds.contact_ms, probe.at_ms
        ):
            continue
        oldest = max(
            number
            for number, version in enumerate(history.versions)
            if version.acked_ms <= max(0.0, probe.at_ms - bounds.apply_ms)
        )
        if not any(
            number >= oldest
            for number in _list_explaining(history.versions, probe)
        ):
            found.append(f"{probe.describe()}; {oldest} is in force")
    return found


def check_regressions(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find processes that handled by an older version than before."""
    found = []
    by_process: dict[tuple[str, int], list[records.Probe]] = {}
    for probe in history.probes:
        by_process.setdefault((probe.vm, probe.start), []).append(probe)
    for probes in by_process.values():
        seen = [
            (probe.ended_ms, _list_explaining(history.versions, probe)[0])
            for probe in probes
            if probe.status in RAN
            and _list_explaining(history.versions, probe)
        ]
        for probe in probes:
            floor = max(
                (
                    number
                    for ended_ms, number in seen
                    if ended_ms + bounds.back_ms < probe.at_ms
                ),
                default=0,
            )
            if not any(
                number >= floor
                for number in _list_explaining(history.versions, probe)
            ):
                found.append(f"{probe.describe()}; {floor} was seen before")
    return found


def check_invalid_versions(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find requests that ran on routes of records that are not valid."""
    return [
        probe.describe()
        for probe in history.probes
        if probe.path in history.invalid_paths and probe.status in RAN
    ]


def check_revoked_keys(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find requests that ran with a key that was taken away too long ago.

    Entry VMs that cannot know that refuse keys.
    """
    revoked: dict[str, float] = {}
    for last, version in itertools.pairwise(history.versions):
        for key in last.keys - version.keys:
            revoked[key] = version.acked_ms
    return [
        probe.describe()
        for probe in history.probes
        if probe.status in RAN
        and probe.at_ms
        > revoked.get(probe.key, probe.at_ms) + bounds.revoke_ms
    ]


def count_probes(
    history: records.History, bounds: records.Bounds
) -> tuple[list[bool], list[bool]]:
    """Whether probes of added routes, and calls on a first one, were served.

    Sent to entry VMs in touch; those of a route are counted once its version
    has to be in force.
    """
    added = []
    for probe in history.probes:
        since_ms = min(
            (
                version.acked_ms
                for version in history.versions
                if probe.path in version.paths
            ),
            default=probe.at_ms,
        )
        newest = [v for v in history.versions if v.acked_ms <= probe.ended_ms]
        if (
            probe.path == OPEN_PATH
            or since_ms + bounds.apply_ms > probe.at_ms
            or not _explains(newest[-1], attrs.evolve(probe, status=200))
            or history.is_vm_disrupted(
                probe.vm, probe.at_ms - bounds.contact_ms, probe.ended_ms
            )
        ):
            continue
        added.append(probe.status in RAN)
    first = [
        history.statuses.get(sent.request_id, 0) in RAN
        for sent in history.sent.values()
        if sent.route == traffic.KINDS[-1].name
        and sent.first_try
        and not history.is_vm_disrupted(
            sent.vm, sent.at_ms - bounds.contact_ms, sent.ends_ms
        )
    ]
    return added, first


def check_added_routes(
    history: records.History, bounds: records.Bounds
) -> list[str]:
    """Find added routes that are served far less often than first ones."""
    added, first = count_probes(history, bounds)
    if min(len(added), len(first)) < MIN_PROBES_COMPARED:
        return []
    if sum(added) / len(added) >= MIN_SERVED_RATIO * sum(first) / len(first):
        return []
    return [
        f"{sum(added)} of {len(added)} served on added routes, {sum(first)} "
        f"of {len(first)} on a first one"
    ]


CHECKERS = {
    "late versions": check_late_versions,
    "regressions": check_regressions,
    "invalid versions": check_invalid_versions,
    "revoked keys": check_revoked_keys,
    "added routes": check_added_routes,
}
