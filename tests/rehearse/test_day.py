"""The script form of a day and the load that it says."""

from __future__ import annotations

import pytest

from tansykeel.rehearse.day import VERBS, load_day
from tansykeel.rehearse.load import arrivals_of, mean_units
from tansykeel.settings.build import facts_of
from tansykeel.settings.day import settings_of
from tansykeel.settings.script import ScriptError

HEAD = """
day("d", seconds = 20)
fleet(edges = 3, stores = 4, cores = 2, unit_ms = 10)
category("read", soft_limit_ms = 300, cut_off_ms = 2000)
category("write", soft_limit_ms = 300, cut_off_ms = 2000, writes = True)
volumes("basic", count = 6, hosts = 2, stores = 2, limit = 2, reserve = 0.5)
traffic(part = param("part", 0.5), surges = 0, mix = {"read": 0.7, "write": 0.3}, fresh = ["write"])
"""


@pytest.fixture
def day(tmp_path):
    def make(more="", given=None, head=HEAD):
        (tmp_path / "d.star").write_text(head + more)
        return load_day(tmp_path / "d.star", given)

    return make


@pytest.mark.parametrize(
    "more, says",
    [
        ("slow(at = 3, stores = [7])", r"d.star:8: slow.stores: 7 does not exist; legal: 0 to 3"),
        ("stall(at = 3, edges = [3])", r"stall.edges: 3 does not exist; legal: 0 to 2"),
        ("slow(at = 3, speed = 2)", r"slow: no field 'speed'; legal: at, factor, for_s, stores"),
        ("slow(at = -1)", "slow.at: -1 is not legal"),
        ("slow(for_s = 3)", "slow.at: None is not legal"),
        ("slow(at = 1, for_s = 0)", "slow.for_s: 0 is not legal"),
        ("slow(at = 1, factor = -2)", "slow.factor: -2 is not legal"),
        ("slow(at = 25)", "slow.at: 25 is past the day's end; legal: under 20"),
        ("plan_burst(at = 2, plan = 'gold')", "'gold' is no plan; legal: basic"),
        ("storm(at = 2)", "`storm` not found"),
        ('traffic(part = 0.5, mix = {"odd": 1})', "'odd' is no category; legal: read, write"),
        ("fleet(edges = 3, disks = 4)", r"no field 'disks'; legal: edges, .*cold_s"),
    ],
)
def test_a_fault_in_a_day_names_its_place(day, more, says):
    with pytest.raises(ScriptError, match=says):
        day(more)


@pytest.mark.parametrize(
    "missing, says", [("day(", "day is missing"), ("traffic(", "traffic is missing"), ("volumes(", "volumes: none")]
)
def test_a_day_without_a_part_says_which(day, missing, says):
    with pytest.raises(ScriptError, match=says):
        day(head="\n".join(line for line in HEAD.splitlines() if not line.startswith(missing)))


def test_params_are_set_from_outside_and_unknown_ones_refused(day):
    assert day(given={"part": 0.9}).load.part == 0.9
    with pytest.raises(ScriptError, match="no param 'parts'; legal: part"):
        day(given={"parts": 1})
    with pytest.raises(ScriptError, match="'x' is not legal"):
        day(given={"part": "x"})


def test_every_verb_is_a_trouble_that_a_script_can_name(day):
    text = "\n".join(f"{verb}(at = 1" + (', plan = "basic")' if verb == "plan_burst" else ")") for verb in VERBS)
    named = day(text, head=HEAD.replace("edges = 3", "edges = 3, agree = True")).troubles
    assert {trouble.verb for trouble in named} == set(VERBS)


def test_a_day_in_another_length_scales_its_troubles_and_not_its_machines(day):
    shorter = day("stall(at = 10, for_s = 4, stall_ms = 900)").scaled(10)
    assert (shorter.seconds, shorter.troubles[0].at, shorter.troubles[0].for_s) == (10, 5, 2)
    assert shorter.troubles[0].detail["stall_ms"] == 900


def test_one_seed_gives_one_load_and_another_volume_shifts_no_other(day):
    one = day()
    assert arrivals_of(one, 3) == arrivals_of(one, 3) != arrivals_of(one, 4)
    more = day('volumes("late", count = 1, share = 0.0001)\n')
    mine = [(a.category, a.units) for a in arrivals_of(more, 3) if a.volume == "basic-2"][:50]
    assert mine == [(a.category, a.units) for a in arrivals_of(one, 3) if a.volume == "basic-2"][:50]


def test_the_load_is_what_the_script_asks_for(day):
    one = day()
    arrivals = arrivals_of(one, 5)
    asked = sum(a.units for a in arrivals) / one.seconds / one.capacity()
    assert 0.45 < asked < 0.85  # half of capacity, and up to three times the rate for busy volumes
    assert 0.6 < sum(a.category == "read" for a in arrivals) / len(arrivals) < 0.8
    assert all(a.shard == -1 for a in arrivals if a.category == "write")
    assert all(len(set(a.edges)) == 2 for a in arrivals) and mean_units(one) == pytest.approx(2.05)


@pytest.mark.parametrize(
    "trouble, times",
    [
        ("burst(at = 5, for_s = 10, times = 3)", 3.0),
        ('plan_burst(at = 5, for_s = 10, plan = "basic", times = 3)', 3.0),
        ("hot_key(at = 5, for_s = 10, volumes = 1, share = 1.0)", 1.7),
    ],
)
def test_a_burst_asks_for_more_while_it_lasts(day, trouble, times):
    arrivals = arrivals_of(day(trouble), 5)
    inside = sum(5 <= a.at < 15 for a in arrivals)
    assert inside / max(len(arrivals) - inside, 1) > times * 0.8


def test_gateways_get_rule_figures_that_fit_the_fleet(day):
    one = day()
    made = settings_of(one, "127.0.0.1:9", "127.0.0.1:0")
    facts = facts_of(made, 2, 3)
    shape = one.fleet.shape
    assert facts.slow_start.always_safe == pytest.approx(shape.fall_multiple * shape.cold_share * 200 * shape.fall_s)
    assert facts.plans[0].limit_depth >= 2 * facts.sizes.largest * 2 and len(made.volumes) == 6
