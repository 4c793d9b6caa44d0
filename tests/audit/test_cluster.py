"""The audit of views and parts: what is broken on purpose is found and named, what is kept is not."""

from fractions import Fraction

import pytest

from tansykeel.audit.cluster import FLEET_RULES, FleetLaw, counted_mean, words_of
from tansykeel.audit.join import join
from tansykeel.audit.records import Counted, Killed, Said
from tansykeel.cluster.membership import Decided, LeaseGrant, LeaseRequest, Member, View, choose_voters
from tansykeel.cluster.messages import CODEC
from tansykeel.cluster.view_agreement import LeaseTerms

SECOND = 1_000_000
TERMS = LeaseTerms(lease=10_000, drift=0.0)
MEMBERS = tuple(Member(f"edge-{n}", n + 1) for n in range(3))
VIEW = View(7, MEMBERS, choose_voters(MEMBERS, 5))
SAFE, EACH = Fraction(1, 15), Fraction(1, 3)


def said(at, edge, hearer, word, passed=None):
    return Said(
        at, at + 100 if passed is None else passed, f"edge-{edge}", edge + 1, f"edge-{hearer}", *CODEC.encode(word)
    )


def counted(at, edge, part, until, view=7, life=None):
    return Counted(at, f"edge-{edge}", life or edge + 1, view, part.numerator, part.denominator, until)


def granted(at, edge, view=7, givers=2):
    """A lease of a second from `at` on, by so many others."""
    others = [n for n in range(3) if n != edge][:givers]
    return [
        word
        for other in others
        for word in (
            said(at, edge, other, LeaseRequest(view, at // 100)),
            said(at + 200, other, edge, LeaseGrant(view, at // 100, True)),
        )
    ]


def broken(records):
    passed = join([*records])
    law = FleetLaw(3, TERMS, words_of(passed))
    return {rule: found for rule, judge in FLEET_RULES.items() if (found := [b.what for b in judge(passed, law)])}


WHOLE = [said(0, 0, 1, Decided(VIEW)), *granted(1000, 0), *granted(1000, 1), *granted(1000, 2)]


def test_parts_with_their_leases_are_kept():
    claims = [counted(0, n, SAFE, 0, view=0) for n in range(3)]
    claims += [counted(2000, n, EACH, 1000 + SECOND) for n in range(3)]
    assert broken([*WHOLE, *claims]) == {}
    passed = join([*WHOLE, *claims, said(2 * SECOND, 0, 1, LeaseRequest(7, 20_000))])
    mean = counted_mean(passed, FleetLaw(3, TERMS, words_of(passed)))
    assert mean == pytest.approx((1.0 * 999_000 + 0.2 * 1_001_000) / (2 * SECOND), abs=0.01)


@pytest.mark.parametrize(
    "claim, says",
    [
        (counted(2000, 0, EACH, 3 * SECOND), "longer than it was granted"),
        (counted(2000, 0, Fraction(1, 2), 1000 + SECOND), "which gives it 0.3333"),
        (counted(2000, 0, EACH, 1000 + SECOND, life=9), "which gives it 0.0667"),
        (counted(2000, 0, EACH, 1000 + SECOND, view=8), "which gives it 0.0667"),
    ],
)
def test_a_part_that_nobody_granted_is_found(claim, says):
    assert any(says in what for what in broken([*WHOLE, claim])["parts"])


def test_a_grant_that_never_arrived_counts_for_nothing():
    words = [
        said(0, 0, 1, Decided(VIEW)),
        said(1000, 0, 1, LeaseRequest(7, 10)),
        said(1200, 1, 0, LeaseGrant(7, 10, True), passed=0),
    ]
    assert "parts" in broken([*words, counted(2000, 0, EACH, 1000 + SECOND)])
    words[-1] = said(1200, 1, 0, LeaseGrant(7, 10, True))  # with its own it holds two of three
    assert broken([*words, counted(2000, 0, EACH, 1000 + SECOND)]) == {}


def test_together_more_than_the_whole_is_found_and_who_was_killed_counts_no_more():
    later = View(8, MEMBERS[:2], choose_voters(MEMBERS[:2], 5), VIEW.voters)
    words = [*WHOLE, said(2500, 0, 1, Decided(later)), *granted(3000, 0, view=8, givers=1)]
    claims = [counted(2000, n, EACH, 1000 + SECOND) for n in (1, 2)]
    claims.append(counted(5000, 0, SAFE + Fraction(2, 5), 3000 + SECOND, view=8))
    found = broken([*words, *claims])
    assert list(found) == ["parts"] and "together 1.1333" in found["parts"][0]
    assert broken([*words, *claims, Killed(4000, "edge-2")]) == {}


def test_two_views_with_one_number_are_found():
    other = View(7, MEMBERS[:2], MEMBERS[:2], MEMBERS)
    assert list(broken([*WHOLE, said(9, 1, 2, Decided(other))])) == ["one_view"]


def test_a_grant_for_an_old_view_is_found_but_not_one_that_was_on_its_way():
    knows = said(SECOND, 1, 0, Decided(View(8, MEMBERS, MEMBERS, MEMBERS)))
    assert broken([*WHOLE, knows, said(SECOND + 10_000, 1, 2, LeaseGrant(7, 5, True))]) == {}
    assert list(broken([*WHOLE, knows, said(2 * SECOND, 1, 2, LeaseGrant(7, 5, True))])) == ["old_epochs"]
