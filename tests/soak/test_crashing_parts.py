"""Parts of prompts that crash endpoints, on real processes."""

from tests.soak import run
from tests.soak import schedule

# Two parts in the middle of prompts, and one that comes first.
SEEDS = (19, 20)
SECONDS = 28.0


def check_seed(seed, proxied=False):
    soak, result = run.run_seed(
        seed,
        SECONDS,
        kinds=(schedule.Fault.CRASHING_PART,),
        proxied=proxied,
    )
    assert result.crashing_parts, "no such part for a valid check"
    assert not result.broken, (result.violations, str(soak.folder))
    assert result.ends_unasked == 0, "an entry VM ended by itself"


def test_parts_that_crash_endpoints_are_refused_and_sound_ones_served():
    """Requests with such a part, no two alike, come beside sound ones."""
    for seed in SEEDS:
        check_seed(seed)


def test_parts_that_crash_endpoints_behind_proxies_are_refused():
    """Addresses of endpoints that are down accept connections."""
    check_seed(SEEDS[0], proxied=True)
