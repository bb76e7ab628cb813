"""Which model engine takes a prompt: the one that begins it first.

Load: long prompts of very different lengths, from many entry VMs at once. An
engine reads prompts one after the other, so what a request waits for is the
prompt tokens in front of it, not the number of requests. Each entry VM alone
sees a small part of them. Harm prevented: one engine with a queue of long
prompts next to idle ones, and every stream on it paused meanwhile.

Work is counted in weighted tokens: prompt tokens that still have to be read,
times how much of an engine's time the model takes for one of them, against
the largest. What peers have outstanding comes from their last reports.
"""

import collections
import typing

import attrs

# A stream that runs takes little of an engine's time beside the prompts: a
# step of a batch grows by a fortieth for each. In weighted tokens.
STREAM_WEIGHT = 150.0
# Work goes to another failure domain if that saves more than this part of its
# target. Less is felt by nobody, and what crosses between domains is paid for.
REMOTE_PART = 0.05
# Older reports are dropped: the load has changed or the peer has failed.
PEER_REPORT_TTL_MS = 1_500.0
# How often peers' reports are checked for their age.
EXPIRY_CHECK_MS = 100.0
# Part of an engine's memory that kept prompts are assumed to have; the rest
# holds what is running.
CACHED_PART = 0.6


@attrs.frozen
class Load:
    """Outstanding work at one engine, in weighted tokens, and streams."""

    weight: float = 0.0
    streams: int = 0


@attrs.define
class PeerLoads:
    """What a peer has outstanding, and until when its report counts."""

    expires_ms: float
    loads: dict[str, Load]


@attrs.define
class PrefixCache:
    """Parts of prompts that an engine is likely to have kept, oldest first."""

    tokens: int = 0
    parts: collections.OrderedDict[int, int] = attrs.field(
        factory=collections.OrderedDict
    )


@attrs.define
class EngineLoads:
    """All that one entry VM knows of the engines' outstanding work.

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

    A part's key is of the part and the model: what one model has read is of
    no use to another.
    """

    parts: tuple[tuple[int, int], ...]
    model_weight: float = 1.0

    @property
    def tokens(self) -> int:
        """All tokens of the prompt."""
        return sum(tokens for _, tokens in self.parts)


# What the first text takes on an idle engine, and a weighted token more, in
# ms; both until learned. Engines differ, so that these only have to be near.
INITIAL_BASE_MS = 120.0
INITIAL_TOKEN_MS = 0.06
# The base follows this quantile of what is seen, so that most prompts come in
# the time predicted, in steps of these parts; the first of them are large, as
# among hundreds of entry VMs each sees a prompt a second.
BASE_QUANTILE = 0.7
INITIAL_BASE_STEP = 0.6
MIN_BASE_STEP = 0.05
MIN_BASE_MS = 10.0
# The cost of a token follows the median of what is seen, in steps of this
# part. Up to a third of first tokens come late for another reason, such as
# lost packets, which would double a mean.
TOKEN_COST_STEP = 0.04
# Up to the first backlog the base matters more than the tokens, past the
# second the tokens do.
SHORT_BACKLOG = 2_000.0
LONG_BACKLOG = 3_000.0


@attrs.define
class LatencyModel:
    """How fast a service's engines come to the first text."""

    base_ms: float = INITIAL_BASE_MS
    token_ms: float = INITIAL_TOKEN_MS
    short_seen: int = 0


def predict_ttft(model: LatencyModel, weight: float) -> float:
    """When the first text comes, in ms, behind so many weighted tokens."""
    return model.base_ms + weight * model.token_ms


def compute_remote_penalty(model: LatencyModel, target_ms: float) -> float:
    """What an engine in another failure domain has to be better by."""
    return REMOTE_PART * target_ms / model.token_ms


def observe_ttft(model: LatencyModel, weight: float, took_ms: float) -> None:
    """Learn from a prompt that was read with ``weight`` up to its end."""
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
    """An engine, and the weighted tokens read until the prompt is.

    ``ahead`` are those of them that are not the prompt's own.
    """

    name: str
    weight: float
    ahead: float = 0.0


@attrs.frozen
class Candidate:
    """An engine that may take the prompt."""

    name: str
    local: bool


def add_own_load(loads: EngineLoads, engine: str, change: Load) -> None:
    """Add to, or with negative figures take from, the own outstanding work."""
    known = loads.own.get(engine, Load())
    now = Load(
        max(0.0, known.weight + change.weight),
        max(0, known.streams + change.streams),
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
    """Replace the last known outstanding work of ``peer``."""
    _drop_report(loads, peer)
    loads.peers[peer] = PeerLoads(now_ms + ttl_ms, report)
    for engine, load in report.items():
        known = loads.peer_totals.get(engine, Load())
        loads.peer_totals[engine] = Load(
            known.weight + load.weight, known.streams + load.streams
        )


def _drop_report(loads: EngineLoads, peer: str) -> None:
    dropped = loads.peers.pop(peer, None)
    if dropped is None:
        return
    for engine, load in dropped.loads.items():
        known = loads.peer_totals[engine]
        left = Load(known.weight - load.weight, known.streams - load.streams)
        if left.streams > 0 or left.weight >= 1.0:
            loads.peer_totals[engine] = left
        else:
            del loads.peer_totals[engine]


def expire_reports(loads: EngineLoads, now_ms: float) -> None:
    """Drop the reports that are too old."""
    if now_ms - loads.checked_ms < EXPIRY_CHECK_MS:
        return
    loads.checked_ms = now_ms
    for peer, report in list(loads.peers.items()):
        if now_ms > report.expires_ms:
            _drop_report(loads, peer)


def get_load(loads: EngineLoads, engine: str) -> Load:
    """The outstanding work of everybody at an engine."""
    own, peers = loads.own.get(engine), loads.peer_totals.get(engine)
    if own is None or peers is None:
        return own or peers or Load()
    return Load(own.weight + peers.weight, own.streams + peers.streams)


def compute_mean_weight(
    loads: EngineLoads, engines: typing.Collection[str], now_ms: float
) -> float:
    """What each of some engines still has to read, on average."""
    expire_reports(loads, now_ms)
    known = sum(get_load(loads, name).weight for name in engines)
    return known / max(1, len(engines))


def record_cached(
    loads: EngineLoads,
    engine: str,
    parts: typing.Iterable[tuple[int, int]],
    memory_tokens: int,
) -> None:
    """Note that an engine has read, or will read, these parts."""
    kept = loads.cached.setdefault(engine, PrefixCache())
    for key, tokens in parts:
        if key in kept.parts:
            kept.tokens -= kept.parts.pop(key)
        kept.parts[key] = tokens
        kept.tokens += tokens
    while kept.parts and kept.tokens > CACHED_PART * memory_tokens:
        kept.tokens -= kept.parts.popitem(last=False)[1]


def count_unread(loads: EngineLoads, engine: str, prompt: Prompt) -> int:
    """Tokens of a prompt that an engine would have to read.

    A kept part counts only if all parts before it are kept too.
    """
    kept = loads.cached.get(engine)
    unread = prompt.tokens
    if kept is None:
        return unread
    for key, tokens in prompt.parts:
        if key not in kept.parts:
            break
        unread -= tokens
    return unread


def choose(
    loads: EngineLoads,
    candidates: typing.Sequence[Candidate],
    prompt: Prompt,
    now_ms: float,
    draw: typing.Callable[[int], int],
    remote_weight: float = 0.0,
) -> Choice | None:
    """The engine that would have the prompt read first.

    Those in other failure domains count as if they had ``remote_weight`` more
    to read before.
    """
    expire_reports(loads, now_ms)
    best: list[Choice] = []
    least = float("inf")
    for candidate in candidates:
        load = get_load(loads, candidate.name)
        unread = count_unread(loads, candidate.name, prompt)
        weight = load.weight + unread * prompt.model_weight
        cost = (
            weight
            + load.streams * STREAM_WEIGHT
            + (0.0 if candidate.local else remote_weight)
        )
        if cost < least:
            best, least = [], cost
        if cost == least:
            best.append(Choice(candidate.name, weight, load.weight))
    return best[draw(len(best))] if best else None


def forget_engines(loads: EngineLoads, known: typing.Container[str]) -> None:
    """Drop what is known of engines that are gone."""
    for name in [each for each in loads.cached if each not in known]:
        del loads.cached[name]
