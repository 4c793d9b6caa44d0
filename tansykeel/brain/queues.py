"""The queue of one volume's tasks at one node, and what a task costs there."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from tansykeel.interface import Task, Volume

from .cold import SECOND

READ_COST, WRITE_COST = 1.0, 1.5  # tokens for a unit


def cost_of(task: Task) -> float:
    """A task's cost in tokens."""
    return task.units * (WRITE_COST if task.category.writes else READ_COST)


class QueueOwner(Protocol):
    """What a queue needs of its node."""

    accrued_at: int  # up to when the node has given out what time is worth

    def set_reserve(self, queue: VolumeQueue, reserve: float) -> None:
        """Change the rate at which a queue's balance grows."""
        ...


class VolumeQueue:
    """One volume's tasks at one node. What it earns or owes while it is empty is computed when needed."""

    __slots__ = (
        "accrued_at",
        "balance",
        "debt_free_at",
        "demand_allowance",
        "demand_at",
        "full_at",
        "held",
        "node",
        "number",
        "planned_rate",
        "reserve",
        "slice_at",
        "tokens",
        "total_reserve",
        "volume",
    )

    def __init__(self, node: QueueOwner, number: int, volume: Volume) -> None:
        self.node, self.number, self.volume = node, number, volume  # number: its place in the round
        self.held: deque[Task] = deque()
        self.total_reserve = volume.plan.reserve / SECOND  # read tokens a tenth, over all gateways and nodes
        # This gateway's and node's part of that rate; what it has earned; tokens of slices.
        self.reserve = self.balance = self.tokens = 0.0
        # Up to when `balance`, and up to which sum of slices `tokens`, are computed.
        self.accrued_at, self.slice_at = node.accrued_at, 0.0
        # When its balance is full, if that is scheduled; the sum of slices at which its debt is paid.
        self.full_at, self.debt_free_at = 0, 0.0
        # When a first try last came; units that further ones may ask for within what the volume is sized for.
        self.demand_at, self.demand_allowance = 0, 0.0
        self.planned_rate = 0.0  # units a tenth that the volume is sized for here, as of the last first try

    def set_reserve(self, reserve: float) -> None:
        """Change the rate at which its balance grows from now on."""
        self.node.set_reserve(self, reserve)
