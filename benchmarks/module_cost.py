"""What the module itself costs: tasks and prompt outcomes, no sockets, no engine.

    python benchmarks/module_cost.py [--tasks 6000]

One gateway's Runner and Scheduler in simulated time, 400 tasks a second over all nodes, each outcome 20 ms after its
hand-off. Every volume has sent something once before the count begins, so that idle ones are there. Median of three.
"""

from __future__ import annotations

import argparse
import heapq
import random
import statistics
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from tansykeel.brain import Scheduler  # noqa: E402
from tansykeel.interface import (  # noqa: E402
    AllowedActions,
    Category,
    DeduplicationScope,
    Outcome,
    OutcomeKind,
    Plan,
    RepeatSafety,
    SchedulerConfig,
    Store,
    StoreListRule,
    StoreState,
    Task,
    TaskSizes,
    Volume,
)
from tansykeel.runner import Runner  # noqa: E402

RATE, LAG = 400, 200  # tasks a second; tenths from hand-off to outcome
SIZES = [(4, 20), (12, 80), (35, 250), (4, 2000), (200, 20), (200, 2000)]


class World:
    """The runner's effect handler: hand-offs come back after LAG, timers when they are due."""

    def __init__(self, nodes: int, volumes: int, reserved: bool) -> None:
        read = Category(
            "read", 3_000, 20_000, 1.0, 0.1, RepeatSafety.IDEMPOTENT, DeduplicationScope.ALL, 0, False, False, 0.0
        )
        plan = Plan("p", 10.0, 2.0 if reserved else 0.0, 1.0, 1.0, 0.0, 0.0, 0.0)
        facts = SchedulerConfig(
            2,
            0,
            0,
            (read,),
            (plan,),
            TaskSizes(8.0, 2.0),
            AllowedActions(3, True, 1_000, False, True, False),
            StoreListRule(False, 0, 5_000),
            50,
            None,
            None,
            0,
            (),
            True,
        )
        self.now, self.events, self.count, self.done = 10**6, [], 0, 0
        self.runner = Runner(self, self.now)
        self.brain = Scheduler(facts, 1, self.runner)
        self.stores = [Store(n, shard=n, state=StoreState.READY) for n in range(nodes)]
        self.brain.list_changed(self.stores, True)
        self.volumes = [Volume(n, plan, 2.0) for n in range(volumes)]
        self.category, self.draw = read, random.Random(5)

    def push(self, at: int, *what: Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (at, self.count, what))

    def task(self, volume: Volume) -> None:
        task = Task(
            None,
            self.category,
            volume,
            float(self.draw.choice((1, 1, 2, 4))),
            self.draw.randrange(len(self.stores)),
            0,
            self.now,
            self.now + 20_000,
        )
        self.runner.start(task, self.brain.serve(task))

    def until(self, moment: int) -> None:
        while self.events and self.events[0][0] <= moment:
            at, _, (kind, *rest) = heapq.heappop(self.events)
            self.now = max(self.now, at)
            self.runner.advance_clock(self.now)
            if kind == "remind":
                self.runner.timer_fired()
            else:
                self.done += 1
                self.runner.outcome(rest[0], Outcome(OutcomeKind.DELIVERED, LAG, True, None, 1))
        self.now = moment
        self.runner.advance_clock(moment)

    def hand_off(self, task: Task, store: Store, timeout: int) -> None:
        self.push(self.now + LAG, "outcome", task)

    def set_timer(self, at: int) -> None:
        self.push(at, "remind")

    def nack(self, task: Task, retry_after: int) -> None:
        pass

    def break_off(self, task: Task) -> None:
        pass

    def request_store_list(self) -> None:
        pass

    def log(self, text: str) -> None:
        pass


def cost(nodes: int, volumes: int, tasks: int, reserved: bool) -> tuple[float, float]:
    """Microseconds of CPU a task, part delivered."""
    world = World(nodes, volumes, reserved)
    for volume in world.volumes:
        world.task(volume)
        world.until(world.now + 10)
    world.until(world.now + 20_000)
    world.done, begun = 0, time.process_time()
    for _ in range(tasks):
        world.until(world.now + 10_000 // RATE)
        world.task(world.volumes[int(len(world.volumes) * world.draw.random() ** 3)])
    world.until(world.now + 5_000)
    return (time.process_time() - begun) / tasks * 1e6, world.done / tasks


def main() -> None:
    options = argparse.ArgumentParser()
    options.add_argument("--tasks", type=int, default=6000)
    tasks = options.parse_args().tasks
    print("| nodes | volumes | us a task | with reserves | delivered |")
    print("| --- | --- | --- | --- | --- |")
    for nodes, volumes in SIZES:
        plain = [cost(nodes, volumes, tasks, False) for _ in range(3)]
        rich = [cost(nodes, volumes, tasks, True) for _ in range(3)]
        print(
            f"| {nodes} | {volumes} | {statistics.median(c for c, _ in plain):.0f} | "
            f"{statistics.median(c for c, _ in rich):.0f} | {plain[0][1]:.0%} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
