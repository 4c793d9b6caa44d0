"""The index of serving nodes agrees with a search through all nodes, whatever the order of changes."""

from __future__ import annotations

import random

import pytest
from helpers import scheduler, store, task

from tansykeel.interface import StoreState

SHARDS, STEPS = 6, 400


def expected_by_shard(brain):
    """Search all nodes: of the ready ones of a shard the one that started last, of equal ones the newest."""
    best = {}
    for node in brain.nodes.values():
        other = best.get(node.store.shard)
        is_ready = node.store.state is StoreState.READY
        if is_ready and (other is None or node.store.started >= other.store.started):
            best[node.store.shard] = node
    return best


@pytest.mark.parametrize("seed", range(5))
def test_the_index_agrees_with_a_search_after_each_change(seed):
    rng = random.Random(seed)
    stores = [store(rng.randrange(SHARDS)) for _ in range(10)]
    brain, runtime = scheduler(stores)
    for _ in range(STEPS):
        changed = rng.sample(stores, rng.randint(1, 3))
        for one in changed:
            match rng.randrange(5):
                case 0:
                    one.shard = rng.randrange(SHARDS)
                case 1:
                    one.started = runtime.now - rng.randrange(50)
                case _:
                    one.state = rng.choice(list(StoreState))
        if rng.random() < 0.1:
            changed.append(store(rng.randrange(SHARDS), started=rng.choice([0, runtime.now])))
            stores.append(changed[-1])
        runtime.now += rng.choice([10, 1_000, 100_000])
        brain.list_changed(changed, confirmed=True)
        expected = expected_by_shard(brain)
        assert brain.by_shard == expected
        assert set(brain.node_table.index.serving) == set(expected.values())
        assert len(brain.node_table.index.serving) == len(expected)
        chosen = brain.node_for(task(runtime, shard=None))
        assert chosen in expected.values() if expected else chosen is None


def test_a_heap_does_not_grow_with_changes_of_one_store():
    stores = [store(0, started=5), store(0, started=9)]
    brain, _ = scheduler(stores)
    for number in range(1_000):
        stores[0].state = StoreState.DRAINING if number % 2 else StoreState.READY
        brain.list_changed(stores[:1], confirmed=True)
    (shard_nodes,) = brain.node_table.index._shards.values()
    assert len(shard_nodes.heap) < 30 and brain.by_shard[0].store is stores[1]


def test_tasks_held_at_a_node_that_no_longer_serves_are_decided_again():
    old, new = store(0, started=5), store(0, started=9)
    brain, runtime = scheduler([old])
    node = brain.nodes[old]
    node.in_flight, node.tokens_out = 1, 1e9
    waiting = task(runtime)
    run = brain.serve(waiting)
    next(run)
    brain.list_changed([new], confirmed=True)
    assert [woken for woken, _ in runtime.woken] == [waiting]
    assert node.held_count == 1 and brain.by_shard[0] is brain.nodes[new]
