"""Settings of an entry VM that serves forwarded routes."""

import math
import re

import attrs

from carawayward import documents
from carawayward import errors
from carawayward import events
from carawayward import settings as settings_module

SECONDS = re.compile(r"([-+]?[0-9.]+(?:[eE][-+]?[0-9]+)?) s")


@attrs.frozen(kw_only=True)
class Listen:
    """Addresses that this entry VM listens on, as ``ip:port``.

    ``peers`` takes the datagrams (UDP) and relays (TCP) of other entry VMs.
    Metrics are served if their address is set.
    """

    callers: str
    readiness: str
    peers: str
    metrics: str = ""


@attrs.frozen(kw_only=True)
class Store:
    """The platform's store; an empty address means none."""

    address: str


@attrs.frozen(kw_only=True)
class Bounds:
    """Guarantees that the deployment gives its users; times in ms.

    ``key_lease_ms`` is the time after the removal of a key during which a
    request with it may still run; ``grace_ms`` is the time between the signal
    to stop and the forced end of the process; ``drain_ms`` is how long a
    leaving endpoint still accepts work. A new configuration has to be in force
    within ``apply_ms``, an evacuation within ``evacuate_ms``. In one second, a
    cold endpoint gets at most ``cold_overshoot`` times what it can handle,
    plus ``cold_slack`` requests. If ``keys_fail_closed`` is false, keys are
    accepted however old the table is.
    """

    key_lease_ms: float = 5_000.0
    keys_fail_closed: bool = True
    grace_ms: float = 8_000.0
    drain_ms: float = 2_000.0
    apply_ms: float = 2_000.0
    rollback_ms: float = 5_000.0
    session_ms: float = 5_000.0
    retry_ratio: float = 0.9
    retry_window_ms: float = 10_000.0
    retry_slack: float = 58.0
    exposure_share: float = 0.15
    exposure_slack: float = 30.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    evacuate_ms: float = 5_000.0


@attrs.frozen(kw_only=True)
class ForwardingSettings:
    """All settings of one entry VM that serves forwarded routes.

    With ``load_shedding``, requests are let in by rank and customer while
    engines are behind; with ``plain_room``, those to services without engines
    are placed and refused by what all entry VMs have in flight there.
    ``link_mbps`` is the rate of the network link, 0 if it is not known.
    """

    name: str
    failure_domain: str
    listen: Listen
    store: Store
    bounds: Bounds = attrs.field(factory=Bounds)
    resources: settings_module.Resources = attrs.field(
        factory=settings_module.Resources
    )
    heartbeat_ms: float = 1_200.0
    link_mbps: float = 0.0
    load_shedding: bool = False
    plain_room: bool = False
    log_level: str = "info"

    @classmethod
    def from_config(cls, text: str) -> "ForwardingSettings":
        """Parse and validate YAML text.

        Bounds without a value keep their defaults: a deployment may have none
        for what it does not use. Times may be given in seconds: "8.5 s".
        """
        error = errors.SettingsError
        data = _prepare_bounds(documents.parse_yaml(text, error))
        settings = documents.structure(cls, data, error)
        for field, address in (
            ("listen.callers", settings.listen.callers),
            ("listen.readiness", settings.listen.readiness),
            ("listen.peers", settings.listen.peers),
            ("store.address", settings.store.address),
        ):
            settings_module.check_address(field, address)
        if settings.listen.metrics:
            settings_module.check_address(
                "listen.metrics", settings.listen.metrics
            )
        numbers = {
            f"bounds.{field}": value
            for field, value in attrs.asdict(settings.bounds).items()
        }
        numbers["heartbeat_ms"] = settings.heartbeat_ms
        numbers["link_mbps"] = settings.link_mbps
        for field, value in numbers.items():
            if not 0 <= value < math.inf:
                raise error(field, value, "write a number, 0 or more")
        settings_module.check_resources(settings.resources)
        if not settings.name or not settings.failure_domain:
            raise error(
                "name, failure_domain", "", "set both for this entry VM"
            )
        return settings

    @classmethod
    def from_file(cls, path: str) -> "ForwardingSettings":
        """Read, parse and validate a settings file."""
        return cls.from_config(settings_module.read_settings_file(path))


def _prepare_bounds(data: object) -> object:
    """Convert the bounds of parsed YAML to numbers in ms.

    Those without a value are removed and logged.
    """
    if not isinstance(data, dict) or not isinstance(data.get("bounds"), dict):
        return data
    bounds = {}
    for field, value in data["bounds"].items():
        if value is None:
            name = f"bounds.{field}"
            events.log_event(events.Event.SETTING_UNSET, field=name)
        else:
            bounds[field] = _convert_seconds(value)
    return {**data, "bounds": bounds}


def _convert_seconds(value: object) -> object:
    """Convert a text like "8.5 s" to ms; return anything else as it is."""
    if isinstance(value, str) and (found := SECONDS.fullmatch(value)):
        return float(found[1]) * 1000.0
    return value
