"""Arithmetic of a report: quantiles, slopes, times that intervals leave uncovered."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from statistics import fmean

from msgspec import Struct

Interval = tuple[int, int]  # from, to; microseconds


class Spread(Struct, frozen=True, kw_only=True):
    """How values are spread over gateways."""

    count: int
    p50: float
    p99: float
    most: float


class Line(Struct, frozen=True, kw_only=True):
    """A straight line fitted to sizes and costs, and how well it predicts the largest size, which it was not given."""

    fixed: float
    slope: float
    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    largest_off: float  # (predicted - measured) / measured at the largest size


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the smallest of the ordered values that at least `share` of them do not pass."""
    return ordered[max(math.ceil(share * len(ordered)) - 1, 0)]


def spread_of(values: Iterable[float], digits: int = 3) -> Spread:
    """Return how values are spread; all 0 where there are none."""
    ordered = sorted(values)
    if not ordered:
        return Spread(count=0, p50=0.0, p99=0.0, most=0.0)
    return Spread(
        count=len(ordered),
        p50=round(quantile(ordered, 0.5), digits),
        p99=round(quantile(ordered, 0.99), digits),
        most=round(ordered[-1], digits),
    )


def fit_line(points: Iterable[tuple[float, float]]) -> Line | None:
    """Fit a line by least squares to all points but the largest, None where fewer than three sizes are there."""
    ordered = sorted(points)
    if len({size for size, _ in ordered}) < 3:
        return None
    fitted = ordered[:-1]
    size_mean = fmean(size for size, _ in fitted)
    cost_mean = fmean(cost for _, cost in fitted)
    variance = sum((size - size_mean) ** 2 for size, _ in fitted)
    slope = sum((size - size_mean) * (cost - cost_mean) for size, cost in fitted) / variance
    fixed = cost_mean - slope * size_mean
    largest_size, largest_cost = ordered[-1]
    predicted = fixed + slope * largest_size
    return Line(
        fixed=fixed,
        slope=slope,
        sizes=tuple(size for size, _ in ordered),
        costs=tuple(cost for _, cost in ordered),
        largest_off=predicted / largest_cost - 1 if largest_cost else 0.0,
    )


def merged(intervals: Iterable[Interval]) -> list[Interval]:
    """Return the same times as intervals in order that do not touch."""
    whole: list[Interval] = []
    for begin, end in sorted(interval for interval in intervals if interval[0] < interval[1]):
        if whole and begin <= whole[-1][1]:
            whole[-1] = whole[-1][0], max(whole[-1][1], end)
        else:
            whole.append((begin, end))
    return whole


def length(intervals: Iterable[Interval]) -> int:
    """Return how long intervals last together; times that two of them share count once."""
    return sum(end - begin for begin, end in merged(intervals))


def clipped(intervals: Iterable[Interval], bounds: Interval) -> list[Interval]:
    """Return the parts of intervals that lie within the bounds."""
    inside = [(max(begin, bounds[0]), min(end, bounds[1])) for begin, end in intervals]
    return [(begin, end) for begin, end in inside if begin < end]


def uncovered(present: Iterable[Interval], covered: Iterable[Interval]) -> int:
    """Return how much of the present times no covered interval holds."""
    covering = merged(covered)
    missing = 0
    for bounds in merged(present):
        missing += bounds[1] - bounds[0] - length(clipped(covering, bounds))
    return missing
