"""A gateway's session with scripted control nodes on loopback: what it sends and logs, which lease it uses, its end."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
import structlog
from control_node_script import HEARTBEAT_MS, LEASE_MS, UNITS, ScriptedNode, control_settings, settings_of
from stage import FakeStore, deliver, free_address, run_test, until
from structlog.testing import capture_logs

from tansykeel.audit.records import LeaseClaimed, read
from tansykeel.cli.metrics import Collector
from tansykeel.cli.records import claim_recorder
from tansykeel.control.actions import gateway_part
from tansykeel.control.session_client import SessionState
from tansykeel.edge.clock import clock
from tansykeel.edge.control_session import create_control_session
from tansykeel.edge.program import Edge
from tansykeel.protocol.frames import Goodbye, Heartbeat, SessionClose, SessionOpen
from tansykeel.settings.build import facts_of
from tansykeel.transport.link import Hub, Limits
from tansykeel.transport.traffic import traffic_of

GATEWAYS = 20


class Setup:
    """Three scripted control nodes and the session of gateway 3, with the leases that it used one after another."""

    def __init__(self):
        self.nodes = {f"n{number}": ScriptedNode(f"n{number}", free_address()) for number in range(3)}
        self.settings = settings_of(control_settings([node.address for node in self.nodes.values()], GATEWAYS))
        self.hub = Hub(Limits())
        self.claims, self.ended_traffic = [], []
        self.session = create_control_session(
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
        return self.session.client.effective_lease(clock()).node == node.name

    def without_lease(self):
        """Return the claims without a lease that followed the first lease."""
        claims = [claim for _, _, _, claim in self.claims]
        first = next(index for index, claim in enumerate(claims) if claim.node)
        return [claim for claim in claims[first:] if not claim.node]


@asynccontextmanager
async def running_setup():
    setup = Setup()
    setup.hub.start()
    try:
        yield setup
    finally:
        setup.session.abort("the test ends")
        await setup.hub.stop()
        for node in setup.nodes.values():
            await node.stop()


def test_a_session_opens_at_the_preferred_node_and_its_lease_sets_the_share_of_the_gateway():
    async def scenario():
        async with running_setup() as setup:
            await setup.start_nodes()
            started_at = clock()
            setup.session.start()
            await until(lambda: setup.leased_by(setup.first))
            assert setup.session.is_open and setup.first.received[0][:2] == ("edge-3", 77)
            assert setup.first.of(SessionOpen)[0] == SessionOpen("ours", "edge-3", "north")
            assert not setup.second.received and not setup.third.received
            _, even_parts = setup.session.allotments.accrued(started_at, clock())
            assert even_parts == pytest.approx(float(gateway_part(UNITS, GATEWAYS) * GATEWAYS))
            await until(lambda: len(setup.first.of(Heartbeat)) >= 4)
            beats = [beat.asked_at for beat in setup.first.of(Heartbeat)]
            assert min(b - a for a, b in zip(beats, beats[1:], strict=False)) >= HEARTBEAT_MS * 10
            assert {claim[1:3] for claim in setup.claims} == {("edge-3", 77)} and not setup.without_lease()
            assert setup.claims[-1][3].units == UNITS

    run_test(scenario())


async def stop_answering(node):
    node.silent = True


async def say_goodbye(node):
    for link in node.links:
        link.send(0, Goodbye())


@pytest.mark.parametrize(
    "lose, events",
    [
        (ScriptedNode.stop, ["control connection lost", "session lost", "session opened"]),
        (stop_answering, ["session lost", "control connection closed", "session opened"]),
        (say_goodbye, ["session lost", "control connection closed", "session opened"]),
    ],
)
def test_a_lost_node_is_replaced_by_another_before_its_lease_ends(lose, events):
    async def scenario():
        async with running_setup() as setup:
            await setup.start_nodes()
            setup.session.start()
            await until(lambda: setup.leased_by(setup.first))
            with capture_logs() as logs:
                await lose(setup.first)
                await until(lambda: setup.leased_by(setup.second) or setup.leased_by(setup.third))
            await until(lambda: not setup.first.links)
            assert not setup.without_lease() and [log["event"] for log in logs][:3] == events
            assert len(setup.ended_traffic) == 1 and setup.ended_traffic[0].bytes_sent > 100

    run_test(scenario())


def test_a_rejected_session_is_opened_again_after_the_time_that_the_node_gave():
    async def scenario():
        async with running_setup() as setup:
            await setup.start_nodes()
            for node in setup.nodes.values():
                node.reject("too many new sessions", 50_000)
            with capture_logs() as logs:
                setup.session.start()
                await until(lambda: setup.first.of(SessionOpen))
                for node in setup.nodes.values():
                    node.rejects = None
                await until(lambda: setup.session.is_open)
            rejected = [log for log in logs if log["event"] == "session rejected"]
            assert rejected[0]["reason"] == "too many new sessions" and rejected[0]["retry_after_ms"] == 50

    run_test(scenario())


def test_a_node_of_another_cluster_is_logged_as_an_error_with_advice_and_not_used():
    async def scenario():
        async with running_setup() as setup:
            setup.first.cluster = "theirs"
            await setup.start_nodes()
            with capture_logs() as logs:
                setup.session.start()
                await until(lambda: setup.session.client.state is SessionState.REJECTED)
            errors = [log for log in logs if log["log_level"] == "error"]
            assert len(errors) == 1 and "theirs" in errors[0]["what"] and "control(...)" in errors[0]["do"]
            assert not setup.leased_by(setup.first)

    run_test(scenario())


def test_an_address_where_no_control_node_listens_is_logged_and_the_next_node_is_asked():
    async def scenario():
        async with running_setup() as setup:
            setup.first.role = "store"
            await setup.start_nodes()
            with capture_logs() as logs:
                setup.session.start()
                await until(lambda: setup.session.is_open)
            lost = [log for log in logs if log["event"] == "control connection lost"]
            assert "role 'store'" in lost[0]["reason"] and lost[0]["node"] == setup.first.name
            assert not setup.leased_by(setup.first)

    run_test(scenario())


def test_a_closed_session_uses_no_lease_before_its_node_hears_of_it_and_sends_nothing_more():
    async def scenario():
        async with running_setup() as setup:
            await setup.start_nodes()
            setup.session.start()
            await until(lambda: setup.leased_by(setup.first))
            setup.session.close()
            assert not setup.claims[-1][3].node and not setup.session.ended
            await until(lambda: setup.session.ended)
            await until(lambda: not setup.first.links)
            assert isinstance(setup.first.received[-1][2], SessionClose)
            received = len(setup.first.received)
            await asyncio.sleep(3 * HEARTBEAT_MS / 1_000)
            assert len(setup.first.received) == received and not setup.second.received

    run_test(scenario())


def test_an_aborted_session_sends_no_session_close():
    async def scenario():
        async with running_setup() as setup:
            await setup.start_nodes()
            setup.session.start()
            await until(lambda: setup.leased_by(setup.first))
            setup.session.abort("killed")
            await until(lambda: not setup.first.links)
            assert not setup.first.of(SessionClose) and setup.session.ended

    run_test(scenario())


def test_each_change_of_the_lease_in_use_is_recorded(tmp_path):
    async def scenario():
        async with running_setup() as setup:
            await setup.start_nodes()
            setup.session.on_claim = claim_recorder(tmp_path / "claims")
            setup.session.start()
            await until(lambda: setup.leased_by(setup.first))
            setup.session.close()

    run_test(scenario())
    claims = list(read(tmp_path / "claims"))
    assert all(isinstance(claim, LeaseClaimed) and claim.incarnation == 77 for claim in claims)
    assert not claims[0].node and claims[1].units == UNITS and claims[-1].until == 0
    assert 0 < claims[1].until - claims[1].at <= LEASE_MS * 1_000


def test_a_gateway_uses_its_safe_part_until_control_nodes_run_and_closes_its_session_when_it_stops():
    async def scenario():
        store = await FakeStore("s0", 0, deliver).start()
        nodes = [ScriptedNode(f"n{number}", free_address()) for number in range(3)]
        text = control_settings(
            [node.address for node in nodes], 2, f'store("s0", address = "{store.address}", shard = 0)\n'
        )
        settings = settings_of(text)
        port, claims = asyncio.get_running_loop().create_future(), []
        edge = Edge(settings, facts_of(settings, 1, 2), 1, claim_observer=lambda *claim: claims.append(claim[3].units))
        serving = asyncio.create_task(edge.serve(port.set_result))
        await port
        assert edge.core.runner.shares.accrued(clock(), clock())[1] == pytest.approx(0.2)
        for node in nodes:
            await node.start()
        await until(lambda: UNITS in claims)
        values = {metric.name: metric.samples[0].value for metric in Collector(edge).collect() if metric.samples}
        assert values["tansykeel_control_session_open"] == 1
        assert values["tansykeel_control_part"] == pytest.approx(float(gateway_part(UNITS, 2)))
        edge.stopping.set()
        assert await serving == 0 and claims[-1] == 0
        await until(lambda: sum(len(node.of(SessionClose)) for node in nodes) == 1)
        for node in nodes:
            await node.stop()
        await store.stop()

    run_test(scenario())
