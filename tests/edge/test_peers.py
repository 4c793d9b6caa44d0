"""Two gateways on loopback that pass on units of a limit, and one whose fellow is not there."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from stage import Client, FakeStore, deliver, free_address, run_test, settings_with

from tansykeel.edge.program import Edge
from tansykeel.settings.build import facts_of
from tansykeel.transport.link import Hub, Limits

DELIVERED, NACKED = 0, 1
UNITS = 4096  # bytes in a unit
# No unit comes back while a test runs; two gateways have 300 each.
THIN = 'plan("thin", rate = 100, limit = 0.0001, limit_depth = 600)\nvolume("w", plan = "thin", gateways = 2)\n'


class At:
    """Where a client goes."""

    def __init__(self, hub, port):
        self.hub, self.port = hub, port


@asynccontextmanager
async def gateways(store, talk, running=2):
    """`running` gateways of two before one store; yields their programs and a client of each."""
    await store.start()
    addresses = [free_address(), free_address()]
    extra = THIN + (f"peers(addresses = {addresses!r})\n" if talk else "")
    made = settings_with([store], extra)
    hub = Hub(Limits(stall=60, high_water=1 << 30))
    hub.start()
    edges = [Edge(made, facts_of(made, number, 2), 1, sample=10**9) for number in range(running)]
    ports = [asyncio.get_running_loop().create_future() for _ in edges]
    serving = [asyncio.create_task(edge.serve(port.set_result)) for edge, port in zip(edges, ports, strict=True)]
    try:
        clients = [await Client(At(hub, await port)).start() for port in ports]
        await asyncio.sleep(0.2)  # the greetings are over, and a new fleet's limits are full
        yield edges, clients
    finally:
        for edge in edges:
            edge.stopping.set()
        await asyncio.gather(*serving)
        await hub.stop()
        await store.stop()
    assert not any(edge.failed for edge in edges), "the gateway's own code failed"


def units_of(edge):
    return edge.native.volumes["w"].state.units


def test_a_gateway_that_has_spent_its_part_serves_with_units_of_the_other():
    async def go():
        async with gateways(FakeStore("s0", 0, deliver), talk=True) as (edges, (first, second)):
            assert (await second.answer(second.ask(size=UNITS, volume="w"))).result == DELIVERED
            for _ in range(2):  # 400 units through a gateway that has 300
                assert (await first.answer(first.ask(size=200 * UNITS, volume="w"))).result == DELIVERED
            assert units_of(edges[0]) + units_of(edges[1]) == pytest.approx(600 - 401, abs=1)

    run_test(go())


def test_all_gateways_together_do_not_send_more_than_the_limit_has():
    async def go():
        async with gateways(FakeStore("s0", 0, deliver), talk=True) as (edges, clients):
            sent = 0
            for round_ in range(8):
                client = clients[round_ % 2]
                if (await client.answer(client.ask(size=100 * UNITS, volume="w"))).result == DELIVERED:
                    sent += 100
            assert 300 < sent <= 600
            assert sum(map(units_of, edges)) == pytest.approx(600 - sent, abs=1)

    run_test(go())


def test_without_peers_each_gateway_keeps_to_its_own_part():
    async def go():
        async with gateways(FakeStore("s0", 0, deliver), talk=False) as (edges, (first, second)):
            assert (await second.answer(second.ask(size=UNITS, volume="w"))).result == NACKED  # starts empty
            assert edges[0].peers is None

    run_test(go())


def test_a_gateway_whose_fellow_is_down_starts_empty_and_answers_at_once():
    async def go():
        async with gateways(FakeStore("s0", 0, deliver), talk=True, running=1) as (_, [only]):
            begun = asyncio.get_running_loop().time()
            assert (await only.answer(only.ask(size=250 * UNITS, volume="w", patience=4.0))).result == NACKED
            assert asyncio.get_running_loop().time() - begun < 2.0  # half of its patience

    run_test(go())
