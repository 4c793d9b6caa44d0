"""Rollouts in simulated time through crashes, partitions and stalls, checked on what really goes out of service."""

from __future__ import annotations

from collections import Counter

import pytest

from tansykeel.emulator.rollout_simulation import Trial, World
from tansykeel.maintenance.controller import Controller
from tansykeel.maintenance.entries import Back


def test_good_release_completes_within_the_disruption_budget():
    played = World(Trial(seconds=330), 1).play()
    assert (played.state, played.wave, played.broken) == ("done", 3, ()) and played.most_out == 2
    assert played.took_s <= 1.5 * played.shortest_s


@pytest.mark.parametrize(
    "trial, why",
    [(Trial(seconds=150, bad=0.15), "serve read worse"), (Trial(seconds=150, crashes=True), "not back in its time")],
)
def test_bad_canary_is_halted_before_the_second_wave_and_rolled_back(trial, why):
    played = World(trial, 1).play()
    assert (played.state, played.wave, played.broken) == ("given up", 0, ()) and why in played.why


def test_random_faults_violate_no_bound():
    played = World(Trial(seconds=300, troubles=8, loss=0.02), 3).play()
    assert played.broken == () and played.most_out >= 1


CHECKS = Counter()


def counts_back_by_time(self, alive):
    """Planted fault: count as back whatever a leader has seen out for more than eight checks, 1.6 s."""
    CHECKS.update(out.number for out in self.state.kept.out.values())
    return [
        Back(name, out.boot + 1, out.number)
        for name, out in self.state.kept.out.items()
        if out.boot and CHECKS[out.number] > 8
    ]


def test_counting_back_by_time_is_reported_as_exceeding_the_bounds(monkeypatch):
    monkeypatch.setattr(Controller, "_returns", counts_back_by_time)
    played = World(Trial(seconds=160), 1).play()
    assert any("goes out though the gateways of" in line for line in played.broken)
