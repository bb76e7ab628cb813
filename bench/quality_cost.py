"""Cost of cascades at a quality target, beside simple policies."""

import math
import random
import statistics
import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import cascade
from carawayward.decisions import evidence
from carawayward import declaration
from carawayward.gateway import planning
from carawayward import quality
from tests.common import quality_rig

TARGET = 0.9


@attrs.frozen(kw_only=True)
class Mix:
    """A made-up customer's requests.

    ``hard`` is the share of hard requests; ``noise`` how badly the cheap
    version's confidence tells them from easy ones.
    """

    name: str
    hard: float
    noise: float
    cheap_cost: float
    strong_cost: float


@attrs.frozen
class Ask:
    """One request, with what each version would make of it."""

    difficulty: float
    cheap_good: bool
    strong_good: bool
    confidence: float


MIXES = (
    Mix(
        name="oduya, clear confidence",
        hard=0.2,
        noise=0.08,
        cheap_cost=0.2,
        strong_cost=2.0,
    ),
    Mix(
        name="oduya, noisy confidence",
        hard=0.2,
        noise=0.2,
        cheap_cost=0.2,
        strong_cost=2.0,
    ),
    Mix(
        name="wayfarer, clear confidence",
        hard=0.35,
        noise=0.08,
        cheap_cost=0.3,
        strong_cost=3.0,
    ),
    Mix(
        name="wayfarer, noisy confidence",
        hard=0.35,
        noise=0.2,
        cheap_cost=0.3,
        strong_cost=3.0,
    ),
    Mix(
        name="nearly all easy",
        hard=0.04,
        noise=0.15,
        cheap_cost=0.2,
        strong_cost=2.0,
    ),
    Mix(
        name="nearly all hard",
        hard=0.9,
        noise=0.15,
        cheap_cost=0.2,
        strong_cost=2.0,
    ),
)


def make_asks(mix: Mix, count: int, seed: int) -> list[Ask]:
    """Requests whose cheap answers fail the more the harder they are."""
    draw = random.Random(seed)
    asks = []
    for _ in range(count):
        hard = draw.random() < mix.hard
        difficulty = draw.betavariate(7, 2) if hard else draw.betavariate(2, 9)
        cheap = 0.98 / (1 + math.exp(14 * (difficulty - 0.62)))
        strong = 0.985 - 0.05 * difficulty
        confidence = 1 - difficulty + draw.gauss(0, mix.noise)
        asks.append(
            Ask(
                difficulty,
                draw.random() < cheap,
                draw.random() < strong,
                min(0.999, max(0.0, confidence)),
            )
        )
    return asks


def run_steps(
    mix: Mix, ask: Ask, steps: typing.Sequence[cascade.Step]
) -> tuple[float, bool, int]:
    """Cost, whether the answer is good, and the number of steps run."""
    cost = 0.0
    for number, step in enumerate(steps, 1):
        cheap = step.version == "cheap"
        cost += mix.cheap_cost if cheap else mix.strong_cost
        if step.accept_at is None or ask.confidence >= step.accept_at:
            good = ask.cheap_good if cheap else ask.strong_good
            return cost, good, number
    raise AssertionError("a plan ends with a step that always stands")


def learn(mix: Mix, asks: list[Ask]) -> list[tuple[float, bool]]:
    """Cost and goodness of each request under the learned plans.

    A tenth is rated, and ratings come 200 requests late.
    """
    clock = clock_module.ManualClock()
    rig = make_cost_rig(mix, clock)
    node = rig.nodes[0]
    board = node.board
    assert board.config is not None
    board.quality.ratings_usable = True
    customer = board.config.customers["c"]
    task = board.config.tasks["t"]
    late: list[tuple[quality.SampledAnswer, bool]] = []
    done = []
    for number, ask in enumerate(asks):
        rig.clock.advance(200)
        if number % 50 == 0:
            node.ratings.evict_expired()
        key = f"r{number}"
        plan = planning.choose_plan(board, customer, task, key, {}, 1e9)
        cost, good, ran = run_steps(mix, ask, plan.steps)
        done.append((cost, good))
        for index, step in enumerate(plan.steps[:ran]):
            answer = quality.SampledAnswer(
                answer_id=f"{key}.{index}",
                key=evidence.Key(
                    "c",
                    "t",
                    step.version,
                    evidence.find_band(ask.confidence),
                    index > 0,
                ),
                answered_at_ms=rig.clock.wall_ms(),
                messages=[],
                text="",
            )
            planning.record_answer(board, answer, task.rated_share, 500.0)
            while board.quality.outbox:
                sample = board.quality.outbox.popleft()
                cheap = sample.key.version == "cheap"
                good = ask.cheap_good if cheap else ask.strong_good
                late.append((sample, good))
        while len(late) > 20:
            node.ratings.count(*late.pop(0))
    return done


def make_cost_rig(
    mix: Mix, clock: clock_module.ManualClock
) -> quality_rig.Rig:
    """One entry VM with a cascade of two models."""
    models = [
        {"name": n, "versions": [{"name": n, "cost": cost}]}
        for n, cost in (("cheap", mix.cheap_cost), ("strong", mix.strong_cost))
    ]
    document = {
        "format": declaration.FORMAT,
        "models": models,
        "tasks": [
            {
                "name": "t",
                "cascade": ["cheap", "strong"],
                "target": TARGET,
                "check": {"confidence": 0.7},
            }
        ],
        "customers": [
            {
                "name": "c",
                "key_digests": [declaration.digest_key("c")],
                "tasks": ["t"],
                "models": ["cheap", "strong"],
            }
        ],
    }
    return quality_rig.Rig.from_config(document, ["a"], 1, lambda _: True)


def find_oracle(mix: Mix, asks: list[Ask], quality_met: float) -> float:
    """Least mean cost that reaches a quality, knowing each difficulty.

    It runs one version a request: the strong one for the hardest, for as
    many as it takes to reach what the learned plans reached.
    """
    ranked = sorted(asks, key=lambda ask: -ask.difficulty)
    good = sum(ask.cheap_good for ask in ranked)
    strong = 0
    for ask in ranked:
        if good >= quality_met * len(ranked):
            break
        good += ask.strong_good - ask.cheap_good
        strong += 1
    rest = len(ranked) - strong
    return (strong * mix.strong_cost + rest * mix.cheap_cost) / len(ranked)


def find_hindsight(mix: Mix, asks: list[Ask], quality_met: float) -> float:
    """Cost of the best plan of all for the same quality, known afterwards.

    What lies between it and the oracle is what the cheap version's
    confidence does not show; no choice of plan can win that back.
    """
    strong = cascade.Step("strong", "strong", None)
    plans = [[cascade.Step("cheap", "cheap", None)], [strong]]
    for percent in range(1, 100):
        first = cascade.Step("cheap", "cheap", percent / 100)
        plans.append([first, strong])
    costs = []
    for steps in plans:
        done = [run_steps(mix, ask, steps) for ask in asks]
        if statistics.fmean(good for _, good, _ in done) >= quality_met:
            costs.append(statistics.fmean(cost for cost, _, _ in done))
    return min(costs, default=float("nan"))


def measure_cost(mix: Mix) -> dict:
    """One row: each policy's quality and mean cost, after a warm-up."""
    asks = make_asks(mix, 24_000, seed=17)
    warm = len(asks) // 3
    learned = learn(mix, asks)[warm:]
    asks = asks[warm:]
    declared = [
        cascade.Step("cheap", "cheap", 0.7),
        cascade.Step("strong", "strong", None),
    ]
    fixed = [run_steps(mix, ask, declared) for ask in asks]
    met = statistics.fmean(good for _, good in learned)
    cost = statistics.fmean(each for each, _ in learned)
    oracle = find_oracle(mix, asks, met)
    hindsight = find_hindsight(mix, asks, met)
    return {
        "mix": mix.name,
        "learned": (cost, met),
        "fixed": (
            statistics.fmean(c for c, _, _ in fixed),
            statistics.fmean(g for _, g, _ in fixed),
        ),
        "cheap": (
            mix.cheap_cost,
            statistics.fmean(a.cheap_good for a in asks),
        ),
        "strong": (
            mix.strong_cost,
            statistics.fmean(a.strong_good for a in asks),
        ),
        "oracle": oracle,
        "hindsight": hindsight,
        "over": cost / oracle - 1,
    }
