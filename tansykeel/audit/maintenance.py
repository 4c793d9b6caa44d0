"""What leave must keep, judged from what machines' agents did: never more out than a bound, no stale leader's order.

No gateway's own word counts: a gateway is out from when its agent ended it by an order until its agent saw it whole
again, and out too while it lies dead for longer than a death may stay unknown.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from tansykeel.audit.join import Passed
from tansykeel.audit.rules import Break
from tansykeel.maintenance.disruption_budget import Bounds, Place, violated_bounds

KNOWN_AFTER = 10_000_000  # microseconds after which a death has to be counted


class LeaveLaw(NamedTuple):
    places: dict[str, Place]
    bounds: Bounds


def room(passed: Passed, law: LeaveLaw) -> Iterator[Break]:
    """At each moment at which one goes out, with all that are out then, each bound holds."""
    out: set[str] = set()
    for left in passed.left:
        if left.what == "whole":
            out.discard(left.edge)
            continue
        died = {
            edge
            for edge, times in passed.killed.items()
            for at in times
            if edge != left.edge
            and at + KNOWN_AFTER < left.at
            and not any(up.at > at and up.edge == edge for up in passed.left)
            and not any(one.at > at and one.edge == edge for one in passed.counted)
        }
        against = violated_bounds(law.places[left.edge], law.places, (out | died) - {left.edge}, law.bounds, 0.0)
        for why in against:
            yield Break("room", f"{left.edge} went out by leave {left.number[1]} though {why}")
        out.add(left.edge)


def orders(passed: Passed, law: LeaveLaw) -> Iterator[Break]:
    """Who goes out goes by a higher number than before, and no leave takes out two."""
    last: dict[str, tuple[int, int]] = {}
    whose: dict[tuple[int, int], str] = {}
    for left in passed.left:
        if left.what != "out":
            continue
        if left.number <= last.get(left.edge, (0, 0)):
            yield Break("orders", f"{left.edge} went out by {left.number} after {last[left.edge]}")
        if whose.setdefault(left.number, left.edge) != left.edge:
            yield Break("orders", f"{left.edge} and {whose[left.number]} went out by one leave {left.number}")
        last[left.edge] = left.number


LEAVE_RULES: dict[str, Callable[[Passed, LeaveLaw], Iterator[Break]]] = {"room": room, "orders": orders}
