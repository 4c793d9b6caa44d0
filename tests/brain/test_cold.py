"""Slow start: what cold stores are sent, and which stores count as cold."""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import replace

import pytest
from helpers import PLAN, add_samples, outcome, scheduler, store, task

from tansykeel.brain.cold import DEMAND_PART, SlowStart
from tansykeel.interface import (
    OutcomeKind,
    SlowStartRule,
    Volume,
)

COLD = SlowStartRule(share=0.2, warm_after=180_000, multiple=2.5, span=10_000, always_safe=20.0)


def sent_in_a_span(slow_starts, at, start, units):
    """Units that gateways send to a store in one span without any demand; each tries every 10 ms."""
    sent = 0.0
    for now in range(start, start + COLD.span, 100):
        for slow_start in slow_starts:
            while slow_start.admits(at, now, units, 0):
                slow_start.credit -= units
                sent += units
    return sent


@pytest.mark.parametrize("gateways, age, expected", [(1, 0, 4.0), (1, 100_000, 12.0), (2, 0, 2.0)])
def test_a_cold_store_gets_a_fifth_evenly(gateways, age, expected):
    slow_start, at, start = SlowStart(COLD, gateways, 0, 1.0), store(started=1_000), 1_000 + age
    assert expected - 1.0 <= sent_in_a_span([slow_start], at, start, 0.1) <= expected + 1.5
    assert slow_start.admits(at, 1_000 + 190_000, 1e6, 0)


def credit_of_first_try(brain, runtime, node, volume, units=2.0, shard=0):
    """Hold a first try as `serve` does; returns the credit that it brought at the node."""
    before, new = node.slow_start.credit, task(runtime, units=units, shard=shard)
    new.volume = volume
    run = brain.serve(new)
    next(run)
    run.close()
    return node.slow_start.credit - before


@pytest.mark.parametrize(
    "no_queue, age, share",
    [
        (False, 100, DEMAND_PART * 2.5 * 0.2),
        (True, 100, DEMAND_PART * 2.5 * 0.2 * 2.5),
        (False, 100_000, DEMAND_PART * 2.5 * 0.2 * 3),
    ],
)
def test_demand_for_a_cold_store_brings_credit_by_its_capacity(no_queue, age, share):
    """Gateways that were restarted know of no past use: going by that, they sent a new store next to nothing."""
    at = store(started=1_000_000 - age)
    brain, runtime = scheduler([at], slow_start=replace(COLD, always_safe=0.0))
    node = brain.nodes[at]
    if no_queue:
        add_samples(node, 100, 100)
    node.slow_start.admits(at, runtime.now, 8.0, 0)
    node.in_flight = 99  # nothing leaves
    credited = credit_of_first_try(brain, runtime, node, Volume("v", replace(PLAN, rate=100.0)))
    assert credited == pytest.approx(2.0 * share, rel=0.01)


def test_a_store_that_shows_no_queue_gets_no_more_than_its_budget():
    """It answers as fast as a warm one although it capacity less, and its volume asks for its warm capacity."""
    requests_per_second, units = 200, 2.0
    at = store(started=1_000_000 - 100)
    brain, runtime = scheduler([at], slow_start=replace(COLD, always_safe=0.0))
    node, volume = brain.nodes[at], Volume("v", replace(PLAN, rate=requests_per_second * units))
    node.slow_start.admits(at, runtime.now, 8.0, 0)
    node.in_flight = 99  # nothing leaves
    credited = 0.0
    for _ in range(requests_per_second):
        add_samples(node, 100)
        node.slow_start.credit = 0.0
        credited += credit_of_first_try(brain, runtime, node, volume, units)
        runtime.now += COLD.span // requests_per_second
    allowed = COLD.multiple * COLD.share * requests_per_second
    assert credited / units <= allowed + 2 * math.sqrt(allowed) + 2


def test_a_retry_brings_no_credit_and_a_surge_no_more_than_the_volume_is_sized_for():
    """Retries, or volumes that ask for many times their rate, could overload a cold store."""
    at = store(started=999_000)
    brain, runtime = scheduler([at], slow_start=replace(COLD, always_safe=0.0), gateways=4)
    node, volume = brain.nodes[at], Volume("v", replace(PLAN, rate=4.0), gateways=2.0)
    node.slow_start.admits(at, runtime.now, 8.0, 0)
    node.slow_start.largest, node.in_flight = 1e9, 99
    resent_task = task(runtime)
    resent_task.resent = True
    next(brain.serve(resent_task))
    assert node.slow_start.credit == 0
    node.slow_start.largest = 8.0
    credited = 0.0
    for _ in range(100):  # 200 units in a second
        node.slow_start.credit = 0.0
        credited += credit_of_first_try(brain, runtime, node, volume)
        runtime.now += 100
    # One largest task at once, and a second at the rate the volume is sized for, of which this gateway has half.
    assert credited == pytest.approx(DEMAND_PART * 2.5 * 0.2 * (8.0 + 2.0), rel=0.05)


def test_a_volume_on_two_shards_counts_with_half_of_its_rate_at_each():
    stores = [store(started=999_000, shard=0), store(started=999_000, shard=1)]
    brain, runtime = scheduler(stores, slow_start=replace(COLD, always_safe=0.0, span=100))
    volume = Volume("v", replace(PLAN, rate=100.0), gateways=1.0)
    for at in stores:
        brain.nodes[at].in_flight = 99
        credit_of_first_try(brain, runtime, brain.nodes[at], volume, shard=at.shard)
    queue = brain.nodes[stores[1]].queues[volume]
    queue.demand_allowance, runtime.now = 0.0, runtime.now + 1_000
    credit_of_first_try(brain, runtime, brain.nodes[stores[1]], volume, units=1.0, shard=1)
    assert queue.demand_allowance == pytest.approx(5.0 - 1.0)


@pytest.mark.parametrize("later, kept", [(10, True), (20_000, False)])
def test_credit_stays_when_one_start_is_reported_twice(later, kept):
    """The list and the store report one start at slightly different times: credit was reset twice."""
    slow_start, at = SlowStart(COLD, 1, 0, 8.0), store(started=500_000)
    slow_start.admits(at, 509_000, 1.0, 0)
    slow_start.credit = 5.0
    at.started += later
    slow_start.admits(at, 509_000 + later, 1.0, 0)
    assert (slow_start.credit >= 5.0) is kept


def test_no_round_runs_before_a_task_can_find_room_at_a_cold_node():
    """Rounds every 10 ms that can send nothing cost time for every gateway and node."""
    at = store(started=999_000)
    brain, runtime = scheduler([at], slow_start=SlowStartRule(0.2, 180_000, 2.5, 10_000, 8.0))
    node = brain.nodes[at]
    node.slow_start.admits(at, runtime.now, 2.0, 0)
    node.slow_start.credit = 2.0 * node.slow_start.phase - 0.03
    resent_task = task(runtime)
    resent_task.resent = True  # it brings no credit
    run = brain.serve(resent_task)
    next(run)
    assert node.held_count == 1 and runtime.now + 100 < node.slow_start.next_room_at < runtime.now + 1_000
    assert (
        min(moment for moment, call in runtime.calls if call == node.run_scheduled_round)
        == node.slow_start.next_room_at
    )
    runtime.now = node.slow_start.next_room_at
    node.run_scheduled_round()
    assert node.held_count == 0


def test_credit_is_lost_when_a_store_is_unreachable():
    """All gateways would spend at once what they saved while the store was away."""
    at = store(started=500_000)
    brain, runtime = scheduler([at], slow_start=SlowStartRule(0.2, 180_000, 2.5, 10_000, 8.0))
    runtime.now = 505_000
    node = brain.nodes[at]
    node.slow_start.admits(at, runtime.now, 8.0, 0)
    assert node.slow_start.credit > 0
    for _ in range(2):
        sent = task(runtime)
        node.sent_at[sent] = runtime.now
        node.record_outcome(sent, outcome(OutcomeKind.NO_CONNECTION))
    assert node.slow_start.credit == 0 and node.slow_start.credited_at == runtime.now


@pytest.mark.parametrize(
    "kinds, room",
    [
        ([OutcomeKind.NO_CONNECTION, OutcomeKind.NO_CONNECTION], False),
        ([OutcomeKind.NO_CONNECTION], True),
        ([OutcomeKind.RESET] * 2, True),
    ],
)
def test_only_a_store_that_stays_unreachable_counts_as_just_started(kinds, room):
    at = store()
    brain, runtime = scheduler([at], slow_start=SlowStartRule(0.2, 180_000, 2.5, 10_000, 8.0))
    node = brain.nodes[at]
    for kind in kinds:
        sent = task(runtime)
        node.sent_at[sent] = runtime.now
        node.record_outcome(sent, outcome(kind))
    assert node.slow_start.admits(at, runtime.now, 4.1, 0) is room
    assert node.usable() is (kinds[0] is OutcomeKind.RESET)


@pytest.mark.parametrize("times, warm", [(1.5, True), (5.0, False)])
def test_a_suspected_restart_is_dropped_after_an_answer_as_fast_as_before(times, warm):
    """A zone that was cut off would be throttled as cold for seconds after the network has healed."""
    at = store()
    brain, runtime = scheduler([at], slow_start=SlowStartRule(0.2, 180_000, 2.5, 10_000, 8.0))
    node = brain.nodes[at]
    add_samples(node, 100, 100, 100)
    for kind in (OutcomeKind.NO_CONNECTION, OutcomeKind.NO_CONNECTION):
        sent = task(runtime)
        node.sent_at[sent] = runtime.now
        node.record_outcome(sent, outcome(kind))
    runtime.now += 10_000
    sent = task(runtime)
    node.sent_at[sent] = runtime.now
    node.record_outcome(sent, outcome(OutcomeKind.DELIVERED, latency=int(100 * times)))
    assert node.slow_start.admits(at, runtime.now, 1e6, node.answered_sent) is warm


def test_a_store_that_answers_without_a_reported_start_had_not_restarted():
    """After a cut connection a warm store would be sent what a cold one is, for the whole warm-up time."""
    at = store()
    brain, runtime = scheduler([at], slow_start=SlowStartRule(0.2, 180_000, 2.5, 10_000, 8.0))
    node, failed = brain.nodes[at], runtime.now
    for kind in (OutcomeKind.NO_CONNECTION, OutcomeKind.NO_CONNECTION):
        sent = task(runtime)
        node.sent_at[sent] = runtime.now
        node.record_outcome(sent, outcome(kind))
    assert not node.slow_start.admits(at, failed + 60_000, 1e6, node.answered_sent)  # it has not answered
    runtime.now += 10_000
    sent = task(runtime)
    node.sent_at[sent] = runtime.now
    node.record_outcome(sent, outcome(OutcomeKind.DELIVERED))
    assert not node.slow_start.admits(at, failed + 59_999, 1e6, node.answered_sent)  # a start may still be reported
    assert node.slow_start.admits(at, failed + 60_000, 1e6, node.answered_sent)
    at.started = failed - 100  # it was reported
    assert not node.slow_start.admits(at, failed + 60_000, 1e6, node.answered_sent)


@pytest.mark.parametrize("gateways", [20, 30])
@pytest.mark.parametrize("load, warm_n", [(0.77, 19.0), (0.67, 84.0)])
def test_a_fleet_that_has_just_started_stays_within_the_random_deviation(gateways, load, warm_n):
    """All gateways together could overload a cold store. In any window of the span, it is sent
    its capacity N and 2 sqrt(N) + 2 at most, in requests of mean work. Tasks come at random to gateways that know
    nothing of each other, and a quarter of the gateways get half of all tasks."""
    rule = SlowStartRule(share=0.16, warm_after=100_000, multiple=2.0, span=10_000, always_safe=warm_n)
    rate, rng = load * warm_n / (rule.multiple * rule.share * rule.span), random.Random(7)
    worst = -9.0
    for _ in range(12):
        brains = [
            scheduler([store(started=1_000_000)], slow_start=rule, gateways=gateways, gateway_index=index)
            for index in range(gateways)
        ]
        nodes = [next(iter(brain.nodes.values())) for brain, _ in brains]
        queues = [brain.queue_of(node, Volume("v", PLAN)) for (brain, _), node in zip(brains, nodes, strict=True)]
        weights = [3.0 if n % 4 == 0 else 1.0 for n in range(gateways)]
        waiting, sent, now = [deque() for _ in nodes], deque(), 1_000_000
        for node in nodes:
            node.slow_start.admits(node.store, now, 1.0, 0)
        due = now + rng.expovariate(rate)
        for now in range(1_000_100, 1_040_000, 100):
            while due <= now:
                at, units = rng.choices(range(gateways), weights)[0], min(rng.expovariate(1.0), 4.0)
                brains[at][1].now = now
                nodes[at].record_demand(queues[at], units, 1e9)
                waiting[at].append((now, units))
                due += rng.expovariate(rate)
            for node, queue in zip(nodes, waiting, strict=True):
                while queue and queue[0][0] < now - 5_000:
                    queue.popleft()
                while queue and node.slow_start.admits(node.store, now, queue[0][1], 0):
                    units = queue.popleft()[1]
                    node.slow_start.credit -= units
                    sent.append((now, units))
            while sent and sent[0][0] <= now - rule.span:
                sent.popleft()
            age = max(now - 1_000_000 - rule.span, 0)
            capacity = warm_n * (1 + age / rule.warm_after * (1 / rule.share - 1))
            worst = max(worst, (sum(units for _, units in sent) - capacity) / (2 * capacity**0.5 + 2))
    assert -1.5 < worst <= 1.0
