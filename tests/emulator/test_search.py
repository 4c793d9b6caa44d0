"""Search: which days are looked at, which is the worst, and what still shows it when cut down."""

from __future__ import annotations

import pytest

from tansykeel.emulator.search import Range, Shown, Trial, cut_down, drawn, range_of, still_shows, worst_first


@pytest.mark.parametrize(
    "text, low, high, whole",
    [
        ("edges=3:150", 3, 150, True),
        ("part=0.3:1", 0.3, 1, False),
        ("calm=9:-2", 9, -2, True),
    ],
)
def test_a_range_says_whether_it_is_of_whole_numbers(text, low, high, whole):
    given = range_of(text)
    assert (given.low, given.high, given.whole) == (low, high, whole)


@pytest.mark.parametrize("text", ["edges", "edges=3", "=1:2", "edges=a:b", "edges=2:2"])
def test_a_wrong_range_says_what_would_be_legal(text):
    with pytest.raises(ValueError, match="legal: NAME=LOW:HIGH"):
        range_of(text)


def test_trials_spread_over_every_range_and_are_the_same_for_one_seed():
    trials = drawn([Range("part", 0.0, 1.0), Range("edges", 0, 79)], 8, seed=1)
    assert sorted(int(trial.params["part"] * 8) for trial in trials) == list(range(8))
    edges = sorted(trial.params["edges"] for trial in trials)
    assert all(10 * n - 1 <= value <= 10 * n + 10 for n, value in enumerate(edges))
    assert trials == drawn([Range("part", 0.0, 1.0), Range("edges", 0, 79)], 8, seed=1)
    assert trials != drawn([Range("part", 0.0, 1.0), Range("edges", 0, 79)], 8, seed=2)


def shown(loss, **breaks):
    return Shown(Trial({}, 1), breaks, loss)


def test_a_broken_rule_comes_before_any_loss():
    calm, lossy, broken = shown(0.1, order=0), shown(0.4), shown(-0.1, order=2)
    assert worst_first([calm, lossy, broken]) == [broken, lossy, calm]


@pytest.mark.parametrize(
    "found, now, still",
    [
        (shown(0.4), shown(0.33), True),
        (shown(0.4), shown(0.3), False),
        (shown(0.4), shown(0.3, order=1), False),
        (shown(0.0, order=3), shown(0.0, order=1), True),
        (shown(0.0, order=3), shown(0.9, drains=1), False),
    ],
)
def test_what_still_shows_a_find(found, now, still):
    assert still_shows(found, now) is still


def test_a_find_is_cut_down_to_the_trouble_and_the_load_that_it_needs():
    """The third trouble with at least 20 gateways loses service, whatever else there is."""
    looked = []

    def look(trial):
        looked.append(trial)
        return Shown(trial, {}, 0.5 if 2 not in trial.without and trial.params["edges"] >= 20 else 0.0)

    found = Shown(Trial({"edges": 100, "part": 0.9}, 7), {}, 0.5)
    least = cut_down(found, [Range("edges", 4, 150), Range("part", 0.1, 1.0)], 4, look, 12)
    assert least.trial.without == (3, 1, 0) and least.trial.seed == 7 and least.loss == 0.5
    assert least.trial.params["part"] == 0.1 and 20 <= least.trial.params["edges"] < 60
    assert len(looked) <= 24


def test_a_find_that_nothing_less_shows_stays_as_it_is():
    found = Shown(Trial({"edges": 100}, 7), {"order": 1}, 0.0)
    assert cut_down(found, [Range("edges", 4, 150)], 2, lambda trial: Shown(trial, {"order": 0}, 0.9), 6) == found
