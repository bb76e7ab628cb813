"""Cost of cascades at a quality target, compared with simple policies."""

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
class Workload:
    """A synthetic customer's requests.

    ``hard`` is the share of hard requests; ``noise`` is the error with which
    the cheap version's confidence separates them from easy ones.
    """

    name: str
    hard: float
    noise: float
    cheap_cost: float
    strong_cost: float


@attrs.frozen
class SimulatedRequest:
    """One request, and how good each version's answer to it would be."""

    difficulty: float
    cheap_good: bool
    strong_good: bool
    confidence: float


WORKLOADS = (
    Workload(
        name="oduya, clear confidence",
        hard=0.2,
        noise=0.08,
        cheap_cost=0.2,
        strong_cost=2.0,
    ),
    Workload(
        name="oduya, noisy confidence",
        hard=0.2,
        noise=0.2,
        cheap_cost=0.2,
        strong_cost=2.0,
    ),
    Workload(
        name="wayfarer, clear confidence",
        hard=0.35,
        noise=0.08,
        cheap_cost=0.3,
        strong_cost=3.0,
    ),
    Workload(
        name="wayfarer, noisy confidence",
        hard=0.35,
        noise=0.2,
        cheap_cost=0.3,
        strong_cost=3.0,
    ),
    Workload(
        name="nearly all easy",
        hard=0.04,
        noise=0.15,
        cheap_cost=0.2,
        strong_cost=2.0,
    ),
    Workload(
        name="nearly all hard",
        hard=0.9,
        noise=0.15,
        cheap_cost=0.2,
        strong_cost=2.0,
    ),
)


def make_requests(
    workload: Workload, count: int, seed: int
) -> list[SimulatedRequest]:
    """Make requests; the harder one is, the more often cheap answers fail."""
    rng = random.Random(seed)
    requests = []
    for _ in range(count):
        hard = rng.random() < workload.hard
        difficulty = rng.betavariate(7, 2) if hard else rng.betavariate(2, 9)
        cheap = 0.98 / (1 + math.exp(14 * (difficulty - 0.62)))
        strong = 0.985 - 0.05 * difficulty
        confidence = 1 - difficulty + rng.gauss(0, workload.noise)
        requests.append(
            SimulatedRequest(
                difficulty,
                rng.random() < cheap,
                rng.random() < strong,
                min(0.999, max(0.0, confidence)),
            )
        )
    return requests


def run_steps(
    workload: Workload,
    request: SimulatedRequest,
    steps: typing.Sequence[cascade.Step],
) -> tuple[float, bool, int]:
    """Run a plan; return cost, whether the answer is good, and steps run."""
    cost = 0.0
    for number, step in enumerate(steps, 1):
        cheap = step.version == "cheap"
        cost += workload.cheap_cost if cheap else workload.strong_cost
        if step.accept_at is None or request.confidence >= step.accept_at:
            good = request.cheap_good if cheap else request.strong_good
            return cost, good, number
    raise AssertionError("the last step of a plan must accept every answer")


def simulate_learned_plans(
    workload: Workload, requests: list[SimulatedRequest]
) -> list[tuple[float, bool]]:
    """Cost and goodness of each request under the learned plans.

    A tenth of the answers are rated, and ratings arrive 200 requests late.
    """
    clock = clock_module.ManualClock()
    rig = make_cost_rig(workload, clock)
    node = rig.nodes[0]
    board = node.board
    assert board.config is not None
    board.quality.ratings_usable = True
    customer = board.config.customers["c"]
    task = board.config.tasks["t"]
    late: list[tuple[quality.SampledAnswer, bool]] = []
    done = []
    for number, request in enumerate(requests):
        rig.clock.advance(200)
        if number % 50 == 0:
            node.ratings.evict_expired()
        key = f"r{number}"
        plan = planning.choose_plan(board, customer, task, key, {}, 1e9)
        cost, good, ran = run_steps(workload, request, plan.steps)
        done.append((cost, good))
        for index, step in enumerate(plan.steps[:ran]):
            answer = quality.SampledAnswer(
                answer_id=f"{key}.{index}",
                key=evidence.Key(
                    "c",
                    "t",
                    step.version,
                    evidence.find_band(request.confidence),
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
                good = request.cheap_good if cheap else request.strong_good
                late.append((sample, good))
        while len(late) > 20:
            node.ratings.count(*late.pop(0))
    return done


def make_cost_rig(
    workload: Workload, clock: clock_module.ManualClock
) -> quality_rig.Rig:
    """Make a rig of one entry VM, with a cascade of two models."""
    models = [
        {"name": n, "versions": [{"name": n, "cost": cost}]}
        for n, cost in (
            ("cheap", workload.cheap_cost),
            ("strong", workload.strong_cost),
        )
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


def compute_oracle_cost(
    workload: Workload, requests: list[SimulatedRequest], quality_met: float
) -> float:
    """Lowest mean cost that reaches a quality, knowing each difficulty.

    The oracle runs one version per request: the strong one for the hardest
    requests, for as many as are needed to reach the quality of the learned
    plans.
    """
    ranked = sorted(requests, key=lambda request: -request.difficulty)
    good = sum(request.cheap_good for request in ranked)
    strong = 0
    for request in ranked:
        if good >= quality_met * len(ranked):
            break
        good += request.strong_good - request.cheap_good
        strong += 1
    rest = len(ranked) - strong
    return (strong * workload.strong_cost + rest * workload.cheap_cost) / len(
        ranked
    )


def compute_best_plan_cost(
    workload: Workload, requests: list[SimulatedRequest], quality_met: float
) -> float:
    """Cost of the cheapest single plan with the same quality, in hindsight.

    The gap between it and the oracle is what the cheap version's confidence
    does not show; no choice of plan can close it.
    """
    strong = cascade.Step("strong", "strong", None)
    plans = [[cascade.Step("cheap", "cheap", None)], [strong]]
    for percent in range(1, 100):
        first = cascade.Step("cheap", "cheap", percent / 100)
        plans.append([first, strong])
    costs = []
    for steps in plans:
        done = [run_steps(workload, request, steps) for request in requests]
        if statistics.fmean(good for _, good, _ in done) >= quality_met:
            costs.append(statistics.fmean(cost for cost, _, _ in done))
    return min(costs, default=float("nan"))


def measure_cost(workload: Workload) -> dict:
    """One row: each policy's quality and mean cost, after a warm-up."""
    requests = make_requests(workload, 24_000, seed=17)
    warm_up = len(requests) // 3
    learned = simulate_learned_plans(workload, requests)[warm_up:]
    requests = requests[warm_up:]
    declared = [
        cascade.Step("cheap", "cheap", 0.7),
        cascade.Step("strong", "strong", None),
    ]
    fixed = [run_steps(workload, request, declared) for request in requests]
    learned_quality = statistics.fmean(good for _, good in learned)
    cost = statistics.fmean(each for each, _ in learned)
    oracle = compute_oracle_cost(workload, requests, learned_quality)
    hindsight = compute_best_plan_cost(workload, requests, learned_quality)
    return {
        "workload": workload.name,
        "learned": (cost, learned_quality),
        "fixed": (
            statistics.fmean(c for c, _, _ in fixed),
            statistics.fmean(g for _, g, _ in fixed),
        ),
        "cheap": (
            workload.cheap_cost,
            statistics.fmean(a.cheap_good for a in requests),
        ),
        "strong": (
            workload.strong_cost,
            statistics.fmean(a.strong_good for a in requests),
        ),
        "oracle": oracle,
        "hindsight": hindsight,
        "over": cost / oracle - 1,
    }
