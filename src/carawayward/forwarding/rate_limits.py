"""Keeps to the request limits that endpoints name in their responses."""

import random
import typing

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import rate_limits
from carawayward import events
from carawayward.forwarding import board as board_module
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import notices
from carawayward.forwarding import report_values

# How long a limit is reported to peers after it was last observed. With many
# peers, each is sent a report only once in 10 s.
REPORTED_MS = 20_000.0
MAX_LIMITS_PER_REPORT = 16
# How often a change of the known entry VMs is applied to the shares.
MEMBERS_CHECK_MS = 1_000.0
# Number of shares that one request recomputes after such a change: each ranks
# all entry VMs.
MAX_SHARES_AT_ONCE = 4
# An endpoint may name another limit in each response; such changes of one
# limit are logged no more often than this.
MIN_LOG_INTERVAL_MS = 1_000.0

# Lists all entry VMs; None while they are unknown.
ListMembers = typing.Callable[[], typing.Collection[str] | None]


def list_unknown_members() -> None:
    """Return None: the other entry VMs are unknown."""


@attrs.define(eq=False)
class LimitedEndpoint:
    """The last known limit of an endpoint, and what was sent under it.

    ``per_s`` is None if the limit was lifted. ``observed_ms`` is the time of
    the response that said so, to this entry VM if ``own`` is set or else to a
    peer. ``share`` is None while the other entry VMs are unknown.
    """

    per_s: float | None
    observed_ms: float
    own: bool = False
    share: rate_limits.Share | None = None
    bucket: rate_limits.Bucket | None = None
    logged_ms: float = board_module.NEVER


@attrs.define(eq=False)
class RequestLimiter:
    """Limits what this entry VM sends to endpoints that have named a limit.

    Other entry VMs get to know of limits by load reports, so that those which
    send an endpoint nothing learn that its limit has been lifted. Times are in
    ms on the boot clock, which goes on while the VM is suspended. The shares
    of the ``outdated`` endpoints rest on former ``members``. ``get_names``
    returns the endpoints' names by their hashes.
    """

    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    list_members: ListMembers = list_unknown_members
    get_names: typing.Callable[[], typing.Mapping[int, str]] = dict
    draw: typing.Callable[[], float] = random.random
    endpoints: dict[message_types.Process, LimitedEndpoint] = attrs.field(
        factory=dict
    )
    members: frozenset[str] | None = None
    checked_ms: float = board_module.NEVER
    outdated: list[message_types.Process] = attrs.field(factory=list)

    def record_response(
        self,
        entry: message_types.EndpointEntry,
        metadata: message_types.ResponseMetadata,
    ) -> None:
        """Record the limit, or its absence, in an endpoint's response.

        Only a response that the endpoint has signed can lift the limit.
        """
        if metadata.request_limit is None:
            known = self.endpoints.get(entry.process)
            if known is None or known.per_s is None:
                return
            if metadata.limit_malformed or not metadata.signed:
                return
        self._record(
            entry,
            metadata.request_limit,
            self.clock.boot_ms(),
            metadata.request_id,
        )

    def list_exhausted(self) -> frozenset[str]:
        """Return the endpoints that get no request now because of a limit."""
        if not self.endpoints:
            return frozenset()
        return frozenset(
            name for name, wait_ms in self._list_waits() if wait_ms > 0.0
        )

    def list_waits(self) -> dict[str, float]:
        """Return the endpoints at their limits, and the time until a request.

        The times are spread by up to the interval between two requests, so
        that callers who are refused at the same moment do not return together.
        """
        return {
            name: wait_ms + self.draw() * self._get_interval_ms(name)
            for name, wait_ms in self._list_waits()
            if wait_ms > 0.0
        }

    def _get_interval_ms(self, name: str) -> float:
        share = self.endpoints[self.board.endpoints[name].process].share
        return share.interval_ms if share is not None else 0.0

    def acquire(self, entry: message_types.EndpointEntry) -> None:
        """Count a request that is about to be sent to an endpoint."""
        limited = self.endpoints.get(entry.process)
        if limited is None or not limited.share or not limited.bucket:
            return
        rate_limits.take(limited.bucket, limited.share, self.clock.boot_ms())

    def describe(self) -> list:
        """The limits last observed by this entry VM, for load reports."""
        now_ms = self.clock.boot_ms()
        observed = [
            (process[0], limited)
            for process, limited in self.endpoints.items()
            if limited.own and now_ms - limited.observed_ms < REPORTED_MS
        ]
        observed.sort(key=lambda each: -each[1].observed_ms)
        return [
            [
                load_report_messages.hash_name(name),
                limited.per_s,
                round(now_ms - limited.observed_ms),
            ]
            for name, limited in observed[:MAX_LIMITS_PER_REPORT]
        ]

    def merge(self, peer: str, value: typing.Any, ttl_ms: float) -> None:
        """Merge the limits that a peer reports, if they are newer.

        Raises ValueError or TypeError if they are malformed.
        """
        reported = {
            int(number): (
                None if per_s is None else _check_limit(per_s),
                self.clock.boot_ms() - report_values.check_age(age_ms),
            )
            for number, per_s, age_ms in value
        }
        names = self.get_names()
        for number, (per_s, observed_ms) in reported.items():
            entry = self.board.endpoints.get(names.get(number, ""))
            if entry is None:
                continue
            known = self.endpoints.get(entry.process)
            if known is None and per_s is None:
                continue
            if known is None or known.observed_ms < observed_ms:
                self._record(entry, per_s, observed_ms, peer=peer)

    def _record(
        self,
        entry: message_types.EndpointEntry,
        per_s: float | None,
        observed_ms: float,
        request: str = "",
        peer: str = "",
    ) -> None:
        limited = self.endpoints.get(entry.process)
        previous = limited.per_s if limited is not None else None
        if limited is None:
            limited = LimitedEndpoint(per_s, observed_ms)
            self.endpoints[entry.process] = limited
        limited.per_s, limited.observed_ms = per_s, observed_ms
        limited.own = not peer
        if per_s == previous:
            return
        self._update_members()
        self._share_limit(entry.process, limited)
        now_ms = self.clock.boot_ms()
        varies = None not in (per_s, previous)
        if varies and now_ms - limited.logged_ms < MIN_LOG_INTERVAL_MS:
            return
        limited.logged_ms = now_ms
        events.log_event(
            events.Event.ENDPOINT_LIMITED,
            endpoint=entry.name,
            per_s=per_s,
            previous_per_s=previous,
            request=request,
            peer=peer,
            interval_ms=limited.share and round(limited.share.interval_ms),
        )

    def _share_limit(
        self, process: message_types.Process, limited: LimitedEndpoint
    ) -> None:
        """Compute this entry VM's share of a limit."""
        self.board.limited.discard(process)
        limited.share = None
        if limited.per_s is None:
            return
        self.board.limited.add(process)
        if self.members is None:
            return
        now_ms = self.clock.boot_ms()
        share = limited.share = rate_limits.compute_share(
            self.board.name, self.members, process[0], limited.per_s
        )
        if limited.bucket is None:
            limited.bucket = rate_limits.make_bucket(
                share, now_ms, self.draw()
            )
        else:
            rate_limits.adapt(limited.bucket, share, now_ms)

    def _update_members(self) -> None:
        """Read who the entry VMs are; if that changed, shares are outdated."""
        listed = self.list_members()
        members = None if listed is None else frozenset(listed)
        self.checked_ms = self.clock.boot_ms()
        if members != self.members:
            self.members = members
            self.outdated = list(self.endpoints)

    def _list_waits(self) -> typing.Iterator[tuple[str, float]]:
        """List the limited endpoints and the time until the next request."""
        now_ms = self.clock.boot_ms()
        if now_ms - self.checked_ms >= MEMBERS_CHECK_MS:
            self._drop_unlisted(now_ms)
            self._update_members()
        for process in self.outdated[:MAX_SHARES_AT_ONCE]:
            if process in self.endpoints:
                self._share_limit(process, self.endpoints[process])
        del self.outdated[:MAX_SHARES_AT_ONCE]
        for process, limited in self.endpoints.items():
            if limited.per_s is None or not self.board.is_listed(process):
                continue
            if limited.share is None or limited.bucket is None:
                # Who else sends to this endpoint is not known yet.
                yield process[0], MEMBERS_CHECK_MS
                continue
            yield (
                process[0],
                rate_limits.compute_wait_ms(
                    limited.bucket, limited.share, now_ms
                ),
            )

    def _drop_unlisted(self, now_ms: float) -> None:
        """Forget limits of endpoints that have left or were replaced."""
        for process, limited in list(self.endpoints.items()):
            if self.board.is_listed(process):
                continue
            if (
                process[0] in self.board.endpoints
                or now_ms - limited.observed_ms > notices.KEPT_MS
            ):
                del self.endpoints[process]
                self.board.limited.discard(process)


def _check_limit(value: typing.Any) -> float:
    """Return a limit that a peer reports, or raise ValueError."""
    if type(value) not in (int, float) or not value >= 0.0:
        raise ValueError("expected requests a second")
    return float(min(value, rate_limits.MAX_PER_S))
