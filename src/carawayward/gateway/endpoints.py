"""HTTP client for endpoints, both model engines and plain services."""

import contextlib
import functools
import json
import secrets
import typing

import attrs
import httpcore
import trio

from carawayward import blackboard
from carawayward import errors
from carawayward.gateway import connections
from carawayward.gateway import streams
from carawayward import http_client as http

REPORT_TIMEOUT_MS = 2_000.0
CANCEL_TIMEOUT_MS = 2_000.0

OnText = typing.Callable[[str], typing.Awaitable[None]]
NOT_RUN_HEADER = b"carawayward-not-run"
MaySend = typing.Callable[[], bool]


def allow_sending() -> bool:
    """Always allow a call to be sent."""
    return True


@attrs.frozen(kw_only=True)
class Report:
    """An endpoint's report of its state; ``load`` lags behind."""

    versions: list[str]
    load: float
    leaving: bool


Run = streams.Run
RunEnd = streams.RunEnd


@attrs.define
class EndpointClient:
    """Calls endpoints over pooled connections."""

    silence_limits: streams.SilenceLimits
    service_timeout_ms: float
    pools: connections.EndpointPools = attrs.field(
        factory=connections.EndpointPools
    )
    watch: streams.SilenceWatch = attrs.field(
        default=attrs.Factory(
            lambda self: streams.SilenceWatch(self.silence_limits),
            takes_self=True,
        )
    )
    _nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start watching for silent runs.

        The nursery also runs the requests that cancel runs at engines.
        """
        self._nursery = nursery
        nursery.start_soon(self.watch.run)

    async def close(self) -> None:
        """Close all connections."""
        await self.pools.close()

    async def fetch_report(self, endpoint: blackboard.Endpoint) -> Report:
        """Fetch an endpoint's report of its versions and load."""
        body = await self._exchange(
            endpoint, "GET", "/report", None, REPORT_TIMEOUT_MS
        )
        try:
            return Report(
                versions=[str(name) for name in body["versions"]],
                load=float(body["load"]),
                leaving=bool(body["leaving"]),
            )
        except (KeyError, TypeError, ValueError, OverflowError) as cause:
            raise errors.EndpointError(
                endpoint.name, f"malformed report: {cause}", sent=True
            ) from cause

    async def call_service(
        self,
        endpoint: blackboard.Endpoint,
        operation: str,
        body: object,
        repeatable: bool,
        may_send: MaySend = allow_sending,
        hold: http.Hold = http.hold_any,
    ) -> typing.Any:
        """Call a plain service.

        A call that is not repeatable is sent over a new connection: an idle
        one may have gone silent without either end noticing, and once a
        byte of such a call has been sent it must not be sent again.
        """
        path = f"/operations/{operation}"
        if not repeatable:
            return await self._exchange_on_new_connection(
                endpoint, path, body, may_send, repeatable, hold
            )
        try:
            return await self._exchange(
                endpoint,
                "POST",
                path,
                body,
                self.service_timeout_ms,
                reused_timeout_ms=self.silence_limits.connection_ms,
                may_send=may_send,
                hold=hold,
            )
        except errors.EndpointError as fault:
            if not fault.silent:
                raise
        # The idle connection may have gone silent for good. A repeatable
        # call waits only ``connection_ms`` on it rather than the whole
        # timeout, and is then sent once more on a new connection.
        return await self._exchange_on_new_connection(
            endpoint, path, body, may_send, repeatable, hold
        )

    async def _exchange_on_new_connection(
        self,
        endpoint: blackboard.Endpoint,
        path: str,
        body: object,
        may_send: MaySend,
        repeatable: bool,
        hold: http.Hold,
    ) -> typing.Any:
        async with connections.make_single_use_pool() as fresh:
            return await self._exchange(
                endpoint,
                "POST",
                path,
                body,
                self.service_timeout_ms,
                pool=fresh,
                may_send=may_send,
                repeatable=repeatable,
                hold=hold,
            )

    async def run_engine(
        self, endpoint: blackboard.Endpoint, run: Run, on_text: OnText
    ) -> RunEnd:
        """Run a completion, passing text to ``on_text`` as it arrives.

        If this call ends early, by cancellation or an error, the run is
        cancelled at the engine, which frees the run's resources.
        """
        # Two customers may use the same request key, and one caller may
        # send a key twice. The random suffix makes the run id unique, so
        # that a resumed stream cannot belong to another request.
        run = attrs.evolve(run, run_id=f"{run.run_id}.{secrets.token_hex(4)}")
        reader = streams.RunReader(
            endpoint, run, self.pools, self.watch, on_text
        )
        try:
            return await reader.read_to_end()
        finally:
            if reader.end is None and reader.sent:
                self._cancel_run(endpoint, run)

    def _cancel_run(self, endpoint: blackboard.Endpoint, run: Run) -> None:
        """Cancel a run at its engine without waiting for the reply."""
        if self._nursery is not None:
            self._nursery.start_soon(self._delete_run, endpoint, run)

    async def _delete_run(
        self, endpoint: blackboard.Endpoint, run: Run
    ) -> None:
        path = streams.run_path(run)
        with contextlib.suppress(errors.EndpointError):
            await self._exchange(
                endpoint, "DELETE", path, None, CANCEL_TIMEOUT_MS
            )

    async def _exchange(
        self,
        endpoint: blackboard.Endpoint,
        method: str,
        path: str,
        body: object,
        timeout_ms: float,
        pool: httpcore.AsyncConnectionPool | None = None,
        reused_timeout_ms: float | None = None,
        may_send: MaySend = allow_sending,
        repeatable: bool = True,
        hold: http.Hold = http.hold_any,
    ) -> typing.Any:
        """Make one call.

        ``reused_timeout_ms`` is the timeout if the call goes over an idle
        connection; opening a new connection extends it to ``timeout_ms``.
        """
        content = None if body is None else json.dumps(body).encode()
        pool = pool or await self.pools.get(endpoint.address)
        initial_timeout_s = (reused_timeout_ms or timeout_ms) / 1000
        mark = http.SentMark(may_send=may_send)
        try:
            with trio.fail_after(initial_timeout_s) as scope:
                mark.on_connect = functools.partial(
                    _extend_deadline, scope, timeout_ms / 1000
                )
                response = await http.request(
                    pool,
                    method,
                    f"http://{endpoint.address}{path}",
                    headers={"Content-Type": "application/json"},
                    hold=hold,
                    content=content,
                    extensions={"trace": mark.trace},
                )
            if response.status == 200:
                return json.loads(response.content)
        # Deeply nested JSON raises RecursionError.
        except (*http.CALL_FAILURES, ValueError, RecursionError) as cause:
            if isinstance(cause, trio.TooSlowError):
                await self.pools.drop_idle(endpoint.address)
            raise errors.EndpointError(
                endpoint.name,
                type(cause).__name__,
                sent=mark.sent,
                silent=isinstance(cause, trio.TooSlowError),
            ) from cause
        raise errors.EndpointError(
            endpoint.name,
            f"status {response.status}",
            sent=may_have_run(response, repeatable),
            status=response.status,
        )


def may_have_run(response: httpcore.Response, repeatable: bool) -> bool:
    """Whether an endpoint that refused a call may still have run it.

    For a call that is not repeatable, a bare 503 proves nothing: a service
    may answer it half-way through, and so may a proxy in front of it. Only
    a 503 with NOT_RUN_HEADER, by which the service states that it did not
    begin, allows the call to be sent again.
    """
    if response.status != 503:
        return True
    named = {name.lower() for name, _ in response.headers}
    return not repeatable and NOT_RUN_HEADER not in named


def _extend_deadline(scope: trio.CancelScope, seconds: float) -> None:
    scope.deadline = trio.current_time() + seconds
