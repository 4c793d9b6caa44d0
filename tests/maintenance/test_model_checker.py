"""The maintenance log under random event orders: no invariant is violated, and each planted fault is found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tansykeel.cluster.membership import Member, View
from tansykeel.cluster.model_checker import Bounds, random_runs
from tansykeel.cluster.replicated_log import ReplicatedLog
from tansykeel.cluster.view_agreement import LeaseTerms, ViewAgreement
from tansykeel.maintenance.entries import Back, Leave, Lost, decode_entry, encode_entry
from tansykeel.maintenance.model_checker import MaintenanceFleet, form_log_fleet
from tansykeel.maintenance.state import State

NAMES, TERMS = ("a", "b", "c"), LeaseTerms(lease=2, drift=0.0)
ALL = dict(ticks=8, proposals=2, crashes=1, restarts=2, forms=1)
NO_FAULTS = dict(ticks=3, proposals=0, crashes=0, restarts=0, forms=0)


class SameIncarnation(MaintenanceFleet):
    """A voter that restarted without its state keeps its incarnation and so votes on what it forgot."""

    def _start(self, name):
        self.incarnations[name] = 0
        super()._start(name)


class CountsBackUnseen(MaintenanceFleet):
    """A leader counts a machine as back in service though nobody saw it back."""

    def _is_seen_back(self, replicated_log, name):
        return replicated_log.leads and name in self._state(replicated_log).kept.out

    def _apply_leader_event(self, kind, name, arguments):
        if kind != "sees":
            return super()._apply_leader_event(kind, name, arguments)
        replicated_log = self._writable_log(name)
        if not self._is_seen_back(replicated_log, arguments[0]):
            return False
        out = self._state(replicated_log).kept.out[arguments[0]]
        self._offer(name, replicated_log, Back(arguments[0], out.boot + 1, out.number))
        return True


class ObeysAnyOrder(MaintenanceFleet):
    """A machine obeys any order, however old and for whichever incarnation."""

    def _accepts(self, machine, order):
        return not machine.out


class UnconfirmedLeader(MaintenanceFleet):
    """A leader gives orders without a majority that still follows it, and machines do not check the order's age."""

    def _leader_confirmed(self, replicated_log):
        return True

    def _accepts(self, machine, order):
        return not machine.out and order.boot == machine.boot


def test_no_event_order_violates_an_invariant():
    for seed in (1, 2):
        found = random_runs(
            form_log_fleet(NAMES, TERMS, ViewAgreement), Bounds(states=3_000, **ALL), seed, 150, by_kind=True
        )
        assert found.violation == "" and found.states >= 3_000


@pytest.mark.parametrize(
    "kind, violation, bounds, step",
    [
        (SameIncarnation, "two entries committed", ALL, "restarts"),
        (CountsBackUnseen, "more out of service than the bounds", NO_FAULTS, "sees"),
        (ObeysAnyOrder, "more out of service than the bounds", NO_FAULTS, "gets"),
    ],
)
def test_planted_fault_is_found(kind, violation, bounds, step):
    found = random_runs(
        form_log_fleet(NAMES, TERMS, ViewAgreement, kind), Bounds(states=40_000, **bounds), 1, 150, by_kind=True
    )
    assert found.violation.startswith(violation) and any(step in line for line in found.trace) and len(found.trace) < 50


def deliver_all(fleet, *cut):
    """Let all messages and the replies to them arrive, except between the pairs in `cut`."""
    for _ in range(4):
        for message in list(fleet.sent):
            if {message[0], message[1].name} not in cut:
                fleet = fleet.successor(("arrives", *message)) or fleet
    return fleet


def state_at(fleet, name):
    """Return the maintenance state at one gateway."""
    return fleet.logs[name].machine.kept


@pytest.mark.parametrize("kind, broken", [(MaintenanceFleet, False), (UnconfirmedLeader, True)])
def test_leader_that_was_cut_off_takes_nothing_out_of_service(kind, broken):
    """Guards against two machines out at once by orders of two leaders.

    The leader that is cut off has permitted x to go out. The others agree on a new view in which x is no longer out,
    and permit y.
    """
    fleet = deliver_all(form_log_fleet(NAMES, TERMS, ViewAgreement, kind).successor(("offers", "a", "x")))
    assert set(state_at(fleet, "a").out) == {"x"}
    cut = {"a", "b"}, {"a", "c"}
    a, b, c = (fleet.alive[name].me for name in NAMES)
    fleet = deliver_all(fleet.successor(("proposes", "b", (b, c))), *cut)
    for _ in range(4):  # the lease grants to a expire, and b and c adopt a view without it
        fleet = fleet.successor(("tick",))
        for name in ("b", "c"):
            fleet = deliver_all(fleet.successor(("renews", name)), *cut)
    fleet = deliver_all(fleet.successor(("leads", "b")), *cut)
    assert fleet.logs["b"].leads and set(state_at(fleet, "b").out) == {"x"}
    # Stands in for an operator's statement after a loss, or for b having seen x back: x is no longer out.
    log = fleet._writable_log("b")
    log.machine.kept.out.clear()
    fleet._send("b", log.append_entry(0, encode_entry(Leave("y", 1, "test", "b")))[1])
    fleet = deliver_all(fleet, *cut)
    ordered = fleet.successor(("orders", "b", "y"))
    fleet = ordered.successor(("gets", next(iter(ordered.orders))))
    assert fleet.machines["y"].out
    late = fleet.successor(("orders", "a", "x"))
    if late is not None:
        fleet = late.successor(("gets", list(late.orders)[-1])) or late
    assert fleet.violation.startswith("more out of service") is broken


def test_restarted_voter_is_not_counted_as_its_former_incarnation():
    fleet = form_log_fleet(NAMES, TERMS, ViewAgreement).successor(("restarts", "b"))
    fleet = deliver_all(fleet.successor(("offers", "a", "x")), {"a", "c"})
    assert state_at(fleet, "a").out == {}  # b's new incarnation accepted the entry, but is no voter of the view
    fleet = deliver_all(fleet)
    assert set(state_at(fleet, "a").out) == {"x"}


def test_late_order_is_not_obeyed():
    fleet = deliver_all(form_log_fleet(NAMES, TERMS, ViewAgreement).successor(("offers", "a", "x"))).successor(
        ("orders", "a", "x")
    )
    order = next(iter(fleet.orders))
    assert not fleet.successor(("tick",)).successor(("gets", order)).machines["x"].out
    assert fleet.successor(("gets", order)).machines["x"].out
    assert not fleet._accepts(replace(fleet.machines["x"], boot=2), order)


def test_log_recovers_from_lost_electors_only_by_an_operator_and_marks_the_state_as_lost():
    old, new = (tuple(Member(name, 1) for name in names) for names in ("pqr", "xyz"))
    logs = {member.name: ReplicatedLog(member, State(known=True), 2, 0) for member in new}

    def deliver(sent, sender):
        for to, message in sent:
            if to in logs:
                deliver(logs[to].handle_message(1, sender, message), logs[to].me)

    for log in logs.values():
        log.install_view(0, View(2, new, new, old))
    x = logs["x"]
    deliver(x.start_election(1), new[0])
    assert not x.leads  # no elector answers: entries may be committed that no voter of this view knows
    deliver(x.recover_without_electors(1), new[0])
    assert x.leads and not any(log.machine.kept.known for log in logs.values() if log.commit)
    assert x.commit == 1 and decode_entry(x.entries[0]) == Lost(2)
