"""Whether a session can continue with the versions that it is pinned to."""

import typing

from carawayward import declaration
from carawayward.protocol import freshness


def find_unavailable_pin(
    task: declaration.Task,
    models: typing.Mapping[str, declaration.Model],
    pins: typing.Mapping[str, str],
    fresh: bool,
) -> str | None:
    """The pinned version that may no longer serve the session, if any.

    Versions are withdrawn during long sessions. Continuing with the rest of
    the cascade would move a narrative to another version midway, so one
    unavailable version of the task's cascade ends the session for that task. A
    version's declaration may say that it stops on a node that is cut off.
    """
    for name in task.cascade:
        pinned = pins.get(name)
        # An empty name means that there is no version, so none can be
        # unavailable.
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
    """The first version of a plan that may not start work here now.

    Versions that the session is pinned to have been checked by
    ``find_unavailable_pin``. The others are checked for each request: on a
    node that is cut off, operators may have declared that no answer is better
    than one from this version.
    """
    pinned_versions = set(pins.values())
    for name in wanted:
        version = versions.get(name)
        if version is None or name in pinned_versions:
            continue
        if not freshness.may_start(version, fresh):
            return name
    return None
