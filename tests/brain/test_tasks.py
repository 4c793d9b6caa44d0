"""The path of a task: where it may go, order by key, final answers, the list of stores."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import (
    AT_MOST_ONCE,
    DEDUPLICATED,
    IDEMPOTENT,
    add_samples,
    config,
    outcome,
    run_until_granted,
    scheduler,
    store,
    task,
)

from tansykeel.brain import Scheduler
from tansykeel.interface import (
    BreakOff,
    DeduplicationScope,
    HandOff,
    Nack,
    OutcomeKind,
    RetryBudgetRule,
    StoreListRule,
    StoreState,
    Wait,
    WakeReason,
)


def test_an_idle_node_takes_a_task_and_delivery_ends_it():
    at = store()
    brain, runtime = scheduler([at])
    run = brain.serve(task(runtime))
    action = run_until_granted(run, runtime, brain)
    assert isinstance(action, HandOff) and action.store is at
    with pytest.raises(StopIteration):
        run.send(outcome(OutcomeKind.DELIVERED))
    node = brain.nodes[at]
    assert (node.in_flight, node.tokens_out, node.held_count) == (0, 0.0, 0)


@pytest.mark.parametrize(
    "outcome_kind, action, category",
    [
        (OutcomeKind.ERROR, BreakOff, AT_MOST_ONCE),
        (OutcomeKind.TIMED_OUT, BreakOff, AT_MOST_ONCE),
        (OutcomeKind.RESET, BreakOff, AT_MOST_ONCE),
        (OutcomeKind.CANCELLED, BreakOff, AT_MOST_ONCE),
        (OutcomeKind.QUEUE_FULL, Wait, AT_MOST_ONCE),
        (OutcomeKind.NO_CONNECTION, Wait, AT_MOST_ONCE),
        (OutcomeKind.ERROR, Wait, IDEMPOTENT),
    ],
)
def test_after_an_outcome_only_allowed_actions_follow(outcome_kind, action, category):
    brain, runtime = scheduler([store()])
    run = brain.serve(task(runtime, category=category))
    run_until_granted(run, runtime, brain)
    assert isinstance(run.send(outcome(outcome_kind)), action)


@pytest.mark.parametrize(
    "scope, other, later, allowed",
    [
        (DeduplicationScope.SHARD, dict(shard=0), 10, True),
        (DeduplicationScope.SHARD, dict(shard=1), 10, False),
        (DeduplicationScope.ZONE, dict(shard=1, zone=0), 10, True),
        (DeduplicationScope.ZONE, dict(shard=1, zone=1), 10, False),
        (DeduplicationScope.ALL, dict(shard=1, zone=1), 10, True),
        (DeduplicationScope.ALL, dict(shard=0), 5_000, False),
    ],
)
def test_a_deduplicated_task_that_may_have_run_stays_in_its_scope_and_window(scope, other, later, allowed):
    first = store()
    brain, runtime = scheduler([first])
    repeat = task(runtime, category=replace(DEDUPLICATED, scope=scope))
    repeat.may_have_run.append((first, runtime.now))
    runtime.now += later
    assert brain.may_go_to(repeat, store(**other)) is allowed


@pytest.mark.parametrize(
    "category, ran, answer",
    [
        (IDEMPOTENT, True, Nack),
        (AT_MOST_ONCE, True, BreakOff),
        (AT_MOST_ONCE, False, Nack),
        (DEDUPLICATED, True, BreakOff),
        (replace(DEDUPLICATED, scope=DeduplicationScope.ALL), True, Nack),
    ],
)
def test_a_nack_is_given_only_where_a_repeat_is_safe(category, ran, answer):
    brain, runtime = scheduler([store()])
    given_up = task(runtime, category=category)
    if ran:
        given_up.may_have_run.append((store(), runtime.now))
    assert isinstance(brain.final_answer(given_up), answer)


@pytest.mark.parametrize("state", [StoreState.DRAINING, StoreState.GONE])
def test_nothing_is_sent_to_a_node_that_is_draining_or_gone(state):
    at = store()
    brain, runtime = scheduler([at])
    node = brain.nodes[at]
    node.rate = 0.0
    node.sent_at[task(runtime)] = runtime.now
    node.in_flight, node.tokens_out = 1, 100.0
    held = task(runtime)
    run = brain.serve(held)
    assert isinstance(next(run), Wait)
    at.state = state
    brain.list_changed([at], confirmed=True)
    assert runtime.woken == [(held, WakeReason.RECHECK)]
    assert isinstance(run.send(WakeReason.RECHECK), Nack)


@pytest.mark.parametrize("stores, shard", [([], 0), ([], None), ([store(shard=3)], 0)])
def test_a_task_that_no_node_can_serve_is_answered_at_once(stores, shard):
    brain, runtime = scheduler(stores)
    assert isinstance(next(brain.serve(task(runtime, shard=shard))), Nack)


@pytest.mark.parametrize(
    "sent, retries, later, allowed",
    [
        (0, 0, 0, True),
        (2, 0, 0, True),
        (3, 0, 0, False),
        (1, 1, 0, False),
        (0, 1, 0, True),
        (0, 0, 10_000, False),
    ],
)
def test_a_hand_off_is_allowed_only_within_tries_budget_and_time(sent, retries, later, allowed):
    brain, runtime = scheduler([store()], retry_budget=RetryBudgetRule(span=50_000, free=1.0, share=0.0))
    runtime.now += 60_000
    resent_task = task(runtime)
    resent_task.hand_offs = sent
    brain.retry_budget.retries.extend([runtime.now] * retries)
    runtime.now += later
    assert brain.may_hand_off(resent_task) is allowed


def test_a_granted_hand_off_that_is_no_longer_allowed_is_taken_back():
    brain, runtime = scheduler([store()], retry_budget=RetryBudgetRule(span=50_000, free=1.0, share=0.0))
    runtime.now += 60_000
    run, node = brain.serve(task(runtime)), next(iter(brain.nodes.values()))
    run_until_granted(run, runtime, brain)
    assert isinstance(run.send(outcome(OutcomeKind.ERROR)), Wait)
    brain.retry_budget.retries.append(runtime.now)
    runtime.now += 200
    node.run_round()
    assert isinstance(run.send(WakeReason.GRANTED), Nack)
    assert (node.in_flight, node.tokens_out, node.sent_at) == (0, 0.0, {})


def test_tasks_on_one_key_go_one_at_a_time_and_the_key_rests():
    ordered = replace(IDEMPOTENT, ordered=True)
    brain, runtime = scheduler([store()], key_rest=700)
    runtime.now += 700
    first, second = task(runtime, category=ordered, key=9), task(runtime, category=ordered, key=9)
    run, other = brain.serve(first), brain.serve(second)
    run_until_granted(run, runtime, brain)
    assert isinstance(next(other), Wait)
    runtime.woken.clear()
    with pytest.raises(StopIteration):
        run.send(outcome(OutcomeKind.TIMED_OUT, answered=True))
    assert runtime.woken == [(second, WakeReason.RECHECK)]
    assert other.send(WakeReason.RECHECK) == Wait(runtime.now + 700)


def test_failed_polls_of_the_list_are_spaced_out_within_the_reporting_time():
    """A change counts as reported after 6 s: half of that is left for a call that hangs and the next one."""
    brain, runtime = scheduler([], listing=StoreListRule(True, 100_000, 10_000))
    assert runtime.list_requests == 1
    for _ in range(40):
        brain.list_failed()
    times = [at - runtime.now for at, call in runtime.calls if call == runtime.request_store_list]
    assert len(times) == 40 and 5_000 <= times[0] <= 15_000
    assert min(times[1:]) >= 10_000 and 25_000 < max(times) <= 30_000
    brain.list_changed([], confirmed=True)
    brain.list_failed()
    assert runtime.calls[-1][0] - runtime.now <= 15_000


def test_a_pushed_list_that_ended_is_requested_again_within_the_drain_grace():
    """What the sender of the list holds meanwhile counts as reported, and calls there cost nothing."""
    brain, runtime = scheduler([], listing=StoreListRule(False, 0, 5_000))
    for _ in range(8):
        brain.list_failed()
    times = [at - runtime.now for at, call in runtime.calls if call == runtime.request_store_list]
    assert len(times) == 8 and min(times) >= 250 and max(times) <= 750


@pytest.mark.parametrize(
    "remaining, due",
    [
        (10_000, 2_500),
        (9_000, 1_500),
        (7_000, -500),
        (2_400, 2_400),
        (800, 800),
        (2_600, -4_900),
    ],
)
def test_the_soft_limit_runs_from_the_first_try_unless_little_time_is_left(remaining, due):
    brain, runtime = scheduler([store()])
    usual, further = task(runtime), task(runtime)
    further.deadline = runtime.now + remaining
    assert brain.soft_deadline(usual) == runtime.now + 2_500
    assert brain.soft_deadline(further) == runtime.now + due


@pytest.mark.parametrize("delay, action", [(0, Wait), (5_000, Nack)])
def test_a_task_past_its_soft_limit_is_sent_only_where_nothing_queues(delay, action):
    brain, runtime = scheduler([store()])
    next(brain.serve(task(runtime)))
    brain.delays.record(next(iter(brain.nodes)), runtime.now, delay)
    late, node = task(runtime), next(iter(brain.nodes.values()))
    late.deadline = runtime.now + 5_000
    add_samples(node, *[100] * 8, *[100 + delay] * 4)
    assert isinstance(next(brain.serve(late)), action)


def test_a_replacement_under_a_new_id_takes_the_shard_over():
    at, new = store(), store()
    brain, runtime = scheduler([at])
    at.state = StoreState.GONE
    brain.list_changed([at], confirmed=True)
    assert isinstance(next(brain.serve(task(runtime))), Nack)
    brain.list_changed([at, new], confirmed=True)
    assert brain.node_for(task(runtime)) is brain.nodes[new]


@pytest.mark.parametrize("signal", [WakeReason.TIMER, WakeReason.GRANTED])
def test_a_task_woken_after_its_deadline_is_not_sent(signal):
    brain, runtime = scheduler([store()])
    next(iter(brain.nodes.values())).in_flight = 1
    run = brain.serve(task(runtime))
    assert isinstance(next(run), Wait)
    runtime.now += 50_000
    if signal is WakeReason.GRANTED:
        next(iter(brain.nodes.values())).release(0.0)
    assert isinstance(run.send(signal), Nack)


def test_two_schedulers_with_one_seed_rank_alike():
    brain, runtime = scheduler([store(shard) for shard in range(5)])
    other = Scheduler(config(), 1, runtime)
    other.list_changed([store(shard) for shard in range(5)], confirmed=True)
    assert (
        brain.node_for(task(runtime, shard=None)).store.shard == other.node_for(task(runtime, shard=None)).store.shard
    )
    ranked = [[node.store.shard for node in made.ranking.ranked] for made in (brain, other)]
    assert ranked[0] == ranked[1] and len(ranked[0]) == 5


def test_no_key_is_used_until_it_has_rested_since_an_earlier_process():
    ordered = replace(IDEMPOTENT, ordered=True)
    brain, runtime = scheduler([store()], key_rest=700)
    run = brain.serve(task(runtime, category=ordered, key=9))
    assert next(run).until == runtime.now + 700
    runtime.now += 700
    assert (
        isinstance(run.send(WakeReason.TIMER), Wait) and runtime.woken[-1][1] is WakeReason.GRANTED
    )  # its node has granted it


def test_keys_that_still_rest_when_their_last_task_leaves_are_let_go_after_it():
    """Memory would grow with every key: clients can name ever new ones while keys rest."""
    ordered = replace(IDEMPOTENT, ordered=True)
    brain, runtime = scheduler([store()], key_rest=700)
    for key in range(1, 20):
        run = brain.serve(task(runtime, category=ordered, key=key))
        next(run)
        run.close()
    assert len(brain.keys) == 19
    runtime.now += 700
    for at, call in runtime.calls:
        if at <= runtime.now:
            call()
    assert not brain.keys
