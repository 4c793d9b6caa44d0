"""Which days to look at, and how one that was found is cut down, without I/O.

A trial is a script's parameters, a seed and the troubles left out. It shows something where the module breaks a rule,
or loses service against the upper mark on the same day.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import numpy

from tansykeel.emulator.compare import shrink
from tansykeel.errors import Problem

STILL = 0.8  # part of the loss that a day cut down must still show
SEEDS = 1_000  # seeds of days are drawn from 1 to this


class RangeError(Problem, ValueError):
    """A range on the command line is none."""

    advice = "give NAME=LOW:HIGH, LOW the end with the least trouble"


class Range(NamedTuple):
    """Whole numbers where both ends are; `low` is the least trouble."""

    name: str
    low: float
    high: float

    @property
    def whole(self) -> bool:
        return isinstance(self.low, int) and isinstance(self.high, int)


class Trial(NamedTuple):
    params: dict[str, Any]
    seed: int
    without: tuple[int, ...] = ()


class Shown(NamedTuple):
    """What a trial showed. `breaks`: by rule; `loss`: service of the mark less the module's."""

    trial: Trial
    breaks: dict[str, int]
    loss: float

    @property
    def rules(self) -> set[str]:
        return {rule for rule, number in self.breaks.items() if number}


def range_of(text: str) -> Range:
    """NAME=LOW:HIGH. Raises RangeError."""
    name, sign, ends = text.partition("=")
    low, colon, high = ends.partition(":")
    try:
        given = Range(name, *(int(end) if end.lstrip("-").isdigit() else float(end) for end in (low, high)))
    except ValueError:
        given = Range("", 0, 0)
    if not sign or not colon or not given.name or given.low == given.high:
        raise RangeError(f"{text}: legal: NAME=LOW:HIGH, LOW the end with the least trouble")
    return given


def drawn(ranges: Sequence[Range], count: int, seed: int) -> list[Trial]:
    """Trials spread over the ranges: each range is cut in `count` parts and every part is used once."""
    draw = numpy.random.Generator(numpy.random.PCG64(seed))
    columns: dict[str, list[Any]] = {}
    for of in ranges:
        places = (draw.permutation(count) + draw.random(count)) / count
        values = [of.low + (of.high - of.low) * float(place) for place in places]
        columns[of.name] = [round(value) if of.whole else round(value, 4) for value in values]
    seeds = draw.integers(1, SEEDS, size=count, endpoint=True)
    return [Trial({name: values[n] for name, values in columns.items()}, int(seeds[n])) for n in range(count)]


def worst_first(shown: Sequence[Shown]) -> list[Shown]:
    """Broken rules before any loss, most loss first."""
    return sorted(shown, key=lambda one: (not one.rules, -one.loss))


def still_shows(found: Shown, now: Shown) -> bool:
    if found.rules:
        return bool(found.rules & now.rules)
    return now.loss >= STILL * found.loss


def cut_down(found: Shown, ranges: Sequence[Range], troubles: int, look: Callable[[Trial], Shown], most: int) -> Shown:
    """The least trouble that still shows what was found: first whole troubles are left out, the last first, then each
    parameter goes towards the low end of its range. At most `most` days are looked at for each of the two."""
    least: Shown = found

    def shows(trial: Trial) -> bool:
        nonlocal least
        now = look(trial)
        if good := still_shows(found, now):
            least = now
        return good

    without: tuple[int, ...] = found.trial.without
    for number in [n for n in reversed(range(troubles)) if n not in without][:most]:
        if shows(found.trial._replace(without=(*without, number))):
            without = (*without, number)
    lows: Mapping[str, Any] = {of.name: of.low for of in ranges}
    shrink(lows, found.trial.params, lambda params: shows(Trial(params, found.trial.seed, without)), most)
    return least
