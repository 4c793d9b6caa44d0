"""What a span is worth in even parts: through changes, leases that ran out, and more changes than are remembered."""

from fractions import Fraction

import pytest

from tansykeel.cluster.allotments import MOST, Allotments

LEAST = Fraction(1, 25)  # a fifth of an even part of five


def parts():
    return Allotments(5, LEAST, 0)


def test_before_anything_is_agreed_the_safe_part_counts():
    assert parts().accrued(100, 200) == pytest.approx((20, 0.2))


def test_a_span_over_changes_is_worth_what_counted_in_each():
    one = parts()
    one.put(100, Fraction(1, 5), 1_000)
    one.put(300, Fraction(1, 4), 1_000)
    assert one.accrued(0, 500) == pytest.approx((20 + 200 + 250, 1.25))
    assert one.accrued(400, 500) == pytest.approx((125, 1.25))


def test_a_lease_that_ran_out_earns_the_safe_part_from_then_on_though_nobody_said_so():
    """Guards against a gateway that stood still and earns by a part that others have by now."""
    one = parts()
    one.put(0, Fraction(1, 5), 300)
    assert one.accrued(0, 1_000) == pytest.approx((300 + 0.2 * 700, 0.2))
    one.put(1_000, Fraction(1, 5), 1_300)  # granted anew: the gap stays a gap
    assert one.accrued(0, 1_100) == pytest.approx((300 + 0.2 * 700 + 100, 1.0))


def test_a_lease_that_is_granted_on_and_on_is_one_span():
    one = parts()
    for at in range(0, 100_000, 100):
        one.put(at, Fraction(1, 5), at + 300)
    assert len(one.spans) == 2 and one.accrued(0, 100_000) == pytest.approx((100_000, 1.0))
    assert one.accrued(0, 100_300) == pytest.approx((100_200 + 0.2 * 100, 0.2))


def test_what_was_forgotten_counts_as_the_safe_part():
    one = parts()
    for n in range(2 * MOST):
        one.put(10 * n, Fraction(1, 5 + n % 2), 10**9)
    assert len(one.spans) == MOST
    whole, _ = one.accrued(0, 20 * MOST)
    kept, _ = one.accrued(10 * MOST, 20 * MOST)
    assert whole == pytest.approx(kept + 0.2 * 10 * MOST, abs=10)
