"""Event orders on nodes, sessions and gateways: no invariant is violated; each planted fault is found and minimized."""

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
CALM = dict(ticks=60, proposals=0, crashes=0, restarts=0, forms=0)
RESTARTS = dict(ticks=30, proposals=0, crashes=0, restarts=6, forms=2)


class Deposed(BudgetAgent):
    """It renews leases without the cap by its own lease on the view."""

    def remaining_lease(self, now):
        return LEASE


class Hasty(BudgetAgent):
    """As leader it reclaims before the view without the node is active."""

    def may_reclaim(self, now):
        return self.member.replicated_log.leads


class SameTerm(BudgetAgent):
    """It comes back to a view and goes on in its old term."""

    def _follow_view(self, now, view):
        if not self.term:
            return super()._follow_view(now, view)
        self.view = view
        return False


class Impatient(BudgetAgent):
    """It registers in a formed view without the wait for leases of earlier lives."""

    def _follow_view(self, now, view):
        began = super()._follow_view(now, view)
        self.register_from = now
        return began


class Versionless(BudgetState):
    """It counts a release whatever the record was when it was proposed."""

    def _release(self, entry):
        record = self._record(entry.node, entry.incarnation, entry.term)
        if record is not None and entry.units < record.units:
            record.units = entry.units
            record.version += 1


class ForgetsPromises(ReplicatedLog):
    """A follower forgets the ballot it promised, so two leaders may commit different entries."""

    def handle_message(self, now, sender, message):
        if isinstance(message, LogPrepare | InstallSnapshot | LogAccept) and self.leader_state is None:
            self.promised = ZERO_BALLOT
        return super().handle_message(now, sender, message)


def node_with(budget=BudgetAgent, state=BudgetState, log=ReplicatedLog):
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
        (node_with(Deposed), ALL, 4, "a lease counts after view"),
        (node_with(Hasty), ALL, 5, "gateways count more than the region's units"),
        (node_with(SameTerm), ALL, 6, "gateways count more than the region's units"),
        (node_with(Impatient), RESTARTS, 1, "gateways count more than the region's units"),
        (node_with(log=ForgetsPromises), CALM, 6, "two entries decided"),
    ],
)
def test_a_planted_fault_is_found(model, bounds, seed, violation):
    found = guided_runs(settled_region(NAMES, model), Bounds(states=40_000, **bounds), seed)
    assert found.violation.startswith(violation) and len(found.trace) < 120


@pytest.mark.parametrize("state, broken", [(BudgetState, False), (Versionless, True)])
def test_a_release_that_is_decided_late_takes_nothing_that_is_granted(state, broken):
    """Node b released units once, holds them all later, and the entry of then arrives at the leader again."""
    terms = node_with(state=state)
    model = ModelConfig(gateways=("g", "k", "j"), node_class=terms.node_class)
    run = GuidedRun(settled_region(NAMES, model), Bounds(), Random(1))

    late = []

    def release_of(word):
        return isinstance(word[2], Propose) and isinstance(decode_entry(word[2].entry), BudgetReleased)

    def rounds(count, *gateways):
        run.acting = list(gateways)
        for _ in range(count):
            run.step(("tick",))
            run.play_round()

    def end(*gateways):
        """Their processes end, and the nodes see it."""
        for gateway in gateways:
            run.step(("reopens", gateway))
            for number, connection in list(run.region.connections.items()):
                if connection.gateway == gateway:
                    run.step(("breaks", number, NODE))

    for _ in range(2):
        end("g", "k")
        rounds(8, "j")
        assert run.region.counted_by("j").units == 12
        if not late:
            rounds(8, "g", "k", "j")
            late += [word for word in run.region.sent if release_of(word) and word[1].name == "b"]
    assert run.region.nodes["b"].budget.budget() == 12
    run.play_round()  # j renews, and stands still from then on
    run.acting = ["g"]
    run.play_round()
    for word in late:
        run.step(("arrives", *word))
    rounds(1, "g")
    assert late and run.region.violation.startswith("gateways count more") is broken


def test_a_budget_that_was_released_does_not_come_back_with_an_earlier_state_of_the_log():
    node = settled_region(NAMES, ModelConfig()).nodes["c"].copy()
    earlier = node.state.copy()
    record = node.state.records["c"]
    node.state.apply_entry(NodeDemand("a", 1, 1, 5))  # what c releases goes to a
    node.state.apply_entry(BudgetReleased("c", 1, node.budget.term, record.version, 2))
    node.budget.observe(0)
    kept = node.budget.budget()
    node.state.restore(earlier.snapshot())  # as a new leader begins, until it knows how far the log was decided
    node.budget.observe(0)
    assert earlier.records["c"].units == 6 and node.budget.budget() == kept == 2
