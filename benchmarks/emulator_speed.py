"""Speed of the emulator: simulated tasks a second of wall time, and whose time it is.

    python benchmarks/emulator_speed.py [--script coldfloor] [--edges 150] [--seconds 60] [--rate 900] [--profile]

The module's time is taken inside the runner, its only door, while the day plays; the rest is the edge's core,
stores, clients and the engine. One core. `--profile` prints the dearest functions of a second, profiled play instead.
"""

from __future__ import annotations

import argparse
import cProfile
import pstats
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from tansykeel.audit.records import Sent  # noqa: E402
from tansykeel.emulator.world import World  # noqa: E402
from tansykeel.rehearse.load import mean_units  # noqa: E402
from tansykeel.rehearse.play import day_of  # noqa: E402
from tansykeel.runner import Runner  # noqa: E402

DOOR = ("start", "outcome", "client_left", "timer_fired", "run_pending")


class Clock:
    """Seconds inside the runner, each call counted once."""

    def __init__(self) -> None:
        self.inside, self.total = False, 0.0

    def watch(self, name: str) -> None:
        call = getattr(Runner, name)

        def timed(runner: Runner, *arguments: Any) -> Any:
            if self.inside:
                return call(runner, *arguments)
            self.inside, begun = True, time.perf_counter()
            try:
                return call(runner, *arguments)
            finally:
                self.inside, self.total = False, self.total + time.perf_counter() - begun

        setattr(Runner, name, timed)


def main() -> None:
    asked = argparse.ArgumentParser()
    asked.add_argument("--script", default="coldfloor")
    asked.add_argument("--edges", type=int, default=150)
    asked.add_argument("--seconds", type=float, default=60.0)
    asked.add_argument("--rate", type=float, default=900.0, help="tasks a second, without surges and further tries")
    asked.add_argument("--profile", action="store_true")
    given = asked.parse_args()
    day = day_of(given.script, given.seconds, {"edges": given.edges})
    part = given.rate * mean_units(day) / day.capacity()
    day = day_of(given.script, given.seconds, {"edges": given.edges, "part": part})
    world = World(day, 1)
    if given.profile:
        profile = cProfile.Profile()
        profile.runcall(world.play)
        pstats.Stats(profile).sort_stats("tottime").print_stats(35)
        return
    clock = Clock()
    for name in DOOR:
        clock.watch(name)
    begun = time.perf_counter()
    world.play()
    wall = time.perf_counter() - begun
    tasks = sum(isinstance(record, Sent) for record in world.records)
    print(
        f"{given.script}, {given.edges} gateways, {given.seconds:g} s, {given.rate:g} tasks a second asked for: "
        f"{tasks} tasks with further tries, {world.engine.events} events, {wall:.1f} s, {tasks / wall:.0f} tasks a "
        f"second of wall time; module {clock.total:.1f} s ({clock.total / wall:.0%}), "
        f"{clock.total / tasks * 1e6:.0f} us a task"
    )


if __name__ == "__main__":
    main()
