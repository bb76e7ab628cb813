"""Whether callers should use this entry VM or another one."""

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import redirection
from carawayward.forwarding import board as board_module
from carawayward.forwarding import load_reports

# Retry-After if another entry VM can serve the request at once.
OTHER_VM_RETRY_MS = 20.0
# Retry-After while no entry VM can validate keys. Outages of the store last
# seconds; callers that retry sooner are mostly refused again.
STALE_KEYS_RETRY_MS = 2_000.0


@attrs.define(eq=False)
class Readiness:
    """Judges this entry VM's readiness by its own state and its peers'."""

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    reporter: load_reports.LoadReporter

    def is_fresh(self) -> bool:
        """Whether the table is recent enough to trust its keys."""
        return self.board.is_key_lease_valid(self.clock.boot_ms())

    def should_redirect_callers(self) -> bool:
        """Whether callers should move to another entry VM.

        They should when this entry VM shuts down, and when its table may be
        out of date and other entry VMs may serve. The latter starts with the
        first failed read of the table, not only once its keys have expired: a
        balancer takes two seconds to move callers, and the keys stay valid for
        about as long.
        """
        if self.board.state is board_module.State.LEAVING:
            return True
        return self._may_be_stale() and self._others_may_serve()

    def compute_retry_after_ms(self) -> float:
        """Compute Retry-After for a caller whose key cannot be validated."""
        others = self._others_may_serve()
        return OTHER_VM_RETRY_MS if others else STALE_KEYS_RETRY_MS

    def is_ready(self) -> bool:
        """Whether a balancer should send new connections."""
        ready = self.board.state is board_module.State.READY
        return ready and not self.should_redirect_callers()

    def _may_be_stale(self) -> bool:
        return self.board.store_failing or not self.is_fresh()

    def _others_may_serve(self) -> bool:
        known, stale = self.reporter.count_stale_peers()
        return redirection.others_may_serve(known, stale)
