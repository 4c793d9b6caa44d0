"""Model checking of control nodes and gateways: no invariant is violated; planted faults are found and minimized."""

from __future__ import annotations

from random import Random

import pytest

from tansykeel.cluster.model_checker import Bounds, random_runs, search
from tansykeel.cluster.replicated_log import ZERO_BALLOT, InstallSnapshot, LogAccept, LogPrepare, Propose, ReplicatedLog
from tansykeel.control.budget_agent import BudgetAgent
from tansykeel.control.budget_state import BudgetState
from tansykeel.control.entries import BudgetReleased, NodeDemand, decode_entry
from tansykeel.control.model_checker import DRIFTING_CLOCK_RATES, NODE
from tansykeel.control.model_parts import LEASE, ModelConfig, ModelMember, ModelNode
from tansykeel.control.model_walks import GuidedRun, guided_runs, settled_region

NAMES = ("a", "b", "c")
ALL = dict(ticks=30, proposals=5, crashes=2, restarts=5, forms=2)
NO_FAULTS = dict(ticks=60, proposals=0, crashes=0, restarts=0, forms=0)
RESTARTS = dict(ticks=30, proposals=0, crashes=0, restarts=6, forms=2)


class UnboundedLeases(BudgetAgent):
    """Grants leases that may outlast the node's own lease on the view."""

    def remaining_lease(self, now):
        return LEASE


class EarlyReclaim(BudgetAgent):
    """Reclaims as leader before the view without the node is active."""

    def may_reclaim(self, now):
        return self.member.replicated_log.leads


class SameTerm(BudgetAgent):
    """Continues its old term when it returns to a view."""

    def _follow_view(self, now, view):
        if not self.term:
            return super()._follow_view(now, view)
        self.view = view
        return False


class EarlyRegistration(BudgetAgent):
    """Registers in a formed view without waiting for the leases of earlier incarnations to expire."""

    def _follow_view(self, now, view):
        new_term = super()._follow_view(now, view)
        self.register_from = now
        return new_term


class UncheckedRelease(BudgetState):
    """Applies a release even if the record changed after the release was proposed."""

    def _release(self, entry):
        record = self._record(entry.node, entry.incarnation, entry.term)
        if record is not None and entry.units < record.units:
            record.units = entry.units
            record.version += 1


class ForgetsPromises(ReplicatedLog):
    """Forgets, as a follower, the ballot it promised, so that two leaders may commit different entries."""

    def handle_message(self, now, sender, message):
        if isinstance(message, LogPrepare | InstallSnapshot | LogAccept) and self.leader_state is None:
            self.promised = ZERO_BALLOT
        return super().handle_message(now, sender, message)


def model_with(budget=BudgetAgent, state=BudgetState, log=ReplicatedLog):
    """The configuration of a model whose nodes use these classes."""

    class Member(ModelMember):
        log_class = log

    class Node(ModelNode):
        budget_class, state_class, member_class = budget, state, Member

    return ModelConfig(node_class=Node)


def test_no_event_order_violates_an_invariant():
    first = settled_region(NAMES, ModelConfig())
    for found in (
        guided_runs(first, Bounds(states=8_000, **ALL), 1),
        guided_runs(first, Bounds(states=4_000, **RESTARTS), 2),
        random_runs(first, Bounds(states=3_000, **ALL), 3, 150, by_kind=True),
        search(settled_region(("a", "b"), ModelConfig()), Bounds(2, 1, 1, 1, 1, 6, 3_000), 4),
    ):
        assert found.violation == "" and found.states >= 3_000


def test_no_event_order_violates_an_invariant_with_drifting_clocks():
    first = settled_region(NAMES, ModelConfig(drift=0.1), DRIFTING_CLOCK_RATES)
    found = guided_runs(first, Bounds(states=6_000, **ALL), 1)
    assert found.violation == "" and found.states >= 6_000


@pytest.mark.parametrize(
    "model, bounds, seed, violation",
    [
        (model_with(UnboundedLeases), ALL, 4, "a lease counts after view"),
        (model_with(EarlyReclaim), ALL, 5, "gateways count more than the region's units"),
        (model_with(SameTerm), ALL, 6, "gateways count more than the region's units"),
        (model_with(EarlyRegistration), RESTARTS, 1, "gateways count more than the region's units"),
        (model_with(log=ForgetsPromises), NO_FAULTS, 6, "two entries decided"),
    ],
)
def test_planted_fault_is_found(model, bounds, seed, violation):
    found = guided_runs(settled_region(NAMES, model), Bounds(states=40_000, **bounds), seed)
    assert found.violation.startswith(violation) and len(found.trace) < 120


@pytest.mark.parametrize("state, violated", [(BudgetState, False), (UncheckedRelease, True)])
def test_release_committed_late_frees_no_granted_units(state, violated):
    """Guards against a release that applies to a later version of the record.

    Node b releases units and later holds all of them again; then the old proposal reaches the leader once more.
    """
    two_gateways = model_with(state=state)
    model = ModelConfig(gateways=("g", "k", "j"), node_class=two_gateways.node_class)
    run = GuidedRun(settled_region(NAMES, model), Bounds(), Random(1))

    late_proposals = []

    def is_release(delivery):
        return isinstance(delivery[2], Propose) and isinstance(decode_entry(delivery[2].entry), BudgetReleased)

    def play_rounds(count, *gateways):
        run.acting = list(gateways)
        for _ in range(count):
            run.step(("tick",))
            run.play_round()

    def restart(*gateways):
        """Restart the gateways, and let the nodes notice the loss of their connections."""
        for gateway in gateways:
            run.step(("reopens", gateway))
            for number, connection in list(run.region.connections.items()):
                if connection.gateway == gateway:
                    run.step(("breaks", number, NODE))

    for _ in range(2):
        restart("g", "k")
        play_rounds(8, "j")
        assert run.region.counted_by("j").units == 12
        if not late_proposals:
            play_rounds(8, "g", "k", "j")
            late_proposals += [sent for sent in run.region.sent if is_release(sent) and sent[1].name == "b"]
    assert run.region.nodes["b"].budget.budget() == 12
    run.play_round()  # j renews its lease here and is stalled from then on
    run.acting = ["g"]
    run.play_round()
    for proposal in late_proposals:
        run.step(("arrives", *proposal))
    play_rounds(1, "g")
    assert late_proposals and run.region.violation.startswith("gateways count more") is violated


def test_released_budget_does_not_reappear_with_an_earlier_state_of_the_log():
    """Guards against a node that reads its record from a state restored to an earlier entry."""
    node = settled_region(NAMES, ModelConfig()).nodes["c"].copy()
    earlier = node.state.copy()
    record = node.state.records["c"]
    node.state.apply_entry(NodeDemand("a", 1, 1, 5))  # so that the units c releases go to a
    node.state.apply_entry(BudgetReleased("c", 1, node.budget.term, record.version, 2))
    node.budget.observe(0)
    kept = node.budget.budget()
    # A new leader restores this state in its followers until it knows how far the log was committed.
    node.state.restore(earlier.snapshot())
    node.budget.observe(0)
    assert earlier.records["c"].units == 6 and node.budget.budget() == kept == 2
