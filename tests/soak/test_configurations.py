"""Operators' changes reach all entry VMs, and each check of them can fail."""

from tests.soak import configurations
from tests.soak import records
from tests.soak import run
from tests.soak import schedule
from tests.soak import traffic

SEED = 5
SECONDS = 14.0
KINDS = (
    *schedule.CONFIG_FAULTS,
    schedule.Fault.VM_KILLED,
    schedule.Fault.STORE_CUT,
    schedule.Fault.STORE_SLOW,
)
ENTRY_VMS = 6
BOUNDS = records.Bounds()
ACKED_MS = 100_000.0
MIN_PROBES = 100


def make_history(*probes):
    """A history in which a route and a key are replaced by others."""
    history = records.History()
    history.versions += [
        records.Version(
            paths=frozenset(("/old/",)),
            keys=frozenset(("old", "kept")),
            acked_ms=0.0,
        ),
        records.Version(
            paths=frozenset(("/new/",)),
            keys=frozenset(("new", "kept")),
            acked_ms=ACKED_MS,
        ),
    ]
    history.probes += probes
    return history


def make_probe(path, status, after_ms, key="kept", vm="edge-0", start=1):
    at_ms = ACKED_MS + after_ms
    return records.Probe(
        vm=vm,
        start=start,
        path=path,
        key=key,
        at_ms=at_ms,
        status=status,
        ended_ms=at_ms + 50.0,
    )


def test_answers_by_a_version_no_longer_in_force_are_found():
    """The route that was dropped is served, or the new one is not known."""
    check = configurations.check_late_versions
    for path, status in (("/old/", 200), ("/new/", 404)):
        assert check(make_history(make_probe(path, status, 2_100.0)), BOUNDS)
        early = make_history(make_probe(path, status, 1_900.0))
        assert not check(early, BOUNDS)
        disrupted = make_history(make_probe(path, status, 2_100.0))
        disrupted.vm_disruptions.append(
            records.Disruption(
                name="edge-0",
                kind="kill",
                from_ms=ACKED_MS,
                until_ms=ACKED_MS,
            )
        )
        assert not check(disrupted, BOUNDS)
    assert check(
        make_history(make_probe("/new/", 401, 2_100.0, "new")), BOUNDS
    )
    for path, status in (("/new/", 200), ("/old/", 404), ("/old/", 503)):
        assert not check(
            make_history(make_probe(path, status, 2_100.0)), BOUNDS
        )


def test_process_that_goes_back_to_an_older_version_is_found():
    """It served the new route and then does not know it."""
    check = configurations.check_regressions
    seen = make_probe("/new/", 200, 100.0)
    later = make_probe("/new/", 404, 500.0)
    assert check(make_history(seen, later), BOUNDS)
    for other in (
        make_probe("/new/", 404, 300.0),
        make_probe("/new/", 404, 500.0, vm="edge-1"),
        make_probe("/new/", 404, 500.0, start=2),
        make_probe("/old/", 404, 500.0),
    ):
        assert not check(make_history(seen, other), BOUNDS)


def test_request_on_a_route_of_an_invalid_record_is_found():
    """Records that are not valid add routes of their own."""
    check = configurations.check_invalid_versions
    history = make_history(make_probe("/invalid-2/", 200, 0.0))
    history.invalid_paths.append("/invalid-2/")
    assert check(history, BOUNDS)
    history.probes = [make_probe("/invalid-2/", 404, 0.0)]
    assert not check(history, BOUNDS)


def test_request_with_a_key_taken_away_too_long_ago_is_found():
    """Also at entry VMs that were disrupted."""
    check = configurations.check_revoked_keys
    assert check(
        make_history(make_probe("/new/", 200, 5_100.0, "old")), BOUNDS
    )
    for probe in (
        make_probe("/new/", 200, 4_900.0, "old"),
        make_probe("/new/", 401, 5_100.0, "old"),
        make_probe("/new/", 200, 5_100.0, "new"),
    ):
        assert not check(make_history(probe), BOUNDS)


def test_added_routes_that_are_hardly_served_are_found():
    """Calls on a first route are served meanwhile."""
    check = configurations.check_added_routes
    for status, broken in ((504, True), (200, False)):
        history = make_history(
            *(
                make_probe("/new/", status, 3_000.0 + number)
                for number in range(30)
            )
        )
        for number in range(30):
            sent = records.Sent(
                request_id=f"{number}",
                vm="edge-0",
                service="swap-desk",
                content="",
                at_ms=ACKED_MS,
                deadline_ms=100.0,
                max_attempts=2,
                route=traffic.KINDS[-1].name,
            )
            history.sent[sent.request_id] = sent
            history.statuses[sent.request_id] = 200
        assert bool(check(history, BOUNDS)) is broken


def test_changes_of_the_configuration_keep_the_rules_beside_faults():
    """Versions and invalid records come while entry VMs and the store fail."""
    soak, result = run.run_seed(
        SEED, SECONDS, kinds=KINDS, entry_vms=ENTRY_VMS
    )
    assert len(soak.history.versions) > 1, "no versions for a valid check"
    assert soak.history.invalid_paths, "no invalid records for a valid check"
    assert len(soak.history.probes) > MIN_PROBES, "too few probes"
    for clause in configurations.CHECKERS:
        found = result.violations[clause]
        assert not found, (clause, found, str(soak.folder))
    assert result.ends_unasked == 0, "an entry VM ended by itself"
