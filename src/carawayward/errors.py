"""Errors that callers, operators and other modules can act on.

Each message says what was found and what to do about it.
"""


class CarawaywardError(Exception):
    """Base class of all errors of this project."""


class SettingsError(CarawaywardError):
    """The settings of an entry VM are invalid."""

    def __init__(self, field: str, found: object, remedy: str) -> None:
        super().__init__(f"settings: {field}: found {found!r}; {remedy}")
        self.field = field
        self.remedy = remedy


class DeclarationError(CarawaywardError):
    """A declaration is invalid."""

    def __init__(self, field: str, found: object, remedy: str) -> None:
        super().__init__(f"declaration: {field}: found {found!r}; {remedy}")
        self.field = field
        self.remedy = remedy


class BadRequest(CarawaywardError):
    """A caller's request is malformed."""

    def __init__(
        self, field: str, found: object, remedy: str, status: int = 400
    ) -> None:
        super().__init__(f"{field}: found {found!r}; {remedy}")
        self.field = field
        self.remedy = remedy
        self.status = status


class NoRoom(CarawaywardError):
    """A request is not read, as too many bytes are kept for others."""


class NotAuthenticated(CarawaywardError):
    """A caller, peer or operator could not be authenticated."""


class InvalidToken(CarawaywardError):
    """A session token or ticket is forged, damaged or expired."""


class PlatformUnavailable(CarawaywardError):
    """A platform service gave no usable response.

    ``sent`` is False only if no byte of the request can have left this
    machine; an append with ``sent`` True may have taken effect.
    """

    def __init__(
        self,
        service: str,
        detail: str,
        sent: bool = True,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(
            f"{service}: {detail}; the call is retried, and until the service "
            "answers, requests that need it are refused or served from "
            "cached state"
        )
        self.service = service
        self.sent = sent
        self.retry_after_ms = retry_after_ms


class EndpointError(CarawaywardError):
    """A call to an endpoint failed.

    ``sent`` is False only if no byte of the call can have left this
    machine; only then may the request be refused as "not run".
    ``status`` is the HTTP status, if the endpoint answered with one.
    """

    def __init__(
        self,
        endpoint: str,
        detail: str,
        sent: bool,
        silent: bool = False,
        status: int | None = None,
    ) -> None:
        super().__init__(f"endpoint {endpoint}: {detail}")
        self.endpoint = endpoint
        self.sent = sent
        self.silent = silent
        self.status = status


class PeerUnavailable(CarawaywardError):
    """A peer could not be reached or did not answer in time."""


class PublishConflict(CarawaywardError):
    """Another publish took effect first."""

    def __init__(self, base_revision: int, in_force: int) -> None:
        super().__init__(
            f"the document is based on revision {base_revision}, but "
            f"revision {in_force} is in force; compare it with that one and "
            "publish again"
        )
        self.base_revision = base_revision
        self.in_force = in_force


class Unwell(CarawaywardError):
    """A diagnostic command found a problem; the message describes it."""


class PublishUnknown(CarawaywardError):
    """Whether a publish took effect could not be determined."""

    def __init__(self, publish_id: str, read_to: int) -> None:
        super().__init__(
            f"it is not known whether the log accepted publish {publish_id}: "
            f"reading on from offset {read_to} failed; run carawaywardctl "
            "show before you publish again"
        )
        self.publish_id = publish_id


class ConfigurationForgotten(CarawaywardError):
    """The log holds neither its first record nor a usable snapshot."""

    def __init__(self) -> None:
        super().__init__(
            "the log holds neither its first record nor a snapshot of the "
            "configuration in force; entry VMs append one within a quarter "
            "of the retention, so wait for that and publish again"
        )


class LedgerError(CarawaywardError):
    """An exported ledger is incomplete or invalid."""

    def __init__(self, field: str, found: object, remedy: str) -> None:
        super().__init__(f"ledger: {field}: found {found}; {remedy}")
        self.field = field
        self.remedy = remedy


class NotConfirmed(CarawaywardError):
    """Some entry VMs still have to confirm a revision.

    An entry VM whose lease has expired no longer has to.
    """

    def __init__(self, revision: int, waiting: list[str]) -> None:
        super().__init__(
            f"revision {revision} is not confirmed yet by "
            f"{', '.join(waiting)}; run the command again with --wait_s 15"
        )
        self.waiting = waiting
