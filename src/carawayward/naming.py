"""Checks of names in a declaration: unique ones, and known ones."""

from carawayward import errors


def check_unique_names(field: str, names: list[str]) -> None:
    """Check that names are given and unique."""
    seen: set[str] = set()
    for name in names:
        if not name:
            raise errors.DeclarationError(field, "", "give each a name")
        if name in seen:
            raise errors.DeclarationError(
                field, name, "give each name only once"
            )
        seen.add(name)


def check_references(field: str, names: list[str], known: set[str]) -> None:
    """Check that references name something declared."""
    for name in names:
        if name not in known:
            raise errors.DeclarationError(
                field, name, f"name one of: {', '.join(sorted(known))}"
            )
