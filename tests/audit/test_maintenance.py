"""The judge of leave: from what agents did, each planted fault is named and a good day is not."""

from __future__ import annotations

import pytest

from tansykeel.audit.join import join
from tansykeel.audit.maintenance import KNOWN_AFTER, LEAVE_RULES, LeaveLaw
from tansykeel.audit.records import Killed, Left
from tansykeel.maintenance.disruption_budget import Bounds, Place

NAMES = [f"edge-{n}" for n in range(5)]
LAW = LeaveLaw({name: Place(name, "gateway", n % 2) for n, name in enumerate(NAMES)}, Bounds(share=0.2, zone=0.5))
SECOND = 1_000_000


def out(at, edge, number, epoch=0):
    return Left(at * SECOND, f"edge-{edge}", "out", (epoch, number), 1)


def whole(at, edge, number):
    return Left(at * SECOND, f"edge-{edge}", "whole", (0, number), 2)


@pytest.mark.parametrize(
    "records, named",
    [
        ([out(1, 0, 5), whole(9, 0, 5), out(10, 1, 6), whole(19, 1, 6)], []),
        ([out(1, 0, 5), out(2, 1, 6)], ["room"]),  # the first is not back
        (
            [Killed(1 * SECOND, "edge-3"), out(2 + KNOWN_AFTER // SECOND, 0, 5)],
            ["room"],
        ),  # a death that has to be known
        ([Killed(1 * SECOND, "edge-3"), out(2, 0, 5)], []),  # one that can't be
        ([out(1, 0, 5), whole(2, 0, 5), out(3, 0, 4), whole(4, 0, 4)], ["orders"]),  # an older leave is obeyed
        ([out(1, 0, 5), whole(2, 0, 5), out(3, 0, 1, epoch=7)], []),  # after a loss numbers begin anew
        ([out(1, 0, 5), whole(2, 0, 5), out(3, 1, 5)], ["orders"]),
    ],
)  # one leave takes out two
def test_a_planted_fault_is_named(records, named):
    passed = join(records)
    assert [rule for rule, judge in LEAVE_RULES.items() if list(judge(passed, LAW))] == named
