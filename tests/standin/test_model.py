"""The store's model: what it does with its time, cold, cancelled, paused and overloaded."""

from __future__ import annotations

import pytest

from tansykeel.settings.shape import Shape, borne, warmth
from tansykeel.standin.model import NEVER, Job, Model


def model(now=0.0, cold=False, **shape):
    return Model(
        Shape(**({"noise": 0.0, "unit_ms": 10.0, "cores": 2, "slots": 4, "queue": 3} | shape)),
        now,
        cold,
        lambda: 0.5,
        lambda: 0.0,
    )


def job(name="j", units=1.0, writes=False, key=None, number=0):
    return Job(name, units, writes, key, number)


def test_jobs_share_the_cores_and_end_in_order_of_their_work():
    store = model()
    for name, units in [("long", 3.0), ("short", 1.0), ("mid", 2.0), ("last", 3.0)]:
        assert store.offer(0.0, job(name, units, key=name)) == "taken"
    # four jobs on two cores run at half speed: the short one needs 20 ms
    assert store.due() == pytest.approx(20.0)
    assert [j.handle for j in store.advance(20.0)] == ["short"]
    assert [j.handle for j in store.advance(1000.0)] == ["mid", "long", "last"] and store.due() == NEVER


def test_it_turns_away_what_neither_slot_nor_waiting_room_holds():
    store = model()
    told = [store.offer(0.0, job(str(n), key=n)) for n in range(8)]
    assert told == ["taken"] * 7 + ["full"]


@pytest.mark.parametrize(
    "cancel, waiting, working", [("none", False, False), ("queued", True, False), ("all", True, True)]
)
def test_a_cancel_stops_what_this_store_stops(cancel, waiting, working):
    store = model(cancel=cancel, slots=1)
    first, second = job("first"), job("second")
    store.offer(0.0, first)
    store.offer(0.0, second)
    assert store.cancel(second) is waiting and store.cancel(first) is working
    done = [j.handle for j in store.advance(1000.0)]
    assert done == [name for name, stopped in (("first", working), ("second", waiting)) if not stopped]


def test_a_cold_store_is_slow_and_warms():
    cold, warm = model(cold=True, cold_share=0.2, cold_s=10), model()
    for store in (cold, warm):
        store.offer(0.0, job())
    assert warm.due() == pytest.approx(10.0)
    assert not cold.advance(40.0) and [j.handle for j in cold.advance(60.0)] == ["j"]
    assert cold.warm(5000.0) == pytest.approx(0.6) and cold.warm(10_001.0) == 1.0


def test_too_much_for_a_cold_store_makes_it_fall_and_stay_down():
    """What it bears in the first second: 3 x 0.2 x 200 units, and what it gains meanwhile."""
    shape = Shape(cold_share=0.2, cold_s=10, fall_multiple=3.0, fall_s=1.0, unit_ms=10.0, queue=1000, noise=0.0)
    bearable = borne(shape, 0.0, 1000.0, 200.0)
    assert bearable == pytest.approx(3 * 200 * warmth(500, 0.2, 10_000))
    store = Model(shape, 0.0, True, lambda: 0.5, lambda: 0.0)
    for n in range(int(bearable)):
        assert store.offer(0.1, job(str(n))) == "taken"
    for n in range(6):
        store.offer(0.2, job(f"more-{n}"))
    assert store.fallen and store.offer(9000.0, job("late")) == "full"


def test_pauses_put_off_writes_and_recent_keys():
    store = model(defer=0.5, flush_s=1.0, seek=0.5)
    store.offer(0.0, job("write", writes=True, key="a"))
    assert store.due() == pytest.approx(7.5)  # 15 ms of work, half of it put off
    assert [j.handle for j in store.advance(10.0)] == ["write"]
    store.offer(10.0, job("read", key="a"))
    assert store.due() == pytest.approx(15.0)  # half the work: the key was among the last
    store.advance(100.0)
    assert store.due() == pytest.approx(1000.0)  # the flush
    assert store.advance(1000.0) == [] and store.due() == pytest.approx(1007.5)
    store.advance(2000.0)
    store.pauses(2000.0, 9000.0, 100.0, 50.0)
    store.offer(2000.0, job("paused", units=20.0))
    done = store.advance(3000.0)
    assert [j.handle for j in done] == ["paused"] and store.at == 3000.0


@pytest.mark.parametrize("fault, how_much, slower", [("slow", 5.0, 5.0), ("neighbour", 0.75, 4.0)])
def test_troubles_slow_it_and_end(fault, how_much, slower):
    store = model()
    store.faults.put(fault, 1000.0, how_much)
    store.offer(0.0, job())
    assert store.due() == pytest.approx(10.0 * slower)
    store.advance(1000.0)
    store.offer(1000.0, job())
    assert store.due() == pytest.approx(1010.0)


def test_an_idle_store_whose_pause_is_long_past_does_not_go_back_in_time():
    store = model(pause_every_s=1.0, pause_ms=50.0)
    store.advance(10_000.0)
    store.offer(10_000.0, job())
    assert store.due() >= 10_000.0
    assert [j.handle for j in store.advance(10_200.0)] == ["j"] and store.at == 10_200.0
