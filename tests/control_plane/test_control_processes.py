"""Three control nodes as processes: sessions, leases within the region's units, a leader killed, all killed."""

from __future__ import annotations

import asyncio
import signal

from control_stage import REGION_UNITS, run_gateways, run_node_processes, wait_until
from stage import run_test

from tansykeel.edge.ask import request
from tansykeel.protocol.frames import ControlStatus, ControlStatusRequest

ALMOST_ALL = REGION_UNITS * 0.99
TWELVE_SECONDS = 12  # in which leases have to move to another leader


async def status(address):
    return await request(address, ControlStatusRequest(), ControlStatus, 2)


async def leader_of(addresses):
    """The number of the node that leads; it is asked again until one says so of itself."""
    while True:
        for number, address in enumerate(addresses):
            if (await status(address)).leads:
                return number
        await asyncio.sleep(0.1)


async def all_may_grant(addresses):
    """Wait until each node holds a lease and has a budget."""
    for address in addresses:
        while not ((told := await status(address)).leased and told.budget):
            await asyncio.sleep(0.1)


def test_sessions_spread_over_three_nodes_count_the_regions_units_and_never_more(tmp_path):
    async def go():
        sums = []
        async with run_node_processes(tmp_path) as (_, addresses):
            await all_may_grant(addresses)
            async with run_gateways(addresses, sums) as held:
                await wait_until(lambda: sum(gateway.counted() for gateway in held) >= ALMOST_ALL)
                assert {gateway.node for gateway in held} == {"n0", "n1", "n2"}
                told = [await status(address) for address in addresses]
                assert sum(node.sessions for node in told) == 6 and len({node.view for node in told}) == 1
                assert sum(node.budget for node in told) <= REGION_UNITS
                await asyncio.sleep(1)  # a part that is too large would have grown to its size by now
        assert max(sums) <= REGION_UNITS

    run_test(go())


def test_a_leader_killed_leaves_the_others_leases_alone_and_its_own_move_within_twelve_seconds(tmp_path):
    async def go():
        sums = []
        async with run_node_processes(tmp_path) as (nodes, addresses):
            await all_may_grant(addresses)
            async with run_gateways(addresses, sums) as held:
                await wait_until(lambda: sum(gateway.counted() for gateway in held) >= ALMOST_ALL)
                leader = await leader_of(addresses)
                sessions = {gateway: gateway.answer for gateway in held if gateway.node != f"n{leader}"}
                assert 0 < len(sessions) < len(held)
                await nodes[leader].end()
                killed_at = len(sums)

                def moved():
                    whole = sum(gateway.counted() for gateway in held) >= ALMOST_ALL
                    return whole and all(gateway.node != f"n{leader}" for gateway in held)

                await wait_until(moved, TWELVE_SECONDS)
                assert all(gateway.answer is answer for gateway, answer in sessions.items()), "a follower's was lost"
                assert min(sums[killed_at:]) > 0
        assert max(sums) <= REGION_UNITS

    run_test(go(), 60)


def test_all_nodes_killed_and_returned_grant_again_and_meanwhile_leases_end_by_themselves(tmp_path):
    async def go():
        sums = []
        async with run_node_processes(tmp_path) as (nodes, addresses), run_gateways(addresses, sums) as held:
            await wait_until(lambda: sum(gateway.counted() for gateway in held) >= ALMOST_ALL)
            await asyncio.gather(*(node.end() for node in nodes))
            await wait_until(lambda: sum(gateway.counted() for gateway in held) == 0, 2)
            await asyncio.gather(*(node.start() for node in nodes))
            await wait_until(lambda: sum(gateway.counted() for gateway in held) >= ALMOST_ALL)
        assert max(sums) <= REGION_UNITS

    run_test(go(), 60)


def test_a_node_told_to_end_lets_its_gateways_go_and_ends_in_time(tmp_path):
    async def go():
        async with run_node_processes(tmp_path) as (nodes, addresses), run_gateways(addresses, []) as held:
            await wait_until(lambda: all(gateway.counted() for gateway in held))
            async with asyncio.timeout(2):
                assert await nodes[0].end(signal.SIGTERM) == 0
            await wait_until(lambda: all(gateway.counted() and gateway.node != "n0" for gateway in held))

    run_test(go())


def test_a_node_alone_holds_no_lease_and_grants_nothing(tmp_path):
    async def go():
        async with run_node_processes(tmp_path) as (nodes, addresses), run_gateways(addresses[:1], []) as held:
            await wait_until(lambda: all(gateway.counted() for gateway in held))
            assert (await status(addresses[0])).leased
            await asyncio.gather(nodes[1].end(), nodes[2].end())
            await wait_until(lambda: not any(gateway.counted() for gateway in held), 3)
            await asyncio.sleep(
                0.5
            )  # a node takes leases for outstanding longer than gateways count them, by the drift
            told = await status(addresses[0])
            assert (told.leased, told.budget, told.units_granted) == (0, 0, 0)

    run_test(go())
