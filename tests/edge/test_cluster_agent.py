"""Gateways on loopback that watch each other and agree on views: connections, leaving, asking."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from fractions import Fraction

import pytest
from stage import FakeStore, deliver, free_address, run_test, settings_with

from tansykeel.edge.ask import NotTold, query_fleet
from tansykeel.edge.program import Edge
from tansykeel.settings.build import facts_of
from tansykeel.transport.sockets import listening

EACH = Fraction(1, 5)
SAFE = Fraction(1, 25)


class Fleet:
    def __init__(self, addresses, made):
        self.addresses, self.made = addresses, made
        self.edges, self.serving = {}, {}
        self.counted = []

    async def start(self, number):
        port = asyncio.get_running_loop().create_future()
        edge = Edge(
            self.made,
            facts_of(self.made, number, len(self.addresses)),
            1,
            sample=10**9,
            allotment_observer=lambda *told: self.counted.append(told),
        )
        self.edges[number] = edge
        self.serving[number] = asyncio.create_task(edge.serve(port.set_result))
        await port

    async def stop(self, number):
        edge = self.edges.pop(number)
        edge.stopping.set()
        await self.serving.pop(number)
        assert not edge.failed, "the gateway's own code failed"

    async def until(self, so):
        """Wait until something is so at all gateways; the test's own bound ends it else."""
        while not all(so(edge.cluster_agent) for edge in self.edges.values()):
            await asyncio.sleep(0.02)


@asynccontextmanager
async def fleet(extra="", agree="agree = True, lease_ms = 600, ping_ms = 100"):
    store = await FakeStore("s0", 0, deliver).start()
    addresses = [free_address() for _ in range(5)]
    made = settings_with([store], f"peers(addresses = {addresses!r}, {agree})\n{extra}")
    made_fleet = Fleet(addresses, made)
    try:
        yield made_fleet
    finally:
        for number in list(made_fleet.edges):
            await made_fleet.stop(number)
        await store.stop()


def settled(members):
    def so(cluster_agent):
        agreement = cluster_agent.cluster_member.agreement
        return agreement.active and cluster_agent.leased and len(agreement.view.members) == members

    return so


def test_a_fleet_forms_a_view_over_one_connection_a_pair_and_goes_on_without_one_that_leaves():
    async def go():
        async with fleet() as gateways:
            for number in range(5):
                await gateways.start(number)
            await gateways.until(settled(5))
            assert {edge.cluster_agent.told[1] for edge in gateways.edges.values()} == {EACH}
            links = sum(len(edge.hub.links) for edge in gateways.edges.values())
            while links > 2 * 10:  # of two that were opened at once one closes
                await asyncio.sleep(0.02)
                links = sum(len(edge.hub.links) for edge in gateways.edges.values())
            first = gateways.edges[0].cluster_agent.view.number
            await gateways.stop(4)
            await gateways.until(settled(4))
            assert {edge.cluster_agent.view.number for edge in gateways.edges.values()} == {first + 1}
            assert {edge.cluster_agent.told[1] for edge in gateways.edges.values()} == {SAFE + Fraction(1, 5)}
            # It said that it leaves: nobody had to suspect it.
            assert all(e.cluster_agent.seems["edge-4"].name == "DEAD" for e in gateways.edges.values())
            await gateways.start(4)
            await gateways.until(settled(5))
            assert gateways.edges[4].cluster_agent.view.number == first + 2

    run_test(go(), 40)


def test_an_operator_is_told_what_a_gateway_believes():
    async def go():
        async with fleet() as gateways:
            for number in range(3):  # of five: no first view without the others
                await gateways.start(number)
            await gateways.until(
                lambda cluster_agent: (
                    cluster_agent.cluster_member.failure_detector.others["edge-4"].seems.name == "DEAD"
                )
            )
            told = await query_fleet(gateways.addresses[0], 5)
            assert (told.name, told.number, told.leased, told.part) == ("edge-0", 0, 0, float(SAFE))
            seen = {other.name: (other.seems, other.link) for other in told.others}
            assert seen["edge-1"] == ("alive", "up") and seen["edge-4"][1] != "up"
            for number in (3, 4):
                await gateways.start(number)
            await gateways.until(settled(5))
            told = await query_fleet(gateways.addresses[3], 5)
            assert told.leased and told.active and told.part == float(EACH) and len(told.members) == 5
            assert (
                sorted(told.voters) == sorted(name for name, _ in told.members) == gateways.edges[0].cluster_agent.names
            )

    run_test(go(), 40)


def test_who_agrees_with_nobody_says_so():
    async def go():
        async with fleet(agree="agree = False") as gateways:
            await gateways.start(0)
            with pytest.raises(NotTold, match=r"peers\(agree = True\)"):
                await query_fleet(gateways.addresses[0], 5)
            with pytest.raises(NotTold):
                await query_fleet(gateways.addresses[1], 5)
            with pytest.raises(NotTold, match="host:port"):
                await query_fleet("nowhere", 5)

    run_test(go(), 20)


def test_a_gateway_that_takes_connections_and_says_nothing_holds_up_no_other():
    """The fifth accepts and is silent: words to it wait and go, the others' are not behind them."""

    async def go():
        async with fleet() as gateways:
            hole = listening(gateways.addresses[4])
            for number in range(4):
                await gateways.start(number)
            await gateways.until(
                lambda cluster_agent: (
                    cluster_agent.cluster_member.failure_detector.others["edge-4"].seems.name == "DEAD"
                )
            )
            await gateways.until(
                lambda cluster_agent: all(
                    cluster_agent.cluster_member.failure_detector.others[f"edge-{n}"].life
                    for n in range(4)
                    if f"edge-{n}" != cluster_agent.names[cluster_agent.peers.me]
                )
            )
            hole.close()
            await gateways.start(4)
            await gateways.until(settled(5))

    run_test(go(), 40)


def test_the_command_shows_a_table_or_json(monkeypatch):
    from typer.testing import CliRunner

    from tansykeel.cli.main import app
    from tansykeel.edge import ask as asking
    from tansykeel.protocol.frames import Fellow, FleetTold

    told = FleetTold(
        "edge-0",
        5,
        3,
        True,
        900_000,
        0.2,
        1,
        (("edge-0", 5), ("edge-1", 6)),
        ("edge-0",),
        (Fellow("edge-1", 0, "suspect", 1_000_000, 7, ("edge-2",), "up", 2, 9),),
    )

    async def answer(address, seconds):
        return told

    monkeypatch.setattr(asking, "query_fleet", answer)
    shown = CliRunner().invoke(app, ["fleet", "status", "h:1"])
    assert shown.exit_code == 0 and "view 3" in shown.output and "suspect" in shown.output
    parsed = json.loads(CliRunner().invoke(app, ["fleet", "status", "h:1", "--json"]).output)
    assert parsed["number"] == 3 and parsed["others"][0]["suspected_by"] == ["edge-2"]
