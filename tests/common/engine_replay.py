"""Replays a load on engines of uneven pace, placed by many entry VMs.

There is no network: engines read prompts one after the other, and each entry
VM has a latency model and paces of its own.
"""

import heapq
import itertools
import math
import random
import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import engine_load
from carawayward.decisions import engine_pace
from carawayward.decisions import engine_room
from carawayward.decisions import engine_sampling
from carawayward.forwarding import engine_paces
from carawayward.forwarding import load_report_messages

TOKEN_MS = 0.03
BASE_MS = 60.0
CACHE_TOKENS = 400_000
SHARED_TOKENS = 8_000
# Peers merge the samples of an entry VM this often.
SHARE_MS = 1_500.0


@attrs.frozen(kw_only=True)
class Scenario:
    """A load: engines of ``paces``, prompts a second, and disturbances.

    Each stream holds one of ``slots`` for ``stream_ms`` after its first token;
    0 is no limit. Other entry VMs learn of a change of an engine's load after
    ``lag_ms``. ``stalls`` are (engine, from, to). A prompt is served late
    after ``target_ms``.
    """

    paces: tuple[float, ...]
    per_s: float
    vms: int = 88
    seconds: float = 60.0
    target_ms: float = 2_000.0
    slots: int = 0
    stream_ms: float = 2_000.0
    burst: float = 1.0
    stalls: tuple[tuple[int, float, float], ...] = ()
    noise: float = 0.0
    lag_ms: float = 30.0
    shared_parts: int = 0
    seed: int = 1


@attrs.define
class Engine:
    """An engine: when its reader and its places are free again."""

    pace: float
    reader_free_ms: float = 0.0
    places: list[float] = attrs.field(factory=list)
    work: float = 0.0


@attrs.define
class Vm:
    """What one entry VM has learned."""

    model: engine_load.LatencyModel
    paces: engine_paces.EnginePaces
    loads: engine_load.EngineLoads


@attrs.define
class Replay:
    """The state of a replay; ``ttfts`` are (sent, first token) in ms."""

    scenario: Scenario
    knowledge: str
    clock: typing.Any = attrs.field(factory=clock_module.ManualClock)
    loads: engine_load.EngineLoads = attrs.field(
        factory=engine_load.EngineLoads
    )
    ttfts: list[tuple[float, float]] = attrs.field(factory=list)
    events: list = attrs.field(factory=list)
    counter: typing.Iterator[int] = attrs.field(factory=itertools.count)
    draw: random.Random = attrs.field(init=False)
    engines: list[Engine] = attrs.field(init=False)
    names: list[str] = attrs.field(init=False)
    vms: list[Vm] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        paces = self.scenario.paces
        self.draw = random.Random(self.scenario.seed)
        self.names = [f"engine-{number}" for number in range(len(paces))]
        self.engines = [
            Engine(pace, places=[0.0] * self.scenario.slots) for pace in paces
        ]
        self.vms = [self.make_vm() for _ in range(self.scenario.vms)]

    def make_vm(self) -> Vm:
        """An entry VM that has just started."""
        names = {load_report_messages.hash_name(n): n for n in self.names}
        paces = engine_pace.Paces()
        if self.knowledge == "perfect":
            median = sorted(self.scenario.paces)[len(self.names) // 2]
            paces.known = {
                name: engine.pace / median
                for name, engine in zip(self.names, self.engines, strict=True)
            }
        return Vm(
            engine_load.LatencyModel(BASE_MS, TOKEN_MS),
            engine_paces.EnginePaces(self.clock, paces, lambda: names),
            engine_load.EngineLoads(
                peers={
                    f"vm-{number}": engine_load.PeerLoads(math.inf, {})
                    for number in range(self.scenario.vms - 1)
                },
                peer_totals=self.loads.own,
                cached=self.loads.cached,
            ),
        )

    def at(self, ms: float, act: typing.Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (ms, next(self.counter), act))

    def run(self) -> "Replay":
        """Play the whole load."""
        end_ms, now_ms = self.scenario.seconds * 1_000.0, 0.0
        while now_ms < end_ms:
            busy = end_ms / 3 < now_ms < end_ms / 2
            per_s = self.scenario.per_s * (self.scenario.burst if busy else 1)
            now_ms += self.draw.expovariate(per_s) * 1_000.0
            self.at(now_ms, self.send)
        if self.knowledge == "learned":
            for step in range(int(end_ms / SHARE_MS)):
                self.at(step * SHARE_MS, self.share)
        while self.events:
            ms, _, act = heapq.heappop(self.events)
            self.clock.advance(ms - self.clock.now_ms())
            act()
        return self

    def share(self) -> None:
        """Each entry VM merges what the others report."""
        values = [
            (f"vm-{i}/a", v.paces.describe()) for i, v in enumerate(self.vms)
        ]
        for number, vm in enumerate(self.vms):
            for other, (peer, value) in enumerate(values):
                if other != number and value is not None:
                    vm.paces.merge(peer, value, 0.0)

    def read(self, engine: Engine, tokens: int) -> tuple[float, float]:
        """Queue a prompt; returns when it has been read, and its hold."""
        start_ms = max(self.clock.now_ms(), engine.reader_free_ms)
        if engine.places:
            start_ms = max(start_ms, heapq.heappop(engine.places))
        slow = 2.5 if self.draw.random() < self.scenario.noise else 1.0
        end_ms = start_ms + tokens * TOKEN_MS * engine.pace * slow
        for index, from_ms, to_ms in self.scenario.stalls:
            if self.engines[index] is engine and from_ms < end_ms < to_ms:
                end_ms = to_ms
        engine.reader_free_ms = end_ms
        engine.work += tokens
        hold_ms = self.draw.expovariate(1.0 / self.scenario.stream_ms)
        stream_end_ms = end_ms + BASE_MS + hold_ms * engine.pace
        if self.scenario.slots:
            heapq.heappush(engine.places, stream_end_ms)
        return end_ms + BASE_MS * engine.pace, stream_end_ms

    def send(self) -> None:
        """Place one prompt by an entry VM's knowledge."""
        vm = self.draw.choice(self.vms)
        now_ms = self.clock.now_ms()
        tokens = int(min(30_000, max(200, self.draw.lognormvariate(8.3, 1))))
        prompt = self.make_prompt(tokens)
        room = (
            engine_room.UNLIMITED
            if self.knowledge == "none"
            else engine_room.Room.from_times(
                self.scenario.slots,
                vm.model.base_ms,
                vm.model.held_ms,
                vm.model.token_ms,
            )
        )
        known = vm.paces.paces.known
        engine_pace.expire(vm.paces.paces, now_ms)
        candidates = [
            engine_load.Candidate(name, True, known.get(name, 1.0))
            for name in self.names
        ]
        if self.knowledge != "none":
            candidates = engine_sampling.choose_candidates(
                vm.loads,
                (candidates,),
                prompt,
                lambda engine: True,
                self.draw.randrange,
            )
        choice = engine_load.choose(
            vm.loads,
            candidates,
            prompt,
            now_ms,
            self.draw.randrange,
            room=room,
        )
        assert choice is not None
        engine = self.engines[self.names.index(choice.name)]
        tokens = engine_load.count_unread(vm.loads, choice.name, prompt)
        engine_load.record_cached(
            vm.loads, choice.name, prompt.parts[:-1], CACHE_TOKENS
        )
        ttft_at_ms, end_ms = self.read(engine, tokens)
        for ms, tokens_more, streams_more in (
            (now_ms, tokens, 1),
            (ttft_at_ms, -tokens, 0),
            (end_ms, 0, -1),
        ):
            load = engine_load.Load(tokens_more, streams_more)
            self.add_load(ms, vm, choice.name, load)
        self.ttfts.append((now_ms, ttft_at_ms - now_ms))

        def learn() -> None:
            took_ms = ttft_at_ms - now_ms
            engine_load.observe_held(
                vm.model,
                (end_ms - ttft_at_ms) / choice.pace + tokens * TOKEN_MS,
            )
            usual_ms = engine_load.predict_ttft(vm.model, choice.weight)
            if self.knowledge == "learned" and not choice.is_full:
                vm.paces.observe("service", choice.name, took_ms, usual_ms)
            engine_load.observe_ttft(
                vm.model, choice.weight, took_ms / choice.pace
            )

        self.at(ttft_at_ms, learn)

    def make_prompt(self, tokens: int) -> engine_load.Prompt:
        """A prompt whose first part others share, if there are such parts."""
        own = (self.draw.getrandbits(60), tokens)
        if not self.scenario.shared_parts:
            return engine_load.Prompt(parts=(own,))
        shared = self.draw.randrange(self.scenario.shared_parts)
        return engine_load.Prompt(parts=((shared, SHARED_TOKENS), own))

    def add_load(
        self, ms: float, vm: Vm, name: str, load: engine_load.Load
    ) -> None:
        """Change an engine's load: at once for ``vm``, later for others."""
        add = engine_load.add_own_load
        lag_ms = self.scenario.lag_ms
        if load.streams > 0:
            add(vm.loads, name, load)
            back = engine_load.Load(-load.weight, -load.streams)
            self.at(ms + lag_ms, lambda: add(vm.loads, name, back))
        self.at(ms + lag_ms, lambda: add(self.loads, name, load))

    def compute_late_share(self, from_ms: float = 0.0) -> float:
        """The share of prompts whose first token came late."""
        late = [
            took_ms > self.scenario.target_ms
            for sent_ms, took_ms in self.ttfts
            if sent_ms >= from_ms
        ]
        return sum(late) / len(late)

    def compute_quantile(self, part: float) -> float:
        """A quantile of the times to first token, in ms."""
        return sorted(took for _, took in self.ttfts)[
            math.floor(part * len(self.ttfts))
        ]

    def compute_busiest(self) -> float:
        """The work of the busiest engine over the mean."""
        work = [engine.work for engine in self.engines]
        return max(work) * len(work) / sum(work)
