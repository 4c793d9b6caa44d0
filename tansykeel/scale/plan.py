"""Plans of scale tests: how many of each process there are, and which faults they go through in which order."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, structs

from tansykeel.errors import Problem
from tansykeel.settings.records import Above, Count, Index, Least0, Name, Part

FaultKind = Literal[
    "none",
    "packet_loss",
    "leader_killed",
    "node_stalled",
    "zone_killed",
    "nodes_killed",
    "regions_cut",
    "node_lost",
]


class PlanError(Problem, ValueError):
    """A plan of a scale test is not there, or its parts do not fit together."""

    advice = "take one of the plans that `tansykeel scale play --help` names"


class RegionPlan(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One region: its share of every whole, its control nodes and its gateways.

    `hollow` has the number of hollow gateways of each of the region's hollow processes; different numbers let the
    report fit what one gateway costs.
    """

    name: Name
    share: Part
    control_nodes: Count
    real: Index
    hollow: tuple[Count, ...]

    @property
    def gateways(self) -> int:
        """Return how many gateways the region has, real and hollow ones."""
        return self.real + sum(self.hollow)


class Phase(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A stretch of a play with one fault: it stands for `fault_s`, then the rest is observed for `observed_s`.

    A fault that ends by itself (a node that never returns) has its whole time in `fault_s`.
    """

    name: Name
    fault: FaultKind
    fault_s: Above
    observed_s: Least0 = 0.0
    loss: Part = 0.01  # share of the packets that `packet_loss` takes, each sent again later
    gateways: Index = 0  # hollow gateways that `zone_killed` strikes


class ScalePlan(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One scale test. `plain` gateways run without a control plane beside the others, to be compared with."""

    name: Name
    regions: Annotated[tuple[RegionPlan, ...], Meta(min_length=1)]
    phases: Annotated[tuple[Phase, ...], Meta(min_length=1)]
    plain: Index = 0
    lease_ms: Above = 3_000.0
    heartbeat_ms: Above = 1_000.0
    ping_ms: Above = 300.0
    admissions_per_s: Above = 100.0
    settle_s: Least0 = 5.0  # between the last gateway's lease and the first phase

    @property
    def gateways(self) -> int:
        """Return how many gateways there are under the control plane."""
        return sum(region.gateways for region in self.regions)

    @property
    def hollow(self) -> int:
        """Return how many of the gateways are hollow."""
        return sum(sum(region.hollow) for region in self.regions)

    @property
    def seconds(self) -> float:
        """Return how long all phases take together."""
        return sum(phase.fault_s + phase.observed_s for phase in self.phases)

    def with_phases(self, phases: tuple[Phase, ...]) -> ScalePlan:
        """Return the same processes with other phases."""
        return structs.replace(self, phases=phases)

    def check(self) -> None:
        """Raise PlanError where the parts do not fit together."""
        zone = max((phase.gateways for phase in self.phases if phase.fault == "zone_killed"), default=0)
        if zone > sum(self.regions[0].hollow):
            most = sum(self.regions[0].hollow)
            raise PlanError(f"zone_killed: {zone} gateways; legal: {most} at most, the first region's hollow ones")
        if any(phase.fault == "zone_killed" and not phase.gateways for phase in self.phases):
            raise PlanError("zone_killed: 0 gateways; legal: 1 at least")
        if any(phase.fault == "regions_cut" for phase in self.phases) and len(self.regions) < 2:
            raise PlanError("regions_cut: one region; legal: with two regions or more")
        names = [phase.name for phase in self.phases]
        if len(set(names)) < len(names):
            raise PlanError("phases: a name stands there twice; legal: each name once")


FULL = ScalePlan(
    name="full",
    regions=(
        RegionPlan(name="east", share=0.5, control_nodes=3, real=6, hollow=(125, 100, 50, 25)),
        RegionPlan(name="west", share=0.5, control_nodes=3, real=6, hollow=(120, 90, 60, 30)),
    ),
    phases=(
        Phase(name="quiet", fault="none", fault_s=60),
        Phase(name="packet-loss", fault="packet_loss", fault_s=30, observed_s=5),
        Phase(name="leader-killed", fault="leader_killed", fault_s=15, observed_s=20),
        Phase(name="node-stalled", fault="node_stalled", fault_s=15, observed_s=20),
        Phase(name="zone-killed", fault="zone_killed", fault_s=10, observed_s=20, gateways=124),
        Phase(name="regions-cut", fault="regions_cut", fault_s=20, observed_s=5),
        Phase(name="nodes-killed", fault="nodes_killed", fault_s=10, observed_s=30),
        Phase(name="node-lost", fault="node_lost", fault_s=25),
    ),
    plain=4,
    settle_s=35,  # gateways that were rejected at the start go back to their first node within 30 s
)
HERD = ScalePlan(  # few admissions a second, so that a zone's return passes them
    name="herd",
    regions=FULL.regions,
    phases=(
        Phase(name="quiet", fault="none", fault_s=10),
        Phase(name="zone-killed", fault="zone_killed", fault_s=10, observed_s=30, gateways=124),
    ),
    admissions_per_s=8,
    settle_s=35,
)
SMALL = ScalePlan(
    name="small",
    regions=(RegionPlan(name="east", share=1.0, control_nodes=3, real=0, hollow=(12, 8)),),
    phases=(
        Phase(name="quiet", fault="none", fault_s=2),
        Phase(name="leader-killed", fault="leader_killed", fault_s=5),
    ),
    lease_ms=1_500.0,
    heartbeat_ms=500.0,
    ping_ms=150.0,
    settle_s=1.0,
)
PLANS = {plan.name: plan for plan in (FULL, HERD, SMALL)}


def plan_named(name: str) -> ScalePlan:
    """Return a plan by its name. Raises PlanError."""
    if name not in PLANS:
        raise PlanError(f"{name!r} is none; legal: {', '.join(PLANS)}", "plan")
    plan = PLANS[name]
    plan.check()
    return plan
