"""Faults planted in the control plane's own code, played in simulated time: the checker names each, and who has it."""

from dataclasses import replace

import pytest
from planted_control import (
    CountsExpiredLease,
    IgnoresBudget,
    KeepsLargestUnits,
    LeadsWithoutMajority,
    RegistersWithoutWaiting,
    RenewsWithoutLease,
)

from tansykeel.audit.control_findings import ControlRule
from tansykeel.cluster.replicated_log import ReplicatedLog
from tansykeel.control.actions import SessionTerms
from tansykeel.control.budget_agent import BudgetAgent
from tansykeel.control.held_lease import HeldLease
from tansykeel.control.node import ControlNode
from tansykeel.control.session_client import SessionClient
from tansykeel.emulator.control_simulation import ControlSimulation
from tansykeel.emulator.control_trial import ControlFault, ControlTrial, FaultKind

SECOND = 10_000  # tenths of a millisecond
CUT_OFF = ControlFault(FaultKind.NODE_CUT_OFF, 5, 15)
ALL_KILLED = ControlFault(FaultKind.ALL_NODES_KILLED, 5, 0.1)
TRIAL = ControlTrial(gateways=12, seconds=30, settle_s=10, faults=(CUT_OFF,))
# Leases that outlast the forming of a view, and nodes that take few gateways back at once: the first have all units.
LONG_LEASES = SessionTerms(6 * SECOND, SECOND, 0.01, 2.0)
REFORMED = replace(TRIAL, settle_s=22, terms=LONG_LEASES, faults=(ALL_KILLED,))


class PlantedSimulation(ControlSimulation):
    """All control nodes, or one of them, or one gateway of the first region, have a part that is not the real one."""

    def __init__(self, trial, agent=BudgetAgent, replicated_log=ReplicatedLog, only="", held=HeldLease):
        self.agent, self.replicated_log, self.only, self.held = agent, replicated_log, only, held
        super().__init__(trial)

    def _new_node(self, process) -> ControlNode:
        node = super()._new_node(process)
        if self.only in ("", process.name):
            node.budget.__class__ = self.agent
            node.member.replicated_log.__class__ = self.replicated_log
        return node

    def _new_client(self, process) -> SessionClient:
        client = super()._new_client(process)
        if process.name == "edge-0":
            client._held.__class__ = self.held
        return client


def played(trial, **planted):
    """The trial's simulation, and who broke which rules in it."""
    simulation = PlantedSimulation(trial, **planted)
    simulation.play()
    return simulation, {(finding.rule, finding.who) for finding in simulation.checker.findings}


def test_a_lease_renewed_by_a_deposed_follower_is_named():
    """It is cut from the other nodes, and not from its gateways."""
    simulation, found = played(TRIAL, agent=RenewsWithoutLease)
    (deposed,) = (who for rule, who in found if rule is ControlRule.NODE_LEASES)
    first = simulation.checker.findings[0]
    assert first.who == deposed and simulation.nodes[deposed].region == "region-0"
    assert "after its own lease ended" in first.what
    assert (ControlRule.SUMS, "region region-0") in found  # once its units are granted by others too


def test_a_node_that_ignores_its_budget_is_named():
    _, found = played(TRIAL, agent=IgnoresBudget, only="control-0-0")
    assert found == {(ControlRule.SUMS, "region region-0"), (ControlRule.SUMS, "the whole")}


@pytest.mark.parametrize("held", [CountsExpiredLease, KeepsLargestUnits])
def test_a_gateway_that_counts_what_it_was_not_granted_is_named(held):
    """By its claims alone: what reached it is in order."""
    simulation, found = played(replace(TRIAL, restarts=10), held=held)  # restarts make its lease shrink and grow
    assert (ControlRule.GATEWAY_LEASES, "edge-0") in found
    assert {who for rule, who in found if rule is ControlRule.GATEWAY_LEASES} == {"edge-0"}
    assert not any("that reached them" in finding.what for finding in simulation.checker.findings)


def test_two_leaders_are_named():
    simulation, found = played(TRIAL, replicated_log=LeadsWithoutMajority)
    assert {rule for rule, _ in found} >= {ControlRule.ONE_LEADER}
    said = [finding.what for finding in simulation.checker.findings]
    assert any("with promises of 1 of 3 voters" in what for what in said)
    assert any("after it took part in" in what for what in said)


def test_a_formed_view_after_which_nobody_waits_is_named():
    """The leases that gateways hold outlive the nodes that granted them. It shows in about half of the trials."""
    found = [played(replace(REFORMED, seed=seed), agent=RegistersWithoutWaiting)[1] for seed in range(8)]
    assert (ControlRule.SUMS, "region region-0") in set().union(*found)


@pytest.mark.parametrize("trial", [TRIAL, REFORMED])
def test_where_nothing_is_planted_nothing_is_found(trial):
    simulation, found = played(trial)
    assert found == set() and simulation.checker.observed > 1_000
