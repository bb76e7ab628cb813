"""Measures values at several sizes and fits straight lines to them."""

import gc
import time
import tracemalloc
import typing

import attrs
import numpy

REPEATS = 5


@attrs.frozen
class Line:
    """The fit y = base + slope * x; y is in ``unit``, x counts ``per``.

    ``error`` is the largest residual as a share of the largest value.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    base: float
    slope: float
    error: float

    def at(self, size: float) -> float:
        """The fitted value at a size."""
        return self.base + self.slope * size


def fit(
    name: str, unit: str, per: str, points: list[tuple[float, float]]
) -> Line:
    """Fit a line to ``points`` by least squares."""
    sizes = numpy.array([point[0] for point in points])
    values = numpy.array([point[1] for point in points])
    slope, base = numpy.polyfit(sizes, values, 1)
    misses = numpy.abs(values - (base + slope * sizes))
    error = float(misses.max() / max(values.max(), 1e-12))
    return Line(
        name, unit, per, tuple(points), float(base), float(slope), error
    )


def time_ms(action: typing.Callable[[], object]) -> float:
    """Measure the CPU time of an action in ms, as the minimum of some runs.

    The minimum, since other load on the machine can only add to the time.
    """
    best = float("inf")
    for _ in range(REPEATS):
        began = time.process_time()
        action()
        best = min(best, (time.process_time() - began) * 1000)
    return best


def measure_kb(build: typing.Callable[[], object]) -> float:
    """Measure the memory that a built value retains, in kB."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    size = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    del kept
    return size


def measure(
    name: str,
    unit: str,
    per: str,
    sizes: typing.Sequence[int],
    value_at: typing.Callable[[int], float],
) -> Line:
    """Measure at each size and fit a line."""
    return fit(name, unit, per, [(size, value_at(size)) for size in sizes])


def format_lines(lines: typing.Iterable[Line]) -> str:
    """Format fitted lines as a Markdown table."""
    rows = [
        "| what | sizes | base | slope | worst miss |",
        "|---|---|---|---|---|",
    ]
    for line in lines:
        sizes = ", ".join(f"{point[0]:g}" for point in line.points)
        rows.append(
            f"| {line.name} | {sizes} | {line.base:.4g} {line.unit} "
            f"| {line.slope:.4g} {line.unit} / {line.per} "
            f"| {line.error:.1%} |"
        )
    return "\n".join(rows)
