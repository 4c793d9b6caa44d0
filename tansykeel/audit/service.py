"""Service: the gain answered within the soft limit over the gain due, counted as the operators count it (BENCH).

For each volume and second of arrival some units are due in full (the reserve, a store that fills at its rate and
holds a second of it and one largest task), then, node by node, what nine tenths of its power leave after the
reserves, by weight among those that ask for more, at `share_worth`; the rest at `spare_worth`; nothing past a limit.
A task in time takes the best that is still due, a late one the worst. A further try belongs to its first.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from tansykeel.audit.join import Passed, TaskSeen
from tansykeel.audit.rules import SECOND, Law

DELIVERED = 0
USABLE = 0.9  # part of a node's power that is counted on


@dataclass
class Work:
    """One piece of work over all its tries."""

    first: TaskSeen
    lag: int | None = None  # microseconds from the first try to the delivery


@dataclass
class Service:
    whole: float = 1.0
    by_plan: dict[str, float] = field(default_factory=dict)
    by_category: dict[str, float] = field(default_factory=dict)
    by_second: dict[int, tuple[float, float]] = field(default_factory=dict)  # gain served, due


def works_of(passed: Passed) -> list[Work]:
    works: dict[int, Work] = {}
    for seen in sorted(passed.tasks.values(), key=lambda seen: (seen.sent.at, seen.sent.tries)):
        work = works.setdefault(seen.sent.mark, Work(seen))
        for got in seen.got[:1]:
            if got.result == DELIVERED and not got.wrong:
                lag = got.at - work.first.sent.at
                work.lag = lag if work.lag is None else min(work.lag, lag)
    return list(works.values())


def count(passed: Passed, law: Law, share_worth: float, spare_worth: float, full_units: dict[int, float]) -> Service:
    """`full_units`: units a second of each shard's node."""
    works = works_of(passed)
    if not works:
        return Service()
    start = min(work.first.sent.at for work in works)
    asked: dict[tuple[int, str], list[Work]] = defaultdict(list)
    for work in works:
        asked[(work.first.sent.at - start) // SECOND, work.first.sent.volume].append(work)
    tiers = tiers_of(asked, law, share_worth, spare_worth, full_units)
    served: dict[str, dict[str, float]] = {"plan": defaultdict(float), "category": defaultdict(float)}
    due: dict[str, dict[str, float]] = {"plan": defaultdict(float), "category": defaultdict(float)}
    result = Service()
    for (second, volume), here in asked.items():
        plan = law.plan_of[volume]
        gain = {id(w): law.category(w.first.sent.category).gain * plan.price / law.facts.sizes.usual for w in here}
        left = [list(tier) for tier in tiers[second, volume]]
        for work in sorted(here, key=lambda w: -gain[id(w)]):
            worth = gain[id(work)] * take(left, work.first.sent.units)
            due["plan"][plan.name] += worth
            due["category"][work.first.sent.category] += worth
            was = result.by_second.get(second, (0.0, 0.0))
            result.by_second[second] = was[0], was[1] + worth
        left = [list(tier) for tier in tiers[second, volume]]
        answered = [w for w in here if w.lag is not None]
        in_time = [w for w in answered if (w.lag or 0) <= law.category(w.first.sent.category).soft_limit * 100]
        late = [w for w in answered if w not in in_time]
        for work in sorted(in_time, key=lambda w: -gain[id(w)]) + late:
            category = law.category(work.first.sent.category)
            if work in late:
                worth = gain[id(work)] * category.late_gain * take(left[::-1], work.first.sent.units)
            else:
                worth = gain[id(work)] * take(left, work.first.sent.units)
            served["plan"][plan.name] += worth
            served["category"][category.name] += worth
            was = result.by_second[second]
            result.by_second[second] = was[0] + worth, was[1]
    result.whole = ratio(sum(served["plan"].values()), sum(due["plan"].values()))
    result.by_plan = {name: ratio(served["plan"][name], total) for name, total in sorted(due["plan"].items())}
    result.by_category = {
        name: ratio(served["category"][name], total) for name, total in sorted(due["category"].items())
    }
    return result


def ratio(part: float, whole: float) -> float:
    return part / whole if whole else 1.0


def take(tiers: list[list[float]], units: float) -> float:
    """Take units from the first tiers that have some left; the worth of what was taken."""
    worth = 0.0
    for tier in tiers:
        some = min(units, tier[0])
        tier[0] -= some
        units -= some
        worth += some * tier[1]
    return worth


def tiers_of(
    asked: dict[tuple[int, str], list[Work]],
    law: Law,
    share_worth: float,
    spare_worth: float,
    full_units: dict[int, float],
) -> dict[tuple[int, str], list[tuple[float, float]]]:
    """Units and worth due to each volume in each second: reserve, share, rest; beyond the limit nothing."""
    reserve_left: dict[str, float] = {}
    limit_left: dict[str, float] = {}
    last: dict[str, int] = {}
    tiers: dict[tuple[int, str], list[tuple[float, float]]] = {}
    shards = sorted(full_units) or [0]
    reserves = sum(law.plan_of[v].reserve for v in law.plan_of)
    spare_each = {s: max(full_units.get(s, 0.0) * USABLE - reserves / len(shards), 0.0) for s in shards}
    for second in sorted({second for second, _ in asked}):
        here = {volume: works for (at, volume), works in asked.items() if at == second}
        wants: dict[int, dict[str, float]] = defaultdict(dict)
        full: dict[str, float] = {}
        units: dict[str, float] = {}
        for volume, works in here.items():
            plan, span = law.plan_of[volume], second - last.get(volume, second - 1)
            last[volume] = second
            total = asked_units = sum(w.first.sent.units for w in works)
            if plan.limit:
                held = min(limit_left.get(volume, plan.limit_depth) + plan.limit * span, plan.limit_depth)
                total = min(total, held)
                limit_left[volume] = held - total
            hold = plan.reserve + law.facts.sizes.largest if plan.reserve else 0.0
            held = min(reserve_left.get(volume, hold) + plan.reserve * span, hold)
            full[volume], units[volume] = min(total, held), total
            reserve_left[volume] = held - full[volume]
            beyond = total - full[volume]
            for work in works:
                shard = work.first.sent.shard if work.first.sent.shard >= 0 else work.first.sent.key % len(shards)
                part = beyond * work.first.sent.units / asked_units
                wants[shard][volume] = wants[shard].get(volume, 0.0) + part
        share: dict[str, float] = defaultdict(float)
        for shard, asking in wants.items():
            for volume, some in dealt(asking, spare_each.get(shard, 0.0), law).items():
                share[volume] += some
        for volume in here:
            rest = max(units[volume] - full[volume] - share[volume], 0.0)
            tiers[second, volume] = [(full[volume], 1.0), (share[volume], share_worth), (rest, spare_worth)]
    return tiers


def dealt(asking: dict[str, float], supply: float, law: Law) -> dict[str, float]:
    """A node's spare supply by weight among those that ask, none given more than it asks for."""
    given: dict[str, float] = dict.fromkeys(asking, 0.0)
    left = {volume for volume, some in asking.items() if some > 0}
    while left and supply > 1e-9:
        weights = sum(law.plan_of[v].weight for v in left)
        step = min(min((asking[v] - given[v]) / law.plan_of[v].weight for v in left), supply / weights)
        for volume in left:
            given[volume] += step * law.plan_of[volume].weight
        supply -= step * weights
        left = {v for v in left if asking[v] - given[v] > 1e-9}
    return given
