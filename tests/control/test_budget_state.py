"""The replicated budgets: their sum never exceeds the region's units, and late entries have no effect."""

from __future__ import annotations

import random

import pytest

from tansykeel.control.budget_state import BudgetState
from tansykeel.control.entries import (
    BudgetReleased,
    NodeDemand,
    NodeReclaimed,
    NodeRegistered,
    StateLost,
    decode_entry,
    encode_entry,
)

REGION = 1_000


def state_of(*entries):
    state = BudgetState()
    for index, entry in enumerate(entries, 1):
        state.apply(index, encode_entry(entry))
    return state


def units(state):
    return {node: record.units for node, record in state.records.items()}


def registered(node, term=1, incarnation=1, region_units=REGION):
    return NodeRegistered(node, incarnation, term, region_units)


def test_released_units_are_distributed_by_weight():
    entries = [registered("a"), registered("b"), NodeDemand("a", 1, 1, 3), NodeDemand("b", 1, 1, 1)]
    state = state_of(*entries)
    assert units(state) == {"a": 1_000, "b": 0}  # no units are taken away from a
    assert state.target("a") == 750
    state.apply_entry(BudgetReleased("a", 1, 1, state.records["a"].version, 800))
    assert units(state) == {"a": 800, "b": 200}
    state.apply_entry(BudgetReleased("a", 1, 1, state.records["a"].version, 700))
    assert units(state) == {"a": 750, "b": 250}  # a is below its target now, and first in name order


@pytest.mark.parametrize(
    "late_entry",
    [
        BudgetReleased("a", 1, 2, 0, 10),  # of another version
        BudgetReleased("a", 1, 1, 1, 10),  # of an earlier term
        NodeReclaimed("a", 1, 1),
        NodeDemand("a", 1, 1, 9),
        registered("a", term=1),
        registered("a", term=2),  # committed twice
        registered("a", term=9, incarnation=0),
        registered("c", region_units=REGION + 1),  # other settings
    ],
)
def test_late_entry_changes_nothing(late_entry):
    state = state_of(registered("a"), registered("a", term=2), registered("b"))
    before = state.snapshot()
    state.apply(9, encode_entry(late_entry))
    assert state.snapshot() == before


def test_new_term_reclaim_and_lost_state_free_the_units():
    state = state_of(registered("a"), registered("b"))
    state.apply_entry(registered("a", term=2))
    assert units(state) == {"a": 500, "b": 500}  # b was below its target, and a lost the units of its earlier term
    state.apply_entry(NodeReclaimed("b", 1, 1))
    assert units(state) == {"a": 1_000}
    state.apply(4, state.state_lost_entry(7))
    assert units(state) == {} and decode_entry(state.state_lost_entry(7)) == StateLost(7)
    state.apply_entry(registered("c", region_units=400))
    assert units(state) == {"c": 400}  # all nodes restarted with new settings


def test_random_entries_never_bring_the_sum_above_the_region_s_units():
    rng = random.Random(5)
    state = BudgetState()
    largest_sum = 0
    for index in range(4_000):
        node = rng.choice("abc")
        incarnation, term = rng.randint(1, 2), rng.randint(1, 3)
        version, kept = rng.randint(0, 3), rng.randint(0, REGION)
        entry = rng.choice(
            [
                registered(node, term, incarnation),
                NodeDemand(node, incarnation, term, rng.randint(0, 5)),
                BudgetReleased(node, incarnation, term, version, kept),
                NodeReclaimed(node, incarnation, term),
                StateLost(index) if rng.random() < 0.02 else NodeDemand(node, incarnation, term, 1),
            ]
        )
        state.apply(index, encode_entry(entry))
        largest_sum = max(largest_sum, sum(units(state).values()))
        assert largest_sum <= REGION and min(units(state).values(), default=0) >= 0
    assert largest_sum == REGION


def test_snapshot_and_copy_hold_the_same_state_and_are_independent():
    state = state_of(registered("a"), registered("b"), NodeDemand("a", 1, 1, 2))
    restored, copied = BudgetState(), state.copy()
    restored.restore(state.snapshot())
    state.apply_entry(StateLost(2))
    for other in (restored, copied):
        assert units(other) == {"a": 1_000, "b": 0} and other.region_units == REGION
        assert other.records["a"].weight == 2
