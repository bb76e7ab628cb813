"""Commands that query running entry VMs: status, top, histogram."""

import json
import os
import typing

from hdrh import histogram as hdr
import httpcore

from carawayward import errors
from carawayward import metrics

KEY_VARIABLE = "CARAWAYWARD_OPERATOR_KEY"
TIMEOUT_S = 5.0
BAR_WIDTH = 40


def status(node: str, key: str = "") -> str:
    """Print an entry VM's state, its peers, roll-outs and endpoints.

    Args:
        node: address of an entry VM's operators' listener, ip:port.
        key: operators' key; by default from CARAWAYWARD_OPERATOR_KEY.
    """
    return format_status(fetch_json(node, "/v1/status", key))


def top(*nodes: str, metric: str = "latency", key: str = "") -> str:
    """Print percentiles per customer and class, highest p99 first.

    Args:
        nodes: addresses of entry VMs' operators' listeners, ip:port;
            their histograms are merged.
        metric: latency, first_token, between_tokens, queue_wait or cost.
        key: operators' key; by default from CARAWAYWARD_OPERATOR_KEY.
    """
    merged = merge_histograms(fetch_histogram_rows(nodes, key), metric)
    lines = [f"{'customer':<20}{'class':<20}{'count':>8}{'p50':>9}{'p95':>9}"]
    lines[0] += f"{'p99':>9}{'max':>9}"
    ranked = sorted(
        merged.items(), key=lambda item: -item[1].get_value_at_percentile(99)
    )
    for (customer, kind), total in ranked:
        marks = [total.get_value_at_percentile(p) for p in (50, 95, 99)]
        columns = "".join(f"{m:>9}" for m in [*marks, total.get_max_value()])
        count = total.get_total_count()
        lines.append(f"{customer:<20}{kind:<20}{count:>8}{columns}")
    return "\n".join(lines)


def histogram(
    *nodes: str,
    customer: str = "",
    kind: str = "",
    metric: str = "latency",
    key: str = "",
) -> str:
    """Print a histogram as a bar chart, merged over entry VMs.

    Args:
        nodes: addresses of entry VMs' operators' listeners, ip:port.
        customer: only this customer; all by default.
        kind: only this task or service; all by default.
        metric: latency, first_token, between_tokens, queue_wait or cost.
        key: operators' key; by default from CARAWAYWARD_OPERATOR_KEY.
    """
    total = make_histogram(metric)
    for (of, what), part in merge_histograms(
        fetch_histogram_rows(nodes, key), metric
    ).items():
        if customer in ("", of) and kind in ("", what):
            total.add(part)
    return format_histogram(total)


def fetch_json(node: str, path: str, key: str) -> typing.Any:
    """Fetch JSON from an entry VM's operators' listener."""
    key = key or os.environ.get(KEY_VARIABLE, "")
    names = ("connect", "read", "write", "pool")
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                "GET",
                f"http://{node}{path}",
                headers={"Authorization": f"Bearer {key}"},
                extensions={"timeout": dict.fromkeys(names, TIMEOUT_S)},
            )
    except (httpcore.NetworkError, httpcore.TimeoutException) as cause:
        raise errors.PeerUnavailable(
            f"entry VM {node} does not answer ({type(cause).__name__}); "
            "check the address, or run carawaywardctl doctor on it"
        ) from None
    if response.status == 401:
        raise errors.NotAuthenticated(
            f"set {KEY_VARIABLE} or --key to a key of keys.operators"
        )
    return json.loads(response.content)


def fetch_histogram_rows(nodes: tuple[str, ...], key: str) -> list[dict]:
    """Fetch the histogram rows of several entry VMs."""
    if not nodes:
        raise errors.BadRequest(
            "nodes",
            "none",
            "give the operators' address of at least one entry VM",
        )
    return [row for n in nodes for row in fetch_json(n, "/v1/histograms", key)]


def make_histogram(metric: str) -> hdr.HdrHistogram:
    """Make an empty histogram for a metric, given by its label."""
    for each in metrics.Metric:
        if each.label == metric:
            return hdr.HdrHistogram(
                1, each.max_value, metrics.SIGNIFICANT_DIGITS
            )
    names = ", ".join(each.label for each in metrics.Metric)
    raise errors.BadRequest("metric", metric, f"name one of: {names}")


def merge_histograms(
    rows: list[dict], metric: str
) -> dict[tuple[str, str], hdr.HdrHistogram]:
    """Merge the rows of one metric by customer and class."""
    merged: dict[tuple[str, str], hdr.HdrHistogram] = {}
    for row in rows:
        if row["metric"] == metric:
            key = (row["customer"], row["class"])
            total = merged.setdefault(key, make_histogram(metric))
            total.decode_and_add(row["encoded"])
    return merged


def format_histogram(total: hdr.HdrHistogram) -> str:
    """Format a histogram as text, one bar per power of two."""
    bounds: list[int] = [1]
    while bounds[-1] < max(1, total.get_max_value()):
        bounds.append(bounds[-1] * 2)
    counts = [0] * len(bounds)
    for item in total.get_recorded_iterator():
        value = item.value_iterated_to
        slot = next(i for i, b in enumerate(bounds) if value <= b * 1.01)
        counts[slot] += item.count_added_in_this_iter_step
    max_count = max([1, *counts])
    lines = []
    for bound, count in zip(bounds, counts, strict=True):
        bar = "#" * round(BAR_WIDTH * count / max_count)
        lines.append(f"<= {bound:>8} {count:>8} {bar}")
    return "\n".join(lines)


def format_rollout(trial: dict) -> str:
    """Format a roll-out's state as one line."""
    halted = f" ({trial['halted']})" if trial["halted"] else ""
    return (
        f"roll-out {trial['name']}: {trial['state']}{halted}, "
        f"{100 * trial['share']:g}% to {trial['to_version']}, "
        f"{trial['good']} good and {trial['bad']} bad ratings, "
        f"{trial['outstanding']} of {trial['budget']} answers out"
    )


def format_status(body: dict) -> str:
    """Format the body of /v1/status as text."""
    fresh = "fresh" if body["fresh"] else "CUT OFF: not heard from the log"
    lines = [
        f"{body['name']} ({body['failure_domain']}): {body['state']}, "
        f"revision {body['revision']}, {fresh}, {body['running']} running",
        "",
        f"{'entry VM':<20}{'domain':<12}{'revision':>9}{'heard':>10}",
    ]
    for vm in body["entry_vms"]:
        leaving = " leaving" if vm["leaving"] else ""
        lines.append(
            f"{vm['name']:<20}{vm['failure_domain']:<12}{vm['revision']:>9}"
            f"{vm['heard_age_ms']:>7} ms{leaving}"
        )
    for trial in body["rollouts"]:
        lines += ["", format_rollout(trial)]
    lines += ["", f"{'endpoint':<20}{'pool':<14}{'running':>8}{'load':>7}"]
    for endpoint in body["endpoints"]:
        leaving = " leaving" if endpoint["leaving"] else ""
        versions = ", ".join(endpoint["versions"])
        lines.append(
            f"{endpoint['name']:<20}{endpoint['pool']:<14}"
            f"{endpoint['in_flight']:>8}{endpoint['reported_load']:>7.0f}"
            f"  {versions}{leaving}"
        )
    lines += ["", "counters:"]
    counters = sorted(body["counters"].items())
    lines += [f"  {name:<40}{value:>10.0f}" for name, value in counters]
    return "\n".join(lines)
