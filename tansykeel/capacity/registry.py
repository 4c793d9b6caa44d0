"""The experiments there are.

To add one, write a module in `tansykeel/capacity/experiments/`; it is found by itself, and neither the slope file, the
plan nor the page need a change:

    from tansykeel.capacity.records import Aspect, Role, SeriesSpec
    from tansykeel.capacity.registry import Sample, Scale, experiment

    HEARTBEAT_BYTES = SeriesSpec(
        name="session-heartbeat-bytes",        # in the slope file; unique
        role=Role.GATEWAY_CONTROL,             # whose table it stands in
        aspect=Aspect.MESSAGES,                # state, messages, processor or memory
        quantity="heartbeats of a session, in and out",
        unit="bytes/s",
        grows_by="gateways",                   # a driver: drivers.py, or [drivers] of the target file
        mechanism="sessions to control nodes", # what carries it; figures of one bound are added up by mechanism
        figure="control bytes of a gateway",   # what the plan calls factor * times * (fixed + slope * grows_by)
        figure_unit="bytes/s",
        bound="gateway-control-bytes",         # a [[bounds]] name of the target file, or "" for none
        how="hollow gateways on loopback",     # how it was measured, for the page
    )

    @experiment("session-heartbeat", HEARTBEAT_BYTES)
    def session_heartbeat(scale: Scale) -> Iterator[Sample]:
        for size in scale.sizes((50, 100, 200, 400, 600)):
            for _ in scale.repetitions(3):
                yield Sample(HEARTBEAT_BYTES.name, size, measured_value)

At least four sizes; the largest is kept out of the fit and predicted by it. Medians over the repetitions are taken
here. An experiment must stop by itself, end each process that it starts by its id (`processes.ChildProcess` does),
and measure processor time, never wall time. Then:

    tansykeel capacity measure --only session-heartbeat     # replaces the slopes of this experiment alone
    tansykeel capacity page                                 # writes the tables of docs/CAPACITY.md
"""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass

from tansykeel.capacity.errors import ExperimentError, UnknownExperimentError
from tansykeel.capacity.fit import fit_of, runs_of
from tansykeel.capacity.records import SeriesSpec, Slope

EXPERIMENTS_PACKAGE = "tansykeel.capacity.experiments"


@dataclass(frozen=True, slots=True)
class Sample:
    """One measured value of one series at one size."""

    series: str
    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Scale:
    """How much of an experiment is played: all of it, or a small run that shows that it works.

    `share` multiplies sizes and lengths of time; `most_repetitions` bounds how often each size is played.
    """

    share: float = 1.0
    most_repetitions: int = 100

    def sizes(self, whole: Sequence[int], least: int = 0) -> tuple[int, ...]:
        """The sizes to play, in the order given: scaled, `least` or more, and all apart."""
        scaled: list[int] = []
        for size in whole:
            least_here = scaled[-1] + 1 if scaled else least
            scaled.append(max(round(size * self.share), least_here))
        return tuple(scaled)

    def repetitions(self, whole: int) -> range:
        """Numbers of the repetitions to play."""
        return range(min(whole, self.most_repetitions))

    def count(self, whole: int) -> int:
        """How often to do something that is done `whole` times in full, once at least."""
        return max(round(whole * self.share), 1)

    def seconds(self, whole: float) -> float:
        """How long to play something that takes `whole` seconds in full, a quarter of a second at least."""
        return max(whole * self.share, 0.25)


Measure = Callable[[Scale], Iterable[Sample]]


@dataclass(frozen=True, slots=True)
class Experiment:
    """A named experiment with the series that it measures."""

    name: str
    series: tuple[SeriesSpec, ...]
    measure: Measure


_experiments: dict[str, Experiment] = {}


def experiment(name: str, *series: SeriesSpec) -> Callable[[Measure], Measure]:
    """Register an experiment under a name that is not taken yet."""

    def register(measure: Measure) -> Measure:
        assert name not in _experiments, f"two experiments are called {name!r}"
        _experiments[name] = Experiment(name, series, measure)
        return measure

    return register


def all_experiments() -> dict[str, Experiment]:
    """All experiments by name, in the order of their names; loads their modules."""
    package = importlib.import_module(EXPERIMENTS_PACKAGE)
    for module in pkgutil.iter_modules(package.__path__, f"{EXPERIMENTS_PACKAGE}."):
        importlib.import_module(module.name)
    return dict(sorted(_experiments.items()))


def all_series() -> dict[str, SeriesSpec]:
    """All series of all experiments by name."""
    return {spec.name: spec for one in all_experiments().values() for spec in one.series}


def chosen(names: Sequence[str]) -> tuple[Experiment, ...]:
    """The experiments of these names, all where none is given. Raises UnknownExperimentError."""
    known = all_experiments()
    for name in names:
        if name not in known:
            raise UnknownExperimentError(f"no experiment {name!r}; legal: {', '.join(known)}")
    return tuple(known[name] for name in names or known)


def measured(chosen_one: Experiment, scale: Scale, day: str, seen: Callable[[Sample], None]) -> Iterator[Slope]:
    """Play an experiment; its slopes. `seen` hears of each sample. Raises ExperimentError."""
    by_series: dict[str, list[Sample]] = {spec.name: [] for spec in chosen_one.series}
    for sample in chosen_one.measure(scale):
        if sample.series not in by_series:
            raise ExperimentError(f"a sample of {sample.series!r}, which is no series of it", chosen_one.name)
        by_series[sample.series].append(sample)
        seen(sample)
    for spec in chosen_one.series:
        runs = runs_of((sample.size, sample.value) for sample in by_series[spec.name])
        yield Slope(experiment=chosen_one.name, measured=day, series=spec, fit=fit_of(runs, spec.name), runs=runs)
