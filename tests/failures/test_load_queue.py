"""Overload of engines, tested with real processes."""

import concurrent.futures

import attrs

from tests.common import deployment
from tests.common import streaming

SINGLE_ENGINE = attrs.evolve(
    deployment.ODUYA,
    without_rollouts=True,
    entry_vms=1,
    pools=(
        deployment.Pool(
            name="matchers",
            count=1,
            versions=("sorter-3", "sorter-4", "matchmaker-2"),
            token_ms=30.0,
        ),
    ),
)


def ask(vm, text, customer="ikeja-families", deadline_ms=4_000):
    headers = {
        "Authorization": f"Bearer demo-{customer}",
        "Carawayward-Deadline-Ms": str(deadline_ms),
    }
    return deployment.call(
        "POST",
        vm.callers,
        "/v1/chat/completions",
        streaming.make_body(text, stream=False),
        headers,
    )


def test_burst_is_answered_or_refused_truthfully_and_small_ones_get_in():
    """A large customer sends many times what one engine can do in time.

    Requests that cannot be answered must be refused at once, with a time to
    retry, rather than time out, and none that is refused as "not run" may
    have run. A small customer's request during the burst must succeed.
    """
    with deployment.Deployment(SINGLE_ENGINE) as running:
        vm = running.entry_vms[0]
        for number in range(6):
            assert ask(vm, f"warm {number}").status == 200
        before = len(running.fetch_runs("matchers-0"))
        with concurrent.futures.ThreadPoolExecutor(121) as pool:
            burst = [
                pool.submit(ask, vm, f"burst {number}")
                for number in range(120)
            ]
            small = pool.submit(ask, vm, "small", "lekki-club")
            replies = [future.result() for future in burst]
        assert small.result().status == 200
        answered = [reply for reply in replies if reply.status == 200]
        refused = [reply for reply in replies if reply.status != 200]
        assert answered
        assert refused
        for reply in refused:
            assert reply.status in (429, 503), reply.content
            assert reply.json()["not_run"] is True
            assert int(reply.headers["retry-after"]) >= 0
        ran = len(running.fetch_runs("matchers-0")) - before
        assert ran == len(answered) + 1


def test_run_that_failed_on_every_engine_is_not_reported_as_not_run():
    """A request that engines have worked on must not be called "not run".

    Every engine breaks off the run before its first token. Nothing reaches
    the caller, but the engines have started on the request.
    """
    with deployment.Deployment(streaming.make_plan()) as running:
        for name in running.pools["matchers"]:
            running.set_faults(name, break_after=0, forget=True)
        reply = ask(running.entry_vms[0], "match")
        assert reply.status == 504
        assert reply.json()["not_run"] is False
        runs = [running.fetch_runs(name) for name in running.pools["matchers"]]
        assert sum(map(len, runs)) >= 2


def test_pool_without_endpoints_refuses_at_once_and_recovers():
    """The only engine stops; requests are refused until it is back."""
    with deployment.Deployment(SINGLE_ENGINE) as running:
        vm = running.entry_vms[0]
        assert ask(vm, "before").status == 200
        running.processes["matchers-0"].kill()
        running.processes["matchers-0"].wait()
        reply = ask(vm, "gone")
        assert reply.status == 503
        assert reply.json()["not_run"] is True
        pool = SINGLE_ENGINE.pools[0]
        running.start_standin(
            "matchers-0",
            "tests.standins.engine",
            *("--name", "matchers-0"),
            *("--versions", ",".join(pool.versions)),
        )
        assert streaming.wait_for(lambda: ask(vm, "back").status == 200)
