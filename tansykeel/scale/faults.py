"""The faults of a scale test: what each strikes, and how it is undone."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tansykeel.scale.layout import NodePlace, gateway_name, zone_of
from tansykeel.scale.plan import FaultKind, Phase
from tansykeel.scale.stage import Stage


async def _undo_nothing() -> None:
    """The fault ends by itself, or never."""


@dataclass(frozen=True, slots=True)
class Strike:
    """A fault that stands: whom it struck by name, and what ends it."""

    struck: tuple[str, ...] = ()
    undo: Callable[[], Awaitable[None]] = _undo_nothing


async def strike_nothing(stage: Stage, phase: Phase) -> Strike:
    """Leave all as it is."""
    return Strike()


async def lose_packets(stage: Stage, phase: Phase) -> Strike:
    """Lose a share of the packets between all gateways and nodes, and between nodes."""
    stage.lose_packets(phase.fault_s, phase.loss)
    return Strike()


async def kill_leader(stage: Stage, phase: Phase) -> Strike:
    """Kill the leader of the first region, and start it again."""
    leader = await stage.leader_of(stage.first_region)
    return await _kill_nodes(stage, (leader,))


async def stall_node(stage: Stage, phase: Phase) -> Strike:
    """Stop a follower of the first region as a long pause of its machine would, and let it go on."""
    follower = await stage.follower_of(stage.first_region)
    stage.signal_node(follower, signal.SIGSTOP)

    async def go_on() -> None:
        stage.signal_node(follower, signal.SIGCONT)

    return Strike((follower.name,), go_on)


async def kill_zone(stage: Stage, phase: Phase) -> Strike:
    """Kill the last hollow gateways of the first region at once, and start them again at once."""
    zone = zone_of(stage.layout, stage.first_region, phase.gateways)

    async def command(what: str) -> None:
        await asyncio.gather(*(stage.command_hollow(process, what, gateways) for process, gateways in zone.items()))

    async def start_again() -> None:
        await command("start")

    await command("kill")

    struck = tuple(gateway_name(number) for gateways in zone.values() for number in gateways.numbers)
    return Strike(struck, start_again)


async def kill_all_nodes(stage: Stage, phase: Phase) -> Strike:
    """Kill all control nodes of all regions, and start them again."""
    return await _kill_nodes(stage, stage.layout.nodes)


async def cut_regions(stage: Stage, phase: Phase) -> Strike:
    """Let nothing pass between the first region and the others."""
    stage.cut_regions(phase.fault_s)
    return Strike()


async def lose_node(stage: Stage, phase: Phase) -> Strike:
    """Kill a follower of the first region for good."""
    follower = await stage.follower_of(stage.first_region)
    await stage.kill_node(follower)
    return Strike((follower.name,))


async def _kill_nodes(stage: Stage, nodes: tuple[NodePlace, ...]) -> Strike:
    for node in nodes:
        await stage.kill_node(node)

    async def start_again() -> None:
        await stage.start_nodes(nodes)

    return Strike(tuple(node.name for node in nodes), start_again)


FAULTS: dict[FaultKind, Callable[[Stage, Phase], Awaitable[Strike]]] = {
    "none": strike_nothing,
    "packet_loss": lose_packets,
    "leader_killed": kill_leader,
    "node_stalled": stall_node,
    "zone_killed": kill_zone,
    "nodes_killed": kill_all_nodes,
    "regions_cut": cut_regions,
    "node_lost": lose_node,
}
