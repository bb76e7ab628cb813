"""Whether a session can go on with the versions that it is settled on."""

import typing

from carawayward import declaration
from carawayward.protocol import freshness


def find_unavailable_pin(
    task: declaration.Task,
    models: typing.Mapping[str, declaration.Model],
    pins: typing.Mapping[str, str],
    fresh: bool,
) -> str | None:
    """The session's version that may not serve it any more, if there is one.

    Made for withdrawals amid long sessions. Going on with what is left of
    the cascade would move a narrative to another version half way, so one
    lost version of the task's cascade ends the session for that task. On a
    cut-off node a version's own declaration may say that it stops there.
    """
    for name in task.cascade:
        pinned = pins.get(name)
        # An empty name stands for no version: there is none to lose.
        if not pinned or name not in models:
            continue
        version = next(
            (v for v in models[name].versions if v.name == pinned), None
        )
        if version is None or not freshness.may_continue(version, fresh):
            return pinned
    return None


def find_unstartable_version(
    wanted: typing.Iterable[str],
    pins: typing.Mapping[str, str],
    versions: typing.Mapping[str, declaration.Version],
    fresh: bool,
) -> str | None:
    """The first version of a plan that may not start work here just now.

    What the session is settled on has been judged by ``find_unavailable_pin``.
    Checked for each request on a node that is cut off: its operators said
    that no answer is better there than one of this version.
    """
    settled = set(pins.values())
    for name in wanted:
        version = versions.get(name)
        if version is None or name in settled:
            continue
        if not freshness.may_start(version, fresh):
            return name
    return None
