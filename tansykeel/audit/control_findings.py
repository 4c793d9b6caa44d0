"""What the checker of the control plane is told beforehand, and what it finds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from tansykeel.audit.records import FrameSeen, LeaseClaimed

Evidence = LeaseClaimed | FrameSeen


class ControlRule(StrEnum):
    """The invariants that the checker holds the control plane to."""

    SUMS = "sums"  # of what gateways count: never over a region's units, nor over the whole
    GATEWAY_LEASES = "gateway_leases"  # a gateway counts by a lease that reached it, and no longer than that lasts
    NODE_LEASES = "node_leases"  # a control node renews within its own lease on the region's view
    ONE_LEADER = "one_leader"  # of a region's replicated log under each ballot, and one order of entries


@dataclass(frozen=True, slots=True)
class Finding:
    """One break of an invariant: when it showed, who broke it, and the records that it rests on."""

    rule: ControlRule
    at: int  # microseconds
    who: str
    what: str
    records: tuple[Evidence, ...] = ()


@dataclass(frozen=True, slots=True)
class ControlFacts:
    """What the settings say of the fleet. Times are microseconds."""

    region_units: Mapping[str, int]  # by region: what all its gateways may count together
    nodes: Mapping[str, str]  # by control node: its region
    gateways: Mapping[str, str]  # by gateway: its region
    lease: int  # how long the lease of a control node on the region's view lasts in real time at most
    drift: float  # by how much any clock may run fast or slow

    def longest(self, valid_for: int) -> int:
        """Return how long a span of a gateway's own clock lasts in real time where that clock is the slowest."""
        return int(valid_for / (1 - self.drift)) + 1

    def voters(self, region: str) -> int:
        """Return how many control nodes a region has."""
        return sum(of == region for of in self.nodes.values())
