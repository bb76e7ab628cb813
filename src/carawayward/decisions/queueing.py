"""Which waiting request starts next: weighted fair queueing by customer.

This is start-time fair queueing. Each customer with waiting requests has a
tag, the virtual time at which its next request starts. The lowest tag goes
next, and serving ``work`` advances the tag by ``work / weight``. Work is
measured in ms of one concurrency slot, so one long answer counts as much as
many short ones.

Used where the bursts of ten customers, a few of them large, together exceed
the endpoints' capacity. In one common queue, the burst of a large customer
would make every small one wait for all of it.
"""

import heapq
import typing

import attrs

# A customer that was idle may be ahead of its turn by this many of its
# requests. Even a customer that keeps within its share sends requests in
# clusters; without the credit, the second of a cluster waits a whole turn,
# which is seconds for a small weight. Its next turns repay what it took ahead.
IDLE_CREDIT = 6.0
# An idle customer's tag is kept until the queue's virtual time has passed it.
# This bounds the number of tags kept for customers that do not return.
MAX_IDLE_FLOWS = 1_024


@attrs.define(eq=False, kw_only=True)
class WaitingRequest:
    """A waiting request.

    ``work`` is its expected slot time in ms. ``latest_start_ms`` is the latest
    time at which it can start and still meet its deadline. A higher
    ``priority`` goes first, but only among the customer's own requests.
    """

    customer: str
    weight: float
    work: float
    latest_start_ms: float
    priority: int = 0
    waiting: bool = False
    payload: typing.Any = None


@attrs.define
class Flow:
    """One customer's waiting requests and its position in virtual time."""

    weight: float
    tag: float = 0.0
    work: float = 0.0
    count: int = 0
    heap: list[tuple[int, float, int, WaitingRequest]] = attrs.field(
        factory=list
    )


@attrs.define
class FairQueue:
    """All customers' waiting requests for one pool or version."""

    flows: dict[str, Flow] = attrs.field(factory=dict)
    virtual: float = 0.0
    count: int = 0
    pushed: int = 0


def push(queue: FairQueue, item: WaitingRequest) -> None:
    """Add a request.

    A customer that was idle starts at the queue's virtual time, less a small
    credit. It gets no further compensation for the time it did not use;
    otherwise one that was idle for long could take every slot on its return.
    """
    flow = queue.flows.get(item.customer)
    if flow is None:
        if len(queue.flows) >= MAX_IDLE_FLOWS:
            drop_idle_flows(queue)
        flow = queue.flows[item.customer] = Flow(item.weight)
    if not flow.count:
        flow.tag = find_tag(queue, item)
    flow.weight = item.weight
    queue.pushed += 1
    heapq.heappush(
        flow.heap,
        (-item.priority, item.latest_start_ms, queue.pushed, item),
    )
    flow.work += item.work
    flow.count += 1
    queue.count += 1
    item.waiting = True


def find_tag(queue: FairQueue, item: WaitingRequest) -> float:
    """The virtual time at which the item's customer is served next."""
    flow = queue.flows.get(item.customer)
    if flow is not None and flow.count:
        return flow.tag
    earliest = queue.virtual - IDLE_CREDIT * item.work / item.weight
    return earliest if flow is None else max(flow.tag, earliest)


def remove(queue: FairQueue, item: WaitingRequest) -> None:
    """Remove a request out of turn: its caller left or its time ran out.

    Its place is free at once, also for the queue limits, and the customer is
    not charged for work that was not done.
    """
    if not item.waiting:
        return
    item.waiting = False
    flow = queue.flows[item.customer]
    flow.work = max(0.0, flow.work - item.work)
    flow.count -= 1
    queue.count -= 1


def list_heads(queue: FairQueue) -> list[WaitingRequest]:
    """The next request of each customer, in the order of their turns."""
    heads = []
    for flow in queue.flows.values():
        if flow.count:
            heads.append((flow.tag, flow.heap[0][2], _find_head(flow)))
    heads.sort(key=lambda head: head[:2])
    return [head[2] for head in heads]


def take(queue: FairQueue, item: WaitingRequest) -> None:
    """Start a request: charge its customer and advance the virtual time."""
    flow = queue.flows[item.customer]
    remove(queue, item)
    queue.virtual = max(queue.virtual, flow.tag)
    flow.tag += item.work / flow.weight


def drop_idle_flows(queue: FairQueue) -> None:
    """Drop customers with no waiting requests and no credit or debt."""
    idle = [
        name
        for name, flow in queue.flows.items()
        if not flow.count and flow.tag <= queue.virtual
    ]
    for name in idle:
        del queue.flows[name]


def _find_head(flow: Flow) -> WaitingRequest:
    while not flow.heap[0][3].waiting:
        heapq.heappop(flow.heap)
    return flow.heap[0][3]
