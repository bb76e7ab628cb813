"""What the start of an entry VM costs: imports and compiled sources."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

from tests.common import loopback

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
EARLY_SETTINGS = """\
name: vm
failure_domain: north
listen:
  callers: 127.0.0.1:{}
  readiness: 127.0.0.1:{}
  peers: 127.0.0.1:{}
  metrics: 127.0.0.1:{}
store:
  address: 127.0.0.1:{}
"""


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


def test_hangup_while_the_program_is_imported_does_not_end_it():
    """Guards against a process that SIGHUP ends before it has a handler."""
    printed = run_python(
        "import os, signal, sys, types\n"
        f"sys.path.insert(0, {str(SOURCES)!r})\n"
        "import entry_vm\n"
        "from carawayward import early_signals\n"
        "import carawayward.platform\n"
        "def main():\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n"
        "    print(early_signals.take_reload(), early_signals.take_reload())\n"
        "entry = types.ModuleType('carawayward.platform.entry')\n"
        "entry.main = main\n"
        "sys.modules['carawayward.platform.entry'] = entry\n"
        "carawayward.platform.entry = entry\n"
        "entry_vm.main()"
    )
    assert printed == "True False"


def handles_hangup(process):
    """Whether a process has a handler for SIGHUP."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    caught = status.partition("SigCgt:")[2].split()[0]
    return bool(int(caught, 16) >> (signal.SIGHUP - 1) & 1)


def test_reload_during_a_start_is_done_once_the_process_is_up():
    """Guards against settings that are not read after an early SIGHUP."""
    ports = loopback.find_free_ports(5)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text(EARLY_SETTINGS.format(*ports))
        process = subprocess.Popen(
            [sys.executable, str(SOURCES / "entry_vm.py")],
            env={**os.environ, "CARAWAYWARD_CONFIG": str(path)},
            stdout=subprocess.PIPE,
        )
        assert process.stdout is not None
        try:
            while not handles_hangup(process):
                time.sleep(0.001)
            process.send_signal(signal.SIGHUP)
            assert any(b"settings_read" in line for line in process.stdout)
        finally:
            process.kill()
            process.communicate()
