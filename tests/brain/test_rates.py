"""What is measured of a store, its rate, and lines that share it."""

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


def test_nodes_long_gone_are_let_go():
    """Guards against memory that grows with every store that ever was."""
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


def test_an_answer_that_others_overtook_is_lost_and_says_nothing_of_the_load():
    """Guards against a node whose lost answers pass for slowness: its rate fell, its tasks were refused."""
    at = store()
    brain, runtime = scheduler([at])
    node, state = brain.nodes[at], brain.volume_state(Volume("v", PLAN, 1.0))
    node.rate = 1.0
    first, second = task(runtime), task(runtime)
    for out in (first, second):
        node.enqueue(brain.queue_of(node, out.volume), out)
        runtime.now += 100
        node.run_round()
    assert state.units == 0.0 and list(node.sent_at) == [first, second]
    node.record_outcome(second, outcome(OutcomeKind.DELIVERED, 100))
    rate, lags = node.rate, list(node.samples)
    runtime.now += 5_000
    assert node.queueing_delay() == 0.0  # the node is not silent: it answered what was sent later
    node.record_outcome(first, outcome(OutcomeKind.TIMED_OUT, 5_100))
    assert (node.rate, list(node.samples), node.in_flight) == (rate, lags, 0)
    assert runtime.now < brain.delays.losses_until <= runtime.now + 10 * 10_000


@pytest.mark.parametrize("lost, samples", [(False, 1), (True, 0)])
def test_a_time_out_is_a_sample_of_the_load_only_where_no_answers_are_lost(lost, samples):
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
def test_no_task_goes_again_beside_one_that_is_out_where_neither_cancels_nor_copies_are_allowed(copies, cancel, soon):
    """Guards against a second copy: what timed out is still out on its open connection."""
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
def test_only_a_harmless_task_is_handed_off_again_early_and_only_while_answers_are_lost(
    category, lost, hand_offs, soon
):
    at = store()
    brain, runtime = scheduler([at])
    add_samples(brain.nodes[at], 100, 100, 100)
    brain.delays.losses_until = runtime.now + lost
    sent = task(runtime, category=category)
    sent.hand_offs = hand_offs
    assert (0 < brain.timeout(sent, brain.nodes[at], runtime.now + 2_500) < 2_000) is soon


@pytest.mark.parametrize(
    "wait, age, remains",
    [
        (1_000, 0, [1_000]),
        (1_000, 1_000, [500]),
        (1_000, 10_001, []),
        (-5, 0, [0]),
        (3_000, 10_001, [3_000]),
        (3_000, 20_001, []),
    ],
)
def test_a_short_queue_drains_and_one_past_the_soft_limit_stays(wait, age, remains):
    assert remaining_delays([(0, wait)], age, 2_500) == remains


def test_an_unheard_node_counts_as_the_middle_of_those_heard():
    brain, runtime = scheduler([store(shard) for shard in range(4)])
    unheard = brain.by_shard[3]
    for shard, wait in enumerate([0, 4_000, 90_000]):
        brain.delays.record(brain.by_shard[shard].store, runtime.now, wait)
        assert unheard.queueing_delay() == [0, 0, 4_000][shard]


@pytest.mark.parametrize("used, rate", [(0.0, "floor"), (10.0, 1e-3 * 4 * 0.5), (1e6, 0.5)])
def test_a_rate_falls_from_what_was_used(used, rate):
    brain, runtime = scheduler([store()])
    node = next(iter(brain.nodes.values()))
    node.rate = 1.0
    node.grants.append((runtime.now, used))
    node.decrease_rate(0.5, 100)
    assert node.rate == (node.min_rate if rate == "floor" else rate)


def test_a_node_out_of_date_is_judged_well_again():
    at = store()
    brain, runtime = scheduler([at])
    node = brain.nodes[at]
    add_samples(node, *[100] * 8, *[9_000] * 8)
    assert node.headroom() < 0
    runtime.now += 20_001
    assert node.headroom() > 0


def test_silence_while_work_is_out_counts_as_lag():
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
    "out, debt, lag, turns",
    [
        (0, 0.0, None, 1),
        (1, 0.0, None, 0),
        (0, -9.0, None, 0),
        (0, -9.0, 0, 1),
        (0, -9.0, 9_000, 0),
        (0, 0.0, 3_000, 0),
    ],
)
def test_an_idle_node_lends_and_to_a_line_in_debt_only_on_a_fresh_sample(out, debt, lag, turns):
    brain, runtime = scheduler([store()])
    node, asking = next(iter(brain.nodes.values())), task(runtime)
    node.in_flight, node.rate = out, node.min_rate
    brain.queue_of(node, asking.volume).tokens = debt
    if lag is not None:
        add_samples(node, *[100] * 8, *[100 + lag] * 4)
        brain.delays.record(node.store, runtime.now, node.queueing_delay())
    node.enqueue(node.queues[asking.volume], asking)
    assert len(runtime.woken) == turns


@pytest.mark.parametrize("starved", [True, False])
def test_the_rate_rises_by_time_only_while_it_holds_tasks_back_and_not_without_end(starved):
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


def test_reserved_volumes_leave_first_and_stop_at_their_deficit():
    reserved = replace(PLAN, reserve=100.0)
    at = store()
    brain, runtime = scheduler([at])
    node = brain.nodes[at]
    node.resting_until = runtime.now + 10
    plain = Volume("p", PLAN, 1.0)
    rich = Volume("r", reserved, 1.0)
    tasks = [task(runtime, volume=plain, units=1.0) for _ in range(2)]
    tasks += [task(runtime, volume=rich, units=1.0) for _ in range(2)]
    runs = [brain.serve(each) for each in tasks]
    assert all(isinstance(next(run), Wait) for run in runs)
    node.bucket = 0.0
    runtime.now += 10
    node.rate, node.largest_task, node.in_flight = 1e-9, 100.0, 1
    node.queues[rich].balance, node.queues[rich].reserve = -0.5, 1e-4
    node.run_round()
    assert [woken for woken, _ in runtime.woken] == [tasks[2]]


def test_a_store_far_quicker_than_the_target_is_not_held_to_the_targets_rate():
    """At a tenth of the target's lag the hand-offs that may be out make ten times the rate."""
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


class Walked:
    """A node's supply with every line walked at every step: what the module works out without walking."""

    def __init__(self, rate, earns):
        self.rate, self.earns = rate, earns
        self.balance, self.tokens, self.late, self.holds = [0.0] * len(earns), [0.0] * len(earns), {}, set()
        self.bucket = 0.0

    def step(self, now, span):
        for n, earns in enumerate(self.earns):
            self.balance[n] += earns * span
            if n in self.holds:
                surplus = max(self.balance[n] - 300 * earns, 0.0) * 0.9
                self.balance[n] -= surplus
                self.bucket += surplus
        self.late = {n: at for n, at in self.late.items() if at > now - 10_000}
        active = [n for n in range(len(self.earns)) if n in self.holds or n in self.late or self.tokens[n] < 0]
        free = max(self.rate - sum(self.earns), self.rate * 0.1) * span
        for n in active:
            self.tokens[n] += free / len(active)
            if n not in self.holds and self.tokens[n] > 0:
                self.tokens[n] = 0.0


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(1, 4_000), st.floats(0, 30)), min_size=1, max_size=40))
def test_what_idle_lines_have_and_owe_is_what_walking_them_would_give(steps):
    """Guards the working out of idle lines at need: debts, balances under their full one, who counts as active."""
    brain, runtime = scheduler([store()])
    node = next(iter(brain.nodes.values()))
    volumes = [Volume(f"v{n}", replace(PLAN, reserve=5.0 * n), 1.0) for n in range(5)]
    queues = [brain.queue_of(node, volume) for volume in volumes]
    node.rate, node.resting_until = 0.01, 1 << 60  # nothing is granted by itself
    walked = Walked(0.01, [queue.reserve for queue in queues])
    for which, span, cost in steps:
        runtime.now += span
        node.accrue()
        walked.step(runtime.now, span)
        held, queue = task(runtime, volume=volumes[which]), queues[which]
        node.enqueue(queue, held)
        walked.holds.add(which)
        assert queue.tokens == pytest.approx(walked.tokens[which], abs=1e-6)
        if queue.reserve and walked.balance[which] < 299 * queue.reserve:
            assert queue.balance == pytest.approx(walked.balance[which], abs=1e-6)
        runtime.now += span
        node.accrue()
        walked.step(runtime.now, span)
        queue.tokens -= cost
        queue.balance = walked.balance[which] = min(queue.balance, walked.balance[which]) - cost
        walked.tokens[which] -= cost
        node.remove(queue, held)
        walked.holds.discard(which)
        walked.tokens[which] = min(walked.tokens[which], 0.0)
        walked.late[which] = runtime.now
        assert node.reserve == pytest.approx(sum(walked.earns))


def test_volumes_long_gone_are_let_go_and_come_back_as_new():
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
    queue.set_reserve(1.0)  # a volume's old line is still told of: it counts no more
    assert node.reserve == pytest.approx(node.queues[here].reserve)
    assert brain.queue_of(node, gone) is not queue
