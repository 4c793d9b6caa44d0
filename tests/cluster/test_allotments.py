"""What a span of time is worth in even parts: through changes, expired leases, and more changes than are remembered."""

from fractions import Fraction

import pytest

from tansykeel.cluster.allotments import MAX_SPANS, Allotments

SAFE_PART = Fraction(1, 25)  # a fifth of an even part of five


def make_allotments():
    return Allotments(5, SAFE_PART, 0)


def test_before_anything_is_agreed_the_safe_part_counts():
    assert make_allotments().accrued(100, 200) == pytest.approx((20, 0.2))


def test_a_span_over_changes_is_worth_what_counted_in_each():
    allotments = make_allotments()
    allotments.set_part(100, Fraction(1, 5), 1_000)
    allotments.set_part(300, Fraction(1, 4), 1_000)
    assert allotments.accrued(0, 500) == pytest.approx((20 + 200 + 250, 1.25))
    assert allotments.accrued(400, 500) == pytest.approx((125, 1.25))


def test_after_a_lease_expired_the_safe_part_counts_without_any_call():
    """Guards against a gateway that stalled and gains by a part that others have by now."""
    allotments = make_allotments()
    allotments.set_part(0, Fraction(1, 5), 300)
    assert allotments.accrued(0, 1_000) == pytest.approx((300 + 0.2 * 700, 0.2))
    allotments.set_part(1_000, Fraction(1, 5), 1_300)  # a new lease does not fill the gap before it
    assert allotments.accrued(0, 1_100) == pytest.approx((300 + 0.2 * 700 + 100, 1.0))


def test_a_lease_that_is_renewed_in_time_is_one_span():
    allotments = make_allotments()
    for at in range(0, 100_000, 100):
        allotments.set_part(at, Fraction(1, 5), at + 300)
    assert len(allotments.spans) == 2 and allotments.accrued(0, 100_000) == pytest.approx((100_000, 1.0))
    assert allotments.accrued(0, 100_300) == pytest.approx((100_200 + 0.2 * 100, 0.2))


def test_time_before_the_remembered_spans_counts_with_the_safe_part():
    allotments = make_allotments()
    for n in range(2 * MAX_SPANS):
        allotments.set_part(10 * n, Fraction(1, 5 + n % 2), 10**9)
    assert len(allotments.spans) == MAX_SPANS
    whole, _ = allotments.accrued(0, 20 * MAX_SPANS)
    remembered, _ = allotments.accrued(10 * MAX_SPANS, 20 * MAX_SPANS)
    assert whole == pytest.approx(remembered + 0.2 * 10 * MAX_SPANS, abs=10)
