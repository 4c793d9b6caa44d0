"""Files of slopes and of targets: kept whole, and one clear error for each that is damaged or wrong."""

import pytest
from capacity.helpers import TARGET, kept, slope, straight
from msgspec import structs

from tansykeel.capacity import slope_file, target
from tansykeel.capacity.errors import SlopeFileError, TargetError


def test_slopes_are_read_as_they_were_written():
    both = kept(straight(1000, 2.5), slope([1, 2, 30, 400, 5000], name="bent", experiment="other"))
    again = slope_file.parsed(slope_file.text_of(both), "slopes.toml")
    assert {one.series.name: one.fit.linear for one in again.slopes} == {"memory-connections": True, "bent": False}
    assert slope_file.text_of(again) == slope_file.text_of(both)


def test_measuring_anew_replaces_what_the_same_experiment_gave_and_nothing_else():
    stays, goes = straight(1, 1, experiment="other"), straight(1, 1, name="gone")
    new = straight(2, 2)
    assert slope_file.merged(kept(stays, goes), (new,), {}).slopes == (stays, new)


def test_runs_that_stay_keep_their_figures_and_are_described_as_the_experiment_is_now():
    stays, new = straight(1, 1, experiment="other"), straight(2, 2)
    spec = structs.replace(stays.series, name="memory-connections", bound="another")
    again = slope_file.merged(kept(stays), (new,), {"memory-connections": spec}).slopes[0]
    assert (again.series.bound, again.runs, again.fit) == ("another", stays.runs, stays.fit)


@pytest.mark.parametrize(
    "old, new, says",
    [
        ("format = 1", "format = 2", "format 2; legal: 1"),
        ("format = 1", "format =", "Invalid"),
        ('unit = "bytes"', "", "unit"),
        ("fixed = 1000.0", "fixed = 900.0", "is not that of its runs"),
        ("linear = true", "linear = false", "its runs deny it"),
        ("repetitions = 1", "repetitions = 0", "repetitions"),
        ('role = "gateway-data-path"', 'role = "cook"', "cook"),
    ],
)
def test_a_damaged_file_of_slopes_is_one_error(old, new, says):
    text = slope_file.text_of(kept(straight(1000, 2.5)))
    assert old in text
    with pytest.raises(SlopeFileError, match=says) as caught:
        slope_file.parsed(text.replace(old, new, 1), "slopes.toml")
    assert str(caught.value).startswith("slopes.toml: ") and caught.value.do


def test_a_slope_that_is_there_twice_is_one_error():
    with pytest.raises(SlopeFileError, match="twice"):
        slope_file.parsed(slope_file.text_of(kept(straight(1, 1), straight(1, 1))), "slopes.toml")


@pytest.mark.parametrize(
    "old, new, says",
    [
        ("gateways = 10", "gateways = 0", "gateways"),
        ("gateways = 10", "gatways = 10", "gatways"),
        ("limit = 2000", "limit = -1", "limit"),
        ("zones_of_larger_region = 3", "zones_of_larger_region = 6", "5 zones at most"),
        ("gateways_lost = 2", "gateways_lost = 10", "leaves no gateway"),
        ("[[bad_hours]]", "[[bad_hours", "Expected|Invalid"),
    ],
)
def test_a_wrong_target_is_one_error(old, new, says):
    assert old in TARGET
    with pytest.raises(TargetError, match=says) as caught:
        target.parsed(TARGET.replace(old, new, 1), "target.toml")
    assert str(caught.value).startswith("target.toml: ") and caught.value.do


def test_a_bound_that_is_there_twice_is_one_error():
    bound = TARGET[TARGET.index("[[bounds]]") : TARGET.index("[[bad_hours]]")]
    with pytest.raises(TargetError, match="twice"):
        target.parsed(TARGET.replace(bound, bound + bound), "target.toml")
