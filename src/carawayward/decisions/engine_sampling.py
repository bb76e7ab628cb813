"""Which engines are considered for a prompt when load reports come late.

With many entry VMs, each reports its load to some of the others at a time. If
all chose the least loaded of all engines, all would choose the same one until
the next reports, and prompts would queue there next to idle engines. So each
considers a few engines drawn at random, and a few of those that have cached
the prompt. This also bounds the cost of a choice.
"""

import typing

from carawayward.decisions import engine_load

# Up to this many peers are sent each report at once.
MAX_INFORMED_PEERS = 16
# The number of engines drawn of each kind.
MAX_DRAWN = 3


class Engine(typing.Protocol):
    """What has the name of an engine."""

    @property
    def name(self) -> str:
        """Its name."""


EngineType = typing.TypeVar("EngineType", bound=Engine)


def choose_candidates(
    loads: engine_load.EngineLoads,
    groups: typing.Sequence[typing.Sequence[EngineType]],
    prompt: engine_load.Prompt,
    accept: typing.Callable[[EngineType], bool],
    draw: typing.Callable[[int], int],
) -> list[EngineType]:
    """The engines to compare: some of each group, all while peers are few.

    ``groups`` are engines of this failure domain and of the others. Only
    engines that ``accept`` returns true for are listed.
    """
    if len(loads.peers) <= MAX_INFORMED_PEERS:
        return [each for group in groups for each in group if accept(each)]
    drawn: dict[str, EngineType] = {}
    for group in groups:
        for engines in (group, _list_cached(loads, group, prompt)):
            for each in _draw_some(engines, accept, draw):
                drawn[each.name] = each
    return list(drawn.values())


def _list_cached(
    loads: engine_load.EngineLoads,
    engines: typing.Sequence[EngineType],
    prompt: engine_load.Prompt,
) -> list[EngineType]:
    """The engines that have cached the most parts that others may share."""
    for key, _ in reversed(prompt.parts[:-1]):
        found = [
            each
            for each in engines
            if (cache := loads.cached.get(each.name)) is not None
            and key in cache.parts
        ]
        if found:
            return found
    return []


def _draw_some(
    engines: typing.Iterable[EngineType],
    accept: typing.Callable[[EngineType], bool],
    draw: typing.Callable[[int], int],
) -> list[EngineType]:
    left = list(engines)
    found: list[EngineType] = []
    while left and len(found) < MAX_DRAWN:
        index = draw(len(left))
        left[index], left[-1] = left[-1], left[index]
        engine = left.pop()
        if accept(engine):
            found.append(engine)
    return found
