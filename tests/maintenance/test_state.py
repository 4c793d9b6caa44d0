"""State of the maintenance log: which entries are legal when they are applied, and their effect; canary analysis."""

from __future__ import annotations

import pytest

from tansykeel.maintenance.canary_analysis import Comparison, Seen, Terms
from tansykeel.maintenance.disruption_budget import Bounds, Place
from tansykeel.maintenance.entries import Back, Bounded, Leave, Lost, Move, Plan, Recover, There, Went
from tansykeel.maintenance.rollouts import TRANSITIONS
from tansykeel.maintenance.state import State

GATEWAYS = tuple(Place(f"g{n}", "gateway", n % 2, volumes=("v",) if n < 2 else ("w",)) for n in range(10))
STORES = tuple(Place(f"s{n}", "store", n % 2, n // 2, power=10.0) for n in range(6))


def state_after(*entries, **bounds):
    """Return the state after the entries, in a fleet of ten gateways and six stores with these bounds."""
    made = State(known=True)
    for index, entry in enumerate((There((*GATEWAYS, *STORES)), Bounded(Bounds(**bounds)), *entries), 1):
        made.apply_entry(index, entry)
    return made


def permit(name, release="", back=False, boot=1):
    return Leave(name, boot, "test", "me", release, back)


@pytest.mark.parametrize(
    "out, bounds, name, says",
    [
        (["g2", "g3"], dict(share=0.2), "g4", "the gateways of the fleet: 2 of 10 are out, 2 at most"),
        (["g2"], dict(share=0.5, zone=0.2), "g4", "the gateways of zone 0: 1 of 5 are out, 1 at most"),
        (["g0"], dict(share=0.5, zone=0.9), "g1", "the gateways of volume v: 1 of 2 are out, 1 at most"),
        (["s0"], dict(share=0.5, zone=0.9), "s1", "the stores of shard 0: 1 of 2 are out, 1 at most"),
        (["g2"], {}, "g2", "g2 is out already"),
        ([], {}, "g99", "g99 is not known"),
    ],
)
def test_each_bound_is_checked_by_itself(out, bounds, name, says):
    made = state_after(*map(permit, out), **bounds)
    assert list(made.kept.out) == out
    made.apply_entry(50, permit(name))
    assert list(made.kept.out) == out and says in made.kept.refused[-1].why[0]


def test_remaining_power_must_bear_the_load():
    from tansykeel.maintenance.entries import Asked

    made = state_after(Asked(45.0, 0.0), share=0.5, zone=0.9)
    assert made.denial_reasons("s0") == []
    made.apply_entry(9, Asked(46.0, 0.0))
    assert "spare power: 46 units a second" in made.denial_reasons("s0")[0]


@pytest.mark.parametrize("why", ["died", "drains"])
def test_unplanned_outage_uses_the_budget_until_seen_back(why):
    made = state_after(Went("g2", why), Went("g4", why), share=0.2)
    made.apply_entry(9, permit("g3"))
    assert "g3" not in made.kept.out
    made.apply_entry(10, Back("g2", 2, made.kept.out["g4"].number))  # refers to another outage
    assert "g2" in made.kept.out
    made.apply_entry(11, Back("g2", 2, made.kept.out["g2"].number))
    made.apply_entry(12, permit("g3"))
    assert set(made.kept.out) == {"g4", "g3"}


def test_removed_store_counts_as_out_until_another_holds_its_shard():
    made = state_after(Went("s0", "drains"), There((), ("s0",)))
    assert "s0" not in made.kept.out  # s1 holds the shard too
    made = state_after(Went("s0", "drains"), Went("s1", "died"), There((), ("s0",)), share=0.5)
    assert "s0" in made.kept.out
    made.apply_entry(9, There((Place("s9", "store", 0, 0),), ("s0",)))
    assert "s0" not in made.kept.out and "s0" not in made.kept.places


def test_incarnation_that_was_permitted_to_go_out_does_not_count_as_back():
    made = state_after(permit("g2"))
    number = made.kept.out["g2"].number
    made.apply_entry(9, Back("g2", 1, number))
    assert "g2" in made.kept.out
    made.apply_entry(10, Back("g2", 2, number))
    assert "g2" not in made.kept.out


def test_after_a_state_loss_nothing_goes_out_until_an_operator_says_what_is_out():
    made = state_after(Lost(7))
    made.apply_entry(9, permit("g2"))
    assert not made.kept.out and "accord recover" in made.kept.refused[-1].why[0]
    made.apply_entry(10, Recover((("g5", "seen dead"),), "me"))
    made.apply_entry(11, permit("g2"))
    assert set(made.kept.out) == {"g5", "g2"} and made.kept.guess == 7


def state_with_release(*entries, waves=(("g0",), ("g2", "g4"))):
    return state_after(Plan("r", "new", "old", waves, "me"), *entries, share=0.5, zone=0.9)


def complete_steps(made, names, at, back=False):
    """Permit each name to go out for release r and count it back, from index `at` on."""
    for name in names:
        made.apply_entry(at, permit(name, "r", back))
        made.apply_entry(at + 1, Back(name, 2, at))
        at += 2


def test_release_goes_wave_by_wave():
    made = state_with_release()
    kept = made.kept.releases["r"]
    assert kept.state == "waiting" and kept.next_targets() == ["g0"]
    made.apply_entry(10, permit("g2", "r"))
    assert "it is no step of r now" in made.kept.refused[-1].why[0]
    complete_steps(made, ["g0"], 11)
    assert kept.state == "settling" and kept.next_targets() == []
    made.apply_entry(20, Move("r", "next", "", ""))
    complete_steps(made, ["g2", "g4"], 21)
    made.apply_entry(30, Move("r", "next", "", ""))
    assert kept.state == "done"


def test_halt_stops_further_steps_and_rollback_goes_newest_first_before_other_releases():
    made = state_with_release(Plan("other", "x", "old", (("g6",),), "me"))
    kept, other = made.kept.releases["r"], made.kept.releases["other"]
    complete_steps(made, ["g0"], 11)
    made.apply_entry(20, Move("r", "next", "", ""))
    complete_steps(made, ["g2"], 21)
    made.apply_entry(30, permit("g4", "r"))
    made.apply_entry(31, Move("r", "halt", "worse", ""))
    assert (kept.state, kept.next_targets(), other.state) == ("halted", [], "planned")
    made.apply_entry(32, Back("g4", 2, 30))  # what was out already finishes its step
    made.apply_entry(33, Move("r", "back", "", "me"))
    assert kept.next_targets() == ["g4", "g2", "g0"] and made.active_release() is kept
    complete_steps(made, ["g4", "g2", "g0"], 40, back=True)
    assert kept.state == "given up" and other.state == "waiting"


def test_gateway_that_never_was_ready_rolls_back_without_using_more_of_the_budget():
    made = state_with_release(permit("g0", "r"), Move("r", "halt", "late", ""), Move("r", "back", "", "me"))
    assert made.rolls_back_while_out("g0", made.kept.releases["r"])
    made.apply_entry(20, permit("g0", "r", back=True, boot=5))
    assert made.kept.out["g0"].number == 20 and made.kept.releases["r"].returned == ["g0"]
    made.apply_entry(21, Back("g0", 6, 20))
    assert made.kept.releases["r"].state == "given up"


@pytest.mark.parametrize(
    "plan, says",
    [
        (Plan("r", "newer", "old", (("g1",),), "me"), "has this name already"),
        (Plan("q", "new", "old", (("g0",),), "me"), "r has g0 too"),
        (Plan("q", "new", "old", ((),), "me"), "none empty"),
        (Plan("q", "new", "old", (("zz",),), "me"), "zz: not known"),
    ],
)
def test_illegal_plan_is_refused_and_repeated_plan_is_ignored(plan, says):
    made = state_with_release(Plan("r", "new", "old", (("g0",), ("g2", "g4")), "me"))
    assert made.kept.refused == []
    made.apply_entry(20, plan)
    assert says in made.kept.refused[-1].why[0] and list(made.kept.releases) == ["r"]


def test_operators_may_not_take_leader_actions():
    made = state_with_release()
    made.apply_entry(20, Move("r", "out", "", "somebody"))
    assert made.kept.refused[-1].what == "out r"
    assert all(state in TRANSITIONS["back"] for state in ("waiting", "going", "settling", "halted"))


def test_snapshot_restores_the_state():
    made = state_with_release(permit("g0", "r"), Went("s0", "died"))
    other = State()
    other.restore(made.snapshot())
    assert other.snapshot() == made.snapshot() and other.kept.releases["r"].next_targets() == []


def compared(new, old, intervals=40, tasks=10, **terms):
    """Compare versions with these service rates in class a, both with the old one in class b; counts are the means."""
    made = Comparison(Terms(**terms), 2)
    for _ in range(intervals):
        made.add(
            {("a", 0): Seen(tasks, round(tasks * new)), ("b", 0): Seen(tasks, round(tasks * old))},
            {("a", 0): Seen(30, round(30 * old)), ("b", 0): Seen(30, round(30 * old))},
        )
    return made


def test_only_the_class_that_is_served_worse_is_named():
    assert compared(0.7, 0.9).worse() == ["a"] and not compared(0.7, 0.9).harm_ruled_out()
    alike = compared(0.9, 0.9, intervals=90)
    assert alike.worse() == [] and alike.harm_ruled_out() and not compared(0.9, 0.9, intervals=3).harm_ruled_out()


def test_false_halt_rate_is_bounded_with_a_check_after_every_interval():
    from random import Random

    false_halts = 0
    for seed in range(300):
        chance, made = Random(seed), Comparison(Terms(alpha=0.05), 1)
        for _ in range(60):
            rate = 0.5 + 0.45 * chance.random()  # the rate changes, for both versions alike
            made.add(
                {("a", 0): Seen(8, sum(chance.random() < rate for _ in range(8)))},
                {("a", 0): Seen(24, sum(chance.random() < rate for _ in range(24)))},
            )
            if made.worse():
                false_halts += 1
                break
    assert false_halts <= 0.05 * 300 * 1.5
