"""Configuration reaches every node despite failures."""

import pathlib
import subprocess
import time

import attrs
import yaml

from carawayward.commands import declarations
from tests.common import deployment
from tests.failures import test_agreed_once as once

SMALL = attrs.evolve(
    deployment.ODUYA,
    without_rollouts=True,
    entry_vms=3,
    pools=(
        deployment.Pool(
            name="matchers", count=1, versions=("sorter-3", "sorter-4")
        ),
    ),
    settings={"agreed": {"freshness_lease_ms": 4_000}},
)


def write_changed(
    running: deployment.Deployment, name: str, **changes: object
) -> str:
    """Write the declaration with ``changes`` made to sorter-3."""
    document = yaml.safe_load(
        pathlib.Path(running.plan.declaration).read_text()
    )
    document["models"][0]["versions"][0].update(changes)
    path = running.folder / name
    path.write_text(yaml.safe_dump(document))
    return str(path)


def read_status(vm: deployment.EntryProcess) -> dict:
    """Fetch an entry VM's status."""
    reply = deployment.call(
        "GET", vm.operators, "/v1/status", None, once.OPERATORS
    )
    assert reply.status == 200, reply.content
    return reply.json()


def list_revisions(vms: list[deployment.EntryProcess]) -> list[int]:
    """The revision in force on each of these entry VMs."""
    return [read_status(vm)["revision"] for vm in vms]


def test_revision_reaches_a_node_that_the_log_does_not():
    """A publish takes effect while one VM gets no answer from the log.

    That VM learns of it from its peers, and their answers keep its
    configuration fresh. The lost answer of the append must not lead the
    operator to publish twice.
    """
    with once.run_linked(SMALL) as running:
        cut, *rest = running.entry_vms
        running.set_faults("log", cut=[cut.name])
        running.set_faults("log", lose_answers=1, lose_in="configuration")
        file = write_changed(running, "changed.yaml", cost=0.3)
        assert running.publish(file) == "revision 2 is in the log"
        assert once.wait_until(
            lambda: list_revisions(running.entry_vms) == [2, 2, 2]
        )
        time.sleep(5.0)
        assert read_status(cut)["fresh"]
        shown = read_status(rest[0])["confirmations"]
        assert set(shown.values()) == {"in force"}
        key = deployment.KEYS["operators"][0]
        text = declarations.confirm(rest[0].operators, key)
        assert text.count("in force") == 3


def test_nodes_cut_off_from_the_log_freeze_roll_outs():
    """The log does not answer any VM for longer than the lease.

    The VMs' answers to each other must not keep them fresh.
    """
    with once.run_linked(SMALL) as running:
        assert all(read_status(vm)["fresh"] for vm in running.entry_vms)
        running.set_faults("log", down=True)
        assert once.wait_until(
            lambda: (
                not any(read_status(vm)["fresh"] for vm in running.entry_vms)
            )
        )
        running.set_faults("log", down=False)
        assert once.wait_until(
            lambda: all(read_status(vm)["fresh"] for vm in running.entry_vms)
        )


def test_configuration_outlives_the_logs_retention_and_all_first_nodes():
    """The log retains few records, and every VM is replaced in turn.

    The log no longer has the first operator's publish. Each new VM must start
    with the newest revision, from snapshots and peers.
    """
    with once.run_linked(SMALL) as running:
        running.set_faults("log", retain=8)
        for number in range(1, 13):
            file = write_changed(running, "next.yaml", cost=float(number))
            assert once.wait_until(
                lambda file=file: try_publish(running, file)
            )
        newest = max(list_revisions(running.entry_vms))
        for vm in running.entry_vms:
            assert vm.process is not None
            vm.process.kill()
            vm.process.wait()
            running.start_entry_vm(vm)
            running.wait_until_ready(vm)
        assert once.wait_until(
            lambda: min(list_revisions(running.entry_vms)) >= newest
        )
        shown = run_show(running)
        assert f'"revision": {newest}' in shown


def try_publish(running: deployment.Deployment, file: str) -> bool:
    """Publish; return False if the log has no snapshot yet to validate by."""
    try:
        running.publish(file)
    except subprocess.CalledProcessError as fault:
        assert "wait" in fault.stderr, fault.stderr
        return False
    return True


def run_show(running: deployment.Deployment) -> str:
    """Run the operators' ``show`` command, which reads only the log."""
    log = f"http://{running.addresses['log']}"
    done = subprocess.run(
        ["python", "-m", "carawayward.command", "show", "--log", log],
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


def test_withdrawn_version_ends_its_sessions_on_every_node():
    """A version is withdrawn while sessions are pinned to it.

    Another VM accepts the session and refuses its requests: a session may not
    be moved to another version, and a withdrawn version must not run.
    """
    body = {
        "model": "swap-suggestion",
        "messages": [{"role": "user", "content": "an easy swap"}],
    }
    with once.run_linked(SMALL) as running:
        first, second, _ = running.entry_vms
        opened = deployment.call(
            "POST", first.callers, "/v1/sessions", {}, once.AUTH
        ).json()
        assert opened["versions"]["sorter"] == "sorter-3"
        for session in (opened["token"], "a-caller's-own-id"):
            headers = {**once.AUTH, "Carawayward-Session": session}
            reply = deployment.call(
                "POST", second.callers, "/v1/chat/completions", body, headers
            )
            assert reply.json()["model"] == "sorter-3"
        file = write_changed(running, "gone.yaml", state="withdrawn")
        running.publish(file)
        assert once.wait_until(
            lambda: min(list_revisions(running.entry_vms)) == 2
        )
        for session in (opened["token"], "a-caller's-own-id"):
            headers = {**once.AUTH, "Carawayward-Session": session}
            reply = deployment.call(
                "POST", first.callers, "/v1/chat/completions", body, headers
            )
            assert reply.json().get("reason") == "version-withdrawn", (
                session,
                reply.json(),
            )
            assert reply.json()["not_run"] is True
