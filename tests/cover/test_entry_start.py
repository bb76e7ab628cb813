"""What the start of an entry VM costs: imports and compiled sources."""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

SOURCES = pathlib.Path("src")
DEPLOY = pathlib.Path("deploy")
# Modules of other programs, or for what nearly never happens.
UNNEEDED = (
    "asyncio",
    "calendar",
    "email.utils",
    "fire",
    "websockets",
    "carawayward.daemon",
    "carawayward.gateway.app",
    "carawayward.peers",
)


def run_python(code: str) -> str:
    """Run code in a new process and return what it prints."""
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        text=True,
    )
    return done.stdout.strip()


def test_unneeded_modules_are_not_imported():
    """An import that is only convenient makes each start slower."""
    found = run_python(
        "import sys\n"
        "import carawayward.platform.entry\n"
        f"print(*[each for each in {UNNEEDED} if each in sys.modules])"
    )
    assert found == ""


def test_collector_passes_over_imported_modules():
    """It would scan them at the start, and at each full collection."""
    enabled, frozen = run_python(
        "import gc, sys\n"
        f"sys.path.insert(0, {str(SOURCES)!r})\n"
        "import entry_vm\n"
        "from carawayward.platform import entry\n"
        "entry.main = lambda: print(gc.isenabled(), gc.get_freeze_count())\n"
        "entry_vm.main()"
    ).split()
    assert enabled == "True"
    assert int(frozen) > 10_000


def test_build_compiles_the_sources():
    """A process that cannot write beside them would compile at each start."""
    build = tomllib.loads((DEPLOY / "system.toml").read_text())["build"]
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        shutil.copytree(DEPLOY, root / "deploy")
        module = root / "src" / "package" / "module.py"
        module.parent.mkdir(parents=True)
        module.write_text("")
        # The dependencies count as installed.
        (root / "target" / "deps").mkdir(parents=True)
        (root / "target" / "deps" / ".complete").touch()
        subprocess.run(["sh", "-c", build], cwd=root, check=True)
        assert list(module.parent.glob("__pycache__/module.*.pyc"))
