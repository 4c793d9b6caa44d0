"""How clients go on after an answer, without I/O: the same on sockets and in simulated time."""

from __future__ import annotations

import numpy

from tansykeel.rehearse.load import Arrival
from tansykeel.settings.day import Clients
from tansykeel.settings.records import CategoryOf

DELIVERED, NACKED, BROKEN_OFF, LOST = 0, 1, 2, 3  # LOST: the edge is gone with the task
MOST_PLACED = 10_000  # new objects of one volume that are remembered for reading


class Habits:
    """One group of clients with a stream of draws of its own."""

    def __init__(self, clients: Clients, draw: numpy.random.Generator) -> None:
        self.clients, self.draw = clients, draw
        self.placed: dict[str, list[tuple[int, int, int]]] = {}  # new objects by volume: key, shard, units

    def aimed(self, arrival: Arrival) -> Arrival:
        """The task as it is sent: a read of a new object goes to one that was placed, if there is one."""
        known = self.placed.get(arrival.volume) if arrival.reread else None
        if not known:
            return arrival
        key, shard, units = known[int(self.draw.integers(len(known)))]
        return arrival._replace(key=key, shard=shard, units=units)

    def delivered(self, arrival: Arrival, category: CategoryOf, shard: int) -> None:
        """A new object that was written can be read from now on."""
        if category.writes and arrival.shard < 0:
            placed = self.placed.setdefault(arrival.volume, [])
            if len(placed) < MOST_PLACED:
                placed.append((arrival.key, shard, arrival.units))

    def again(self, category: CategoryOf, tries: int, result: int, come_back: float) -> float | None:
        """Seconds to wait before the next try; None: no further one. `tries` counts from 0, for the one that ended.

        After a nack any task may be tried again; after a break-off, or with the edge lost, a harmless one only.
        """
        if tries >= self.clients.retries or result != NACKED and category.repeat != "harmless":
            return None
        wait = self.clients.backoff_ms / 1000 * (0.5 + self.draw.random())
        if result == NACKED and self.draw.random() < self.clients.honour:
            wait = max(wait, come_back)
        return wait
