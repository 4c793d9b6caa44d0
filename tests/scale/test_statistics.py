"""The arithmetic of a report: quantiles, slopes, uncovered times, sums of units, processor time."""

from __future__ import annotations

import pytest

from tansykeel.scale.frames_seen import LeaseSpan
from tansykeel.scale.statistics import fit_line, spread_of, uncovered
from tansykeel.scale.units_series import GRID, units_series
from tansykeel.scale.usage import UsageSample, cores_used, read_sample


def test_quantiles_are_values_that_were_there():
    spread = spread_of([5.0, 1.0, 2.0, 3.0, 4.0])
    assert (spread.count, spread.p50, spread.p99, spread.most) == (5, 3.0, 5.0, 5.0)
    assert spread_of(range(1, 1001)).p99 == 990


def test_a_spread_of_nothing_is_empty():
    assert spread_of([]).count == 0


def test_a_line_is_fitted_without_the_largest_size():
    line = fit_line([(25, 2.5), (50, 4.5), (75, 6.5), (100, 17.0)])
    assert line is not None
    assert (line.fixed, line.slope) == pytest.approx((0.5, 0.08))
    assert line.largest_off == pytest.approx(8.5 / 17 - 1)


def test_two_sizes_fit_no_line():
    assert fit_line([(1, 1.0), (2, 2.0), (2, 2.1)]) is None


@pytest.mark.parametrize(
    "present, covered, left",
    [
        ([(0, 10)], [], 10),
        ([(0, 10)], [(2, 4), (3, 6)], 6),
        ([(0, 10), (20, 30)], [(-5, 25)], 5),
        ([(0, 10)], [(6, 4), (0, 10)], 0),
    ],
)
def test_time_that_no_lease_covers(present, covered, left):
    assert uncovered(present, covered) == left


def test_units_are_summed_over_the_leases_that_stand_at_a_moment():
    leases = {
        "a": [LeaseSpan(0, 2 * GRID, 3, "node"), LeaseSpan(2 * GRID, 4 * GRID, 5, "node")],
        "b": [LeaseSpan(GRID, 3 * GRID, 7, "node"), LeaseSpan(9 * GRID, 10 * GRID, 9, "node")],
    }
    moments, sums = units_series(leases, (0, 5 * GRID))
    assert moments == [0, GRID, 2 * GRID, 3 * GRID, 4 * GRID]
    assert sums == [3, 10, 12, 5, 0]


def test_processor_time_is_that_of_the_longest_run_within_the_time():
    samples = [
        UsageSample(0, "node", 1, 9.0, 0),
        UsageSample(1_000_000, "node", 1, 10.0, 0),
        UsageSample(2_000_000, "node", 2, 0.0, 0),
        UsageSample(6_000_000, "node", 2, 1.0, 0),
        UsageSample(9_000_000, "node", 2, 9.0, 0),
    ]
    assert cores_used(samples, 500_000, 8_000_000) == {"node": 0.25}


def test_a_process_is_read_from_proc_whatever_its_name(tmp_path):
    (tmp_path / "7").mkdir()
    fields = ["S", *["0"] * 10, "150", "50", *["0"] * 20]
    (tmp_path / "7" / "stat").write_text(f"7 (a) b) {' '.join(fields)}")
    (tmp_path / "7" / "statm").write_text("100 3 2 1 0 1 0")
    sample = read_sample("node", 7, tmp_path)
    assert sample is not None
    assert (sample.cpu_s, sample.resident) == (2.0, 3 * 4096)
    assert read_sample("node", 8, tmp_path) is None
