"""Explicit-state model checker on Kripke structures, with z3.

A specification computes the successors of a state by calling the shipped
transition functions; all interleavings within its bounds are enumerated
breadth-first. z3's fixed-point engine then decides on that graph whether a
violation is reachable (safety), and whether a goal state can still be
reached from every state (AG EF goal).

z3 is used instead of pyModelChecking: its engine answers both questions, it
is maintained, and it is already in the environment.
"""

import re
import typing

import attrs
import z3

State = typing.Hashable
Step = tuple[str, State]
WIDTH = 20


@attrs.frozen
class Spec:
    """A transition system; no state with ``is_bad`` may be reachable."""

    initial: State
    list_steps: typing.Callable[[typing.Any], typing.Iterable[Step]]
    is_bad: typing.Callable[[typing.Any], bool]
    is_goal: typing.Callable[[typing.Any], bool] = lambda state: True


@attrs.define
class Graph:
    """All reachable states, numbered, and how each was first reached.

    ``parents`` holds the predecessor of each state and the step from there.
    """

    states: list[State] = attrs.field(factory=list)
    edges: list[tuple[int, int]] = attrs.field(factory=list)
    parents: list[tuple[int, str]] = attrs.field(factory=list)

    def trace(self, number: int) -> list[str]:
        """Return the steps from the initial state to a state."""
        steps: list[str] = []
        while number:
            number, label = self.parents[number]
            steps.append(label)
        return steps[::-1]


def explore(spec: Spec) -> Graph:
    """Enumerate the reachable states; bad states are not expanded."""
    graph = Graph([spec.initial], [], [(0, "")])
    numbers = {spec.initial: 0}
    for number, state in enumerate(graph.states):
        if spec.is_bad(state):
            continue
        for label, successor in spec.list_steps(state):
            if successor not in numbers:
                numbers[successor] = len(graph.states)
                graph.states.append(successor)
                graph.parents.append((number, label))
            if successor != state:
                graph.edges.append((number, numbers[successor]))
    assert len(graph.states) < 2**WIDTH, "too many states for WIDTH bits"
    return graph


def find_counterexample(spec: Spec) -> tuple[list[str], int]:
    """Return the steps to a counterexample, and the number of states.

    A counterexample is a bad state, or one from which no goal state can be
    reached. No steps mean that there is none within the specification's
    bounds.
    """
    graph = explore(spec)
    bad = [n for n, s in enumerate(graph.states) if spec.is_bad(s)]
    goals = [n for n, s in enumerate(graph.states) if spec.is_goal(s)]
    found = _find_faulty_state(graph.edges, bad, goals)
    return graph.trace(found) if found else [], len(graph.states)


def _find_faulty_state(
    edges: list[tuple[int, int]], bad: list[int], goals: list[int]
) -> int:
    """Return the number of a counterexample's state, or 0."""
    sort = z3.BitVecSort(WIDTH)
    engine = z3.Fixedpoint()
    engine.set(engine="datalog")

    def declare(name: str, *sorts: z3.SortRef) -> z3.FuncDeclRef:
        relation = z3.Function(name, *sorts, z3.BoolSort())
        engine.register_relation(relation)
        return relation

    edge = declare("edge", sort, sort)
    reached, is_bad, reaches_goal, faulty = (
        declare(name, sort)
        for name in ("reached", "is_bad", "reaches_goal", "faulty")
    )
    one, other = z3.BitVecs("one other", WIDTH)
    engine.declare_var(one, other)
    engine.rule(reached(other), [reached(one), edge(one, other)])
    engine.rule(reaches_goal(one), [edge(one, other), reaches_goal(other)])
    engine.rule(faulty(one), [reached(one), is_bad(one)])
    engine.rule(faulty(one), [reached(one), z3.Not(reaches_goal(one))])
    facts = [(reached, [0]), *((edge, pair) for pair in edges)]
    facts += [(is_bad, [n]) for n in bad] + [
        (reaches_goal, [n]) for n in goals
    ]
    for relation, numbers in facts:
        values = [z3.BitVecVal(n, WIDTH) for n in numbers]
        engine.fact(relation(*values))
    if engine.query(z3.Exists([one], faulty(one))) != z3.sat:
        return 0
    found = re.findall(r"== (\d+)", str(engine.get_answer()))
    return min(map(int, found))
