"""Days whose troubles are drawn from the seed, and how one that breaks a rule is cut down. Without I/O.

A drawn day is a day like any other: its troubles stand in its folder, and may be written as a script's lines.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from tansykeel.rehearse.day import LINKS, VERBS
from tansykeel.settings.build import literal
from tansykeel.settings.day import Chaos, Day, Trouble

SOLE = "late_edge"  # strikes a gateway once, from the start on
# How often each is drawn, against the others.
EDGE_VERBS = {"kill_edge": 3, "restart_edge": 2, "stall": 2, "leave_edge": 1, SOLE: 1}
LINK_VERBS = {verb: 3 if verb == "link_cut" else 1 for verb, (whom, _) in VERBS.items() if whom is LINKS}
STORE_VERBS = {"restart": 2, "drain": 1, "slow": 1, "fast_errors": 1, "silent": 1, "reset": 1}
LEAST_THERE = 2  # gateways that no drawn trouble takes away for good


def drawn(day: Day, seed: int) -> Day:
    """The day with the troubles that its `chaos` asks for, drawn by the seed; any other day as it is."""
    if day.chaos is None:
        return day
    chance = Random(f"chaos {seed}")
    table = EDGE_VERBS | LINK_VERBS | STORE_VERBS
    troubles = list(day.troubles)
    gone: set[int] = set()  # gateways that leave for good, and those that come late: each once
    for _ in range(chance.randint(day.chaos.least, day.chaos.most)):
        verb = chance.choices(list(table), list(table.values()))[0]
        trouble = _trouble(day, verb, chance, day.chaos, gone)
        if trouble is not None:
            troubles.append(trouble)
    return msgspec.structs.replace(day, troubles=tuple(sorted(troubles, key=lambda t: t.at)))


def _trouble(day: Day, verb: str, chance: Random, chaos: Chaos, gone: set[int]) -> Trouble | None:
    whom, usual = VERBS[verb]
    at = round(chance.uniform(chaos.after_s, chaos.until_s), 2)
    for_s = round(chance.choice((0.2, 1.0, 3.0)) * chance.uniform(0.5, 1.5), 2)
    detail: dict[str, Any] = dict(usual)
    if verb in STORE_VERBS:
        detail |= {"stores": [chance.randrange(day.fleet.stores)]}
    elif verb in LINK_VERBS:
        detail |= _links(day, verb, chance)
    else:
        edges = [n for n in range(day.fleet.edges) if n not in gone]
        count = min(chance.choice((1, 1, 1, 2, 3)), len(edges))
        struck = sorted(chance.sample(edges, count))
        if verb in ("leave_edge", SOLE):
            struck = struck[: max(len(edges) - LEAST_THERE, 0)]
            gone |= set(struck)
        if not struck:
            return None
        detail |= {"edges": struck}
        back = round(chance.choice((0.05, 0.5, 2.0)) * chance.uniform(0.5, 1.5), 2)
        detail |= {
            "kill_edge": {"back_s": back},
            "restart_edge": {"down_s": back},
            "stall": {"stall_ms": chance.choice((300.0, 1200.0, 3000.0)), "every_s": 1.0},
        }.get(verb, {})
    return Trouble(verb=verb, at=at, for_s=for_s, detail=detail)


def _links(day: Day, verb: str, chance: Random) -> dict[str, Any]:
    edges, zones = range(day.fleet.edges), day.fleet.zones
    which = chance.choice(("pairs", "pairs", "zone", "to_zone", "all") if zones > 1 else ("pairs", "all"))
    found: dict[str, Any] = {"both": chance.random() < 0.5}
    if which == "pairs":
        found["pairs"] = [chance.sample(edges, 2) for _ in range(chance.randint(1, 3))]
    elif which != "all":
        found[which] = chance.randrange(zones)
    figures = {
        "keeps": chance.random() < 0.5,
        "ms": round(chance.uniform(5, 400), 1),
        "spread": round(chance.random(), 2),
        "share": round(chance.uniform(0.02, 0.5), 2),
        "bytes_s": round(chance.uniform(300, 20_000), 1),
    }
    return found | {name: value for name, value in figures.items() if name in VERBS[verb][1]}


def cut_down(day: Day, fails: Callable[[Day], bool], most: int) -> Day:
    """The fewest troubles that still fail, the last left out first, then each shorter; `most` days are played."""
    least, tried = day, 0

    def fewer(troubles: tuple[Trouble, ...]) -> bool:
        nonlocal least, tried
        candidate = msgspec.structs.replace(least, troubles=troubles)
        if tried >= most or candidate.troubles == least.troubles:
            return False
        tried += 1
        if good := fails(candidate):
            least = candidate
        return good

    for trouble in reversed(day.troubles):
        fewer(tuple(other for other in least.troubles if other is not trouble))
    for trouble in least.troubles:
        fewer(
            tuple(
                msgspec.structs.replace(other, for_s=round(other.for_s / 4, 2)) if other is trouble else other
                for other in least.troubles
            )
        )
    return least


def script_of(troubles: tuple[Trouble, ...]) -> list[str]:
    """A script's lines for these troubles; figures that are as usual are left out."""
    lines = []
    for trouble in troubles:
        usual = VERBS[trouble.verb][1]
        said = {name: given for name, given in trouble.detail.items() if usual.get(name) != given}
        told = "".join(f", {name} = {literal(given)}" for name, given in said.items())
        lines.append(f"{trouble.verb}(at = {trouble.at:g}, for_s = {trouble.for_s:g}{told})")
    return lines
