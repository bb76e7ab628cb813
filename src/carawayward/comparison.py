"""Differences between documents, and three-way merges of them.

Lists of named items are compared by name, so that a new customer in the
middle of a list is one addition and not a change of all that follow.
"""

import copy
import typing

import attrs

from carawayward import errors

Plain = typing.Any
ABSENT = None


@attrs.frozen
class Change:
    """One difference between two documents; None means absent."""

    path: str
    before: Plain
    after: Plain

    @property
    def kind(self) -> str:
        """The kind of change: added, removed or changed."""
        if self.before is ABSENT:
            return "added"
        return "removed" if self.after is ABSENT else "changed"


def list_changes(before: Plain, after: Plain, path: str = "") -> list[Change]:
    """List all changes that lead from ``before`` to ``after``."""
    if before == after:
        return []
    left, right = _as_mapping(before), _as_mapping(after)
    if left is None or right is None:
        return [Change(path or "(document)", before, after)]
    changes = []
    for key in {**left, **right}:
        inner = f"{path}.{key}" if path else key
        if key not in left:
            changes.append(Change(inner, ABSENT, right[key]))
        elif key not in right:
            changes.append(Change(inner, left[key], ABSENT))
        else:
            changes += list_changes(left[key], right[key], inner)
    return changes


def _as_mapping(value: Plain) -> dict[str, Plain] | None:
    """Return a mapping, or a list of named items as one; else None."""
    if isinstance(value, dict):
        return {str(key): each for key, each in value.items()}
    if isinstance(value, list) and value:
        if all(isinstance(e, dict) and e.get("name") for e in value):
            named = {e["name"]: e for e in value}
            return named if len(named) == len(value) else None
    return {} if value == [] else None


@attrs.frozen
class Merged:
    """The result of a three-way merge.

    ``clashes`` are the paths that both sides changed in different ways; at
    these paths the document has the value of ``mine``, for review.
    """

    document: Plain
    clashes: list[str]


def merge_changes(base: Plain, mine: Plain, theirs: Plain) -> Merged:
    """Apply the changes from ``base`` to ``mine`` onto ``theirs``."""
    clashes: list[str] = []
    document = _merge(base, mine, theirs, "", clashes)
    return Merged(document, clashes)


def _merge(
    base: Plain, mine: Plain, theirs: Plain, path: str, clashes: list[str]
) -> Plain:
    if mine == base or mine == theirs:
        return copy.deepcopy(theirs)
    if theirs == base:
        return copy.deepcopy(mine)
    parts = [_as_mapping(each) for each in (base, mine, theirs)]
    if any(part is None for part in parts[1:]):
        clashes.append(path)
        return copy.deepcopy(mine)
    known, own, other = (part or {} for part in parts)
    merged = {}
    for key in {**other, **own}:
        inner = f"{path}.{key}" if path else key
        value = _merge(
            known.get(key), own.get(key), other.get(key), inner, clashes
        )
        if value is not ABSENT:
            merged[key] = value
    return list(merged.values()) if isinstance(mine, list) else merged


def withdraw(document: Plain, version: str) -> Plain:
    """Return a copy with a version withdrawn and its roll-outs removed."""
    changed = copy.deepcopy(document)
    found = [
        each
        for model in changed["models"]
        for each in model["versions"]
        if each["name"] == version
    ]
    if not found:
        names = [v["name"] for m in changed["models"] for v in m["versions"]]
        raise errors.DeclarationError(
            "models.versions", version, f"name one of: {', '.join(names)}"
        )
    found[0]["state"] = "withdrawn"
    changed["rollouts"] = [
        rollout
        for rollout in changed.get("rollouts", [])
        if version not in (rollout["to_version"], rollout["from_version"])
    ]
    return changed


def show_changes(changes: list[Change]) -> str:
    """Format changes as lines of text for a terminal."""
    signs = {"added": "+", "removed": "-", "changed": "~"}
    lines = []
    for change in changes:
        shown = {
            "added": f"{change.after!r}",
            "removed": f"{change.before!r}",
            "changed": f"{change.before!r} -> {change.after!r}",
        }[change.kind]
        lines.append(f"{signs[change.kind]} {change.path}: {shown}")
    return "\n".join(lines)
