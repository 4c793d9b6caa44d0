"""The records of capacity planning: runs, slopes, bounds. Sizes and values are plain numbers in a named unit."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct

SLOPE_FILE_FORMAT = 1

Name = Annotated[str, Meta(min_length=1, max_length=80, pattern=r"^[a-z0-9][a-z0-9_-]*$")]
Text = Annotated[str, Meta(min_length=1, max_length=2_000)]


class Role(StrEnum):
    """Who spends what is measured."""

    GATEWAY_DATA = "gateway-data-path"
    GATEWAY_CONTROL = "gateway-control"
    CONTROL_LEADER = "control-leader"
    CONTROL_FOLLOWER = "control-follower"
    CLIENT = "client"
    STORE = "store"
    OPERATOR = "operator"


class Aspect(StrEnum):
    """What kind of thing is spent."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"


class Record(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all: fields by name only, nothing unknown."""


class Run(Record):
    """The repetitions of one experiment at one size; `value` is their median."""

    size: Annotated[float, Meta(ge=0)]
    value: float
    lowest: float
    highest: float
    repetitions: Annotated[int, Meta(ge=1)]


class SeriesSpec(Record):
    """What one series of an experiment measures, and how a plan uses it.

    The plan's figure is `factor * times * (fixed + slope * grows_by)` in `figure_unit`: `grows_by` and `times` name
    drivers (see `drivers`), `times` may be empty. `bound` names the bound that the figure counts towards; figures of
    one bound and one mechanism are added up. `counts_fixed` is False where the fixed part is counted by another
    series of the same sum already, as the memory of a process at rest.
    """

    name: Name
    role: Role
    aspect: Aspect
    quantity: Text
    unit: Text
    grows_by: Name
    mechanism: Text
    figure: Text
    figure_unit: Text
    factor: float = 1.0
    times: str = ""
    bound: str = ""
    counts_fixed: bool = True
    how: str = ""


class HeldOut(Record):
    """The largest size, kept out of the fit, and what the fit predicts for it."""

    size: float
    value: float
    predicted: float
    error_percent: float


class Fit(Record):
    """A straight line through all sizes but the largest."""

    fixed: float
    slope: float
    error_percent: float
    held_out: HeldOut
    linear: bool
    shape: Text


class Slope(Record):
    """A series with its runs and its fit."""

    experiment: Name
    measured: Text
    series: SeriesSpec
    fit: Fit
    runs: Annotated[tuple[Run, ...], Meta(min_length=4)]


class SlopeFile(Record):
    """All slopes that a plan works with."""

    format: int
    slopes: tuple[Slope, ...] = ()
