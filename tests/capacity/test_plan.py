"""Figures of a deployment, their sums against bounds, bad hours."""

import pytest
from capacity.helpers import TARGET, kept, slope, straight

from tansykeel.capacity.drivers import drivers_of, volume_queues
from tansykeel.capacity.errors import MissingDriverError
from tansykeel.capacity.page import store_connections_table
from tansykeel.capacity.plan import Verdict, plan_of
from tansykeel.capacity.target import parsed


def planned(*slopes, target=TARGET):
    return plan_of(kept(*slopes), parsed(target, "target.toml"))


def test_a_sum_counts_each_fixed_part_once_and_says_the_head_room():
    (total,) = planned(
        straight(1000, 1),  # 500 connections a gateway
        straight(1000, 5, name="memory-stores", grows_by="stores_known", counts_fixed=False),
    ).steady.sums
    assert total.value == pytest.approx(1000 + 500 + 5 * 20)
    assert total.head_room_percent == pytest.approx(20)
    assert total.verdict is Verdict.FITS


def test_a_sum_over_its_bound_is_marked():
    (total,) = planned(straight(1000, 3)).steady.sums
    assert total.verdict is Verdict.OVER and total.head_room_percent == pytest.approx(-25)


def test_mechanisms_are_summed_apart():
    today, tomorrow = planned(straight(0, 5), straight(100, 0, name="later", mechanism="later")).steady.sums
    assert (today.mechanism, today.verdict) == ("one process", Verdict.OVER)
    assert (tomorrow.mechanism, tomorrow.verdict) == ("later", Verdict.FITS)


def test_a_slope_that_is_not_linear_is_read_between_its_runs_and_never_beyond_them():
    bent = [0, 1e1, 4e1, 16e1, 640]
    within, beyond = slope(bent), slope(bent, sizes=(0, 10, 20, 40, 80), name="beyond")
    figures = planned(within, beyond).steady.figures
    assert figures[0].value == pytest.approx(160 + (640 - 160) / 4) and "size^2.00" in figures[0].note
    assert figures[1].value is None and "measured up to 80" in figures[1].note


def test_a_line_that_is_drawn_on_far_beyond_its_runs_says_so():
    near, far = straight(0, 1, sizes=(0, 1, 2, 3, 450)), straight(0, 1, sizes=(0, 1, 2, 3, 50), name="far")
    notes = [figure.note for figure in planned(near, far).steady.figures]
    assert notes == ["", "10.0 times the largest size measured"]


def test_connections_to_stores_are_worked_out_for_all_and_for_a_part():
    plan = planned(straight(9, 100, grows_by="store_connections_per_gateway", bound=""))
    whole, half, *_ = store_connections_table(plan).splitlines()[2:]
    assert whole == "| 20 | 200 | 10 | 2 kB |" and half == "| 10 | 100 | 5 | 1 kB |"


def test_a_sum_with_an_unknown_part_is_not_known_but_over_where_the_known_part_is():
    unknown = slope([0, 1, 4, 16, 64], sizes=(0, 10, 20, 40, 80), name="unknown")
    (total,) = planned(unknown, straight(0, 1)).steady.sums
    assert total.value is None and total.verdict is Verdict.UNKNOWN
    (total,) = planned(unknown, straight(0, 5)).steady.sums
    assert total.verdict is Verdict.OVER


def test_a_bound_that_nothing_was_measured_for_is_not_known():
    (total,) = planned(straight(1, 1, bound="")).steady.sums
    assert (total.mechanism, total.value, total.verdict) == ("", None, Verdict.UNKNOWN)


def test_times_and_factor_turn_a_cost_each_into_a_rate():
    slope_each = straight(300, 0.5, times="tasks_per_second_per_gateway", factor=1e-4, grows_by="stores_known")
    (figure,) = planned(slope_each).steady.figures
    assert figure.value == pytest.approx(200 * (300 + 0.5 * 20) * 1e-4)


def test_a_lost_zone_sends_its_clients_and_tasks_to_the_others():
    quiet, zone = planned(straight(1000, 1)).hours
    assert zone.drivers["gateways"] == 8 and zone.drivers["stores"] == 16
    assert zone.drivers["connections_per_gateway"] == 625 and zone.drivers["tasks_per_second_per_gateway"] == 250
    assert zone.drivers["arriving_connections_per_gateway"] == 125
    assert quiet.drivers["arriving_connections_per_gateway"] == 0
    assert zone.sums[0].value == pytest.approx(1625)


def test_a_slope_that_grows_by_an_unknown_number_is_one_error_and_the_target_may_give_it():
    odd = straight(1, 1, grows_by="racks")
    with pytest.raises(MissingDriverError, match="grows by 'racks'"):
        planned(odd)
    (figure,) = planned(odd, target=TARGET + "[drivers]\nracks = 7\n").steady.figures
    assert figure.value == pytest.approx(8)


def test_queues_of_volumes_grow_with_tasks_up_to_all_pairs():
    assert volume_queues(10, 10, 0.001) == pytest.approx(0.6, rel=0.01)
    assert volume_queues(10, 10, 1e6) == pytest.approx(100)
    assert drivers_of(parsed(TARGET, "t"))["volume_queues_per_gateway"] == pytest.approx(2000)
