"""What days came to, what a comparison of pairs allows to say, how a day is cut down: without I/O."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from statistics import median
from typing import Any, NamedTuple

import numpy

RESAMPLES = 4_000
LEVEL = 0.95  # of the interval
LEAST_PAIRS = 4  # under this nothing is told apart


class Figures(NamedTuple):
    """What days of one script, version and parameters came to over their seeds. `kept`: days that broke no rule."""

    script: str
    version: str
    params: str
    days: int
    service: float  # median
    least: float
    most: float
    worst_10s: float  # median
    p99: float  # milliseconds, median
    cold_most: float  # the most of any day
    kept: int


def figures_of(rows: Iterable[dict[str, Any]]) -> list[Figures]:
    """Figures of a project's rows, in the order in which their groups come."""
    groups: dict[tuple[str, str, str], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault((row["script"], row["version"], row["params"]), []).append(row)
    found = []
    for names, days in groups.items():
        services = [day["service"] for day in days]
        found.append(
            Figures(
                *names,
                len(days),
                median(services),
                min(services),
                max(services),
                median(day["worst_10s"] for day in days),
                median(day["p99"] or 0.0 for day in days),
                max(day["cold_most"] for day in days),
                sum(day["kept"] for day in days),
            )
        )
    return found


class Interval(NamedTuple):
    """Mean difference, second less first, and its interval by bootstrap over the pairs."""

    mean: float
    low: float
    high: float
    pairs: int

    @property
    def verdict(self) -> str:
        if self.pairs < LEAST_PAIRS or self.low <= 0.0 <= self.high:
            return "not told apart"
        return "better" if self.low > 0 else "worse"


def interval(first: Sequence[float], second: Sequence[float], seed: int = 1) -> Interval:
    """Of pairs that share script, parameters and seed. Raises ValueError where they are not pairs."""
    if len(first) != len(second) or not first:
        raise ValueError(f"{len(first)} and {len(second)} days; legal: as many of both, one or more")
    gaps = numpy.asarray(second) - numpy.asarray(first)
    draw = numpy.random.Generator(numpy.random.PCG64(seed))
    means = gaps[draw.integers(len(gaps), size=(RESAMPLES, len(gaps)))].mean(axis=1)
    low, high = numpy.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return Interval(float(gaps.mean()), float(low), float(high), len(gaps))


def grid(axes: Mapping[str, Sequence[Any]]) -> Iterator[dict[str, Any]]:
    """Every combination, the first axis moving slowest."""
    for values in itertools.product(*axes.values()):
        yield dict(zip(axes, values, strict=True))


def shrink(
    least: Mapping[str, Any], found: Mapping[str, Any], shows: Callable[[dict[str, Any]], bool], most: int
) -> dict[str, Any]:
    """Cut a day's parameters down towards their least while it still shows what was found.

    Each parameter is first set to its least whole, then moved by halves; at most `most` days are tried.
    """
    now = dict(found)
    tried = 0
    for halves in (1, 2, 3, 4):
        for name, low in least.items():
            here = now[name]
            if here == low or tried >= most:
                continue
            part = low if halves == 1 else low + (here - low) * (0.5 if halves < 4 else 0.75)
            candidate = int(round(part)) if isinstance(low, int) and isinstance(here, int) else part
            if candidate == here:
                continue
            tried += 1
            if shows(now | {name: candidate}):
                now[name] = candidate
    return now
