"""Steps of the wall clock do not change the age of a store that has just started."""

from __future__ import annotations

import asyncio
import time

import pytest
from platform_stage import SETTINGS, FakeStore, run_test, staged, until

WARM_AFTER = 17.0  # seconds
SLOW_START_SETTINGS = SETTINGS | {
    "Rules": {"Cold": WARM_AFTER * 1e9, "ColdShare": 0.19, "FallMultiple": 2.5, "OverloadFor": 3e9},
    "Specifics": SETTINGS["Specifics"] | {"YoungLimit": 30.0},
}
STEPS = [3600.0, 5.0, -5.0, -3600.0]  # seconds


def step_wall_clock(monkeypatch, seconds):
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + seconds)
    return real


def age_in_seconds(stage, name):
    """Return the age of the store's last start as the core sees it."""
    core = stage.gateway.core
    return (core.runner.now - core.stores[name].started) / 10_000


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("age", [0.2, 2.0])
def test_a_start_reported_after_a_clock_step_has_its_real_age(tmp_path, monkeypatch, step, age):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, settings=SLOW_START_SETTINGS) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            real = step_wall_clock(monkeypatch, step)
            stage.list.send_update([store.row(up_since_ms=(real() - age) * 1000)])
            await until(lambda: stage.gateway.core.list_version == 6)
            stage.gateway.core.run_timers(stage.gateway.stores.clock())
            assert 0 <= age_in_seconds(stage, "s0") <= age + 0.5

    run_test(go())


@pytest.mark.parametrize("step", STEPS)
def test_a_second_start_reported_after_a_clock_step_is_a_new_start(tmp_path, monkeypatch, step):
    """A forward step made the second start look older than the first, so that it was ignored."""

    async def go():
        store = FakeStore("s0", 0)
        store.since = (time.time() - 10) * 1000
        async with staged(tmp_path, store, settings=SLOW_START_SETTINGS) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            assert 9.5 < age_in_seconds(stage, "s0") < 11.5
            real = step_wall_clock(monkeypatch, step)
            stage.list.send_update([store.row(up_since_ms=(real() - 0.3) * 1000)])
            await until(lambda: stage.gateway.core.list_version == 6)
            assert 0 <= age_in_seconds(stage, "s0") <= 1.0

    run_test(go())


def test_a_clock_that_was_ahead_at_the_start_is_detected_by_a_start_that_is_new_in_the_list(tmp_path, monkeypatch):
    """The list did not have that start a moment ago, so it can't be an hour old."""

    async def go():
        store = FakeStore("s0", 0)
        real = step_wall_clock(monkeypatch, 3600.0)
        async with staged(tmp_path, store, settings=SLOW_START_SETTINGS) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            await asyncio.sleep(0.2)
            stage.list.send_update([store.row(up_since_ms=real() * 1000)])
            await until(lambda: stage.gateway.core.list_version == 6)
            assert 0 <= age_in_seconds(stage, "s0") <= 3.0

    run_test(go())
