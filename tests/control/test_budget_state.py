"""Budgets as the log's entries make them: never over the region's units, and nothing by an entry that is late."""

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


def test_what_is_free_is_dealt_by_weight_once_it_was_released():
    entries = [registered("a"), registered("b"), NodeDemand("a", 1, 1, 3), NodeDemand("b", 1, 1, 1)]
    state = state_of(*entries)
    assert units(state) == {"a": 1_000, "b": 0}  # nothing is taken away from the first one
    assert state.target("a") == 750
    state.apply_entry(BudgetReleased("a", 1, 1, state.records["a"].version, 800))
    assert units(state) == {"a": 800, "b": 200}
    state.apply_entry(BudgetReleased("a", 1, 1, state.records["a"].version, 700))
    assert units(state) == {"a": 750, "b": 250}  # a is under its target then, and first by name


@pytest.mark.parametrize(
    "late",
    [
        BudgetReleased("a", 1, 2, 0, 10),  # of another version
        BudgetReleased("a", 1, 1, 1, 10),  # of an earlier term
        NodeReclaimed("a", 1, 1),
        NodeDemand("a", 1, 1, 9),
        registered("a", term=1),
        registered("a", term=2),  # decided twice
        registered("a", term=9, incarnation=0),
        registered("c", region_units=REGION + 1),  # its settings are others
    ],
)
def test_an_entry_that_is_late_changes_nothing(late):
    state = state_of(registered("a"), registered("a", term=2), registered("b"))
    before = state.snapshot()
    state.apply(9, encode_entry(late))
    assert state.snapshot() == before


def test_a_new_term_a_reclaim_and_a_loss_free_the_units():
    state = state_of(registered("a"), registered("b"))
    state.apply_entry(registered("a", term=2))
    assert units(state) == {"a": 500, "b": 500}  # b was under its target, and a holds nothing of its earlier term
    state.apply_entry(NodeReclaimed("b", 1, 1))
    assert units(state) == {"a": 1_000}
    state.apply(4, state.state_lost_entry(7))
    assert units(state) == {} and decode_entry(state.state_lost_entry(7)) == StateLost(7)
    state.apply_entry(registered("c", region_units=400))
    assert units(state) == {"c": 400}  # all nodes were started anew, with new settings


def test_the_sum_is_never_over_the_region_s_units_whatever_is_decided():
    chance = random.Random(5)
    state = BudgetState()
    most = 0
    for index in range(4_000):
        node = chance.choice("abc")
        incarnation, term = chance.randint(1, 2), chance.randint(1, 3)
        version, kept = chance.randint(0, 3), chance.randint(0, REGION)
        entry = chance.choice(
            [
                registered(node, term, incarnation),
                NodeDemand(node, incarnation, term, chance.randint(0, 5)),
                BudgetReleased(node, incarnation, term, version, kept),
                NodeReclaimed(node, incarnation, term),
                StateLost(index) if chance.random() < 0.02 else NodeDemand(node, incarnation, term, 1),
            ]
        )
        state.apply(index, encode_entry(entry))
        most = max(most, sum(units(state).values()))
        assert most <= REGION and min(units(state).values(), default=0) >= 0
    assert most == REGION


def test_a_snapshot_and_a_copy_are_the_same_state_and_go_their_own_ways():
    state = state_of(registered("a"), registered("b"), NodeDemand("a", 1, 1, 2))
    restored, copied = BudgetState(), state.copy()
    restored.restore(state.snapshot())
    state.apply_entry(StateLost(2))
    for other in (restored, copied):
        assert units(other) == {"a": 1_000, "b": 0} and other.region_units == REGION
        assert other.records["a"].weight == 2
