"""Sums of the units that gateways count at a moment, by region and over all, kept up to date as leases come and end."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from tansykeel.audit.control_findings import ControlFacts, ControlRule, Evidence, Finding
from tansykeel.control.actions import WHOLE_UNITS

MOST_HOLDERS_NAMED = 5  # in a finding: those with the most units
Holder = tuple[str, int]  # a gateway and its incarnation: one that was killed counts until its lease ends


@dataclass(frozen=True, slots=True)
class Holding:
    """What one gateway counts, and the record that says so."""

    region: str
    node: str  # that granted it
    units: int
    until: int
    record: Evidence


class UnitSums:
    """One way to know what gateways count: by their claims, or by the leases that were seen to reach them."""

    def __init__(self, facts: ControlFacts, source: str) -> None:
        """`source` is how findings call it."""
        self.facts = facts
        self.source = source
        self.holdings: dict[Holder, Holding] = {}
        self.by_region: dict[str, int] = defaultdict(int)
        self.total = 0
        self._ends: list[tuple[int, Holder]] = []
        self._over: set[str] = set()  # scopes whose sum is too large and was reported
        self._bounds = {**facts.region_units, "": WHOLE_UNITS}  # "": the whole

    def put(self, at: int, holder: Holder, holding: Holding | None) -> Iterator[Finding]:
        """From `at` on this is what the gateway counts; None for nothing beside its safe part."""
        self._expire(at)
        self._drop(holder)
        if holding is None or not holding.units or holding.until <= at:
            return
        self.holdings[holder] = holding
        self.by_region[holding.region] += holding.units
        self.total += holding.units
        heapq.heappush(self._ends, (holding.until, holder))
        yield from self._judge(at, holding.region, self.by_region[holding.region])
        yield from self._judge(at, "", self.total)

    def held(self, at: int, holder: Holder) -> Holding | None:
        """Return what the gateway counts at a moment, None for nothing beside its safe part."""
        holding = self.holdings.get(holder)
        return holding if holding is not None and holding.until > at else None

    def _expire(self, at: int) -> None:
        while self._ends and self._ends[0][0] <= at:
            until, holder = heapq.heappop(self._ends)
            holding = self.holdings.get(holder)
            if holding is not None and holding.until == until:
                self._drop(holder)

    def _drop(self, holder: Holder) -> None:
        holding = self.holdings.pop(holder, None)
        if holding is not None:
            self.by_region[holding.region] -= holding.units
            self.total -= holding.units

    def _judge(self, at: int, region: str, units: int) -> Iterator[Finding]:
        bound = self._bounds.get(region, 0)
        if units <= bound:
            self._over.discard(region)
            return
        if region in self._over:
            return
        self._over.add(region)
        held = [(holding.units, holder) for holder, holding in self.holdings.items() if region in ("", holding.region)]
        most = heapq.nlargest(MOST_HOLDERS_NAMED, held)
        names = ", ".join(f"{name} {some}" for some, (name, _) in most)
        scope = f"region {region}" if region else "the whole"
        yield Finding(
            ControlRule.SUMS,
            at,
            scope,
            f"by {self.source} {len(held)} gateways count {units} units of {scope}'s {bound}: {names}",
            tuple(self.holdings[holder].record for _, holder in most),
        )
