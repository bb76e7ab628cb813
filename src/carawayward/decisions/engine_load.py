"""Which model engine gets a prompt: the one expected to read it first.

Prompts differ widely in length and come from many entry VMs at once. An engine
reads prompts one after the other, so a request waits for the prompt tokens
ahead of it, whatever the number of requests, and each entry VM alone sees only
a small part of them. Without a common estimate, one engine queues long prompts
next to idle ones, which also pauses every stream on it.

Work is measured in weighted tokens: prompt tokens still to be read, times the
engine time per token of the model relative to the largest model. The work
outstanding from peers comes from their last reports.
"""

import collections
import itertools
import typing

import attrs

from carawayward.decisions import engine_room

# Cost of a running stream, in weighted tokens. It is small compared with
# prompts: each stream lengthens a batch step by a fortieth.
STREAM_WEIGHT = 150.0
# A prompt goes to another failure domain if that saves more than this part of
# its latency target. A smaller gain goes unnoticed, and traffic between
# failure domains costs money.
REMOTE_PART = 0.05
# Older reports are dropped: the load has changed or the peer has failed.
PEER_REPORT_TTL_MS = 1_500.0
# Interval at which peers' reports are checked for expiry.
EXPIRY_CHECK_MS = 100.0
# Part of an engine's memory assumed to hold cached prompts; the rest holds
# running requests.
CACHED_PART = 0.6
# What is left on average, in weighted tokens, of a long prompt that an engine
# is reading when a more urgent one arrives.
LEFT_OF_PROMPT = 5_000.0
NO_PACES: typing.Mapping[str, float] = {}


@attrs.frozen
class Load:
    """Outstanding work of one engine, in weighted tokens, and its streams.

    ``classes`` is the work by its class of urgency, the most urgent first;
    empty where the service has only one rank.
    """

    weight: float = 0.0
    streams: int = 0
    classes: tuple[float, ...] = ()

    @classmethod
    def of_class(
        cls, weight: float, streams: int, urgency_class: int | None
    ) -> "Load":
        """The load of one request; without a class if it has none."""
        if urgency_class is None:
            return cls(weight, streams)
        return cls(weight, streams, (0.0,) * urgency_class + (weight,))

    def __add__(self, other: "Load") -> "Load":
        classes = self.classes or other.classes
        if self.classes and other.classes:
            classes = tuple(
                one + two
                for one, two in itertools.zip_longest(
                    self.classes, other.classes, fillvalue=0.0
                )
            )
        return Load(
            self.weight + other.weight, self.streams + other.streams, classes
        )

    def __neg__(self) -> "Load":
        classes = tuple(-weight for weight in self.classes)
        return Load(-self.weight, -self.streams, classes)


@attrs.define
class PeerLoads:
    """Outstanding work reported by a peer, and when the report expires."""

    expires_ms: float
    loads: dict[str, Load]


@attrs.define
class PrefixCache:
    """Prompt parts that an engine has probably cached, oldest first."""

    tokens: int = 0
    parts: collections.OrderedDict[int, int] = attrs.field(
        factory=collections.OrderedDict
    )


@attrs.define
class EngineLoads:
    """What one entry VM knows about the engines' outstanding work.

    ``peer_totals`` is the sum of the reports in ``peers``, updated with each
    report: with hundreds of peers, adding them up for every prompt would cost
    more than the rest of the placement.
    """

    own: dict[str, Load] = attrs.field(factory=dict)
    peers: dict[str, PeerLoads] = attrs.field(factory=dict)
    peer_totals: dict[str, Load] = attrs.field(factory=dict)
    checked_ms: float = float("-inf")
    cached: dict[str, PrefixCache] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Prompt:
    """A prompt to place: its parts as (key, tokens), and its model's weight.

    A part's key covers both the part and the model, since one model cannot use
    what another has read. ``urgency_class`` is the one that it is expected to
    have, None where the service has only one rank.
    """

    parts: tuple[tuple[int, int], ...]
    model_weight: float = 1.0
    urgency_class: int | None = None

    @property
    def tokens(self) -> int:
        """Total number of tokens of the prompt."""
        return sum(tokens for _, tokens in self.parts)


# Initial estimates of the time to first token on an idle engine and of the
# time per weighted token, in ms. Engines differ, so these only have to be
# roughly right until the actual times are learned.
INITIAL_BASE_MS = 120.0
INITIAL_TOKEN_MS = 0.06
# The base tracks this quantile of the observations, so that most prompts are
# read within the predicted time. It moves by these relative steps; the first
# ones are large, since among hundreds of entry VMs each sees one prompt a
# second.
BASE_QUANTILE = 0.7
INITIAL_BASE_STEP = 0.6
MIN_BASE_STEP = 0.05
MIN_BASE_MS = 10.0
# The cost per token tracks the median of the observations, in relative steps
# of this size. Up to a third of first tokens come late for other reasons, such
# as lost packets, which would double a mean.
TOKEN_COST_STEP = 0.04
# Below the first backlog the base dominates the time to first token, above the
# second the tokens do.
SHORT_BACKLOG = 2_000.0
LONG_BACKLOG = 3_000.0
# The mean time for which requests hold their places follows each by this part
# of the difference. A longer one counts as this multiple of the mean.
MIN_HELD_GAIN = 0.05
MAX_HELD_RATIO = 4.0


@attrs.define
class LatencyModel:
    """Estimated time to first token of a service's engines.

    ``held_ms`` is the mean time for which a request holds its place in a
    batch; 0 until it is known.
    """

    base_ms: float = INITIAL_BASE_MS
    token_ms: float = INITIAL_TOKEN_MS
    short_seen: int = 0
    held_ms: float = 0.0
    held_seen: int = 0


def predict_ttft(
    model: LatencyModel, weight: float, pace: float = 1.0
) -> float:
    """Predicted time to first token, in ms, with ``weight`` tokens to read."""
    return (model.base_ms + weight * model.token_ms) * pace


def observe_held(model: LatencyModel, held_ms: float) -> None:
    """Update the mean time for which a request holds its engine's place."""
    model.held_seen += 1
    if model.held_seen > 1:
        held_ms = min(held_ms, MAX_HELD_RATIO * model.held_ms)
    gain = max(MIN_HELD_GAIN, 1.0 / model.held_seen)
    model.held_ms += gain * (held_ms - model.held_ms)


def compute_remote_penalty(model: LatencyModel, target_ms: float) -> float:
    """Weighted tokens by which an engine elsewhere has to be better."""
    return REMOTE_PART * target_ms / model.token_ms


def observe_ttft(model: LatencyModel, weight: float, took_ms: float) -> None:
    """Update the model from a prompt read after ``weight`` weighted tokens."""
    if weight < SHORT_BACKLOG:
        slower = took_ms - weight * model.token_ms > model.base_ms
        model.short_seen += 1
        step = max(MIN_BASE_STEP, INITIAL_BASE_STEP / model.short_seen**0.5)
        share = BASE_QUANTILE if slower else BASE_QUANTILE - 1.0
        factor = (1.0 + step) ** (2.0 * share)
        model.base_ms = max(MIN_BASE_MS, model.base_ms * factor)
    elif weight > LONG_BACKLOG:
        slower = took_ms - model.base_ms > weight * model.token_ms
        model.token_ms *= (
            1.0 + TOKEN_COST_STEP if slower else 1.0 - TOKEN_COST_STEP
        )


@attrs.frozen
class Choice:
    """An engine, and the weighted tokens it reads until the prompt is read.

    ``ahead`` is the part of them that precedes the prompt itself. ``pace`` is
    that of the engine, ``is_full`` whether its places are taken, and ``load``
    what is known to be outstanding at it.
    """

    name: str
    weight: float
    ahead: float = 0.0
    pace: float = 1.0
    is_full: bool = False
    load: Load = Load()


@attrs.frozen
class Candidate:
    """An engine that may take the prompt, and its pace."""

    name: str
    local: bool
    pace: float = 1.0


def count_before(load: Load, urgency_class: int | None) -> float:
    """The weighted tokens that an engine reads before a prompt of a class.

    Of less urgent prompts, only the one that it is reading is among them.
    """
    if urgency_class is None:
        return load.weight
    urgent = sum(load.classes[: urgency_class + 1])
    return min(load.weight, urgent + LEFT_OF_PROMPT)


def add_own_load(loads: EngineLoads, engine: str, change: Load) -> None:
    """Add ``change``, which may be negative, to the own outstanding work."""
    total = loads.own.get(engine, Load()) + change
    now = Load(
        max(0.0, total.weight),
        max(0, total.streams),
        tuple(max(0.0, weight) for weight in total.classes),
    )
    if now.streams:
        loads.own[engine] = now
    else:
        loads.own.pop(engine, None)


def merge_peer_report(
    loads: EngineLoads,
    peer: str,
    report: dict[str, Load],
    now_ms: float,
    ttl_ms: float = PEER_REPORT_TTL_MS,
) -> None:
    """Replace the last report of outstanding work from ``peer``."""
    dropped = loads.peers.get(peer)
    before = dropped.loads if dropped is not None else {}
    loads.peers[peer] = PeerLoads(now_ms + ttl_ms, report)
    changed = {
        engine: load
        for engine, load in report.items()
        if before.get(engine) != load
    }
    _subtract_loads(
        loads,
        {
            engine: load
            for engine, load in before.items()
            if engine in changed or engine not in report
        },
    )
    for engine, load in changed.items():
        known = loads.peer_totals.get(engine, Load())
        loads.peer_totals[engine] = known + load


def _drop_report(loads: EngineLoads, peer: str) -> None:
    dropped = loads.peers.pop(peer, None)
    if dropped is not None:
        _subtract_loads(loads, dropped.loads)


def _subtract_loads(
    loads: EngineLoads, dropped: typing.Mapping[str, Load]
) -> None:
    for engine, load in dropped.items():
        if engine not in loads.peer_totals:
            # What is left of a sum is dropped when it is less than a token.
            continue
        left = loads.peer_totals[engine] + -load
        if left.streams > 0 or left.weight >= 1.0:
            loads.peer_totals[engine] = left
        else:
            del loads.peer_totals[engine]


def expire_reports(loads: EngineLoads, now_ms: float) -> None:
    """Drop reports that have expired."""
    if now_ms - loads.checked_ms < EXPIRY_CHECK_MS:
        return
    loads.checked_ms = now_ms
    for peer, report in list(loads.peers.items()):
        if now_ms > report.expires_ms:
            _drop_report(loads, peer)


def get_load(loads: EngineLoads, engine: str) -> Load:
    """Outstanding work of all entry VMs at an engine."""
    own, peers = loads.own.get(engine), loads.peer_totals.get(engine)
    if own is None or peers is None:
        return own or peers or Load()
    return own + peers


def compute_mean_weight(
    loads: EngineLoads,
    engines: typing.Collection[str],
    now_ms: float,
    paces: typing.Mapping[str, float] = NO_PACES,
) -> float:
    """Mean weighted tokens that each of ``engines`` still has to read.

    Those of an engine count by its pace.
    """
    expire_reports(loads, now_ms)
    known = sum(
        get_load(loads, name).weight * paces.get(name, 1.0) for name in engines
    )
    return known / max(1, len(engines))


def record_cached(
    loads: EngineLoads,
    engine: str,
    parts: typing.Iterable[tuple[int, int]],
    memory_tokens: int,
) -> None:
    """Record that an engine has read, or is about to read, these parts."""
    cache = loads.cached.setdefault(engine, PrefixCache())
    for key, tokens in parts:
        if key in cache.parts:
            cache.tokens -= cache.parts.pop(key)
        cache.parts[key] = tokens
        cache.tokens += tokens
    while cache.parts and cache.tokens > CACHED_PART * memory_tokens:
        cache.tokens -= cache.parts.popitem(last=False)[1]


def count_unread(loads: EngineLoads, engine: str, prompt: Prompt) -> int:
    """Tokens of a prompt that an engine would have to read.

    A cached part counts only if all parts before it are cached too.
    """
    cache = loads.cached.get(engine)
    unread = prompt.tokens
    if cache is None:
        return unread
    for key, tokens in prompt.parts:
        if key not in cache.parts:
            break
        unread -= tokens
    return unread


def choose(
    loads: EngineLoads,
    candidates: typing.Sequence[Candidate],
    prompt: Prompt,
    now_ms: float,
    draw: typing.Callable[[int], int],
    remote_penalty: float = 0.0,
    room: engine_room.Room = engine_room.UNLIMITED,
) -> Choice | None:
    """The engine that would finish reading the prompt first.

    An engine of pace 2 needs twice the time for the same tokens. If its places
    are taken, the prompt waits for one.
    Engines in other failure domains count as having ``remote_penalty`` more
    tokens to read.
    """
    expire_reports(loads, now_ms)
    best: list[Choice] = []
    least = float("inf")
    for candidate in candidates:
        name, pace = candidate.name, candidate.pace
        load = get_load(loads, name)
        before = count_before(load, prompt.urgency_class)
        ahead = engine_room.count_ahead(room, before, load.streams)
        weight = (
            ahead + count_unread(loads, name, prompt) * prompt.model_weight
        )
        cost = (
            room.base_weight + weight + load.streams * STREAM_WEIGHT
        ) * pace + (0.0 if candidate.local else remote_penalty)
        if cost < least:
            best, least = [], cost
        if cost == least:
            is_full = engine_room.is_full(room, load.streams)
            best.append(Choice(name, weight, ahead, pace, is_full, load))
    return best[draw(len(best))] if best else None


def forget_engines(loads: EngineLoads, known: typing.Container[str]) -> None:
    """Drop cached prompt parts of engines that no longer exist."""
    for name in [each for each in loads.cached if each not in known]:
        del loads.cached[name]
