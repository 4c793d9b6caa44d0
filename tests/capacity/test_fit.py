"""Lines through runs, judged by the size that was kept out."""

import pytest
from capacity.helpers import SIZES, slope, straight
from hypothesis import given
from hypothesis import strategies as some

from tansykeel.capacity.errors import SlopeFileError
from tansykeel.capacity.fit import fit_of, runs_of


@given(fixed=some.floats(1, 1e9), each=some.floats(0, 1e6))
def test_a_straight_line_is_found_and_predicts_the_size_kept_out(fixed, each):
    fit = straight(fixed, each).fit
    assert fit.linear and fit.held_out.size == SIZES[-1]
    assert fit.fixed + fit.slope * 800 == pytest.approx(fixed + each * 800, rel=1e-6)
    assert abs(fit.held_out.error_percent) < 1e-3


def test_the_largest_size_does_not_bend_the_line():
    line = [5.0 + 2.0 * size for size in SIZES[:-1]]
    for largest in (1605.0, 3000.0):
        fit = slope([*line, largest]).fit
        assert (fit.fixed, fit.slope) == (pytest.approx(5.0), pytest.approx(2.0))


@pytest.mark.parametrize("off, linear", [(1.14, True), (0.88, True), (1.19, False), (0.86, False)])
def test_a_series_is_linear_where_the_size_kept_out_is_predicted_within_15_percent(off, linear):
    assert slope([0, 100, 200, 400, 800 * off]).fit.linear is linear


def test_what_grows_with_the_square_is_not_linear_and_its_exponent_is_said():
    fit = slope([0, 1e4, 4e4, 16e4, 64e4]).fit
    assert not fit.linear and "size^2.00 from 400 to 800" in fit.shape


def test_what_does_not_grow_is_flat():
    assert slope([100, 101, 100, 102, 101]).fit.shape == "flat"
    assert slope([100, 200, 300, 500, 900]).fit.shape == "linear"


def test_repetitions_become_their_median_with_the_lowest_and_highest():
    (run,) = runs_of([(5, 3.0), (5, 9.0), (5, 4.0)])
    assert (run.value, run.lowest, run.highest, run.repetitions) == (4.0, 3.0, 9.0, 3)


def test_fewer_than_four_sizes_are_refused():
    with pytest.raises(SlopeFileError, match="3 sizes; legal: 4 at least"):
        fit_of(runs_of([(1, 1.0), (2, 2.0), (3, 3.0)]), "too-few")
