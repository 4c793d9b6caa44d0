"""Gateways on loopback that monitor each other and agree on views: connections, leaving, status requests."""

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

EVEN_SHARE = Fraction(1, 5)  # of each of five gateways in a view of all
SAFE_SHARE = Fraction(1, 25)  # of each gateway without a lease


class Fleet:
    """Gateways of the same settings in this process, started and stopped by number."""

    def __init__(self, addresses, settings):
        self.addresses, self.settings = addresses, settings
        self.edges, self.serving = {}, {}
        self.part_changes = []

    async def start(self, number):
        port = asyncio.get_running_loop().create_future()
        edge = Edge(
            self.settings,
            facts_of(self.settings, number, len(self.addresses)),
            1,
            sample=10**9,
            allotment_observer=lambda *change: self.part_changes.append(change),
        )
        self.edges[number] = edge
        self.serving[number] = asyncio.create_task(edge.serve(port.set_result))
        await port

    async def stop(self, number):
        edge = self.edges.pop(number)
        edge.stopping.set()
        await self.serving.pop(number)
        assert not edge.failed, "the gateway's own code failed"

    async def until(self, condition):
        """Wait until a condition holds at all gateways; the time limit of `play` ends an endless wait."""
        while not all(condition(edge.cluster_agent) for edge in self.edges.values()):
            await asyncio.sleep(0.02)


@asynccontextmanager
async def fleet(extra="", agree="agree = True, lease_ms = 600, ping_ms = 100"):
    store = await FakeStore("s0", 0, deliver).start()
    addresses = [free_address() for _ in range(5)]
    settings = settings_with([store], f"peers(addresses = {addresses!r}, {agree})\n{extra}")
    gateways = Fleet(addresses, settings)
    try:
        yield gateways
    finally:
        for number in list(gateways.edges):
            await gateways.stop(number)
        await store.stop()


def has_leased_view_of(members):
    def condition(cluster_agent):
        agreement = cluster_agent.cluster_member.agreement
        return agreement.active and cluster_agent.leased and len(agreement.view.members) == members

    return condition


def test_gateways_form_a_view_with_one_connection_per_pair_and_a_new_view_without_a_gateway_that_leaves():
    async def scenario():
        async with fleet() as gateways:
            for number in range(5):
                await gateways.start(number)
            await gateways.until(has_leased_view_of(5))
            assert {edge.cluster_agent.last_part[1] for edge in gateways.edges.values()} == {EVEN_SHARE}
            links = sum(len(edge.hub.links) for edge in gateways.edges.values())
            while links > 2 * 10:  # two ends of ten pairs; of two connections opened at the same time one is closed
                await asyncio.sleep(0.02)
                links = sum(len(edge.hub.links) for edge in gateways.edges.values())
            first = gateways.edges[0].cluster_agent.view.number
            await gateways.stop(4)
            await gateways.until(has_leased_view_of(4))
            assert {edge.cluster_agent.view.number for edge in gateways.edges.values()} == {first + 1}
            assert {edge.cluster_agent.last_part[1] for edge in gateways.edges.values()} == {
                SAFE_SHARE + Fraction(1, 5)
            }
            # It announced that it leaves, so the others need not wait for a suspicion to expire.
            assert all(e.cluster_agent.member_states["edge-4"].name == "DEAD" for e in gateways.edges.values())
            await gateways.start(4)
            await gateways.until(has_leased_view_of(5))
            assert gateways.edges[4].cluster_agent.view.number == first + 2

    run_test(scenario(), 40)


def test_a_status_request_returns_the_gateways_view_of_the_cluster():
    async def scenario():
        async with fleet() as gateways:
            for number in range(3):  # of five: the first view needs all of them
                await gateways.start(number)
            await gateways.until(
                lambda cluster_agent: (
                    cluster_agent.cluster_member.failure_detector.others["edge-4"].state.name == "DEAD"
                )
            )
            status = await query_fleet(gateways.addresses[0], 5)
            assert (status.name, status.number, status.leased, status.part) == ("edge-0", 0, 0, float(SAFE_SHARE))
            others = {other.name: (other.seems, other.link) for other in status.others}
            assert others["edge-1"] == ("alive", "up") and others["edge-4"][1] != "up"
            for number in (3, 4):
                await gateways.start(number)
            await gateways.until(has_leased_view_of(5))
            status = await query_fleet(gateways.addresses[3], 5)
            assert status.leased and status.active and status.part == float(EVEN_SHARE) and len(status.members) == 5
            assert (
                sorted(status.voters)
                == sorted(name for name, _ in status.members)
                == gateways.edges[0].cluster_agent.names
            )

    run_test(scenario(), 40)


def test_a_gateway_without_agreement_answers_a_status_request_with_an_error():
    async def scenario():
        async with fleet(agree="agree = False") as gateways:
            await gateways.start(0)
            with pytest.raises(NotTold, match=r"peers\(agree = True\)"):
                await query_fleet(gateways.addresses[0], 5)
            with pytest.raises(NotTold):
                await query_fleet(gateways.addresses[1], 5)
            with pytest.raises(NotTold, match="host:port"):
                await query_fleet("nowhere", 5)

    run_test(scenario(), 20)


def test_a_gateway_that_accepts_connections_and_never_answers_delays_no_other():
    """Guards against one queue for all peers: messages to a silent peer must not delay those to the others.

    The fifth gateway's address accepts connections and never sends; messages to it expire in its own queue.
    """

    async def scenario():
        async with fleet() as gateways:
            silent_listener = listening(gateways.addresses[4])
            for number in range(4):
                await gateways.start(number)
            await gateways.until(
                lambda cluster_agent: (
                    cluster_agent.cluster_member.failure_detector.others["edge-4"].state.name == "DEAD"
                )
            )
            await gateways.until(
                lambda cluster_agent: all(
                    cluster_agent.cluster_member.failure_detector.others[f"edge-{n}"].incarnation
                    for n in range(4)
                    if f"edge-{n}" != cluster_agent.names[cluster_agent.peers.number]
                )
            )
            silent_listener.close()
            await gateways.start(4)
            await gateways.until(has_leased_view_of(5))

    run_test(scenario(), 40)


def test_the_status_command_prints_a_table_or_json(monkeypatch):
    from typer.testing import CliRunner

    from tansykeel.cli.main import app
    from tansykeel.edge import ask as ask_module
    from tansykeel.protocol.frames import Fellow, FleetTold

    status = FleetTold(
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
        return status

    monkeypatch.setattr(ask_module, "query_fleet", answer)
    result = CliRunner().invoke(app, ["fleet", "status", "h:1"])
    assert result.exit_code == 0 and "view 3" in result.output and "suspect" in result.output
    parsed = json.loads(CliRunner().invoke(app, ["fleet", "status", "h:1", "--json"]).output)
    assert parsed["number"] == 3 and parsed["others"][0]["suspected_by"] == ["edge-2"]
