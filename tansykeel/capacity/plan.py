"""Works out a deployment's figures from slopes, and holds the sums of them against the bounds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from tansykeel.capacity.drivers import STEADY, Drivers, drivers_of
from tansykeel.capacity.errors import MissingDriverError
from tansykeel.capacity.records import Slope, SlopeFile
from tansykeel.capacity.target import BadHour, Bound, Target

FAR = 1.25  # times the largest measured size, beyond which a figure says how far the line is drawn on


class Verdict(StrEnum):
    """How a sum stands to its bound."""

    FITS = "fits"
    OVER = "OVER"
    UNKNOWN = "not known"


@dataclass(frozen=True, slots=True)
class Figure:
    """What one slope gives at the deployment's size; no value where it is not known there, `note` says why."""

    slope: Slope
    size: float
    value: float | None
    note: str = ""


@dataclass(frozen=True, slots=True)
class Sum:
    """The figures of one bound and one mechanism together. Without figures nothing was measured for the bound."""

    bound: Bound
    mechanism: str
    figures: tuple[Figure, ...]

    @property
    def value(self) -> float | None:
        """The sum; None where a part of it is not known, or nothing was measured."""
        values = [figure.value for figure in self.figures if figure.value is not None]
        return sum(values) if values and len(values) == len(self.figures) else None

    @property
    def head_room_percent(self) -> float | None:
        """What is left of the bound; negative where it is passed."""
        return None if self.value is None else 100 * (1 - self.value / self.bound.limit)

    @property
    def verdict(self) -> Verdict:
        """A known part that passes the bound alone is over, whatever the rest is."""
        known = sum(figure.value for figure in self.figures if figure.value is not None)
        if known > self.bound.limit:
            return Verdict.OVER
        return Verdict.UNKNOWN if self.value is None else Verdict.FITS


@dataclass(frozen=True, slots=True)
class HourPlan:
    """A plan's sums in one hour, quiet or bad."""

    hour: BadHour
    drivers: Drivers
    figures: tuple[Figure, ...]
    sums: tuple[Sum, ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """What the slopes give for a target: in the quiet hour, then in each bad one."""

    target: Target
    hours: tuple[HourPlan, ...]

    @property
    def steady(self) -> HourPlan:
        """The quiet hour."""
        return self.hours[0]


def plan_of(kept: SlopeFile, target: Target) -> Plan:
    """Work a target out. Raises MissingDriverError where a slope grows by a number that the target does not give."""
    return Plan(target, tuple(_hour(kept, target, hour) for hour in (STEADY, *target.bad_hours)))


def _hour(kept: SlopeFile, target: Target, hour: BadHour) -> HourPlan:
    drivers = drivers_of(target, hour)
    figures = tuple(figure_of(slope, drivers) for slope in kept.slopes)
    sums = tuple(total for bound in target.bounds for total in _sums(bound, figures))
    return HourPlan(hour, drivers, figures, sums)


def _sums(bound: Bound, figures: tuple[Figure, ...]) -> tuple[Sum, ...]:
    mine = [figure for figure in figures if figure.slope.series.bound == bound.name]
    mechanisms = dict.fromkeys(figure.slope.series.mechanism for figure in mine)
    if not mechanisms:
        return (Sum(bound, "", ()),)
    return tuple(
        Sum(bound, mechanism, tuple(figure for figure in mine if figure.slope.series.mechanism == mechanism))
        for mechanism in mechanisms
    )


def figure_of(slope: Slope, drivers: Drivers) -> Figure:
    """What a slope gives for these drivers. Raises MissingDriverError."""
    series = slope.series
    size = _driver(slope, series.grows_by, drivers)
    times = _driver(slope, series.times, drivers) if series.times else 1.0
    growth, note = _growth(slope, size)
    if growth is None:
        return Figure(slope, size, None, note)
    fixed = _fixed(slope) if series.counts_fixed else 0.0
    return Figure(slope, size, series.factor * times * (fixed + growth), note)


def _driver(slope: Slope, name: str, drivers: Drivers) -> float:
    if name not in drivers:
        raise MissingDriverError(
            f"grows by {name!r}, which the target does not give; given: {', '.join(sorted(drivers))}",
            f"slope {slope.series.name!r}",
        )
    return drivers[name]


def _fixed(slope: Slope) -> float:
    """Of a series that is not linear, what it is at its smallest size."""
    return slope.fit.fixed if slope.fit.linear else slope.runs[0].value


def _growth(slope: Slope, size: float) -> tuple[float | None, str]:
    """What comes on top of the fixed part, and a note where it is not worked out by the line."""
    runs = sorted(slope.runs, key=lambda run: run.size)
    if slope.fit.linear:
        return slope.fit.slope * size, _beyond(size, runs[-1].size)
    if size < runs[0].size or size > runs[-1].size:
        return None, f"{slope.fit.shape}; measured up to {runs[-1].size:g}"
    for before, after in zip(runs, runs[1:], strict=False):
        if size <= after.size:
            part = (size - before.size) / (after.size - before.size)
            value = before.value + part * (after.value - before.value)
            return value - runs[0].value, f"{slope.fit.shape}; between the runs at {before.size:g} and {after.size:g}"
    raise AssertionError("a size within the runs lies between two of them")


def _beyond(size: float, largest: float) -> str:
    """A note where a line is drawn on far beyond its runs."""
    return f"{size / largest:.1f} times the largest size measured" if size > FAR * largest else ""
