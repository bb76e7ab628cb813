"""The commands explain and check_settings for forwarded routes."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile

from carawayward.commands import explain

LINES = [
    'vm-2 {"at_ms": 1030, "name": "request_forwarded", "request": "0042", '
    '"status": 200, "cause": "delivered", "runs": 1, "model": ""}',
    'vm-1 {"at_ms": 900, "name": "request_refused", "request": "0041"}',
    "vm-1 no JSON about 0042 {",
    'vm-1 {"at_ms": 1000, "name": "attempt_ended", "request": "0042", '
    '"endpoint": "i-1", "outcome": "Unreached", "runs": 0}',
    '{"at_ms": 1001, "name": "fault", "detail": "0042"}',
]


def run_tool(*words, text=""):
    return subprocess.run(
        [sys.executable, "-m", "carawayward.command", *words],
        input=text,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": "src"},
    )


def test_log_lines_of_a_request_are_printed_in_time_order():
    """Logs of two entry VMs are merged; other lines are left out."""
    rows = explain.format_request_log("0042", LINES)
    assert len(rows) == 2
    assert "+     0 ms" in rows[0]
    assert "attempt_ended: endpoint=i-1, outcome=Unreached, runs=0" in rows[0]
    assert "+    30 ms" in rows[1]
    assert "vm-2" in rows[1]
    assert "model" not in rows[1]


def test_tool_explains_an_id_of_digits():
    """Fire must not parse an id as a number, which drops leading zeros."""
    done = run_tool("explain", "0042", text="\n".join(LINES))
    assert done.returncode == 0, done.stderr
    assert done.stdout.count(" ms ") == 2


def test_unknown_id_is_reported_as_an_error():
    """A mistyped id must not look like a request without log lines."""
    done = run_tool("explain", "0043", text="\n".join(LINES))
    assert done.returncode == 1
    assert "no line names request 0043" in done.stderr


def test_invalid_settings_are_reported_with_the_field():
    """A port that is not a number is reported with its field."""
    settings = {
        "name": "edge-1",
        "failure_domain": "north",
        "listen": {
            "callers": "10.0.0.1:80",
            "readiness": "10.0.0.1:81",
            "peers": "10.0.0.1:82",
        },
        "store": {"address": "10.0.0.9:90"},
    }
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text(json.dumps(settings))
        assert run_tool("check_settings", str(path)).returncode == 0
        settings["store"] = {"address": "10.0.0.9:zero"}
        path.write_text(json.dumps(settings))
        done = run_tool("check_settings", str(path))
        assert done.returncode == 1
        assert "store.address" in done.stderr
