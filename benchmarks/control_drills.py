"""How long drills of the control plane take: a leader killed, a node that stands still, a share and an address changed.

    python benchmarks/control_drills.py [--kills 8]

Three control nodes of one region run as processes on loopback with the usual leases (3 s) and pings (300 ms); six
gateways speak to them in raw frames. Prints one line for each drill, and the largest part of the region's units that
the gateways counted together meanwhile.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))
sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

import control_stage  # noqa: E402
from control_stage import (  # noqa: E402
    REGION_UNITS,
    Gateway,
    NodeProcess,
    free_address,
    run_gateways,
    run_node_processes,
)

from tansykeel.edge.ask import NotTold, query_fleet, request  # noqa: E402
from tansykeel.protocol.frames import ControlStatus, ControlStatusRequest  # noqa: E402

USUAL_TERMS = "lease_ms = 3000, heartbeat_ms = 1000, ping_ms = 300"
ALMOST_ALL = 0.99  # of the region's units, which do not divide evenly
STOPPED_S = 10.0  # for which a node stands still
OVERLAP_S = 4.0  # after a drill in which leases of before would still count
PATIENCE_S = 60.0  # for any one step
NODES = 3


class Region:
    """The running nodes, their addresses, the gateways, and each sum of what these counted."""

    def __init__(self, nodes: list[NodeProcess], addresses: list[str], held: list[Gateway], sums: list[int]) -> None:
        self.nodes, self.addresses, self.held, self.sums = nodes, addresses, held, sums

    def counted(self) -> int:
        """Return the units that all gateways count now."""
        return sum(gateway.counted() for gateway in self.held)

    def sessions_at(self, number: int) -> int:
        """Return how many gateways count by a lease of the node of this number."""
        return sum(gateway.node == f"n{number}" for gateway in self.held)

    async def status(self, number: int) -> ControlStatus:
        """Return a node's status. Raises NotTold."""
        return await request(self.addresses[number], ControlStatusRequest(), ControlStatus, 2)

    async def leader(self, others_than: int | None = None) -> int:
        """Wait for a node that leads, and return its number."""
        while True:
            for number in range(NODES):
                if number != others_than and (await self.status(number)).leads:
                    return number
            await asyncio.sleep(0.05)

    async def all_in_view(self) -> None:
        """Wait until each node holds a lease on an active view of all."""
        for number, address in enumerate(self.addresses):
            while not await self._in_whole_view(number, address):
                await asyncio.sleep(0.1)

    async def _in_whole_view(self, number: int, address: str) -> bool:
        try:
            told = await self.status(number)
            return bool(told.active and told.leased) and len((await query_fleet(address, 2)).members) == NODES
        except NotTold:
            return False


@asynccontextmanager
async def region() -> AsyncIterator[Region]:
    """Yields a region whose gateways are spread evenly and count all of its units."""
    sums: list[int] = []
    async with run_node_processes(Path(tempfile.mkdtemp()), NODES) as (nodes, addresses):
        await Region(nodes, addresses, [], sums).all_in_view()
        async with run_gateways(addresses, sums) as held:
            made = Region(nodes, addresses, held, sums)
            await since(lambda: made.counted() >= ALMOST_ALL * REGION_UNITS)
            yield made


async def since(is_so: Callable[[], bool]) -> float:
    """Wait until something is so, and return after how many seconds that was."""
    return float(await control_stage.wait_until(is_so, PATIENCE_S))


async def leader_killed() -> tuple[float, float, float]:
    """Return the seconds until another node leads, and until all units are counted again, and the most counted."""
    async with region() as made:
        leader = await made.leader()
        clock = asyncio.get_running_loop().time
        await made.nodes[leader].end()
        killed_at = clock()

        async def led() -> float:
            await made.leader(others_than=leader)
            return clock() - killed_at

        leading = asyncio.create_task(led())
        whole = await since(lambda: not made.sessions_at(leader) and made.counted() >= ALMOST_ALL * REGION_UNITS)
        return await leading, whole, max(made.sums) / REGION_UNITS


async def others() -> None:
    """Play the drills that no process dies in unasked, one after the other in one region."""
    clock = asyncio.get_running_loop().time
    async with region() as made:
        leader = await made.leader()
        process = made.nodes[leader].process
        os.kill(process.pid, signal.SIGSTOP)
        await asyncio.sleep(STOPPED_S)
        os.kill(process.pid, signal.SIGCONT)
        begun = clock()
        await made.all_in_view()
        back = clock() - begun
        await asyncio.sleep(OVERLAP_S)
        print(
            f"leader stopped {STOPPED_S:g} s: in the view {back:.1f} s after; most {max(made.sums) / REGION_UNITS:.3f}"
        )

        path = made.nodes[0].path
        smaller = path.with_name("smaller.star")
        smaller.write_text(path.read_text().replace("share = 0.7", "share = 0.5"))
        took = []
        for node in made.nodes:
            begun = clock()
            await node.end(signal.SIGTERM)
            node.path = smaller
            await node.start()
            await made.all_in_view()
            took.append(clock() - begun)
        await asyncio.sleep(OVERLAP_S)
        share = made.counted() / REGION_UNITS * 0.7
        most = max(made.sums) / REGION_UNITS
        print(f"share 0.7 to 0.5: {max(took):.1f} s a node at most; then {share:.3f} counted; most {most:.3f} of 0.7")

        before, made.addresses[0] = made.addresses[0], free_address()
        moved = path.with_name("moved.star")
        moved.write_text(smaller.read_text().replace(before, made.addresses[0]))
        await made.nodes[0].end(signal.SIGTERM)
        made.nodes[0].path = moved
        begun = clock()
        await made.nodes[0].start()
        await made.all_in_view()
        print(f"a node at another address, the others with the old file: in the view {clock() - begun:.1f} s after")


async def main(kills: int) -> None:
    """Play all drills and print what they took."""
    control_stage.SETTINGS = control_stage.SETTINGS.replace(
        "lease_ms = 1200, heartbeat_ms = 300, ping_ms = 200", USUAL_TERMS
    )
    control_stage.HEARTBEAT = 1.0
    found = [await leader_killed() for _ in range(kills)]
    for name, seconds in (
        ("another leads", [row[0] for row in found]),
        ("all units counted", [row[1] for row in found]),
    ):
        print(
            f"leader killed {kills} times: {name} after {statistics.median(seconds):.1f} s, {max(seconds):.1f} at most"
        )
    print(f"most counted {max(row[2] for row in found):.3f} of the region's units")
    await others()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=8)
    asyncio.run(main(parser.parse_args().kills))
