"""Three control nodes as processes: leases never exceed the region's units, also when nodes are killed or stopped."""

from __future__ import annotations

import asyncio
import signal

from control_stage import REGION_UNITS, run_gateways, run_node_processes, wait_until
from stage import run_test

from tansykeel.edge.ask import request
from tansykeel.protocol.frames import ControlStatus, ControlStatusRequest

ALMOST_ALL = REGION_UNITS * 0.99
FAILOVER_SECONDS = 12  # time limit for the sessions of a killed leader to move to other nodes


async def status(address):
    """Return the status of the control node at this address."""
    return await request(address, ControlStatusRequest(), ControlStatus, 2)


async def leader_of(addresses):
    """Poll the nodes until one reports that it is the leader, and return its number."""
    while True:
        for number, address in enumerate(addresses):
            if (await status(address)).leads:
                return number
        await asyncio.sleep(0.1)


async def wait_until_all_can_grant(addresses):
    """Wait until each node holds a lease and has a budget."""
    for address in addresses:
        while not ((node := await status(address)).leased and node.budget):
            await asyncio.sleep(0.1)


def test_leases_of_sessions_on_three_nodes_add_up_to_the_regions_units_and_never_more(tmp_path):
    async def go():
        sums = []
        async with run_node_processes(tmp_path) as (_, addresses):
            await wait_until_all_can_grant(addresses)
            async with run_gateways(addresses, sums) as gateways:
                await wait_until(lambda: sum(gateway.counted() for gateway in gateways) >= ALMOST_ALL)
                assert {gateway.node for gateway in gateways} == {"n0", "n1", "n2"}
                statuses = [await status(address) for address in addresses]
                assert sum(node.sessions for node in statuses) == 6 and len({node.view for node in statuses}) == 1
                assert sum(node.budget for node in statuses) <= REGION_UNITS
                await asyncio.sleep(1)  # long enough for a gateway's part that is too large to show in the sums
        assert max(sums) <= REGION_UNITS

    run_test(go())


def test_killed_leaders_sessions_move_within_twelve_seconds_and_all_others_stay(tmp_path):
    async def go():
        sums = []
        async with run_node_processes(tmp_path) as (nodes, addresses):
            await wait_until_all_can_grant(addresses)
            async with run_gateways(addresses, sums) as gateways:
                await wait_until(lambda: sum(gateway.counted() for gateway in gateways) >= ALMOST_ALL)
                leader = await leader_of(addresses)
                sessions = {gateway: gateway.answer for gateway in gateways if gateway.node != f"n{leader}"}
                assert 0 < len(sessions) < len(gateways)
                await nodes[leader].end()
                killed_at = len(sums)

                def moved():
                    all_counted = sum(gateway.counted() for gateway in gateways) >= ALMOST_ALL
                    return all_counted and all(gateway.node != f"n{leader}" for gateway in gateways)

                await wait_until(moved, FAILOVER_SECONDS)
                assert all(gateway.answer is answer for gateway, answer in sessions.items()), (
                    "a session on a follower was lost"
                )
                assert min(sums[killed_at:]) > 0
        assert max(sums) <= REGION_UNITS

    run_test(go(), 60)


def test_leases_expire_while_all_nodes_are_down_and_are_granted_again_after_a_restart(tmp_path):
    async def go():
        sums = []
        async with run_node_processes(tmp_path) as (nodes, addresses), run_gateways(addresses, sums) as gateways:
            await wait_until(lambda: sum(gateway.counted() for gateway in gateways) >= ALMOST_ALL)
            await asyncio.gather(*(node.end() for node in nodes))
            await wait_until(lambda: sum(gateway.counted() for gateway in gateways) == 0, 2)
            await asyncio.gather(*(node.start() for node in nodes))
            await wait_until(lambda: sum(gateway.counted() for gateway in gateways) >= ALMOST_ALL)
        assert max(sums) <= REGION_UNITS

    run_test(go(), 60)


def test_node_moves_its_gateways_to_other_nodes_on_sigterm_and_exits_in_time(tmp_path):
    async def go():
        async with run_node_processes(tmp_path) as (nodes, addresses), run_gateways(addresses, []) as gateways:
            await wait_until(lambda: all(gateway.counted() for gateway in gateways))
            async with asyncio.timeout(2):
                assert await nodes[0].end(signal.SIGTERM) == 0
            await wait_until(lambda: all(gateway.counted() and gateway.node != "n0" for gateway in gateways))

    run_test(go())


def test_node_without_a_majority_holds_no_lease_and_grants_nothing(tmp_path):
    async def go():
        async with run_node_processes(tmp_path) as (nodes, addresses), run_gateways(addresses[:1], []) as gateways:
            await wait_until(lambda: all(gateway.counted() for gateway in gateways))
            assert (await status(addresses[0])).leased
            await asyncio.gather(nodes[1].end(), nodes[2].end())
            await wait_until(lambda: not any(gateway.counted() for gateway in gateways), 3)
            # With the allowed clock drift, leases stay outstanding at the node for longer than gateways count them.
            await asyncio.sleep(0.5)
            alone = await status(addresses[0])
            assert (alone.leased, alone.budget, alone.units_granted) == (0, 0, 0)

    run_test(go())
