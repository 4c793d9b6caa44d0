"""Log and leave in random event orders: no invariant is violated, and each planted fault is found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tansykeel.cluster.membership import Member, View
from tansykeel.cluster.model_checker import Bounds, random_runs
from tansykeel.cluster.replicated_log import ReplicatedLog
from tansykeel.cluster.view_agreement import LeaseTerms, ViewAgreement
from tansykeel.maintenance.entries import Back, Leave, Lost, decode_entry, encode_entry
from tansykeel.maintenance.model_checker import Books, settled
from tansykeel.maintenance.state import State

NAMES, TERMS = ("a", "b", "c"), LeaseTerms(lease=2, drift=0.0)
ALL = dict(ticks=8, proposals=2, crashes=1, restarts=2, forms=1)
CALM = dict(ticks=3, proposals=0, crashes=0, restarts=0, forms=0)


class SameIncarnation(Books):
    """A voter that restarted without its state keeps its incarnation and so votes on what it forgot."""

    def _start(self, name):
        self.incarnations[name] = 0
        super()._start(name)


class Timed(Books):
    """Leave is counted back though nobody saw it back."""

    def _seen_back(self, replicated_log, name):
        return replicated_log.leads and name in self._state(replicated_log).kept.out

    def _of_leader(self, kind, name, what):
        if kind != "sees":
            return super()._of_leader(kind, name, what)
        replicated_log = self._own(name)
        if not self._seen_back(replicated_log, what[0]):
            return False
        out = self._state(replicated_log).kept.out[what[0]]
        self._offer(name, replicated_log, Back(what[0], out.boot + 1, out.number))
        return True


class Obedient(Books):
    """Whatever goes out goes by any order, however old and of whichever life."""

    def _obeys(self, subject, order):
        return not subject.out


class Deaf(Books):
    """A leader's orders need nobody who still follows it."""

    def _confirmed(self, replicated_log):
        return True

    def _obeys(self, subject, order):
        return not subject.out and order.boot == subject.boot


def test_no_event_order_violates_an_invariant():
    for seed in (1, 2):
        found = random_runs(settled(NAMES, TERMS, ViewAgreement), Bounds(states=3_000, **ALL), seed, 150, by_kind=True)
        assert found.violation == "" and found.states >= 3_000


@pytest.mark.parametrize(
    "kind, violation, bounds, step",
    [
        (SameIncarnation, "two entries decided", ALL, "restarts"),
        (Timed, "more out than the bounds", CALM, "sees"),
        (Obedient, "more out than the bounds", CALM, "gets"),
    ],
)
def test_a_planted_fault_is_found(kind, violation, bounds, step):
    found = random_runs(
        settled(NAMES, TERMS, ViewAgreement, kind), Bounds(states=40_000, **bounds), 1, 150, by_kind=True
    )
    assert found.violation.startswith(violation) and any(step in line for line in found.trace) and len(found.trace) < 50


def all_hear(fleet, *cut):
    for _ in range(4):
        for word in list(fleet.sent):
            if {word[0], word[1].name} not in cut:
                fleet = fleet.successor(("arrives", *word)) or fleet
    return fleet


def of(fleet, name):
    return fleet.ledgers[name].machine.kept


@pytest.mark.parametrize("kind, broken", [(Books, False), (Deaf, True)])
def test_a_leader_that_was_cut_off_can_start_nothing(kind, broken):
    """It holds leave that was given; the others form a new view, and an operator says that nothing is out."""
    fleet = all_hear(settled(NAMES, TERMS, ViewAgreement, kind).successor(("offers", "a", "x")))
    assert set(of(fleet, "a").out) == {"x"}
    cut = {"a", "b"}, {"a", "c"}
    a, b, c = (fleet.alive[name].me for name in NAMES)
    fleet = all_hear(fleet.successor(("proposes", "b", (b, c))), *cut)
    for _ in range(4):  # grants of before run out, b and c are a view of their own
        fleet = fleet.successor(("tick",))
        for name in ("b", "c"):
            fleet = all_hear(fleet.successor(("renews", name)), *cut)
    fleet = all_hear(fleet.successor(("leads", "b")), *cut)
    assert fleet.ledgers["b"].leads and set(of(fleet, "b").out) == {"x"}
    # What stands in for an operator's word after a loss, or for x seen back by b alone: x is no longer out.
    book = fleet._own("b")
    book.machine.kept.out.clear()
    fleet._say("b", book.append_entry(0, encode_entry(Leave("y", 1, "test", "b")))[1])
    fleet = all_hear(fleet, *cut)
    ordered = fleet.successor(("orders", "b", "y"))
    fleet = ordered.successor(("gets", next(iter(ordered.orders))))
    assert fleet.subjects["y"].out
    late = fleet.successor(("orders", "a", "x"))
    if late is not None:
        fleet = late.successor(("gets", list(late.orders)[-1])) or late
    assert fleet.violation.startswith("more out") is broken


def test_restarted_voter_is_not_counted_as_its_former_incarnation():
    fleet = settled(NAMES, TERMS, ViewAgreement).successor(("restarts", "b"))
    fleet = all_hear(fleet.successor(("offers", "a", "x")), {"a", "c"})
    assert of(fleet, "a").out == {}  # b's new incarnation accepted the entry, but is no voter of the view
    fleet = all_hear(fleet)
    assert set(of(fleet, "a").out) == {"x"}


def test_an_answer_that_comes_too_late_starts_nothing():
    fleet = all_hear(settled(NAMES, TERMS, ViewAgreement).successor(("offers", "a", "x"))).successor(
        ("orders", "a", "x")
    )
    order = next(iter(fleet.orders))
    assert not fleet.successor(("tick",)).successor(("gets", order)).subjects["x"].out
    assert fleet.successor(("gets", order)).subjects["x"].out
    assert not fleet._obeys(replace(fleet.subjects["x"], boot=2), order)


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
