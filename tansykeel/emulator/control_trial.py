"""What a trial of the control plane in simulated time is: its fleet, its faults and its terms."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from tansykeel.cluster.failure_detector import DetectorConfig
from tansykeel.cluster.member import Placement
from tansykeel.cluster.view_agreement import LeaseTerms
from tansykeel.control.actions import WHOLE_UNITS, SessionTerms

SECOND = 10_000  # tenths of a millisecond
CLUSTER = "simulated"
NODES_PER_REGION = 3
ZONES_OF_REGION = ((0, 1, 2), (3, 4))  # two regions with five zones in all
DRAWN_APART_S = (0.3, 14.0)
DRAWN_LASTS_S = (0.5, 12.0)
DRAWN_QUIET_S = 30  # at the end of a trial whose faults are drawn
PING = 3_000  # tenths: 300 ms


class FaultKind(StrEnum):
    """What can happen to control nodes and zones in a trial."""

    LEADER_KILLED = "leader killed"  # its process: connections to it are reset at once
    FOLLOWER_LOST = "follower's machine lost"  # nobody is told: connections to it fall silent
    NODE_STALLED = "control node stalled"  # its process stands still, its connections stay
    NODE_CUT_OFF = "control node cut from the others"  # and not from its gateways
    CONNECTIONS_RESET = "connections of a control node reset"
    ZONE_LOST = "zone lost"  # its control nodes and gateways, as machines
    REGIONS_CUT = "regions cut from each other"
    ALL_NODES_KILLED = "all control nodes of a region killed"


@dataclass(frozen=True, slots=True)
class ControlFault:
    """One fault; `region` and `zone` are what it strikes where its kind needs that."""

    kind: FaultKind
    at_s: float
    lasts_s: float
    region: int = 0
    zone: int = 0


@dataclass(frozen=True, slots=True)
class GatewayPlace:
    """Where a gateway is."""

    name: str
    region: str
    zone: int


@dataclass(frozen=True, slots=True)
class NodePlace:
    """Where a control node is."""

    name: str
    region: str
    zone: int


@dataclass(frozen=True, slots=True)
class ControlTrial:
    """`seconds` are those that are measured, after `settle_s` from the start of all processes.

    Gateways that started before their first choice could accept them return to it within 45 s.
    """

    gateways: int = 620
    seconds: int = 600
    settle_s: int = 60
    seed: int = 1
    restarts: int = 0  # of gateways, spread over the seconds; four of five are planned ends, the others kills
    stalls: int = 0  # of gateways, 5 s each
    loss: float = 0.0  # part of all frames that are sent again after 200 to 400 ms, and hold up what is behind them
    lost_between_nodes: float = 0.0  # part of the messages between control nodes that are lost for good
    way_ms: float = 1.0  # of a frame in the mean, between half and one and a half of it
    faults: tuple[ControlFault, ...] = ()
    clocks_apart: bool = True  # clocks run at rates drawn within the drift
    terms: SessionTerms = field(default_factory=lambda: SessionTerms(3 * SECOND, SECOND, 0.01, 100.0))

    @property
    def lease_terms(self) -> LeaseTerms:
        """Return the terms of the leases that control nodes grant each other."""
        return LeaseTerms(self.terms.lease, self.terms.drift, NODES_PER_REGION)

    @property
    def pace(self) -> DetectorConfig:
        """Return how control nodes look at each other, as `settings.control` makes it of a ping of 300 ms."""
        return DetectorConfig(period=PING, ack_timeout=PING // 2, stable_after=2 * PING, flap_window=60 * PING)

    def regions(self) -> tuple[str, ...]:
        """Return the names of the regions."""
        return tuple(f"region-{number}" for number in range(len(ZONES_OF_REGION)))

    def region_units(self) -> dict[str, int]:
        """Return the units of each region: even parts of the whole."""
        return {region: WHOLE_UNITS // len(ZONES_OF_REGION) for region in self.regions()}

    def gateway_places(self) -> list[GatewayPlace]:
        """Return all gateways: half in each region, evenly over its zones."""
        places = []
        for number in range(self.gateways):
            region = number * len(ZONES_OF_REGION) // self.gateways
            zones = ZONES_OF_REGION[region]
            places.append(GatewayPlace(f"edge-{number}", f"region-{region}", zones[number % len(zones)]))
        return places

    def node_places(self) -> list[NodePlace]:
        """Return all control nodes: three in each region, evenly over its zones."""
        return [
            NodePlace(f"control-{region}-{number}", f"region-{region}", zones[number % len(zones)])
            for region, zones in enumerate(ZONES_OF_REGION)
            for number in range(NODES_PER_REGION)
        ]

    def nodes_of(self, region: str) -> dict[str, Placement]:
        """Return a region's control nodes with their zones, as the cores take them."""
        return {node.name: Placement(node.zone) for node in self.node_places() if node.region == region}

    def chance(self, purpose: str) -> Random:
        """Return a stream of chance of its own for each purpose."""
        return Random(f"{self.seed} {purpose}")


def drawn_faults(seconds: int, chance: Random) -> tuple[ControlFault, ...]:
    """Return faults drawn by chance, 7 s apart in the mean, up to 30 s before the end: many begin within others."""
    zones = [zone for zones in ZONES_OF_REGION for zone in zones]
    faults = []
    at_s = chance.uniform(*DRAWN_APART_S)
    while at_s < seconds - DRAWN_QUIET_S:
        faults.append(
            ControlFault(
                chance.choice(list(FaultKind)),
                at_s,
                chance.uniform(*DRAWN_LASTS_S),
                region=chance.randrange(len(ZONES_OF_REGION)),
                zone=chance.choice(zones),
            )
        )
        at_s += chance.uniform(*DRAWN_APART_S)
    return tuple(faults)


def every_fault(seconds: int) -> tuple[ControlFault, ...]:
    """Return one fault of each kind, spread over the seconds so that each is over before the next begins."""
    step = seconds / 10
    lasts = min(step / 2, 30.0)
    return (
        ControlFault(FaultKind.LEADER_KILLED, 0.5 * step, lasts),
        ControlFault(FaultKind.FOLLOWER_LOST, 1.5 * step, lasts, region=1),
        ControlFault(FaultKind.NODE_STALLED, 2.5 * step, min(lasts, 4.0)),
        ControlFault(FaultKind.NODE_CUT_OFF, 3.5 * step, lasts, region=1),
        ControlFault(FaultKind.CONNECTIONS_RESET, 4.5 * step, 0.0),
        ControlFault(FaultKind.ZONE_LOST, 5.5 * step, lasts, zone=0),
        ControlFault(FaultKind.REGIONS_CUT, 6.5 * step, lasts),
        ControlFault(FaultKind.LEADER_KILLED, 7.5 * step, lasts, region=1),
        ControlFault(FaultKind.ALL_NODES_KILLED, 8.5 * step, min(lasts, 5.0)),
    )
