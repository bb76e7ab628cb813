"""Tests which endpoints may change at the same time, and due orders."""

import typing

import attrs
import hypothesis
from hypothesis import strategies
import trio

from carawayward.controllers import orders as orders_controller
from carawayward.decisions import orders
from carawayward import rollout_declaration
from tests.common import quality_rig

POOL = rollout_declaration.Pool(
    name="matchers", versions=["sorter-3", "sorter-4"], change_at_once=0.25
)
ORDER = orders.make_order(7, POOL, withdrawn=())
OLD = frozenset({"sorter-3"})
NEW = frozenset({"sorter-3", "sorter-4"})


def make_members(
    old: int, new: int, silent: int = 0
) -> list[orders.EndpointStatus]:
    """Make a pool: out of date, up to date and silent endpoints."""
    return [
        orders.EndpointStatus(
            name=f"matchers-{number}",
            versions=NEW if number < new else OLD,
            silent=number >= old + new,
        )
        for number in range(old + new + silent)
    ]


def test_no_more_change_at_once_than_the_pool_allows():
    """A change must not empty a pool, however small the pool is."""
    choose = orders.choose_changing
    assert len(choose(POOL, ORDER, make_members(12, 0), 99)[0]) == 3
    assert len(choose(POOL, ORDER, make_members(2, 0), 99)[0]) == 1
    assert len(choose(POOL, ORDER, make_members(12, 0), 1)[0]) == 1


def test_change_waits_while_endpoints_are_silent_and_says_which():
    """A pool whose endpoints are failing must not be changed as well."""
    chosen, silent = orders.choose_changing(
        POOL, ORDER, make_members(9, 0, silent=3), 99
    )
    assert chosen == []
    assert silent == ["matchers-10", "matchers-11", "matchers-9"]
    done = make_members(0, 9, silent=3)
    assert orders.choose_changing(POOL, ORDER, done, 99) == ([], [])


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(strategies.integers(1, 40), strategies.randoms())
def test_changing_a_pool_completes_within_the_cap(size, draw):
    """In any order of completion, each changes once within the cap."""
    behind = {f"e{number}" for number in range(size)}
    names = sorted(behind)
    cap = orders.compute_change_limit(POOL, size)
    rounds = 0
    started: set[str] = set()
    while behind:
        members = [
            orders.EndpointStatus(
                name=name, versions=OLD if name in behind else NEW
            )
            for name in names
        ]
        chosen, _ = orders.choose_changing(POOL, ORDER, members, 99)
        assert 0 < len(chosen) <= cap
        started |= set(chosen)
        assert len(started & behind) <= cap
        behind.discard(draw.choice(chosen))
        rounds += 1
    assert rounds == size


def test_older_view_lets_fewer_change_than_a_newer_one():
    """Two entry VMs' views differ by a report; together they keep the cap."""
    newer = make_members(10, 2)
    older = make_members(11, 1)
    seen = set(orders.choose_changing(POOL, ORDER, newer, 99)[0])
    seen |= set(orders.choose_changing(POOL, ORDER, older, 99)[0])
    assert len(seen - {"matchers-1"}) <= orders.compute_change_limit(POOL, 12)


def test_old_order_is_not_sent_over_a_newer_one():
    """An entry VM that resumes after a pause finds a higher number."""
    newer = orders.Order(fencing=8, versions=("sorter-3",), role="mixed")
    assert not orders.is_due(ORDER, newer, may_change=True)


def test_endpoint_that_accepted_an_old_order_is_ordered_again():
    """An endpoint that does not check fencing numbers reports an old one."""
    stale = orders.Order(fencing=5, versions=("sorter-3",), role="mixed")
    assert orders.is_due(ORDER, stale, may_change=True)
    assert not orders.is_due(ORDER, stale, may_change=False)
    mismatched = orders.Order(fencing=7, versions=("sorter-3",), role="mixed")
    assert orders.is_due(ORDER, mismatched, may_change=True)


def test_order_already_in_effect_is_not_sent_again():
    """The order took effect, but its answer was lost."""
    assert not orders.is_due(ORDER, ORDER, may_change=True)


def test_change_of_role_does_not_count_towards_the_cap():
    """A change of role loads nothing, so it cannot empty the pool."""
    other = orders.Order(fencing=6, versions=ORDER.versions, role="decode")
    assert orders.is_due(ORDER, other, may_change=False)


def test_one_entry_vm_orders_an_endpoint_and_the_next_takes_over():
    """All agree on who sends the orders, and on who is next without it."""
    names = [f"oduya-{number}" for number in range(8)]
    for number in range(20):
        endpoint = f"matchers-{number}"
        first = orders.choose_sender(endpoint, names)
        assert first == orders.choose_sender(endpoint, names[::-1])
        rest = [name for name in names if name != first]
        assert orders.choose_sender(endpoint, rest) in rest
    assert orders.choose_sender("matchers-1", []) == ""


class PausingClient:
    """Client that calls ``during_read`` while it reads an endpoint's state."""

    def __init__(self, during_read) -> None:
        self.during_read = during_read
        self.sent: list[orders.Order] = []

    async def fetch(self, endpoint) -> orders.Order:
        """Return the state of an endpoint that is out of date."""
        self.during_read()
        return orders.Order(fencing=1, versions=("sorter-3",), role="mixed")

    async def send(self, endpoint, order, may_send) -> bool:
        """Record the order if it may still be sent."""
        if may_send():
            self.sent.append(order)
        return True


def collect_orders_with_pause(during_read) -> list[orders.Order]:
    """The orders sent when ``during_read`` runs between read and send."""
    document = quality_rig.make_document(STAGES)
    rig = quality_rig.Rig.from_config(document, ["hall-a"], 1, lambda _: True)
    board = rig.nodes[0].board
    board.current_as_of_ms = 0.0
    client = PausingClient(lambda: during_read(rig))
    clock: typing.Any = rig.clock
    controller = orders_controller.OrdersController(
        board, clock, typing.cast(typing.Any, client), None
    )
    assert board.config is not None
    order = attrs.evolve(ORDER, fencing=board.config.revision)
    endpoint = next(iter(board.endpoints.values()))
    trio.run(controller.order_endpoint, endpoint, order, True, False)
    return client.sent


STAGES = [
    {
        "share": 1.0,
        "dwell_ms": 1,
        "evidence": 1,
        "exposure_budget": {"hall-a": 1},
    }
]


def test_order_based_on_an_outdated_state_is_not_sent():
    """The process is paused between its check and the send.

    Meanwhile another document came into force, or too much time passed; an
    endpoint that does not check fencing numbers would accept the old order.
    """
    assert len(collect_orders_with_pause(lambda rig: None)) == 1
    assert (
        collect_orders_with_pause(lambda rig: rig.publish(rig.document)) == []
    )
    assert (
        collect_orders_with_pause(lambda rig: rig.clock.advance(1_500)) == []
    )
