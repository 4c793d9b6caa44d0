"""Reads and writes the file of slopes (TOML)."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from tansykeel.capacity.errors import SlopeFileError
from tansykeel.capacity.fit import fit_of
from tansykeel.capacity.records import SLOPE_FILE_FORMAT, SeriesSpec, Slope, SlopeFile

HEAD = (
    "# Written by `tansykeel capacity measure`; not edited by hand. Figures from processes on one machine's loopback.\n"
)
SIGNIFICANT_DIGITS = 6
SAME_FIT = 1e-3  # relative: a kept fit and one worked out again from the kept runs differ by rounding alone


def parsed(text: str, where: str) -> SlopeFile:
    """The slopes that a text holds. Raises SlopeFileError for anything else, also for a fit that its runs deny."""
    try:
        kept = msgspec.convert(tomllib.loads(text), SlopeFile)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SlopeFileError(str(error), where) from None
    if kept.format != SLOPE_FILE_FORMAT:
        raise SlopeFileError(f"format {kept.format}; legal: {SLOPE_FILE_FORMAT}", where)
    names = [slope.series.name for slope in kept.slopes]
    for name in names:
        if names.count(name) > 1:
            raise SlopeFileError(f"slope {name!r} is there twice; legal: each name once", where)
    for slope in kept.slopes:
        _check_fit(slope, where)
    return kept


def _check_fit(slope: Slope, where: str) -> None:
    """Guards against a fit that was edited, or left behind when its runs were."""
    again = fit_of(slope.runs, slope.series.name)
    largest = max(abs(run.value) for run in slope.runs)
    for kept, made in (
        (slope.fit.fixed, again.fixed),
        (slope.fit.fixed + slope.fit.slope * again.held_out.size, again.held_out.predicted),
    ):
        if abs(kept - made) > SAME_FIT * max(largest, 1e-12):
            raise SlopeFileError(f"the fit of {slope.series.name!r} is not that of its runs", where)
    if slope.fit.linear != again.linear:
        raise SlopeFileError(f"{slope.series.name!r} says linear = {slope.fit.linear}; its runs deny it", where)


def load(path: Path) -> SlopeFile:
    """The slopes of a file. Raises SlopeFileError."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SlopeFileError(f"cannot be read: {error}", str(path)) from None
    return parsed(text, str(path))


def load_if_there(path: Path) -> SlopeFile:
    """The slopes of a file, none where there is no such file yet. Raises SlopeFileError."""
    return load(path) if path.exists() else SlopeFile(format=SLOPE_FILE_FORMAT)


def text_of(kept: SlopeFile) -> str:
    """The text of a file of slopes, in order of role and name."""
    import tomli_w

    ordered = sorted(kept.slopes, key=lambda slope: (slope.series.role, slope.series.aspect, slope.series.name))
    plain = msgspec.to_builtins(SlopeFile(format=kept.format, slopes=tuple(ordered)))
    return HEAD + tomli_w.dumps(_rounded(plain))


def merged(old: SlopeFile, new: tuple[Slope, ...], specs: Mapping[str, SeriesSpec]) -> SlopeFile:
    """The old slopes with the new ones in place of all that their experiments gave before.

    Old runs stay as they were measured; their fits are worked out anew, and what a series says of itself is taken from
    the experiments as they are now (`specs`, by name).
    """
    replaced = {slope.experiment for slope in new}
    stay = [slope for slope in old.slopes if slope.experiment not in replaced]
    again = (
        msgspec.structs.replace(
            slope, series=specs.get(slope.series.name, slope.series), fit=fit_of(slope.runs, slope.series.name)
        )
        for slope in stay
    )
    return SlopeFile(format=old.format, slopes=(*again, *new))


def save(path: Path, kept: SlopeFile) -> None:
    """Write a file of slopes. Raises SlopeFileError where it cannot be written."""
    try:
        path.write_text(text_of(kept))
    except OSError as error:
        raise SlopeFileError(f"cannot be written: {error.strerror}", str(path)) from None


def _rounded(value: Any) -> Any:
    """The same with numbers of six digits: more says nothing, and makes each change of the file hard to read."""
    if isinstance(value, dict):
        return {name: _rounded(part) for name, part in value.items()}
    if isinstance(value, list | tuple):
        return [_rounded(part) for part in value]
    if isinstance(value, float):
        return float(f"{value:.{SIGNIFICANT_DIGITS}g}")
    return value
