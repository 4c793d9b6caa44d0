"""View agreement: one view change at a time, and parts that never add up to more than the whole, in any event order."""

from fractions import Fraction

import pytest

from tansykeel.cluster.membership import NO_BALLOT, SAFE_FRACTION, Decided, Form, Formed, Member, Prepare, Revoked, View
from tansykeel.cluster.model_checker import (
    DRIFTING_CLOCK_RATES,
    DRIFTING_CLOCK_TERMS,
    EXACT_CLOCK_TERMS,
    Bounds,
    Fleet,
    form_first_view,
    random_runs,
    search,
)
from tansykeel.cluster.replicated_log import ReplicatedLog
from tansykeel.cluster.view_agreement import LeaseTerms, ViewAgreement
from tansykeel.control.budget_state import BudgetState

NAMES = ("a", "b", "c")
NO_FAILURES = Bounds(crashes=0, restarts=0, forms=0)


class RevokesEarly(ViewAgreement):
    """Revokes its grants while the leases granted are still valid."""

    def _revoke_grants(self, now):
        self.earlier_grants_until = now
        return super()._revoke_grants(now)


class ForgetsAcceptedView(ViewAgreement):
    """Forgets the view it accepted, so it can accept another one."""

    def _vote(self, message):
        answer = super()._vote(message)
        self.accepted, self.accepted_view = NO_BALLOT, None
        return answer


def exchange_messages(fleet, *cut_links, rounds=6):
    """Let all running gateways renew and receive all messages, except over the cut links, for some ticks."""
    for _ in range(rounds):
        for name in list(fleet.alive):
            fleet = fleet.successor(("renews", name))
        delivered = set()
        while new := [
            delivery
            for delivery in fleet.sent
            if delivery not in delivered and {delivery[0], delivery[1].name} not in cut_links
        ]:
            for delivery in new:
                delivered.add(delivery)
                if delivery[0] in fleet.alive:
                    fleet = fleet.successor(("arrives", *delivery))
        fleet = fleet.successor(("tick",))
    return fleet


def test_first_view_needs_every_name_and_gives_equal_parts():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    assert {agreement.part(fleet.now) for agreement in fleet.alive.values()} == {Fraction(1, 3)}
    two = Fleet(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).successor(("crashes", "c"))
    running = [agreement.me for agreement in two.alive.values()]
    assert two.alive["a"].form(0, running, 1) == [] and two.alive["a"].form(0, running, 1, ("b",)) == []


def test_operator_can_exclude_a_missing_name_which_can_join_later():
    fleet = exchange_messages(
        Fleet(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).successor(("crashes", "c")).successor(("forms", "a"))
    )
    assert {agreement.part(fleet.now) for agreement in fleet.alive.values()} == {
        SAFE_FRACTION / 3 + (1 - SAFE_FRACTION) / 2
    }
    fleet = exchange_messages(fleet.successor(("restarts", "c")))
    assert fleet.alive["c"].part(fleet.now) == SAFE_FRACTION / 3
    fleet = exchange_messages(
        fleet.successor(("proposes", "a", tuple(agreement.me for agreement in fleet.alive.values())))
    )
    assert {agreement.part(fleet.now) for agreement in fleet.alive.values()} == {Fraction(1, 3)}


class WrongOperator(Fleet):
    """Models an operator's mistake: a gateway forms a view without the others, though they run."""

    def _apply(self, event):
        if event[0] == "forms":
            running, self.alive = self.alive, {event[1]: self.alive[event[1]]}
            try:
                return super()._apply(event)
            finally:
                self.alive = running | self.alive
        return super()._apply(event)


def test_excluding_running_gateways_is_reported_as_a_violation():
    cut = {"a", "b"}, {"a", "c"}
    fleet = exchange_messages(form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement), *cut)
    fleet.__class__ = WrongOperator
    assert fleet.violation == "" and not fleet.alive["a"].leased(fleet.now)
    fleet = exchange_messages(fleet.successor(("forms", "a")), *cut)
    assert fleet.violation.startswith("parts are more than the whole")


@pytest.mark.parametrize("dead", NAMES)
def test_crashed_gateway_is_removed_and_its_part_redistributed(dead):
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).successor(("crashes", dead))
    others = tuple(agreement.me for agreement in fleet.alive.values())
    fleet = exchange_messages(fleet.successor(("proposes", others[0].name, others)))
    assert {agreement.view.members for agreement in fleet.alive.values()} == {others}
    assert {agreement.part(fleet.now) for agreement in fleet.alive.values()} == {
        SAFE_FRACTION / 3 + (1 - SAFE_FRACTION) / 2
    }


def test_restarted_gateway_joins_as_a_new_member():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).successor(("restarts", "c"))
    assert fleet.alive["c"].part(fleet.now) == SAFE_FRACTION / 3
    members = (*(fleet.alive[name].me for name in "ab"), fleet.alive["c"].me)
    fleet = exchange_messages(fleet.successor(("proposes", "a", members)))
    assert fleet.alive["c"].view.members[2] == Member("c", 2)
    assert {agreement.part(fleet.now) for agreement in fleet.alive.values()} == {Fraction(1, 3)}


def test_minority_uses_its_safe_part_and_follows_the_view_once_reconnected():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    cut = {"a", "c"}, {"b", "c"}
    fleet = exchange_messages(fleet, *cut)
    assert fleet.alive["c"].part(fleet.now) == SAFE_FRACTION / 3 and fleet.alive["a"].part(fleet.now) == Fraction(1, 3)
    fleet = exchange_messages(fleet.successor(("proposes", "a", (fleet.alive["a"].me, fleet.alive["b"].me))), *cut)
    assert fleet.alive["a"].number > fleet.alive["c"].number
    fleet = exchange_messages(fleet)
    assert fleet.alive["c"].number == fleet.alive["a"].number and fleet.alive["c"].part(fleet.now) == SAFE_FRACTION / 3


def test_after_losing_two_of_three_a_view_forms_only_with_all_names():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    fleet = fleet.successor(("restarts", "b")).successor(("restarts", "c"))
    everyone = [agreement.me for agreement in fleet.alive.values()]
    fleet = exchange_messages(fleet.successor(("proposes", "a", everyone[:2])) or fleet)
    assert all(agreement.part(fleet.now) == SAFE_FRACTION / 3 for agreement in fleet.alive.values())
    fleet = exchange_messages(fleet.successor(("forms", "a")))
    assert {agreement.part(fleet.now) for agreement in fleet.alive.values()} == {Fraction(1, 3)}


def test_sealed_view_gives_way_to_a_formed_one():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    agreement, now = fleet.alive["a"].copy(), fleet.now
    members = (*agreement.view.members[:2], Member("c", 2))
    form = Form(View(agreement.number + 500, members, members))
    assert agreement.has_working_view(now) and agreement.handle_message(now, members[2], form) == []
    agreement.sealed = True
    assert agreement.active and agreement.leased(now) and not agreement.has_working_view(now)
    assert agreement.handle_message(now, members[2], form) == [("c", Formed(form.view))]


def test_log_is_sealed_until_a_later_view_is_installed():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    view = fleet.alive["a"].view
    log = ReplicatedLog(fleet.alive["a"].me, BudgetState(), lease=100, now=fleet.now)
    log.install_view(fleet.now, view)
    assert not log.sealed and log.start_election(fleet.now)
    log.seal(view.number + 500)
    assert log.sealed and log.start_election(fleet.now) == []
    log.install_view(fleet.now, View(view.number + 501, view.members, view.voters))
    assert not log.sealed and log.start_election(fleet.now)


def test_formed_view_is_replaced_if_a_member_crashes_before_it_is_active():
    fleet = Fleet(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).successor(("forms", "a"))
    for _ in range(2):  # all receive Form, then a receives their answers and decides
        for delivery in list(fleet.sent):
            fleet = fleet.successor(("arrives", *delivery))
    fleet = exchange_messages(fleet.successor(("restarts", "c")))
    assert [fleet.alive[name].active for name in NAMES] == [False] * 3
    fleet = exchange_messages(fleet.successor(("forms", "b")))
    assert {agreement.part(fleet.now) for agreement in fleet.alive.values()} == {Fraction(1, 3)}


def test_message_from_an_older_view_is_refused_and_answered_with_the_newer_view():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    a, b, c = (fleet.alive[name] for name in NAMES)
    fleet = exchange_messages(fleet.successor(("proposes", "a", (a.me, b.me))), {"a", "c"}, {"b", "c"})
    newer = fleet.alive["a"]
    old = Prepare(newer.number - 1, (9, "c"))
    assert newer.handle_message(fleet.now, c.me, old) == [("c", Decided(newer.view))]
    assert newer.promised != (9, "c")


def test_lease_ends_for_the_holder_first_despite_clock_drift():
    """Worst case: the holder's clock is slow and the granter's is fast, both by the drift."""
    terms = LeaseTerms(lease=30_000, drift=0.01)
    assert terms.holder_duration() / (1 - terms.drift) <= terms.granter_duration() / (1 + terms.drift)


def test_proposing_no_members_or_two_incarnations_is_refused():
    agreement = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).alive["a"]
    for members in ([], [Member("a", 1), Member("a", 2)]):
        with pytest.raises(ValueError, match="only one incarnation of each name"):
            agreement.propose(9, members)


def test_no_event_order_violates_an_invariant():
    first = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    for seed in (1, 2):
        assert random_runs(first, Bounds(states=8_000), seed).violation == ""
    two = search(
        form_first_view(("a", "b"), EXACT_CLOCK_TERMS, ViewAgreement),
        Bounds(states=4_000, ticks=2, proposals=1, forms=0),
        1,
    )
    assert two.violation == "" and two.states > 1_000


def test_drifting_clocks_violate_an_invariant_only_if_the_terms_ignore_drift():
    bounds = Bounds(states=40_000, crashes=0, restarts=0, forms=0, ticks=8, proposals=2)
    first = form_first_view(
        NAMES, LeaseTerms(lease=DRIFTING_CLOCK_TERMS.lease, drift=0.0), ViewAgreement, DRIFTING_CLOCK_RATES
    )
    result = random_runs(first, bounds, 5, by_kind=True)
    assert result.violation.startswith("parts are more than the whole") and "a tick passes" in result.trace
    assert (
        random_runs(
            form_first_view(NAMES, DRIFTING_CLOCK_TERMS, ViewAgreement, DRIFTING_CLOCK_RATES), Bounds(states=8_000), 3
        ).violation
        == ""
    )


@pytest.mark.parametrize(
    "make, violation, bounds",
    [
        (RevokesEarly, "parts are more than the whole", NO_FAILURES),
        (ForgetsAcceptedView, "two views with the number", NO_FAILURES),
    ],
)
def test_planted_fault_is_found_with_a_short_trace(make, violation, bounds):
    first = form_first_view(NAMES, EXACT_CLOCK_TERMS, make)
    result = random_runs(first, Bounds(states=100_000, crashes=0, restarts=0, forms=0), 1)
    assert result.violation.startswith(violation) and 2 <= len(result.trace) <= 20
    assert "proposes" in result.trace[0]


def test_no_vote_for_a_successor_before_the_view_is_active():
    """Guards against two view changes at once.

    The voters that decide the second change may never have granted leases on the view before the first, so their
    revoked grants say nothing about leases on it.
    """
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    a, b = fleet.alive["a"].me, fleet.alive["b"].me
    fleet = fleet.successor(("proposes", "a", (a, b)))
    agreement = fleet.alive["b"].copy()
    number = agreement.number
    assert agreement.handle_message(fleet.now, a, Prepare(number, (1, "a"))) != []
    agreement.handle_message(fleet.now, a, Decided(View(number + 1, (a, b), (a, b), agreement.view.voters)))
    assert not agreement.active and agreement.handle_message(fleet.now, a, Prepare(number + 1, (1, "a"))) == []
    assert agreement.handle_message(fleet.now, a, Revoked(number + 1)) == [] and not agreement.active
    agreement.renew(fleet.now + EXACT_CLOCK_TERMS.granter_duration())
    assert agreement.active and agreement.handle_message(fleet.now, a, Prepare(number + 1, (1, "a"))) != []
