"""Checks of names in a declaration, and of references to them."""

from carawayward import errors


def check_unique_names(field: str, names: list[str]) -> None:
    """Check that names are unique and not empty."""
    seen: set[str] = set()
    for name in names:
        if not name:
            raise errors.DeclarationError(field, "", "give each item a name")
        if name in seen:
            raise errors.DeclarationError(
                field, name, "use each name only once"
            )
        seen.add(name)


def check_references(field: str, names: list[str], known: set[str]) -> None:
    """Check that each reference names a declared item."""
    for name in names:
        if name not in known:
            raise errors.DeclarationError(
                field, name, f"name one of: {', '.join(sorted(known))}"
            )
