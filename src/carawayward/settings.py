"""The settings of an entry VM, read from YAML at start."""

import pathlib

import attrs

from carawayward import documents
from carawayward import errors


@attrs.frozen(kw_only=True)
class Listen:
    """Addresses that this entry VM listens on, as ``ip:port``."""

    callers: str
    peers: str
    operators: str


@attrs.frozen(kw_only=True)
class PlatformUrls:
    """Base URLs of the platform's services."""

    log: str
    vms: str
    ratings: str = ""
    weights: str = ""


@attrs.frozen(kw_only=True)
class Keys:
    """Secrets, newest first; two of each during a rotation."""

    tokens: list[str]
    peers: list[str]
    operators: list[str]


@attrs.frozen(kw_only=True)
class Tls:
    """Paths of a listener's certificate and key as PEM files.

    With ``client_ca`` clients must present a certificate of that CA.
    """

    certificate: str
    key: str
    client_ca: str = ""


@attrs.frozen(kw_only=True)
class TlsListeners:
    """TLS of each listener; a listener without it uses plain TCP."""

    callers: Tls | None = None
    peers: Tls | None = None
    operators: Tls | None = None


@attrs.frozen(kw_only=True)
class Limits:
    """Limits that keep one caller or one fault from exhausting the VM."""

    max_body_bytes: int = 1_000_000
    body_timeout_ms: int = 10_000
    caller_silence_ms: int = 20_000
    idle_connection_ms: int = 30_000
    default_deadline_ms: int = 60_000
    max_deadline_ms: int = 600_000
    link_silence_ms: int = 2_000
    engine_silence_ms: int = 15_000
    service_timeout_ms: int = 10_000
    max_waiting: int = 2_000
    bills_buffered: int = 20_000


@attrs.frozen(kw_only=True)
class Resources:
    """What the process may take of its machine.

    Without ``memory_mb`` (0) the defaults are those of a small machine. The
    process's own limit of descriptors applies too.
    """

    memory_mb: float = 0.0
    descriptors: int = 0


@attrs.frozen(kw_only=True)
class Stop:
    """Times of a planned stop."""

    unready_ms: int = 1_000
    deadline_ms: int = 30_000


@attrs.frozen(kw_only=True)
class Agreed:
    """Times that must be the same on all entry VMs of a deployment.

    ``log_retention_ms`` is the minimum time for which the platform's log
    keeps a record, ``clock_skew_ms`` is the maximum difference between two
    machines' clocks, and ``key_window_ms`` is the maximum age of a caller's
    own key.
    """

    log_retention_ms: int = 86_400_000
    clock_skew_ms: int = 2_000
    key_window_ms: int = 3_600_000
    freshness_lease_ms: int = 12_000


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one entry VM."""

    name: str
    failure_domain: str
    listen: Listen
    platform: PlatformUrls
    keys: Keys
    peers: list[str] = attrs.field(factory=list)
    # Maps the address that a peer announces to the address to dial, for
    # peers behind address translation.
    peer_routes: dict[str, str] = attrs.field(factory=dict)
    limits: Limits = attrs.field(factory=Limits)
    resources: Resources = attrs.field(factory=Resources)
    stop: Stop = attrs.field(factory=Stop)
    tls: TlsListeners = attrs.field(factory=TlsListeners)
    agreed: Agreed = attrs.field(factory=Agreed)
    statsd: str = ""
    log_level: str = "info"

    @classmethod
    def from_config(cls, text: str) -> "Settings":
        """Parse and check YAML text."""
        error = errors.SettingsError
        data = documents.parse_yaml(text, error)
        settings = documents.structure(cls, data, error)
        check_settings(settings)
        return settings

    @classmethod
    def from_file(cls, path: str) -> "Settings":
        """Read, parse and check a settings file."""
        return cls.from_config(read_settings_file(path))


def read_settings_file(path: str) -> str:
    """Read a settings file; raise SettingsError if it is not readable."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        raise errors.SettingsError(
            "(file)", path, f"name a readable YAML file: {cause}"
        ) from None


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``; raise ValueError if it is malformed."""
    host, separator, port = address.rpartition(":")
    is_number = port.isascii() and port.isdecimal()
    if not separator or not host or not is_number:
        raise ValueError(f"{address!r} is not ip:port")
    if not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} has no valid port")
    return host.strip("[]"), int(port)


def check_settings(settings: Settings) -> None:
    """Check what the types alone do not ensure."""
    addresses = {
        "listen.callers": settings.listen.callers,
        "listen.peers": settings.listen.peers,
        "listen.operators": settings.listen.operators,
    }
    addresses |= {f"peers[{i}]": a for i, a in enumerate(settings.peers)}
    addresses |= {
        f"peer_routes[{announced}]": dialled
        for announced, dialled in settings.peer_routes.items()
    }
    for field, address in addresses.items():
        check_address(field, address)
    if settings.statsd:
        check_address("statsd", settings.statsd)
    for field in ("log", "vms", "ratings", "weights"):
        check_url(f"platform.{field}", getattr(settings.platform, field))
    for field in ("tokens", "peers", "operators"):
        check_keys(f"keys.{field}", getattr(settings.keys, field))
    for group in ("limits", "stop", "agreed"):
        for field, value in attrs.asdict(getattr(settings, group)).items():
            if value <= 0:
                raise errors.SettingsError(
                    f"{group}.{field}", value, "write a number above 0"
                )
    check_resources(settings.resources)
    for field in ("callers", "peers", "operators"):
        check_tls(f"tls.{field}", getattr(settings.tls, field))
    check_agreed(settings.agreed)
    if not settings.name or not settings.failure_domain:
        raise errors.SettingsError(
            "name, failure_domain", "", "give this entry VM both"
        )


def check_resources(resources: Resources) -> None:
    """Check that no resource is negative."""
    for field, value in attrs.asdict(resources).items():
        if not 0 <= value < float("inf"):
            raise errors.SettingsError(
                f"resources.{field}", value, "write a number, 0 or more"
            )


def check_agreed(agreed: Agreed) -> None:
    """Check that the log keeps a key's first claim for long enough."""
    limit_ms = agreed.log_retention_ms // 4
    if agreed.key_window_ms + 2 * agreed.clock_skew_ms > limit_ms:
        raise errors.SettingsError(
            "agreed.key_window_ms",
            agreed.key_window_ms,
            f"keep it plus twice the clock skew within {limit_ms} ms, a "
            "quarter of agreed.log_retention_ms",
        )


def check_address(field: str, address: str) -> None:
    """Check an ``ip:port`` field."""
    try:
        split_address(address)
    except ValueError:
        raise errors.SettingsError(
            field, address, "write ip:port, such as 10.0.0.4:7000"
        ) from None


def check_url(field: str, url: str) -> None:
    """Check a base URL; it may be empty if it is optional."""
    if url and not url.startswith(("http://", "https://")):
        raise errors.SettingsError(
            field, url, "write a URL, such as http://10.0.0.9:8100"
        )


def check_keys(field: str, keys: list[str]) -> None:
    """Check a list of secrets."""
    if not 1 <= len(keys) <= 2:
        raise errors.SettingsError(
            field, f"{len(keys)} keys", "give one key, or two to rotate"
        )
    if any(len(key) < 16 for key in keys):
        raise errors.SettingsError(
            field, "a short key", "use at least 16 random characters"
        )


def check_tls(field: str, tls: Tls | None) -> None:
    """Check that a listener's PEM files exist."""
    if tls is None:
        return
    for name in ("certificate", "key", "client_ca"):
        path = getattr(tls, name)
        if (path or name != "client_ca") and not pathlib.Path(path).is_file():
            raise errors.SettingsError(
                f"{field}.{name}", path, "name a readable PEM file"
            )
