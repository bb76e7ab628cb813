"""Orders to endpoint processes: caps, fencing, lost answers, pauses."""

import os
import pathlib
import signal
import tempfile
import time
import typing

import attrs
import yaml

from tests.common import deployment

DOMAINS = ("ikeja", "yaba")
WAIT_S = 40.0


def make_plan(endpoints: int, **pool: typing.Any) -> deployment.Plan:
    """Plan two entry VMs, and a pool that has only the old version loaded."""
    document = yaml.safe_load(pathlib.Path("examples/oduya.yaml").read_text())
    document["rollouts"] = []
    document["pools"] = [
        {
            "name": "matchers",
            "versions": ["sorter-3", "matchmaker-2"],
            "change_at_once": 0.34,
            **pool,
        }
    ]
    handle, path = tempfile.mkstemp(suffix=".yaml")
    with os.fdopen(handle, "w") as file:
        yaml.safe_dump(document, file)
    return attrs.evolve(
        deployment.ODUYA,
        failure_domains=DOMAINS,
        entry_vms=2,
        pools=(
            deployment.Pool(
                name="matchers",
                count=endpoints,
                versions=("sorter-3", "matchmaker-2"),
            ),
        ),
        declaration=path,
    )


def publish_versions(
    running: deployment.Deployment, versions: list[str]
) -> None:
    """Publish the document with other versions for the pool."""
    path = running.plan.declaration
    document = yaml.safe_load(pathlib.Path(path).read_text())
    document["pools"][0]["versions"] = versions
    pathlib.Path(path).write_text(yaml.safe_dump(document))
    running.publish(path)


def read(running: deployment.Deployment, name: str, path: str) -> typing.Any:
    """Fetch JSON from a simulated endpoint or service."""
    return deployment.call("GET", running.addresses[name], path).json()


def wait_until_loaded(
    running: deployment.Deployment, wanted: set[str]
) -> None:
    """Wait until every endpoint has exactly these versions."""
    deadline = time.monotonic() + WAIT_S
    names = running.pools["matchers"]
    while time.monotonic() < deadline:
        loaded = [set(read(running, n, "/report")["versions"]) for n in names]
        if all(versions == wanted for versions in loaded):
            return
        time.sleep(0.2)
    raise AssertionError(f"loaded: {loaded}, wanted: {wanted}")


def count_max_concurrent(running: deployment.Deployment) -> int:
    """The largest number of endpoints that were changing at the same time."""
    spans = [
        (order["began"], order["ended"])
        for name in running.pools["matchers"]
        for order in read(running, name, "/orders")
        if order["ended"] > order["began"]
    ]
    return max(
        sum(started_at <= at < ended for started_at, ended in spans)
        for at, _ in spans
    )


NEW = ["sorter-3", "sorter-4", "matchmaker-2"]


def test_pool_is_changed_a_few_endpoints_at_a_time_and_paced():
    """A version is added to a pool of six; a third may change at once.

    The weight store serves two loads at a time. Callers must find available
    endpoints throughout, and the store must not have to refuse a load.
    """
    with deployment.Deployment(make_plan(6)) as running:
        store = running.addresses["weights"]
        for name in running.pools["matchers"]:
            running.set_faults(name, weights=store)
        publish_versions(running, NEW)
        wait_until_loaded(running, set(NEW))
        assert count_max_concurrent(running) <= 2
        loads = read(running, "weights", "/loads")
        assert loads == {"served": 6, "refused": 0}


def test_lost_order_answers_do_not_load_twice():
    """Every endpoint accepts its first order, and the answer is lost.

    The entry VM cannot tell whether the order was accepted. It must read the
    state before it sends again, since a second load would empty the pool once
    more.
    """
    with deployment.Deployment(make_plan(2)) as running:
        for name in running.pools["matchers"]:
            running.set_faults(name, lose_order_answers=1)
        publish_versions(running, NEW)
        wait_until_loaded(running, set(NEW))
        for name in running.pools["matchers"]:
            assert len(read(running, name, "/orders")) == 1


def check_outdated_order(ignore_fencing: bool, status: int) -> None:
    """Send an outdated order, as an entry VM would after a pause."""
    with deployment.Deployment(make_plan(2)) as running:
        publish_versions(running, NEW)
        wait_until_loaded(running, set(NEW))
        name = running.pools["matchers"][0]
        running.set_faults(name, ignore_fencing=ignore_fencing, load_ms=100)
        old = {"fencing": 1, "versions": ["sorter-3"], "role": "mixed"}
        address = running.addresses[name]
        reply = deployment.call("PUT", address, "/order", old)
        assert reply.status == status
        wait_until_loaded(running, set(NEW))
        assert read(running, name, "/order")["fencing"] == 2


def test_old_order_is_refused_by_an_endpoint_that_checks():
    """An entry VM resumes after a pause and sends an outdated order."""
    check_outdated_order(ignore_fencing=False, status=409)


def test_old_order_is_undone_at_an_endpoint_that_does_not_check():
    """The endpoint accepts the old order; the next read repairs it."""
    check_outdated_order(ignore_fencing=True, status=200)


def test_entry_vm_paused_across_a_publish_sends_no_old_order():
    """One of two entry VMs is stopped for seconds, then resumes.

    Meanwhile a newer document is published. The resumed entry VM must not act
    on the state that it read before, and every endpoint must end with the
    newer document's versions.
    """
    with deployment.Deployment(make_plan(4)) as running:
        for name in running.pools["matchers"]:
            running.set_faults(name, ignore_fencing=True)
        process = running.entry_vms[0].process
        assert process is not None
        publish_versions(running, NEW)
        time.sleep(1.0)
        process.send_signal(signal.SIGSTOP)
        publish_versions(running, ["sorter-4", "matchmaker-2"])
        time.sleep(6.0)
        process.send_signal(signal.SIGCONT)
        wait_until_loaded(running, {"sorter-4", "matchmaker-2"})
        time.sleep(4.0)
        wait_until_loaded(running, {"sorter-4", "matchmaker-2"})
