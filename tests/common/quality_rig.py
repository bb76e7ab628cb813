"""Simulates entry VMs' ratings and roll-outs in one process.

The controllers and decisions are the daemon's own. Only the log, the links and
the ratings service are fakes in virtual time, so that minutes pass in
milliseconds.
"""

import typing

import attrs

from carawayward import blackboard
from carawayward import clock as clock_module
from carawayward.controllers import ratings as ratings_controller
from carawayward.controllers import rollout_reader
from carawayward.controllers import rollouts
from carawayward.decisions import evidence
from carawayward.decisions import rollout
from carawayward import declaration
from carawayward import errors
from carawayward.gateway import planning
from carawayward import quality
from tests.common import platform_fakes

LINK_STEPS = 4


@attrs.define
class Node:
    """One simulated entry VM."""

    board: blackboard.Blackboard
    hub: platform_fakes.FakeHub
    ratings: ratings_controller.RatingsController
    rollouts: rollouts.RolloutsController
    alive: bool = True
    given: list[tuple[quality.SampledAnswer, float]] = attrs.field(
        factory=list
    )

    @property
    def name(self) -> str:
        """The entry VM's name."""
        return self.board.name


@attrs.define
class Rig:
    """A simulated cluster of entry VMs, advanced a second at a time.

    ``cut`` are the pairs of failure domains between which messages are lost;
    ``nodes_without_log`` are the entry VMs that cannot reach the log.
    """

    document: dict
    clock: clock_module.ManualClock
    log: platform_fakes.FakeLog
    service: platform_fakes.FakeRatings
    nodes: list[Node] = attrs.field(factory=list)
    queue: list[tuple[str, str, str, typing.Any]] = attrs.field(factory=list)
    cut: set[frozenset[str]] = attrs.field(factory=set)
    nodes_without_log: set[str] = attrs.field(factory=set)
    request_count: int = 0
    answers_by_version: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def from_config(
        cls,
        document: dict,
        domains: list[str],
        count: int,
        rate_answer: typing.Callable[[dict], bool],
    ) -> "Rig":
        """Spread entry VMs over the domains, and link each to a few others."""
        clock = clock_module.ManualClock()
        rig = cls(
            document=document,
            clock=clock,
            log=platform_fakes.FakeLog(clock),
            service=platform_fakes.FakeRatings(clock, rate_answer),
        )
        for number in range(count):
            rig.add_node(f"vm-{number}", domains[number % len(domains)], count)
        rig.publish(document)
        return rig

    def add_node(self, name: str, domain: str, count: int) -> Node:
        """Add an entry VM, linked to others in a ring with chords."""
        board = blackboard.Blackboard(name=name, failure_domain=domain)
        number = len(self.nodes)
        steps = {1, 2, max(1, count // 3), max(1, count // 2)}
        peers = {
            f"vm-{(number + sign * step) % count}"
            for step in list(steps)[:LINK_STEPS]
            for sign in (1, -1)
        }
        hub = platform_fakes.FakeHub(name, sorted(peers - {name}), self.queue)
        clock: typing.Any = self.clock
        links: typing.Any = hub
        reader = rollout_reader.RolloutReader(
            clock, typing.cast(typing.Any, self.log)
        )
        node = Node(
            board,
            hub,
            ratings_controller.RatingsController(board, clock, links, None),
            rollouts.RolloutsController(board, clock, links, reader),
        )
        hub.handle("evidence", node.ratings.merge_cells)
        hub.handle("rollouts", node.rollouts.merge_peer_state)
        self.nodes.append(node)
        return node

    def publish(self, document: dict) -> None:
        """Put a document in force on all entry VMs."""
        revision = 1 + max(
            n.board.config.revision if n.board.config else 0
            for n in self.nodes
        )
        for node in self.nodes:
            node.board.config = blackboard.ConfigInForce.from_config(
                revision, document
            )
            for pool, version_names in self.list_endpoints(document):
                node.board.endpoints[pool] = blackboard.Endpoint(
                    name=pool,
                    pool="matchers",
                    failure_domain=node.board.failure_domain,
                    address="",
                    versions=version_names,
                )

    @staticmethod
    def list_endpoints(document: dict) -> list[tuple[str, frozenset[str]]]:
        """Four endpoints that have every version, as names and versions."""
        names = frozenset(
            v["name"] for m in document["models"] for v in m["versions"]
        )
        return [(f"matchers-{number}", names) for number in range(4)]

    async def tick(self) -> None:
        """Advance the whole cluster by a second."""
        self.clock.advance(1_000)
        live = [node for node in self.nodes if node.alive]
        for node in live:
            for peer in live:
                self._update_member(node, peer)
        for node in live:
            await self._run_node(node)
        await self._deliver()

    def _update_member(self, node: Node, peer: Node) -> None:
        pair = frozenset(
            {node.board.failure_domain, peer.board.failure_domain}
        )
        if node is peer or pair in self.cut:
            return
        node.board.entry_vms[peer.name] = blackboard.EntryVm(
            name=peer.name,
            incarnation=peer.board.incarnation,
            failure_domain=peer.board.failure_domain,
            address="",
            last_heard_ms=self.clock.now_ms(),
        )

    async def _run_node(self, node: Node) -> None:
        service: typing.Any = self.service
        try:
            await node.ratings.send_answers(service)
            await node.ratings.collect(service)
            node.ratings.last_answered_ms = self.clock.now_ms()
        except errors.PlatformUnavailable:
            pass
        node.ratings.update_service_status()
        node.ratings.evict_expired()
        rows = node.ratings.choose_rows()
        if rows:
            await node.hub.notify_all("evidence", rows)
        controller = node.rollouts
        reachable = node.name not in self.nodes_without_log
        try:
            if reachable:
                await controller.reader.read_once(0)
                node.board.current_as_of_ms = self.clock.now_ms()
        except errors.PlatformUnavailable:
            pass
        controller.refresh()
        halts = controller.evaluate_all()
        await controller.notify_peers()
        try:
            if reachable:
                await controller.append_due(halts)
        except errors.PlatformUnavailable:
            pass

    async def _deliver(self) -> None:
        """Deliver the queued messages, except between separated domains."""
        by_name = {node.name: node for node in self.nodes if node.alive}
        sent, self.queue[:] = list(self.queue), []
        for sender, receiver, kind, body in sent:
            source, target = by_name.get(sender), by_name.get(receiver)
            if source is None or target is None:
                continue
            pair = frozenset(
                {source.board.failure_domain, target.board.failure_domain}
            )
            if pair not in self.cut:
                await target.hub.handlers[kind](sender, body)

    def send_request(
        self,
        node: Node,
        customer: str,
        task: str,
        pins: dict[str, str] | None = None,
    ) -> str:
        """Answer one request at once; return the version that answered.

        Returns an empty string if the request is refused.
        """
        config = node.board.config
        assert config is not None
        self.request_count += 1
        key = f"r{self.request_count}"
        declared = config.tasks[task]
        plan = planning.choose_plan(
            node.board,
            config.customers[customer],
            declared,
            key,
            pins or {},
            1e6,
        )
        if (
            not plan.steps
            or plan.steps[0].version in node.board.quality.halted
        ):
            return ""
        version = plan.steps[0].version
        self.answers_by_version[version] = (
            self.answers_by_version.get(version, 0) + 1
        )
        planning.record_answer(
            node.board,
            quality.SampledAnswer(
                answer_id=key,
                key=evidence.Key(customer, task, version),
                answered_at_ms=self.clock.wall_ms(),
                messages=[],
                text="",
            ),
            declared.rated_share,
            500.0,
        )
        planning.release(node.board, plan, [version])
        return version

    def open_session(self, node: Node, customer: str) -> dict[str, str]:
        """Open a session and return its pinned versions."""
        config = node.board.config
        assert config is not None
        self.request_count += 1
        return planning.choose_pins(
            node.board, config.customers[customer], f"s{self.request_count}"
        )

    def progress(self, name: str, node: int = 0) -> rollout.Progress:
        """A roll-out's progress as one entry VM sees it."""
        return self.nodes[node].rollouts.find_progress(name)


def make_document(
    stages: list[dict],
    customers: tuple[str, ...] = ("delta-hosts", "oak-stage"),
    rated_share: float = 0.2,
    **rollout_fields: typing.Any,
) -> dict:
    """Make a document with a roll-out from scribe-7 to scribe-8."""
    document = {
        "format": declaration.FORMAT,
        "models": [
            {
                "name": "scribe",
                "versions": [
                    {"name": "scribe-7", "cost": 0.3},
                    {"name": "scribe-8", "cost": 0.3, "state": "canary"},
                ],
            }
        ],
        "tasks": [
            {
                "name": name,
                "cascade": ["scribe"],
                "target": 0.9,
                "rated_share": rated_share,
            }
            for name in ("stage-note", "route-narrative")
        ],
        "customers": [
            {
                "name": name,
                "key_digests": [declaration.digest_key(name)],
                "tasks": ["stage-note", "route-narrative"],
                "models": ["scribe"],
            }
            for name in customers
        ],
        "rollouts": [
            {
                "name": "scribe-8",
                "model": "scribe",
                "from_version": "scribe-7",
                "to_version": "scribe-8",
                "stages": stages,
                **rollout_fields,
            }
        ],
    }
    return declaration.unstructure(
        declaration.Declaration.from_config(document)
    )
