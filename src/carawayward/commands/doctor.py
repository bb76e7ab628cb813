"""carawaywardctl doctor: checks what an entry VM depends on."""

import email.utils
import json
import socket
import ssl
import time
import typing

import attrs
import httpcore

from carawayward import errors
from carawayward import settings as settings_module

TIMEOUT_S = 3.0
# Tickets and claims compare wall clocks and allow for 5 s of skew.
MAX_SKEW_S = 2.5


@attrs.frozen
class Finding:
    """Result of one check; the remedy is for a failed one."""

    subject: str
    good: bool
    detail: str
    remedy: str = ""


def doctor(settings: str) -> str:
    """Check an entry VM's settings, platform, clock, peers and endpoints.

    Prints one line per check. Exits with 1 if a check fails.

    Args:
        settings: path of an entry VM's settings file.
    """
    checked = settings_module.Settings.from_file(settings)
    findings = [Finding("settings", True, f"{settings} is valid")]
    findings += check_addresses(checked)
    findings += check_platform(checked)
    findings += check_peers(checked)
    findings += check_endpoints(checked)
    text = "\n".join(map(format_finding, findings))
    if not all(finding.good for finding in findings):
        raise errors.Unwell(text)
    return text


def format_finding(finding: Finding) -> str:
    """Format a finding as a line, and its remedy as a second one."""
    mark = "ok  " if finding.good else "BAD "
    remedy = f"\n     -> {finding.remedy}" if finding.remedy else ""
    return f"{mark} {finding.subject}: {finding.detail}{remedy}"


def check_addresses(
    settings: settings_module.Settings,
) -> typing.Iterator[Finding]:
    """Check that each listener's address belongs to this machine."""
    listen = settings.listen
    for name in ("callers", "peers", "operators"):
        address = getattr(listen, name)
        host, _ = settings_module.split_address(address)
        try:
            with socket.socket() as probe:
                probe.bind((host, 0))
        except OSError as fault:
            yield Finding(
                f"listen.{name}",
                False,
                f"{address}: {fault.strerror}",
                "use an address of this machine",
            )
        else:
            yield Finding(f"listen.{name}", True, address)


def check_platform(
    settings: settings_module.Settings,
) -> typing.Iterator[Finding]:
    """Check that platform services answer and that clocks agree."""
    probes = {
        "log": "/streams/configuration/records?from=1&limit=1&wait_ms=0",
        "vms": "/vms",
        "ratings": "/",
        "weights": "/",
    }
    for name, path in probes.items():
        url = getattr(settings.platform, name)
        if not url:
            yield Finding(f"platform.{name}", True, "not set, not used")
            continue
        yield from probe_service(f"platform.{name}", url + path)


def probe_service(subject: str, url: str) -> typing.Iterator[Finding]:
    """Check a service's status and, if it sends a Date, its clock."""
    try:
        response = fetch(url)
    except (httpcore.NetworkError, httpcore.TimeoutException) as fault:
        yield Finding(
            subject,
            False,
            f"no answer ({type(fault).__name__})",
            "check the URL, routes and firewall; until then the entry VM "
            "uses what it last received",
        )
        return
    good = response.status < 500
    remedy = "" if good else 'see "platform down" in OPERATIONS'
    yield Finding(subject, good, f"status {response.status}", remedy)
    skew_s = compute_skew_s(response)
    if skew_s is not None:
        remedy = "" if abs(skew_s) <= MAX_SKEW_S else "set this clock by NTP"
        yield Finding(
            f"{subject} clock",
            not remedy,
            f"{skew_s:+.1f} s from ours",
            remedy,
        )


def compute_skew_s(response: httpcore.Response) -> float | None:
    """Return by how many seconds the service's Date is ahead of us."""
    for name, value in response.headers:
        if name.lower() == b"date":
            date = email.utils.parsedate_to_datetime(value.decode())
            return date.timestamp() - time.time()
    return None


def check_peers(
    settings: settings_module.Settings,
) -> typing.Iterator[Finding]:
    """Check that each configured peer accepts connections."""
    for address in settings.peers:
        if address != settings.listen.peers:
            yield probe_port(f"peer {address}", address)


def check_endpoints(
    settings: settings_module.Settings,
) -> typing.Iterator[Finding]:
    """Check that listed endpoints that are not leaving accept connections.

    Yields nothing if the list cannot be read: check_platform reports a
    service that does not answer.
    """
    try:
        listed = fetch(settings.platform.vms + "/vms")
        vms = json.loads(listed.content)["vms"]
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        ValueError,
        KeyError,
        TypeError,
    ):
        return
    for vm in vms:
        if vm.get("role") == "endpoint" and not vm.get("leaving"):
            yield probe_port(f"endpoint {vm['name']}", vm["address"])


def probe_port(subject: str, address: str) -> Finding:
    """Check that something accepts connections at an address."""
    try:
        host_and_port = settings_module.split_address(address)
        socket.create_connection(host_and_port, TIMEOUT_S).close()
    except (OSError, ValueError) as fault:
        return Finding(
            subject,
            False,
            f"{address}: {fault}",
            "start it, correct its address, or check routes and firewall",
        )
    return Finding(subject, True, f"{address} accepts connections")


def fetch(url: str) -> httpcore.Response:
    """Send a GET with a timeout on each step."""
    names = ("connect", "read", "write", "pool")
    with httpcore.ConnectionPool(
        ssl_context=ssl.create_default_context()
    ) as pool:
        return pool.request(
            "GET", url, extensions={"timeout": dict.fromkeys(names, TIMEOUT_S)}
        )
