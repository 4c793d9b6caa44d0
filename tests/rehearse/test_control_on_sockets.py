"""Control nodes and hollow gateways on loopback, through the proxy: what passed is judged, planted faults are named."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
import structlog
from control_node_script import control_settings, settings_of
from planted_control import CountsExpiredLease, IgnoresBudget, LeadsWithoutMajority, RenewsWithoutLease
from stage import free_address, run_test, until

from tansykeel.audit.control import check_folder, facts_of
from tansykeel.audit.control_findings import ControlRule
from tansykeel.cli.records import claim_recorder
from tansykeel.control_plane.program import ControlProgram
from tansykeel.edge.clock import clock
from tansykeel.edge.hollow.gateways import HollowGateways
from tansykeel.rehearse.connection_faults import ConnectionFault, Ends, FaultKind, loss
from tansykeel.rehearse.control_proxy import ControlProxy
from tansykeel.rehearse.proxy_plan import GatewayPlace, NodeTarget, ProxyPlan

GATEWAYS = 12
NODES = ("n0", "n1", "n2")
LEASE_MS, HEARTBEAT_MS = 1_000, 200
CUT_S = 2.5  # longer than a node's lease, and than it takes the others to go on without it


class Fleet:
    """Three nodes and all gateways of one region, each node's and gateway's way leading through the proxy."""

    def __init__(self, folder):
        self.folder = folder
        self.addresses = [free_address() for _ in NODES]
        targets = [NodeTarget(name, address, "north") for name, address in zip(NODES, self.addresses, strict=True)]
        places = [GatewayPlace(f"edge-{number}", "north") for number in range(GATEWAYS)]
        self.proxy = ControlProxy(ProxyPlan(tuple(targets), tuple(places)), folder / "links.rec")
        self.serving = []

    async def start(self, plant):
        """Start all; `plant(program)` for each node, `plant(session)` for each gateway's client, before they run."""
        self.ports = await self.proxy.open()
        self.nodes = [ControlProgram(self.settings(number), number, seed=1) for number in range(len(NODES))]
        record = claim_recorder(self.folder / "claims.rec")
        self.gateways = HollowGateways(self.settings(), 0, GATEWAYS, 1, structlog.get_logger(), record)
        for node in self.nodes:
            plant(node.agent.node)
            self.serving.append(asyncio.create_task(node.serve()))
        await until(lambda: any(node.agent.node.budget.remaining_lease(clock()) for node in self.nodes))
        self.gateways.hub.start()
        for gateway in self.gateways:
            gateway.start()
            plant(gateway.session.client)

    def settings(self, node=None):
        """As a node has them, or a gateway."""
        through = [f"127.0.0.1:{self.ports[name]}" for name in NODES]
        addresses = [self.addresses[n] if n == node else address for n, address in enumerate(through)]
        return settings_of(control_settings(addresses, GATEWAYS, lease_ms=LEASE_MS, heartbeat_ms=HEARTBEAT_MS))

    async def all_leased(self):
        await until(lambda: all(gateway.lease_time.leased(clock()) for gateway in self.gateways))

    def cut_off(self, node):
        """Cut a node from the others, and not from its gateways."""
        self.proxy.cause(ConnectionFault(FaultKind.SILENCE, CUT_S, Ends(name=node), Ends(kind="node")))

    async def end(self):
        for gateway in self.gateways:
            gateway.close()
        await asyncio.sleep(0.2)
        for node in self.nodes:
            node.stopping.set()
        await asyncio.gather(*self.serving)
        await self.gateways.hub.stop()
        self.proxy.end()
        assert not any(node.failed for node in self.nodes)


@asynccontextmanager
async def fleet(tmp_path, plant=lambda part: None):
    made = Fleet(tmp_path)
    await made.start(plant)
    try:
        await made.all_leased()
        yield made
    finally:
        await made.end()


def judged(tmp_path):
    addresses = [f"127.0.0.1:{number}" for number in (1, 2, 3)]
    facts = facts_of(settings_of(control_settings(addresses, GATEWAYS, lease_ms=LEASE_MS)))
    return check_folder(tmp_path, facts)


def test_no_rule_is_broken_with_losses_resets_and_a_node_cut_off(tmp_path):
    async def run():
        async with fleet(tmp_path) as made:
            made.proxy.cause(loss(0.01, 60))
            made.proxy.cause(ConnectionFault(FaultKind.RESET, share=0.5))
            await asyncio.sleep(1)
            await made.all_leased()
            made.cut_off("n0")
            await asyncio.sleep(CUT_S + 1)
            await made.all_leased()
            made.gateways.by_number[0].kill()
            made.gateways.by_number[0].start()
            await made.all_leased()

    run_test(run(), 60)
    checker = judged(tmp_path)
    assert checker.findings == [] and checker.observed > 500


def plant_in(kind, part, planted):
    """What puts a planted part in place of that of a node (`budget`, a log) or of a gateway (`_held`)."""

    def plant(core):
        if type(core).__name__ == kind:
            owner = core.member if part == "replicated_log" else core
            getattr(owner, part).__class__ = planted

    return plant


@pytest.mark.parametrize(
    ("plant", "rule"),
    [
        (plant_in("ControlNode", "budget", RenewsWithoutLease), ControlRule.NODE_LEASES),
        (plant_in("ControlNode", "budget", IgnoresBudget), ControlRule.SUMS),
        (plant_in("ControlNode", "replicated_log", LeadsWithoutMajority), ControlRule.ONE_LEADER),
        (plant_in("SessionClient", "_held", CountsExpiredLease), ControlRule.GATEWAY_LEASES),
    ],
)
def test_a_planted_fault_is_named(tmp_path, plant, rule):
    async def run():
        async with fleet(tmp_path, plant) as made:
            made.cut_off("n1")
            await asyncio.sleep(CUT_S + 0.5)

    run_test(run(), 60)
    assert rule in {finding.rule for finding in judged(tmp_path).findings}
