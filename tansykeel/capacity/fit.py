"""Fits a straight line to the runs of a series and judges it by the largest size, which is kept out of the fit.

Ordinary least squares. A series is linear where the line through the smaller sizes predicts the largest one within
`MOST_ERROR_PERCENT`; it is called flat where the line's growth over the sizes is small beside its value. A series
that is not linear is described by its local exponent between its two largest sizes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from statistics import fmean, median

from tansykeel.capacity.errors import SlopeFileError
from tansykeel.capacity.records import Fit, HeldOut, Run

LEAST_SIZES = 4
MOST_ERROR_PERCENT = 15.0
FLAT_PERCENT = 15.0  # growth over all sizes, as a part of the largest value, under which a line counts as flat


def runs_of(samples: Iterable[tuple[float, float]]) -> tuple[Run, ...]:
    """One run for each size, of samples (size, value), in order of size."""
    values_by_size: dict[float, list[float]] = {}
    for size, value in samples:
        values_by_size.setdefault(float(size), []).append(float(value))
    return tuple(
        Run(size=size, value=median(values), lowest=min(values), highest=max(values), repetitions=len(values))
        for size, values in sorted(values_by_size.items())
    )


def line_through(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """The fixed part and the slope of the least-squares line through points of at least two sizes."""
    mean_size = fmean(size for size, _ in points)
    mean_value = fmean(value for _, value in points)
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in points) / spread
    return mean_value - slope * mean_size, slope


def percent_off(predicted: float, value: float) -> float:
    """How far a prediction is from a value, signed, as percent of the value."""
    if value == 0:
        return 0.0 if predicted == 0 else math.inf
    return 100 * (predicted - value) / abs(value)


def fit_of(runs: Sequence[Run], name: str) -> Fit:
    """The fit of a series. Raises SlopeFileError where there are too few sizes."""
    if len({run.size for run in runs}) < LEAST_SIZES:
        raise SlopeFileError(f"{len(runs)} sizes; legal: {LEAST_SIZES} at least", name)
    *fitted, largest = sorted(runs, key=lambda run: run.size)
    fixed, slope = line_through([(run.size, run.value) for run in fitted])
    predicted = fixed + slope * largest.size
    off = percent_off(predicted, largest.value)
    linear = abs(off) <= MOST_ERROR_PERCENT
    return Fit(
        fixed=fixed,
        slope=slope,
        error_percent=_error_percent(fitted, fixed, slope),
        held_out=HeldOut(size=largest.size, value=largest.value, predicted=predicted, error_percent=off),
        linear=linear,
        shape=_shape(fitted, largest, slope, linear),
    )


def _error_percent(fitted: Sequence[Run], fixed: float, slope: float) -> float:
    """The root mean square of what the line is off by, as percent of the mean value."""
    off = math.sqrt(fmean((fixed + slope * run.size - run.value) ** 2 for run in fitted))
    mean = abs(fmean(run.value for run in fitted))
    return 100 * off / mean if mean else 0.0


def _shape(fitted: Sequence[Run], largest: Run, slope: float, linear: bool) -> str:
    """What the series looks like, in a few words for the page."""
    if linear:
        growth = abs(slope) * (largest.size - fitted[0].size)
        return "flat" if growth <= abs(largest.value) * FLAT_PERCENT / 100 else "linear"
    before = fitted[-1]
    if before.size <= 0 or before.value <= 0 or largest.value <= 0:
        return f"not linear: {before.value:.4g} at {before.size:g}, {largest.value:.4g} at {largest.size:g}"
    exponent = math.log(largest.value / before.value) / math.log(largest.size / before.size)
    return f"not linear: grows as size^{exponent:.2f} from {before.size:g} to {largest.size:g}"
