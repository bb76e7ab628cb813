"""Whether callers should turn to this entry VM just now, or to another."""

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import redirection
from carawayward.forwarding import board as board_module
from carawayward.forwarding import load_reports

# Another entry VM takes the request; there is nothing to wait for.
ELSEWHERE_MS = 20.0
# When to come back while keys cannot be proved anywhere. Outages of the store
# last seconds; who comes back sooner than this is mostly refused again.
KEYS_OLD_MS = 2_000.0


@attrs.define(eq=False)
class Readiness:
    """What this entry VM can say of itself, next to the others."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    reporter: load_reports.LoadReporter

    def is_fresh(self) -> bool:
        """Whether the table's keys may still be relied on."""
        return self.board.is_fresh(self.clock.boot_ms())

    def redirects_callers(self) -> bool:
        """Whether callers do better to leave for another entry VM.

        So from the first failed call for the table on, not only when its keys
        have lapsed: a balancer takes two seconds to move callers, about as
        long as keys then last.
        """
        if self.board.state is board_module.State.LEAVING:
            return True
        return self._is_in_doubt() and self._others_may_serve()

    def compute_retry_after_ms(self) -> float:
        """When a caller should come back that needs a proof of its key."""
        others = self._others_may_serve()
        return ELSEWHERE_MS if others else KEYS_OLD_MS

    def is_ready(self) -> bool:
        """Whether a balancer should send new connections."""
        ready = self.board.state is board_module.State.READY
        return ready and not self.redirects_callers()

    def _is_in_doubt(self) -> bool:
        return self.board.store_failing or not self.is_fresh()

    def _others_may_serve(self) -> bool:
        known, stale = self.reporter.count_stale_peers()
        return redirection.others_may_serve(known, stale)
