"""Leave, room and releases as entries: what is legal as of when it is decided, and what comes of it."""

from __future__ import annotations

import pytest

from tansykeel.maintenance.canary_analysis import Comparison, Seen, Terms
from tansykeel.maintenance.disruption_budget import Bounds, Place
from tansykeel.maintenance.entries import Back, Bounded, Leave, Lost, Move, Plan, Recover, There, Went
from tansykeel.maintenance.rollouts import TRANSITIONS
from tansykeel.maintenance.state import State

GATEWAYS = tuple(Place(f"g{n}", "gateway", n % 2, volumes=("v",) if n < 2 else ("w",)) for n in range(10))
STORES = tuple(Place(f"s{n}", "store", n % 2, n // 2, power=10.0) for n in range(6))


def state(*entries, **bounds):
    made = State(known=True)
    for index, entry in enumerate((There((*GATEWAYS, *STORES)), Bounded(Bounds(**bounds)), *entries), 1):
        made.apply_entry(index, entry)
    return made


def leave(name, release="", back=False, boot=1):
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
def test_each_bound_holds_by_itself(out, bounds, name, says):
    made = state(*map(leave, out), **bounds)
    assert list(made.kept.out) == out
    made.apply_entry(50, leave(name))
    assert list(made.kept.out) == out and says in made.kept.refused[-1].why[0]


def test_what_is_left_has_to_bear_what_is_asked():
    from tansykeel.maintenance.entries import Asked

    made = state(Asked(45.0, 0.0), share=0.5, zone=0.9)
    assert made.denial_reasons("s0") == []
    made.apply_entry(9, Asked(46.0, 0.0))
    assert "spare power: 46 units a second" in made.denial_reasons("s0")[0]


@pytest.mark.parametrize("why", ["died", "drains"])
def test_what_went_unasked_takes_room_and_only_being_seen_gives_it_back(why):
    made = state(Went("g2", why), Went("g4", why), share=0.2)
    made.apply_entry(9, leave("g3"))
    assert "g3" not in made.kept.out
    made.apply_entry(10, Back("g2", 2, made.kept.out["g4"].number))  # of another leave
    assert "g2" in made.kept.out
    made.apply_entry(11, Back("g2", 2, made.kept.out["g2"].number))
    made.apply_entry(12, leave("g3"))
    assert set(made.kept.out) == {"g4", "g3"}


def test_a_store_that_left_for_good_is_out_until_another_holds_its_shard():
    made = state(Went("s0", "drains"), There((), ("s0",)))
    assert "s0" not in made.kept.out  # s1 holds the shard too
    made = state(Went("s0", "drains"), Went("s1", "died"), There((), ("s0",)), share=0.5)
    assert "s0" in made.kept.out
    made.apply_entry(9, There((Place("s9", "store", 0, 0),), ("s0",)))
    assert "s0" not in made.kept.out and "s0" not in made.kept.places


def test_a_life_that_was_given_leave_is_not_back_itself():
    made = state(leave("g2"))
    number = made.kept.out["g2"].number
    made.apply_entry(9, Back("g2", 1, number))
    assert "g2" in made.kept.out
    made.apply_entry(10, Back("g2", 2, number))
    assert "g2" not in made.kept.out


def test_a_state_that_is_a_guess_lets_nobody_go_until_an_operator_says_what_is_out():
    made = state(Lost(7))
    made.apply_entry(9, leave("g2"))
    assert not made.kept.out and "accord recover" in made.kept.refused[-1].why[0]
    made.apply_entry(10, Recover((("g5", "seen dead"),), "me"))
    made.apply_entry(11, leave("g2"))
    assert set(made.kept.out) == {"g5", "g2"} and made.kept.guess == 7


def release(*entries, waves=(("g0",), ("g2", "g4"))):
    return state(Plan("r", "new", "old", waves, "me"), *entries, share=0.5, zone=0.9)


def through(made, names, at, back=False):
    for name in names:
        made.apply_entry(at, leave(name, "r", back))
        made.apply_entry(at + 1, Back(name, 2, at))
        at += 2


def test_a_release_goes_wave_by_wave():
    made = release()
    kept = made.kept.releases["r"]
    assert kept.state == "waiting" and kept.next_targets() == ["g0"]
    made.apply_entry(10, leave("g2", "r"))
    assert "it is no step of r now" in made.kept.refused[-1].why[0]
    through(made, ["g0"], 11)
    assert kept.state == "settling" and kept.next_targets() == []
    made.apply_entry(20, Move("r", "next", "", ""))
    through(made, ["g2", "g4"], 21)
    made.apply_entry(30, Move("r", "next", "", ""))
    assert kept.state == "done"


def test_halted_means_nothing_further_and_the_way_back_goes_newest_first_before_any_other():
    made = release(Plan("other", "x", "old", (("g6",),), "me"))
    kept, other = made.kept.releases["r"], made.kept.releases["other"]
    through(made, ["g0"], 11)
    made.apply_entry(20, Move("r", "next", "", ""))
    through(made, ["g2"], 21)
    made.apply_entry(30, leave("g4", "r"))
    made.apply_entry(31, Move("r", "halt", "worse", ""))
    assert (kept.state, kept.next_targets(), other.state) == ("halted", [], "planned")
    made.apply_entry(32, Back("g4", 2, 30))  # what was on its way ended its step
    made.apply_entry(33, Move("r", "back", "", "me"))
    assert kept.next_targets() == ["g4", "g2", "g0"] and made.active_release() is kept
    through(made, ["g4", "g2", "g0"], 40, back=True)
    assert kept.state == "given up" and other.state == "waiting"


def test_one_that_never_came_whole_goes_back_without_more_room():
    made = release(leave("g0", "r"), Move("r", "halt", "late", ""), Move("r", "back", "", "me"))
    assert made.rolls_back_while_out("g0", made.kept.releases["r"])
    made.apply_entry(20, leave("g0", "r", back=True, boot=5))
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
def test_a_plan_that_can_t_be_is_refused_and_one_told_twice_is_one(plan, says):
    made = release(Plan("r", "new", "old", (("g0",), ("g2", "g4")), "me"))
    assert made.kept.refused == []
    made.apply_entry(20, plan)
    assert says in made.kept.refused[-1].why[0] and list(made.kept.releases) == ["r"]


def test_what_the_leader_alone_says_is_not_for_operators():
    made = release()
    made.apply_entry(20, Move("r", "out", "", "somebody"))
    assert made.kept.refused[-1].what == "out r"
    assert all(state in TRANSITIONS["back"] for state in ("waiting", "going", "settling", "halted"))


def test_a_snapshot_is_the_state():
    made = release(leave("g0", "r"), Went("s0", "died"))
    other = State()
    other.restore(made.snapshot())
    assert other.snapshot() == made.snapshot() and other.kept.releases["r"].next_targets() == []


def compared(new, old, stretches=40, tasks=10, **terms):
    """Rates of one class of two, the other alike; each stretch as it is in the mean."""
    made = Comparison(Terms(**terms), 2)
    for _ in range(stretches):
        made.add(
            {("a", 0): Seen(tasks, round(tasks * new)), ("b", 0): Seen(tasks, round(tasks * old))},
            {("a", 0): Seen(30, round(30 * old)), ("b", 0): Seen(30, round(30 * old))},
        )
    return made


def test_a_class_that_is_served_worse_is_named_and_one_alike_is_not():
    assert compared(0.7, 0.9).worse() == ["a"] and not compared(0.7, 0.9).harm_ruled_out()
    alike = compared(0.9, 0.9, stretches=90)
    assert alike.worse() == [] and alike.harm_ruled_out() and not compared(0.9, 0.9, stretches=3).harm_ruled_out()


def test_the_chance_of_a_halt_for_nothing_is_bounded_whenever_it_is_looked_at():
    from random import Random

    halted = 0
    for seed in range(300):
        chance, made = Random(seed), Comparison(Terms(alpha=0.05), 1)
        for _ in range(60):
            rate = 0.5 + 0.45 * chance.random()  # whatever else goes on strikes both
            made.add(
                {("a", 0): Seen(8, sum(chance.random() < rate for _ in range(8)))},
                {("a", 0): Seen(24, sum(chance.random() < rate for _ in range(24)))},
            )
            if made.worse():
                halted += 1
                break
    assert halted <= 0.05 * 300 * 1.5
