"""What a whole fleet sends its cold stores: calls of mean work in each window, beside the budget N of the settings.

    python benchmarks/cold_fleet.py [--edges 20 30 200] [--seeds 1 2 3] [--restart] [--part 0.6] [--span 1]

N grows with the least power that the rule promises for a window's start. Beyond N only 2 roots of N + 2 are chance.
`--restart`: all gateways are killed and back without memory just before the stores are. Simulated servers.
"""

from __future__ import annotations

import argparse
import sys
from collections import deque
from concurrent.futures import ProcessPoolExecutor
from math import sqrt
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parents[1]))

from tansykeel.audit.report import law_of  # noqa: E402
from tansykeel.brain import cold as cold_module  # noqa: E402
from tansykeel.brain import nodes  # noqa: E402
from tansykeel.emulator.world import World  # noqa: E402
from tansykeel.rehearse.load import mean_units  # noqa: E402
from tansykeel.rehearse.play import day_of  # noqa: E402
from tansykeel.settings.day import Trouble  # noqa: E402


def windows(sent: list[tuple[int, float]], up: int, span: int, budget, until: int):
    """The most of a cold start's windows: calls, N then, and the excess over N as a part of 2 roots of N + 2."""
    inside, total, worst = deque(), 0.0, (0.0, 0.0, -9.0)
    for at, calls in sent:
        inside.append((at, calls))
        total += calls
        while inside[0][0] <= at - span:
            total -= inside.popleft()[1]
        if at - up > until:
            break
        bears = budget(max(at - span - up, 0))
        worst = max(worst, (total, bears, (total - bears) / (2 * sqrt(bears) + 2)), key=lambda one: one[2])
    return worst


def play(edges: int, seed: int, given: argparse.Namespace) -> str:
    stores, restart = given.stores, given.restart
    nodes.DEMAND_PART, cold_module.EVEN_PART = (
        given.by_asked or nodes.DEMAND_PART,
        given.even or cold_module.EVEN_PART,
    )
    day = day_of(
        given.script,
        30.0,
        {
            "edges": edges,
            "part": given.part,
            "stores": stores,
            "struck": stores // 3,
            "basic": 4 * stores,
            "priority": 2 * stores,
        },
    )
    shape = msgspec.structs.replace(
        day.fleet.shape, fall_s=given.span, fall_multiple=given.multiple, cold_share=given.share
    )
    day = msgspec.structs.replace(day, fleet=msgspec.structs.replace(day.fleet, shape=shape))
    if restart:
        first = min(trouble.at for trouble in day.troubles if trouble.verb == "mass_restart")
        again = Trouble("kill_edge", first, 0.0, {"edges": list(range(edges)), "back_s": 1.0})
        day = msgspec.structs.replace(day, troubles=(*day.troubles, again))
    world = World(day, seed)
    world.play()
    passed = world.passed
    cold = law_of(day).facts.slow_start
    usual, warm = mean_units(day), cold.warm_after * 100

    def budget(age: float) -> float:
        grown = 1 + min(age / warm, 1) * (1 / cold.share - 1)
        return cold.always_safe * grown / usual

    rows = []
    for up in passed.ups:
        if up.cold:
            sent = [(h.at, h.units / usual) for h in passed.hand_offs if h.store == up.store and h.boot == up.boot]
            rows.append(windows(sorted(sent), up.at, cold.span * 100, budget, warm))
    rows.sort(key=lambda one: one[2])
    most, middle, over = rows[-1], rows[len(rows) // 2][2], sum(one[2] > 1 for one in rows)
    return (
        f"{given.script} edges {edges} seed {seed} part {given.part}{' restart' if restart else ''}: {len(rows)} "
        f"cold starts, N {budget(0):.1f} at first; most {most[0]:.1f} calls at N {most[1]:.1f}, {most[2]:+.2f} of "
        f"what is chance; median {middle:+.2f}; over {over}"
    )


def main() -> None:
    asked = argparse.ArgumentParser()
    asked.add_argument("--script", default="coldfloor")
    asked.add_argument("--edges", type=int, nargs="+", default=[20, 30, 200])
    asked.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    asked.add_argument("--part", type=float, default=0.55, help="asked for, of what the warm stores do")
    asked.add_argument("--stores", type=int, default=12, help="a third of them restarts cold")
    asked.add_argument("--span", type=float, default=3.0)
    asked.add_argument("--multiple", type=float, default=2.5)
    asked.add_argument("--share", type=float, default=0.19)
    asked.add_argument("--restart", action="store_true")
    asked.add_argument("--by-asked", type=float, help="in place of the module's")
    asked.add_argument("--even", type=float, help="in place of the module's")
    asked.add_argument("--jobs", type=int, default=2)
    given = asked.parse_args()
    with ProcessPoolExecutor(given.jobs) as pool:
        for one in [pool.submit(play, edges, seed, given) for edges in given.edges for seed in given.seeds]:
            print(one.result(), flush=True)


if __name__ == "__main__":
    main()
