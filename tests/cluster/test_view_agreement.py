"""The agreement on views: one step at a time, parts that never make up more than the whole, in any order of events."""

from fractions import Fraction

import pytest

from tansykeel.cluster.membership import NONE, SAFE, Decided, Form, Formed, Member, Prepare, Revoked, View
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
CALM = Bounds(crashes=0, restarts=0, forms=0)


class Hasty(ViewAgreement):
    """Says that its grants are over while they still count."""

    def _revoke_grants(self, now):
        self.earlier_grants_until = now
        return super()._revoke_grants(now)


class Forgetful(ViewAgreement):
    """Votes again as if it had accepted nothing."""

    def _vote(self, message):
        answer = super()._vote(message)
        self.accepted, self.accepted_view = NONE, None
        return answer


def settled(fleet, *without, rounds=6):
    """All that lives renews and hears everything, again and again, but for links that are cut."""
    for _ in range(rounds):
        for name in list(fleet.alive):
            fleet = fleet.successor(("renews", name))
        heard = set()
        while new := [word for word in fleet.sent if word not in heard and {word[0], word[1].name} not in without]:
            for word in new:
                heard.add(word)
                if word[0] in fleet.alive:
                    fleet = fleet.successor(("arrives", *word))
        fleet = fleet.successor(("tick",))
    return fleet


def test_a_first_view_needs_every_name_and_then_each_has_an_equal_part():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    assert {one.part(fleet.now) for one in fleet.alive.values()} == {Fraction(1, 3)}
    two = Fleet(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).successor(("crashes", "c"))
    there = [one.me for one in two.alive.values()]
    assert two.alive["a"].form(0, there, 1) == [] and two.alive["a"].form(0, there, 1, ("b",)) == []


def test_with_an_operator_s_word_a_view_forms_without_a_name_that_never_comes_and_takes_it_in_later():
    fleet = settled(
        Fleet(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).successor(("crashes", "c")).successor(("forms", "a"))
    )
    assert {one.part(fleet.now) for one in fleet.alive.values()} == {SAFE / 3 + (1 - SAFE) / 2}
    fleet = settled(fleet.successor(("restarts", "c")))
    assert fleet.alive["c"].part(fleet.now) == SAFE / 3
    fleet = settled(fleet.successor(("proposes", "a", tuple(one.me for one in fleet.alive.values()))))
    assert {one.part(fleet.now) for one in fleet.alive.values()} == {Fraction(1, 3)}


class Alone(Fleet):
    """An operator whose word is wrong: a forms a view without the others, which are there."""

    def _apply(self, event):
        if event[0] == "forms":
            there, self.alive = self.alive, {event[1]: self.alive[event[1]]}
            try:
                return super()._apply(event)
            finally:
                self.alive = there | self.alive
        return super()._apply(event)


def test_a_wrong_word_on_who_is_gone_breaks_the_law_and_the_judge_names_it():
    cut = {"a", "b"}, {"a", "c"}
    fleet = settled(form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement), *cut)
    fleet.__class__ = Alone
    assert fleet.violation == "" and not fleet.alive["a"].leased(fleet.now)
    fleet = settled(fleet.successor(("forms", "a")), *cut)
    assert fleet.violation.startswith("parts are more than the whole")


@pytest.mark.parametrize("dead", NAMES)
def test_a_gateway_that_died_is_left_out_and_its_part_shared(dead):
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).successor(("crashes", dead))
    others = tuple(one.me for one in fleet.alive.values())
    fleet = settled(fleet.successor(("proposes", others[0].name, others)))
    assert {one.view.members for one in fleet.alive.values()} == {others}
    assert {one.part(fleet.now) for one in fleet.alive.values()} == {SAFE / 3 + (1 - SAFE) / 2}


def test_a_life_that_comes_back_joins_as_another_member():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).successor(("restarts", "c"))
    assert fleet.alive["c"].part(fleet.now) == SAFE / 3
    members = (*(fleet.alive[name].me for name in "ab"), fleet.alive["c"].me)
    fleet = settled(fleet.successor(("proposes", "a", members)))
    assert fleet.alive["c"].view.members[2] == Member("c", 2)
    assert {one.part(fleet.now) for one in fleet.alive.values()} == {Fraction(1, 3)}


def test_a_minority_falls_back_on_its_safe_part_and_takes_part_again_once_healed():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    cut = {"a", "c"}, {"b", "c"}
    fleet = settled(fleet, *cut)
    assert fleet.alive["c"].part(fleet.now) == SAFE / 3 and fleet.alive["a"].part(fleet.now) == Fraction(1, 3)
    fleet = settled(fleet.successor(("proposes", "a", (fleet.alive["a"].me, fleet.alive["b"].me))), *cut)
    assert fleet.alive["a"].number > fleet.alive["c"].number
    fleet = settled(fleet)
    assert fleet.alive["c"].number == fleet.alive["a"].number and fleet.alive["c"].part(fleet.now) == SAFE / 3


def test_two_of_three_lost_form_no_view_until_all_names_are_back():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    fleet = fleet.successor(("restarts", "b")).successor(("restarts", "c"))
    everyone = [one.me for one in fleet.alive.values()]
    fleet = settled(fleet.successor(("proposes", "a", everyone[:2])) or fleet)
    assert all(one.part(fleet.now) == SAFE / 3 for one in fleet.alive.values())
    fleet = settled(fleet.successor(("forms", "a")))
    assert {one.part(fleet.now) for one in fleet.alive.values()} == {Fraction(1, 3)}


def test_a_view_that_works_and_carries_nothing_any_more_gives_way_to_a_formed_one():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    one, now = fleet.alive["a"].copy(), fleet.now
    members = (*one.view.members[:2], Member("c", 2))
    form = Form(View(one.number + 500, members, members))
    assert one.has_working_view(now) and one.handle_message(now, members[2], form) == []
    one.sealed = True
    assert one.active and one.leased(now) and not one.has_working_view(now)
    assert one.handle_message(now, members[2], form) == [("c", Formed(form.view))]


def test_a_log_is_stuck_from_when_a_formed_view_is_taken_up_until_one_is_followed():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    view = fleet.alive["a"].view
    log = ReplicatedLog(fleet.alive["a"].me, BudgetState(), lease=100, now=fleet.now)
    log.install_view(fleet.now, view)
    assert not log.sealed and log.start_election(fleet.now)
    log.seal(view.number + 500)
    assert log.sealed and log.start_election(fleet.now) == []
    log.install_view(fleet.now, View(view.number + 501, view.members, view.voters))
    assert not log.sealed and log.start_election(fleet.now)


def test_a_formed_view_whose_member_died_before_it_counted_is_formed_anew():
    fleet = Fleet(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).successor(("forms", "a"))
    for _ in range(2):  # formed and answered, so a decides
        for word in list(fleet.sent):
            fleet = fleet.successor(("arrives", *word))
    fleet = settled(fleet.successor(("restarts", "c")))
    assert [fleet.alive[name].active for name in NAMES] == [False] * 3
    fleet = settled(fleet.successor(("forms", "b")))
    assert {one.part(fleet.now) for one in fleet.alive.values()} == {Fraction(1, 3)}


def test_a_word_of_an_older_epoch_is_refused_and_answered_with_the_newer_view():
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    a, b, c = (fleet.alive[name] for name in NAMES)
    fleet = settled(fleet.successor(("proposes", "a", (a.me, b.me))), {"a", "c"}, {"b", "c"})
    newer = fleet.alive["a"]
    old = Prepare(newer.number - 1, (9, "c"))
    assert newer.handle_message(fleet.now, c.me, old) == [("c", Decided(newer.view))]
    assert newer.promised != (9, "c")


def test_terms_leave_room_for_clocks_that_run_apart():
    """A holder's clock that is slow by the drift, a giver's that is fast by it: the lease ends first all the same."""
    terms = LeaseTerms(lease=30_000, drift=0.01)
    assert terms.holder_duration() / (1 - terms.drift) <= terms.granter_duration() / (1 + terms.drift)


def test_members_twice_and_none_are_refused_with_what_is_legal():
    one = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement).alive["a"]
    for members in ([], [Member("a", 1), Member("a", 2)]):
        with pytest.raises(ValueError, match="only one incarnation of each name"):
            one.propose(9, members)


def test_no_order_of_events_breaks_a_law():
    first = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    for seed in (1, 2):
        assert random_runs(first, Bounds(states=8_000), seed).violation == ""
    two = search(
        form_first_view(("a", "b"), EXACT_CLOCK_TERMS, ViewAgreement),
        Bounds(states=4_000, ticks=2, proposals=1, forms=0),
        1,
    )
    assert two.violation == "" and two.states > 1_000


def test_clocks_that_run_apart_break_no_law_unless_the_terms_take_them_for_alike():
    bounds = Bounds(states=40_000, crashes=0, restarts=0, forms=0, ticks=8, proposals=2)
    alike = form_first_view(
        NAMES, LeaseTerms(lease=DRIFTING_CLOCK_TERMS.lease, drift=0.0), ViewAgreement, DRIFTING_CLOCK_RATES
    )
    found = random_runs(alike, bounds, 5, by_kind=True)
    assert found.violation.startswith("parts are more than the whole") and "a tick passes" in found.trace
    assert (
        random_runs(
            form_first_view(NAMES, DRIFTING_CLOCK_TERMS, ViewAgreement, DRIFTING_CLOCK_RATES), Bounds(states=8_000), 3
        ).violation
        == ""
    )


@pytest.mark.parametrize(
    "make, violation, bounds",
    [(Hasty, "parts are more than the whole", CALM), (Forgetful, "two views with the number", CALM)],
)
def test_a_planted_fault_is_found_and_its_trace_is_short(make, violation, bounds):
    first = form_first_view(NAMES, EXACT_CLOCK_TERMS, make)
    found = random_runs(first, Bounds(states=100_000, crashes=0, restarts=0, forms=0), 1)
    assert found.violation.startswith(violation) and 2 <= len(found.trace) <= 20
    assert "proposes" in found.trace[0]


def test_no_step_is_voted_for_before_the_last_one_counts():
    """Guards against two steps at once: whoever decides the second may never have granted for the view before both."""
    fleet = form_first_view(NAMES, EXACT_CLOCK_TERMS, ViewAgreement)
    a, b = fleet.alive["a"].me, fleet.alive["b"].me
    fleet = fleet.successor(("proposes", "a", (a, b)))
    one = fleet.alive["b"].copy()
    number = one.number
    assert one.handle_message(fleet.now, a, Prepare(number, (1, "a"))) != []
    one.handle_message(fleet.now, a, Decided(View(number + 1, (a, b), (a, b), one.view.voters)))
    assert not one.active and one.handle_message(fleet.now, a, Prepare(number + 1, (1, "a"))) == []
    assert one.handle_message(fleet.now, a, Revoked(number + 1)) == [] and not one.active
    one.renew(fleet.now + EXACT_CLOCK_TERMS.granter_duration())
    assert one.active and one.handle_message(fleet.now, a, Prepare(number + 1, (1, "a"))) != []
