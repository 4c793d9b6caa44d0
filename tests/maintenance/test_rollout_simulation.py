"""A fleet's leave in simulated time: releases through crashes, cuts and stalls, judged from what really goes out."""

from __future__ import annotations

from collections import Counter

import pytest

from tansykeel.emulator.rollout_simulation import Trial, World
from tansykeel.maintenance.controller import Controller
from tansykeel.maintenance.entries import Back


def test_a_good_release_ends_and_never_more_are_out_than_the_bounds_allow():
    played = World(Trial(seconds=330), 1).play()
    assert (played.state, played.wave, played.broken) == ("done", 3, ()) and played.most_out == 2
    assert played.took_s <= 1.5 * played.shortest_s


@pytest.mark.parametrize(
    "trial, why",
    [(Trial(seconds=150, bad=0.15), "serve read worse"), (Trial(seconds=150, crashes=True), "not back in its time")],
)
def test_a_bad_canary_is_halted_before_the_second_wave_and_goes_back(trial, why):
    played = World(trial, 1).play()
    assert (played.state, played.wave, played.broken) == ("given up", 0, ()) and why in played.why


def test_drawn_troubles_break_no_bound():
    played = World(Trial(seconds=300, troubles=8, loss=0.02), 3).play()
    assert played.broken == () and played.most_out >= 1


LOOKS = Counter()


def counted_back_by_time(self, alive):
    """After eight looks of a leader, 1.6 s."""
    LOOKS.update(out.number for out in self.state.kept.out.values())
    return [
        Back(name, out.boot + 1, out.number)
        for name, out in self.state.kept.out.items()
        if out.boot and LOOKS[out.number] > 8
    ]


def test_leave_counted_back_unseen_is_named_by_the_judge(monkeypatch):
    monkeypatch.setattr(Controller, "_returns", counted_back_by_time)
    played = World(Trial(seconds=160), 1).play()
    assert any("goes out though the gateways of" in line for line in played.broken)
