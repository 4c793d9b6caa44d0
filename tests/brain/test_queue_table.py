"""Guards against memory that grows with every volume that was ever named.

What happened: each node kept the queue of a volume for ten minutes after its last task, and with it what is known of
the volume. 60 clients that named ever new volumes took a gateway from 26 MB to 114 MB in 24 s.
"""

from __future__ import annotations

import math

import pytest
from helpers import PLAN, outcome, scheduler, store, task

from tansykeel.brain import queue_table
from tansykeel.interface import HandOff, OutcomeKind, Plan, StoreState, Volume, WakeReason

MAX_QUEUES = 50  # in these tests
RESERVED = Plan("reserved", 50.0, 10.0, 1.0, 1.0, 0.0, 0.0, 0.0)


@pytest.fixture(autouse=True)
def few_queues(monkeypatch):
    monkeypatch.setattr(queue_table, "MAX_QUEUES", MAX_QUEUES)


def serve(brain, runtime, volume, shard):
    """Serve a task of the volume to its end."""
    run = brain.serve(task(runtime, shard=shard, volume=volume))
    action = next(run)
    while not isinstance(action, HandOff):
        runtime.now += 200
        node = brain.nodes[brain.by_shard[shard].store]
        node.run_round()
        action = run.send(WakeReason.GRANTED if runtime.woken else WakeReason.RECHECK)
        runtime.woken.clear()
    with pytest.raises(StopIteration):
        run.send(outcome(OutcomeKind.DELIVERED))


def queues(brain):
    return [queue for node in brain.nodes.values() for queue in node.queues.values()]


@pytest.mark.parametrize("plan", [PLAN, RESERVED])
def test_queues_of_ever_new_volumes_are_bounded(plan):
    brain, runtime = scheduler([store(shard) for shard in range(3)])
    for number in range(6 * MAX_QUEUES):
        serve(brain, runtime, Volume(number, plan), number % 3)
        runtime.now += 3_000
    assert len(queues(brain)) <= MAX_QUEUES + 20  # held a task within a second, or their balance is not full yet
    assert len(brain.queues) == len(queues(brain))
    for node in brain.nodes.values():
        assert math.isclose(node.reserve, sum(queue.reserve for queue in node.queues.values()), abs_tol=1e-9)
        assert math.isclose(node.full_rate, sum(queue.reserve for queue in node.full), abs_tol=1e-9)


def test_a_queue_that_holds_a_task_or_owes_tokens_is_kept():
    brain, runtime = scheduler([store()])
    (node,) = brain.nodes.values()
    node.rate = 0.0
    holding, owing = Volume("holding", PLAN), Volume("owing", PLAN)
    node.in_flight, node.tokens_out = 1, 1e9
    held = brain.serve(task(runtime, volume=holding))
    next(held)
    owed = brain.queue_of(node, owing)
    node.in_debt[owed], owed.tokens = None, -5.0
    for number in range(4 * MAX_QUEUES):
        runtime.now += 3_000
        queue = brain.queue_of(node, Volume(number, PLAN))
        node.schedule_full(queue)
    assert node.queues[holding].held and node.queues[owing] is owed
    assert len(node.queues) <= MAX_QUEUES + 2


def test_a_queue_that_idles_for_its_lifetime_is_let_go():
    brain, runtime = scheduler([store()])
    (node,) = brain.nodes.values()
    serve(brain, runtime, Volume("idle", PLAN), 0)
    runtime.now += queue_table.IDLE_QUEUE_LIFETIME // 2
    serve(brain, runtime, Volume("first", PLAN), 0)
    assert len(node.queues) == 2
    runtime.now += queue_table.IDLE_QUEUE_LIFETIME // 2 + 1
    serve(brain, runtime, Volume("second", PLAN), 0)
    assert [volume.handle for volume in node.queues] == ["first", "second"]


def test_queues_of_a_node_that_is_forgotten_are_not_counted():
    stores = [store(shard) for shard in range(2)]
    brain, runtime = scheduler(stores)
    for shard in (0, 1):
        serve(brain, runtime, Volume("v", PLAN), shard)
    stores[1].state = StoreState.GONE
    runtime.now += 400_000
    brain.list_changed([stores[1]], confirmed=True)
    assert stores[1] not in brain.nodes and len(brain.queues) == len(queues(brain)) == 1
