"""A gateway's session with scripted control nodes on loopback: what it sends, counts by, logs, and how it ends."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
import structlog
from control_node_script import HEARTBEAT_MS, LEASE_MS, UNITS, ScriptedNode, control_settings, settings_of
from stage import FakeStore, deliver, free_address, play, until
from structlog.testing import capture_logs

from tansykeel.audit.records import LeaseClaimed, read
from tansykeel.cli.metrics import Collector
from tansykeel.cli.records import claim_recorder
from tansykeel.control.actions import part_of
from tansykeel.control.session_client import SessionState
from tansykeel.edge.clock import clock
from tansykeel.edge.control_session import control_session_of
from tansykeel.edge.program import Edge
from tansykeel.protocol.frames import Goodbye, Heartbeat, SessionClose, SessionOpen
from tansykeel.settings.build import facts_of
from tansykeel.transport.link import Hub, Limits
from tansykeel.transport.traffic import traffic_of

GATEWAYS = 20


class Stage:
    """Three scripted nodes and the session of gateway 3, with all claims that it made."""

    def __init__(self):
        self.nodes = {f"n{number}": ScriptedNode(f"n{number}", free_address()) for number in range(3)}
        self.settings = settings_of(control_settings([node.address for node in self.nodes.values()], GATEWAYS))
        self.hub = Hub(Limits())
        self.claims, self.ended_traffic = [], []
        self.session = control_session_of(
            self.settings,
            3,
            77,
            1,
            self.hub,
            structlog.get_logger(),
            lambda *claim: self.claims.append(claim),
            lambda sock: self.ended_traffic.append(traffic_of(sock)),
        )
        self.first, self.second, self.third = (self.nodes[name] for name in self.session.client.order)

    async def start_nodes(self):
        for node in self.nodes.values():
            await node.start()

    def leased_by(self, node):
        return self.session.client.counts(clock()).node == node.name

    def without_lease(self):
        """Claims of the safe part alone after the first lease."""
        held = [claim for _, _, _, claim in self.claims]
        first = next(place for place, claim in enumerate(held) if claim.node)
        return [claim for claim in held[first:] if not claim.node]


@asynccontextmanager
async def stage():
    made = Stage()
    made.hub.start()
    try:
        yield made
    finally:
        made.session.abort("the test ends")
        await made.hub.stop()
        for node in made.nodes.values():
            await node.stop()


def test_a_session_opens_at_the_first_choice_and_the_gateway_earns_by_its_lease():
    async def go():
        async with stage() as made:
            await made.start_nodes()
            begun = clock()
            made.session.start()
            await until(lambda: made.leased_by(made.first))
            assert made.session.is_open and made.first.received[0][:2] == ("edge-3", 77)
            assert made.first.of(SessionOpen)[0] == SessionOpen("ours", "edge-3", "north")
            assert not made.second.received and not made.third.received
            _, even_parts = made.session.allotments.accrued(begun, clock())
            assert even_parts == pytest.approx(float(part_of(UNITS, GATEWAYS) * GATEWAYS))
            await until(lambda: len(made.first.of(Heartbeat)) >= 4)
            beats = [beat.asked_at for beat in made.first.of(Heartbeat)]
            assert min(b - a for a, b in zip(beats, beats[1:], strict=False)) >= HEARTBEAT_MS * 10
            assert {claim[1:3] for claim in made.claims} == {("edge-3", 77)} and not made.without_lease()
            assert made.claims[-1][3].units == UNITS

    play(go())


async def lose_silently(node):
    node.silent = True


async def lose_in_order(node):
    for link in node.links:
        link.send(0, Goodbye())


@pytest.mark.parametrize(
    "lose, events",
    [
        (ScriptedNode.stop, ["control connection lost", "session lost", "session opened"]),
        (lose_silently, ["session lost", "control connection closed", "session opened"]),
        (lose_in_order, ["session lost", "control connection closed", "session opened"]),
    ],
)
def test_a_lost_node_is_replaced_by_another_before_its_lease_ends(lose, events):
    async def go():
        async with stage() as made:
            await made.start_nodes()
            made.session.start()
            await until(lambda: made.leased_by(made.first))
            with capture_logs() as logs:
                await lose(made.first)
                await until(lambda: made.leased_by(made.second) or made.leased_by(made.third))
            await until(lambda: not made.first.links)
            assert not made.without_lease() and [log["event"] for log in logs][:3] == events
            assert len(made.ended_traffic) == 1 and made.ended_traffic[0].bytes_sent > 100

    play(go())


def test_a_session_comes_back_after_the_time_it_was_told():
    async def go():
        async with stage() as made:
            await made.start_nodes()
            for node in made.nodes.values():
                node.reject("too many new sessions", 50_000)
            with capture_logs() as logs:
                made.session.start()
                await until(lambda: made.first.of(SessionOpen))
                for node in made.nodes.values():
                    node.rejects = None
                await until(lambda: made.session.is_open)
            rejected = [log for log in logs if log["event"] == "session rejected"]
            assert rejected[0]["reason"] == "too many new sessions" and rejected[0]["retry_after_ms"] == 50

    play(go())


def test_a_node_of_another_cluster_is_an_error_with_advice_and_the_next_one_is_asked():
    async def go():
        async with stage() as made:
            made.first.cluster = "theirs"
            await made.start_nodes()
            with capture_logs() as logs:
                made.session.start()
                await until(lambda: made.session.client.state is SessionState.REJECTED)
            errors = [log for log in logs if log["log_level"] == "error"]
            assert len(errors) == 1 and "theirs" in errors[0]["what"] and "control(...)" in errors[0]["do"]
            assert not made.leased_by(made.first)

    play(go())


def test_an_address_of_something_else_than_a_control_node_is_named_and_the_next_one_is_asked():
    async def go():
        async with stage() as made:
            made.first.role = "store"
            await made.start_nodes()
            with capture_logs() as logs:
                made.session.start()
                await until(lambda: made.session.is_open)
            lost = [log for log in logs if log["event"] == "control connection lost"]
            assert "role 'store'" in lost[0]["reason"] and lost[0]["node"] == made.first.name
            assert not made.leased_by(made.first)

    play(go())


def test_a_closed_session_counts_by_nothing_before_its_node_hears_of_it_and_sends_no_more():
    async def go():
        async with stage() as made:
            await made.start_nodes()
            made.session.start()
            await until(lambda: made.leased_by(made.first))
            made.session.close()
            assert not made.claims[-1][3].node and not made.session.ended
            await until(lambda: made.session.ended)
            await until(lambda: not made.first.links)
            assert isinstance(made.first.received[-1][2], SessionClose)
            received = len(made.first.received)
            await asyncio.sleep(3 * HEARTBEAT_MS / 1_000)
            assert len(made.first.received) == received and not made.second.received

    play(go())


def test_an_aborted_session_says_nothing():
    async def go():
        async with stage() as made:
            await made.start_nodes()
            made.session.start()
            await until(lambda: made.leased_by(made.first))
            made.session.abort("killed")
            await until(lambda: not made.first.links)
            assert not made.first.of(SessionClose) and made.session.ended

    play(go())


def test_claims_are_recorded_as_they_change(tmp_path):
    async def go():
        async with stage() as made:
            await made.start_nodes()
            made.session.on_claim = claim_recorder(tmp_path / "claims")
            made.session.start()
            await until(lambda: made.leased_by(made.first))
            made.session.close()

    play(go())
    claims = list(read(tmp_path / "claims"))
    assert all(isinstance(claim, LeaseClaimed) and claim.incarnation == 77 for claim in claims)
    assert not claims[0].node and claims[1].units == UNITS and claims[-1].until == 0
    assert 0 < claims[1].until - claims[1].at <= LEASE_MS * 1_000


def test_a_gateway_serves_with_its_safe_part_until_control_nodes_are_there_and_closes_its_session_at_its_end():
    async def go():
        store = await FakeStore("s0", 0, deliver).start()
        nodes = [ScriptedNode(f"n{number}", free_address()) for number in range(3)]
        text = control_settings(
            [node.address for node in nodes], 2, f'store("s0", address = "{store.address}", shard = 0)\n'
        )
        settings = settings_of(text)
        port, claims = asyncio.get_running_loop().create_future(), []
        edge = Edge(settings, facts_of(settings, 1, 2), 1, claimed=lambda *claim: claims.append(claim[3].units))
        serving = asyncio.create_task(edge.serve(port.set_result))
        await port
        assert edge.core.runner.shares.accrued(clock(), clock())[1] == pytest.approx(0.2)
        for node in nodes:
            await node.start()
        await until(lambda: UNITS in claims)
        values = {metric.name: metric.samples[0].value for metric in Collector(edge).collect() if metric.samples}
        assert values["tansykeel_control_session_open"] == 1
        assert values["tansykeel_control_part"] == pytest.approx(float(part_of(UNITS, 2)))
        edge.stopping.set()
        assert await serving == 0 and claims[-1] == 0
        await until(lambda: sum(len(node.of(SessionClose)) for node in nodes) == 1)
        for node in nodes:
            await node.stop()
        await store.stop()

    play(go())
