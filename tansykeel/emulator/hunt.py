"""Plays many days of drawn troubles, over all cores in simulated time or one after the other on sockets."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from tansykeel.audit.report import Verdict
from tansykeel.emulator.cores import spread
from tansykeel.emulator.world import World
from tansykeel.rehearse.chaos import drawn
from tansykeel.rehearse.play import play
from tansykeel.settings.day import Day


class Judged(NamedTuple):
    """What matters of a verdict where there are thousands. `what`: the first break."""

    seed: int
    broken: tuple[str, ...]
    what: str
    service: float
    counted_mean: float
    tasks: int


def play_on(day: Day, seed: int, stage: str) -> Judged:
    """Play a day whose troubles are drawn already. Raises RehearsalError on sockets."""
    verdict: Verdict = World(day, seed).run() if stage == "emulator" else play(day, seed, None)
    first = verdict.breaks[0]["what"] if verdict.breaks else ""
    return Judged(
        seed,
        tuple(rule for rule, count in verdict.rules.items() if count),
        first,
        verdict.service,
        verdict.counted_mean or 0.0,
        verdict.tasks,
    )


def _drawn_and_played(job: tuple[int, Day, int]) -> tuple[int, Judged]:
    number, day, seed = job
    return number, play_on(drawn(day, seed), seed, "emulator")


def hunted(day: Day, seeds: Sequence[int], stage: str, cores: int) -> Iterator[Judged]:
    """Each seed's day, in the order of the seeds."""
    if stage != "emulator":
        yield from (play_on(drawn(day, seed), seed, stage) for seed in seeds)
        return
    early: dict[int, Judged] = {}  # ended before one whose seed comes first
    due = 0
    for number, judged in spread(_drawn_and_played, [(n, day, seed) for n, seed in enumerate(seeds)], cores):
        early[number] = judged
        while due in early:
            yield early.pop(due)
            due += 1
