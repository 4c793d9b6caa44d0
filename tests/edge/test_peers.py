"""Two gateways on loopback that share the units of a limit, and one whose peer is not running."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from stage import Client, FakeStore, deliver, free_address, run_test, settings_with

from tansykeel.edge.program import Edge
from tansykeel.settings.build import facts_of
from tansykeel.transport.link import Hub, Limits

DELIVERED, NACKED = 0, 1
UNIT_BYTES = 4096
# A limit of 600 units, 300 for each of two gateways, that regains next to nothing while a test runs
LIMITED_VOLUME = (
    'plan("thin", rate = 100, limit = 0.0001, limit_depth = 600)\nvolume("w", plan = "thin", gateways = 2)\n'
)


class Target:
    """A hub and a port, which is what a `Client` needs of a gateway to connect to it."""

    def __init__(self, hub, port):
        self.hub, self.port = hub, port


@asynccontextmanager
async def gateways(store, with_peers, running=2):
    """Run the first `running` of two gateways with one store; yields their programs and a client of each."""
    await store.start()
    addresses = [free_address(), free_address()]
    extra = LIMITED_VOLUME + (f"peers(addresses = {addresses!r})\n" if with_peers else "")
    settings = settings_with([store], extra)
    hub = Hub(Limits(stall=60, high_water=1 << 30))
    hub.start()
    edges = [Edge(settings, facts_of(settings, number, 2), 1, sample=10**9) for number in range(running)]
    ports = [asyncio.get_running_loop().create_future() for _ in edges]
    serving = [asyncio.create_task(edge.serve(port.set_result)) for edge, port in zip(edges, ports, strict=True)]
    try:
        clients = [await Client(Target(hub, await port)).start() for port in ports]
        # After this the gateways have greeted each other; the limits of a fleet whose gateways all start are full.
        await asyncio.sleep(0.2)
        yield edges, clients
    finally:
        for edge in edges:
            edge.stopping.set()
        await asyncio.gather(*serving)
        await hub.stop()
        await store.stop()
    assert not any(edge.failed for edge in edges), "the gateway's own code failed"


def units_left(edge):
    """Units of the limit that a gateway holds."""
    return edge.native.volumes["w"].state.units


def test_a_gateway_that_has_spent_its_share_of_a_limit_gets_units_from_the_other():
    async def scenario():
        async with gateways(FakeStore("s0", 0, deliver), with_peers=True) as (edges, (first, second)):
            assert (await second.answer(second.ask(size=UNIT_BYTES, volume="w"))).result == DELIVERED
            for _ in range(2):  # 400 units through a gateway whose share is 300
                assert (await first.answer(first.ask(size=200 * UNIT_BYTES, volume="w"))).result == DELIVERED
            assert units_left(edges[0]) + units_left(edges[1]) == pytest.approx(600 - 401, abs=1)

    run_test(scenario())


def test_all_gateways_together_send_no_more_than_the_limit():
    async def scenario():
        async with gateways(FakeStore("s0", 0, deliver), with_peers=True) as (edges, clients):
            sent = 0
            for round_ in range(8):
                client = clients[round_ % 2]
                if (await client.answer(client.ask(size=100 * UNIT_BYTES, volume="w"))).result == DELIVERED:
                    sent += 100
            assert 300 < sent <= 600
            assert sum(map(units_left, edges)) == pytest.approx(600 - sent, abs=1)

    run_test(scenario())


def test_without_peers_each_gateway_uses_only_its_own_share():
    async def scenario():
        async with gateways(FakeStore("s0", 0, deliver), with_peers=False) as (edges, (first, second)):
            # A gateway without peers starts with an empty limit.
            assert (await second.answer(second.ask(size=UNIT_BYTES, volume="w"))).result == NACKED
            assert edges[0].peers is None

    run_test(scenario())


def test_a_gateway_whose_peer_is_down_starts_with_an_empty_limit_and_answers_without_waiting():
    async def scenario():
        async with gateways(FakeStore("s0", 0, deliver), with_peers=True, running=1) as (_, [only]):
            started = asyncio.get_running_loop().time()
            assert (await only.answer(only.ask(size=250 * UNIT_BYTES, volume="w", patience=4.0))).result == NACKED
            assert asyncio.get_running_loop().time() - started < 2.0  # half of the patience of the request

    run_test(scenario())
