"""Guards against a cost of a change of the list that grows with the stores that the change does not name.

What happened: with 3,200 stores, each change of one went through all of them a dozen times. While six in ten were
replaced within 7 s, a gateway stood still for minutes, and what it had taken got no answer.

The cost is counted in steps of the interpreter, which are the same on each machine.
"""

from __future__ import annotations

import pytest
from helpers import IDEMPOTENT
from helpers import task as task_of
from interpreter_steps import steps
from many_stores import NOW, core_of, row, rows

from tansykeel.platform.member_rows import Update

FEW, MANY = 200, 3_200  # stores
SLACK = 1.3  # times the steps with few stores that a change may take with many


def apply(core, version, *changed, full=False):
    core.apply_list_update(NOW + version * 10, Update(full, version, list(changed)))


SHAPES = {
    "a store drains": lambda n: [[row(5, "draining")]],
    "a drain and back": lambda n: [[row(5, "draining")], [row(5)]],
    "a store is gone": lambda n: [[row(5, "gone")]],
    "a store is replaced": lambda n: [[row(5, "draining")], [row(n, boot=7, shard=5)], [row(5, "gone")]],
    "another address": lambda n: [[row(5, address="elsewhere:1")]],
    "another shard": lambda n: [[row(5, shard=6)]],
    "a restart": lambda n: [[row(5, boot=7)]],
    "told again": lambda n: [[row(5)], [row(5)]],
    "forty at once": lambda n: [[row(number, "draining") for number in range(40)]],
}


def steps_of_change(shape, stores):
    core = core_of(stores)
    apply(core, 1, *rows(stores), full=True)
    changes = SHAPES[shape](stores)
    return steps(lambda: [apply(core, 2 + number, *changed) for number, changed in enumerate(changes)])


@pytest.mark.parametrize("shape", SHAPES)
def test_a_change_costs_the_same_however_many_stores_it_does_not_name(shape):
    assert steps_of_change(shape, MANY) <= SLACK * steps_of_change(shape, FEW)


def test_a_change_costs_the_same_where_all_stores_hold_one_shard():
    def steps_of_flaps(stores):
        core = core_of(0)
        apply(core, 1, *[row(number, shard=3) for number in range(stores)])
        states = ["draining", "ready"] * 50
        return steps(
            lambda: [apply(core, 2, row(stores - 1 - n % 7, state, shard=3)) for n, state in enumerate(states)]
        )

    assert steps_of_flaps(MANY) <= SLACK * steps_of_flaps(FEW)


def test_the_whole_list_costs_as_much_for_each_store_however_many_there_are():
    for first in (True, False):

        def steps_of_list(stores, first=first):
            core = core_of(0 if first else stores)
            return steps(lambda: apply(core, 1, *rows(stores), full=True)) / stores

        assert steps_of_list(MANY) <= SLACK * steps_of_list(FEW)


def test_stores_that_come_and_go_cost_the_same_whatever_went_before_them():
    core = core_of(FEW)

    def replace(number):
        apply(core, number + 1, row(number + FEW, boot=7, shard=5))
        apply(core, number + 1, row(number + FEW, "gone", boot=7, shard=5))

    first = steps(lambda: [replace(number) for number in range(10)])
    for number in range(10, 1_500):
        replace(number)
    last = steps(lambda: [replace(number) for number in range(1_500, 1_510)])
    assert last <= 2 * first  # the first ones check fewer stores that are gone


def test_a_new_object_costs_the_same_however_many_stores_there_are_and_however_often_they_change():
    def steps_of_objects(stores):
        core = core_of(stores)
        module, runner = core.decision_module, core.runner

        def new_object(number):
            apply(core, 2 + number, row(number, "draining"))
            runner.advance_clock(NOW + 1_000 * number)
            assert module.node_for(task_of(runner, shard=None, category=IDEMPOTENT)) is not None

        return steps(lambda: [new_object(number) for number in range(20)])

    assert steps_of_objects(MANY) <= SLACK * steps_of_objects(FEW)
