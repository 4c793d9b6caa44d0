"""Measurements of a store, its token rate, and the queues that share it."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import AT_MOST_ONCE, IDEMPOTENT, PLAN, add_samples, outcome, scheduler, store, task
from hypothesis import given, settings
from hypothesis import strategies as st

from tansykeel.brain.rates import remaining_delays
from tansykeel.interface import (
    AllowedActions,
    OutcomeKind,
    StoreState,
    Volume,
    Wait,
)


def test_nodes_long_gone_are_removed():
    """Memory would grow with every store that ever existed."""
    stores = [store(shard=0)]
    brain, runtime = scheduler(stores)
    for _ in range(4):
        node = brain.nodes[stores[-1]]
        sent = task(runtime)
        node.sent_at[sent] = runtime.now
        node.record_outcome(sent, outcome(OutcomeKind.DELIVERED))
        node.in_flight = 0
        stores[-1].state = StoreState.GONE
        stores.append(store(shard=0, started=runtime.now))
        brain.list_changed(stores, True)
        runtime.now += 200_000
    assert list(brain.nodes) == stores[-3:]
    assert stores[0] not in brain.delays.by_store


def test_an_answer_that_others_overtook_is_lost_and_is_no_sample_of_the_load():
    """Lost answers were taken for slowness: the node's rate fell and its tasks were refused."""
    at = store()
    brain, runtime = scheduler([at])
    node, state = brain.nodes[at], brain.volume_state(Volume("v", PLAN, 1.0))
    node.rate = 1.0
    first, second = task(runtime), task(runtime)
    for sent in (first, second):
        node.enqueue(brain.queue_of(node, sent.volume), sent)
        runtime.now += 100
        node.run_round()
    assert state.units == 0.0 and list(node.sent_at) == [first, second]
    node.record_outcome(second, outcome(OutcomeKind.DELIVERED, 100))
    rate, samples = node.rate, list(node.samples)
    runtime.now += 5_000
    assert node.queueing_delay() == 0.0  # the node is not silent: it answered a later hand-off
    node.record_outcome(first, outcome(OutcomeKind.TIMED_OUT, 5_100))
    assert (node.rate, list(node.samples), node.in_flight) == (rate, samples, 0)
    assert runtime.now < brain.delays.losses_until <= runtime.now + 10 * 10_000


@pytest.mark.parametrize("lost, samples", [(False, 1), (True, 0)])
def test_a_timeout_is_a_sample_of_the_load_only_where_no_answers_are_lost(lost, samples):
    at = store()
    brain, runtime = scheduler([at])
    node, sent = brain.nodes[at], task(runtime)
    node.enqueue(brain.queue_of(node, sent.volume), sent)
    runtime.now += 100
    node.run_round()
    brain.delays.losses_until = runtime.now + lost
    node.record_outcome(sent, outcome(OutcomeKind.TIMED_OUT, 5_000))
    assert len(node.samples) == samples


@pytest.mark.parametrize("copies, cancel, soon", [(False, False, False), (True, False, True), (False, True, True)])
def test_no_task_is_sent_again_beside_one_in_flight_where_neither_cancels_nor_copies_are_allowed(copies, cancel, soon):
    """What timed out is still in flight on its open connection: sending it again makes a second copy."""
    at = store()
    brain, runtime = scheduler([at], allowed=AllowedActions(3, False, 0, copies, cancel, False))
    add_samples(brain.nodes[at], 100, 100, 100)
    brain.delays.losses_until, sent = runtime.now + 1, task(runtime)
    sent.hand_offs = 1
    assert (brain.timeout(sent, brain.nodes[at], runtime.now + 2_500) > 0) is soon


@pytest.mark.parametrize(
    "category, lost, hand_offs, soon",
    [
        (IDEMPOTENT, True, 1, True),
        (IDEMPOTENT, False, 1, False),
        (AT_MOST_ONCE, True, 1, False),
        (IDEMPOTENT, True, 2, False),
    ],
)
def test_only_an_idempotent_task_is_sent_again_early_and_only_while_answers_are_lost(category, lost, hand_offs, soon):
    at = store()
    brain, runtime = scheduler([at])
    add_samples(brain.nodes[at], 100, 100, 100)
    brain.delays.losses_until = runtime.now + lost
    sent = task(runtime, category=category)
    sent.hand_offs = hand_offs
    assert (0 < brain.timeout(sent, brain.nodes[at], runtime.now + 2_500) < 2_000) is soon


@pytest.mark.parametrize(
    "delay, age, remains",
    [
        (1_000, 0, [1_000]),
        (1_000, 1_000, [500]),
        (1_000, 10_001, []),
        (-5, 0, [0]),
        (3_000, 10_001, [3_000]),
        (3_000, 20_001, []),
    ],
)
def test_a_short_queue_drains_and_one_past_the_soft_limit_stays(delay, age, remains):
    assert remaining_delays([(0, delay)], age, 2_500) == remains


def test_a_node_without_samples_counts_as_the_median_of_the_others():
    brain, runtime = scheduler([store(shard) for shard in range(4)])
    unsampled = brain.by_shard[3]
    for shard, delay in enumerate([0, 4_000, 90_000]):
        brain.delays.record(brain.by_shard[shard].store, runtime.now, delay)
        assert unsampled.queueing_delay() == [0, 0, 4_000][shard]


@pytest.mark.parametrize("used, rate", [(0.0, "minimum"), (10.0, 1e-3 * 4 * 0.5), (1e6, 0.5)])
def test_a_rate_falls_from_a_multiple_of_its_use(used, rate):
    brain, runtime = scheduler([store()])
    node = next(iter(brain.nodes.values()))
    node.rate = 1.0
    node.grants.append((runtime.now, used))
    node.decrease_rate(0.5, 100)
    assert node.rate == (node.min_rate if rate == "minimum" else rate)


def test_a_node_with_outdated_samples_has_headroom_again():
    at = store()
    brain, runtime = scheduler([at])
    node = brain.nodes[at]
    add_samples(node, *[100] * 8, *[9_000] * 8)
    assert node.headroom() < 0
    runtime.now += 20_001
    assert node.headroom() > 0


def test_silence_while_tasks_are_in_flight_counts_as_latency():
    at = store()
    brain, runtime = scheduler([at])
    node = brain.nodes[at]
    sent = task(runtime)
    node.sent_at[sent] = runtime.now
    runtime.now += 5_000
    assert node.queueing_delay() == 5_000 and node.headroom() < 0
    node.record_outcome(sent, outcome(OutcomeKind.ERROR))
    assert node.queueing_delay() == 0


@pytest.mark.parametrize(
    "in_flight, debt, latency, grants",
    [
        (0, 0.0, None, 1),
        (1, 0.0, None, 0),
        (0, -9.0, None, 0),
        (0, -9.0, 0, 1),
        (0, -9.0, 9_000, 0),
        (0, 0.0, 3_000, 0),
    ],
)
def test_an_idle_node_lends_tokens_and_to_a_queue_in_debt_only_on_a_fresh_sample(in_flight, debt, latency, grants):
    brain, runtime = scheduler([store()])
    node, asking = next(iter(brain.nodes.values())), task(runtime)
    node.in_flight, node.rate = in_flight, node.min_rate
    brain.queue_of(node, asking.volume).tokens = debt
    if latency is not None:
        add_samples(node, *[100] * 8, *[100 + latency] * 4)
        brain.delays.record(node.store, runtime.now, node.queueing_delay())
    node.enqueue(node.queues[asking.volume], asking)
    assert len(runtime.woken) == grants


@pytest.mark.parametrize("starved", [True, False])
def test_the_rate_rises_over_time_only_while_it_holds_tasks_back_and_is_bounded(starved):
    at = store()
    brain, runtime = scheduler([at])
    node = brain.nodes[at]
    node.rate = node.usual / node.soft_limit
    node.starved, before = starved, node.rate
    runtime.now += 100
    node.accrue()
    assert (node.rate > before) is starved
    for _ in range(200):
        node.starved, runtime.now = True, runtime.now + 100
        node.accrue()
    assert node.rate * node.soft_limit < 32 * node.usual * 10


def test_reserved_volumes_are_served_first_up_to_their_deficit_limit():
    reserved_plan = replace(PLAN, reserve=100.0)
    at = store()
    brain, runtime = scheduler([at])
    node = brain.nodes[at]
    node.resting_until = runtime.now + 10
    plain = Volume("p", PLAN, 1.0)
    reserved = Volume("r", reserved_plan, 1.0)
    tasks = [task(runtime, volume=plain, units=1.0) for _ in range(2)]
    tasks += [task(runtime, volume=reserved, units=1.0) for _ in range(2)]
    runs = [brain.serve(each) for each in tasks]
    assert all(isinstance(next(run), Wait) for run in runs)
    node.bucket = 0.0
    runtime.now += 10
    node.rate, node.largest_task, node.in_flight = 1e-9, 100.0, 1
    node.queues[reserved].balance, node.queues[reserved].reserve = -0.5, 1e-4
    node.run_round()
    assert [woken for woken, _ in runtime.woken] == [tasks[2]]


def test_the_rate_of_a_store_far_faster_than_the_target_is_not_capped_by_the_target():
    """At a tenth of the target latency the hand-offs that may be in flight make ten times the rate."""
    at = store()
    brain, runtime = scheduler([at])
    node = brain.nodes[at]
    quick = int(brain.soft_limit * 0.3 / 10)
    add_samples(node, *[quick] * 24)
    for _ in range(2_000):
        runtime.now += 100
        add_samples(node, quick)
        node.starved = True
        node.accrue()
    assert node.rate == pytest.approx(24 * brain.usual / quick, rel=0.01)


class ReferenceNode:
    """A node that updates every queue at every step; `Node` computes the same without visiting idle queues."""

    def __init__(self, rate, reserves):
        self.rate, self.reserves = rate, reserves
        self.balance, self.tokens, self.recent, self.backlogged = (
            [0.0] * len(reserves),
            [0.0] * len(reserves),
            {},
            set(),
        )
        self.bucket = 0.0

    def step(self, now, span):
        for n, reserve in enumerate(self.reserves):
            self.balance[n] += reserve * span
            if n in self.backlogged:
                surplus = max(self.balance[n] - 300 * reserve, 0.0) * 0.9
                self.balance[n] -= surplus
                self.bucket += surplus
        self.recent = {n: at for n, at in self.recent.items() if at > now - 10_000}
        active = [
            n for n in range(len(self.reserves)) if n in self.backlogged or n in self.recent or self.tokens[n] < 0
        ]
        slices = max(self.rate - sum(self.reserves), self.rate * 0.1) * span
        for n in active:
            self.tokens[n] += slices / len(active)
            if n not in self.backlogged and self.tokens[n] > 0:
                self.tokens[n] = 0.0


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(1, 4_000), st.floats(0, 30)), min_size=1, max_size=40))
def test_idle_queues_have_and_owe_what_updating_them_at_every_step_would_give(steps):
    """Covers what is computed for idle queues when needed: debts, balances under the full one, which are active."""
    brain, runtime = scheduler([store()])
    node = next(iter(brain.nodes.values()))
    volumes = [Volume(f"v{n}", replace(PLAN, reserve=5.0 * n), 1.0) for n in range(5)]
    queues = [brain.queue_of(node, volume) for volume in volumes]
    node.rate, node.resting_until = 0.01, 1 << 60  # no round grants anything
    reference = ReferenceNode(0.01, [queue.reserve for queue in queues])
    for which, span, cost in steps:
        runtime.now += span
        node.accrue()
        reference.step(runtime.now, span)
        held, queue = task(runtime, volume=volumes[which]), queues[which]
        node.enqueue(queue, held)
        reference.backlogged.add(which)
        assert queue.tokens == pytest.approx(reference.tokens[which], abs=1e-6)
        if queue.reserve and reference.balance[which] < 299 * queue.reserve:
            assert queue.balance == pytest.approx(reference.balance[which], abs=1e-6)
        runtime.now += span
        node.accrue()
        reference.step(runtime.now, span)
        queue.tokens -= cost
        queue.balance = reference.balance[which] = min(queue.balance, reference.balance[which]) - cost
        reference.tokens[which] -= cost
        node.remove(queue, held)
        reference.backlogged.discard(which)
        reference.tokens[which] = min(reference.tokens[which], 0.0)
        reference.recent[which] = runtime.now
        assert node.reserve == pytest.approx(sum(reference.reserves))


def test_queues_long_idle_are_removed_and_made_anew():
    brain, runtime = scheduler([store()])
    node = next(iter(brain.nodes.values()))
    gone, here = Volume("gone", replace(PLAN, reserve=2.0), 1.0), Volume("here", replace(PLAN, reserve=2.0), 1.0)
    queue = brain.queue_of(node, gone)
    assert node.reserve == queue.reserve > 0
    for _ in range(8):
        runtime.now += 1_000_000
        held = task(runtime, volume=here)
        node.enqueue(brain.queue_of(node, here), held)
        node.remove(brain.queue_of(node, here), held)
        runtime.now += 10_000
        node.accrue()
    assert list(node.queues) == [here] and node.reserve == pytest.approx(queue.reserve)
    queue.set_reserve(1.0)  # a removed queue may still be changed: it no longer counts
    assert node.reserve == pytest.approx(node.queues[here].reserve)
    assert brain.queue_of(node, gone) is not queue
