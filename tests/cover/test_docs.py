"""Pages generated from the code are up to date and complete."""

import importlib.util
import pathlib
import re

from absl import logging

from carawayward import decisions
from carawayward import events


def load_generator():
    """Import docs/generate.py as a module."""
    spec = importlib.util.spec_from_file_location(
        "generate", "docs/generate.py"
    )
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_generated_pages_are_up_to_date():
    """A field or an event was added without running ./build.sh docs."""
    for path, make in load_generator().PAGES.items():
        assert path.read_text() == make(), f"run ./build.sh docs: {path}"


def test_event_codes_are_unique_and_each_bad_one_names_an_action():
    """Each warning and error tells the operator what to do."""
    codes = [event.value.code for event in events.Event]
    assert len(codes) == len(set(codes))
    for event in events.Event:
        if event.value.level in (logging.WARNING, logging.ERROR):
            assert event.value.action != "none", event.name


def test_links_between_pages_lead_somewhere():
    """A page was renamed but links to it were not updated."""
    pages = [*pathlib.Path("docs").rglob("*.md"), pathlib.Path("README.md")]
    for page in pages:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / target).exists(), f"{page}: {target}"


def list_users(folder):
    """List the decision modules that a folder imports."""
    pattern = re.compile(r"from carawayward\.decisions import (\w+)")
    return {
        name
        for path in pathlib.Path("src/carawayward", folder).glob("*.py")
        for name in pattern.findall(path.read_text())
    }


def test_decisions_say_whom_they_serve():
    """The docstring of the package says which part uses each module.

    A wrong list would mislead a newcomer who looks for the decisions on
    forwarded routes.
    """
    page = decisions.__doc__
    forwarded, api, both = (
        set(re.findall(r"``(\w+)``", paragraph))
        for paragraph in page.split("\n\n")[1:4]
    )
    modules = {
        path.stem
        for path in pathlib.Path("src/carawayward/decisions").glob("*.py")
        if path.stem != "__init__"
    }
    assert forwarded | api | both == modules
    used = list_users("forwarding")
    assert forwarded <= used <= forwarded | both
    others = list_users("gateway") | list_users("controllers")
    assert not others & forwarded
