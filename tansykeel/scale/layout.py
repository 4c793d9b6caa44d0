"""Who is who in a scale test: names, numbers and regions of control nodes, hollow processes and real gateways."""

from __future__ import annotations

from dataclasses import dataclass

from tansykeel.scale.plan import ScalePlan

GATEWAY_NAME = "gateway"  # gateways call themselves by it and their number


@dataclass(frozen=True, slots=True)
class NodePlace:
    """One control node. `number` is its place in the settings, `index` the one within its region."""

    number: int
    index: int
    name: str
    region: str


@dataclass(frozen=True, slots=True)
class GatewayRange:
    """Gateways with consecutive numbers."""

    first: int
    count: int

    @property
    def numbers(self) -> range:
        """Return the numbers of the gateways."""
        return range(self.first, self.first + self.count)


@dataclass(frozen=True, slots=True)
class HollowPlace:
    """One process of hollow gateways."""

    name: str
    region: str
    gateways: GatewayRange


@dataclass(frozen=True, slots=True)
class RealPlace:
    """One process of a real gateway."""

    name: str
    region: str
    number: int


@dataclass(frozen=True, slots=True)
class Layout:
    """All processes of a plan. Gateways are numbered region by region, in each the real ones first."""

    nodes: tuple[NodePlace, ...]
    hollow: tuple[HollowPlace, ...]
    real: tuple[RealPlace, ...]

    def nodes_of(self, region: str) -> tuple[NodePlace, ...]:
        """Return the control nodes of a region."""
        return tuple(node for node in self.nodes if node.region == region)

    def region_of_gateways(self) -> dict[str, str]:
        """Return the region of each gateway, by its name."""
        regions = {gateway_name(place.number): place.region for place in self.real}
        for process in self.hollow:
            regions |= {gateway_name(number): process.region for number in process.gateways.numbers}
        return regions


def gateway_name(number: int) -> str:
    """Return what the gateway of this number calls itself."""
    return f"{GATEWAY_NAME}-{number}"


def layout_of(plan: ScalePlan) -> Layout:
    """Return all processes of a plan with their names, numbers and regions."""
    nodes: list[NodePlace] = []
    hollow: list[HollowPlace] = []
    real: list[RealPlace] = []
    gateway = 0
    for region in plan.regions:
        for index in range(region.control_nodes):
            nodes.append(NodePlace(len(nodes), index, f"control-{region.name}-{index}", region.name))
        for _ in range(region.real):
            real.append(RealPlace(f"real-{gateway}", region.name, gateway))
            gateway += 1
        for index, count in enumerate(region.hollow):
            hollow.append(HollowPlace(f"hollow-{region.name}-{index}", region.name, GatewayRange(gateway, count)))
            gateway += count
    return Layout(tuple(nodes), tuple(hollow), tuple(real))


def zone_of(layout: Layout, region: str, gateways: int) -> dict[str, GatewayRange]:
    """Return the last hollow gateways of a region as one zone: for each process that has some of them, which ones."""
    struck: dict[str, GatewayRange] = {}
    left = gateways
    for process in reversed([process for process in layout.hollow if process.region == region]):
        count = min(left, process.gateways.count)
        if count:
            last = process.gateways.first + process.gateways.count
            struck[process.name] = GatewayRange(last - count, count)
        left -= count
    return struck
