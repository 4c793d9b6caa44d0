"""What is sent in simulated time: how long it is on its way, and the connections that it goes over."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import numpy

from tansykeel.edge.tasks import Attempt
from tansykeel.interface import OutcomeKind, Store
from tansykeel.protocol.frames import Hello, ListOf
from tansykeel.settings.day import Fleet
from tansykeel.standin.behaviour import Work

BANDWIDTH = 1_000  # bytes in a microsecond
LIST_WAY = 200  # microseconds one way between a gateway and the list
JITTERS = 4_096  # draws made at once


class GatewayEnd(Protocol):
    """A gateway as the far ends of its connections see it; `life` is another with each of its starts."""

    index: int
    name: str
    life: int
    from_list: Line

    def tell(self, life: int, call: Callable[..., Any], *arguments: Any) -> None: ...
    def hello(self, conn: Conn, hello: Hello) -> None: ...
    def not_reached(self, conn: Conn) -> None: ...
    def reset(self, conn: Conn) -> None: ...
    def told(
        self, conn: Conn, attempt: Attempt, how: OutcomeKind, shard: int, report: tuple[float, ...], elsewhere: int
    ) -> None: ...
    def listed(self, update: ListOf) -> None: ...
    def list_lost(self) -> None: ...


class StoreEnd(Protocol):
    """A store as a gateway's connections see it."""

    zone: int

    def reached(self, conn: Conn, way: int) -> None: ...
    def arrive(self, conn: Conn, work: Work) -> None: ...
    def cancel(self, conn: Conn, attempt: Attempt) -> None: ...
    def dropped(self, conn: Conn) -> None: ...


class Line:
    """One direction of a connection: what is sent first arrives first."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last = 0

    def arrival(self, moment: int) -> int:
        self.last = max(self.last + 1, moment)
        return self.last


class Conn:
    """A gateway's connection to a store, which the module knows as `known`; `life` tells whose it was."""

    def __init__(self, gateway: GatewayEnd, store: StoreEnd, known: Store) -> None:
        self.gateway, self.store, self.known, self.life = gateway, store, known, gateway.life
        self.up = self.lost = self.dropped = False  # lost: the gateway knows; dropped: at the store's end
        self.waiting: deque[Attempt] = deque()
        self.works: dict[Attempt, Work] = {}
        self.there, self.back = Line(), Line()


class Ways:
    """Times on the network, whole microseconds one way."""

    def __init__(self, fleet: Fleet, draws: numpy.random.Generator) -> None:
        self.fleet, self._draws = fleet, draws
        self._jitter, self._drawn = [0.0], 0

    def to_store(self, gateway: GatewayEnd, store: StoreEnd) -> int:
        far = self.fleet.zones > 1 and gateway.index % self.fleet.zones != store.zone
        return int((self.fleet.cross_ms if far else self.fleet.way_ms) * 1000 * self._spread())

    def client(self) -> int:
        return int(self.fleet.way_ms * 1000 * self._spread())

    def to_list(self) -> int:
        return LIST_WAY

    def wire_time(self, size: int) -> int:
        return size // BANDWIDTH

    def _spread(self) -> float:
        """Of one way: none to twice the mean, mostly near it."""
        if self._drawn == len(self._jitter):
            self._jitter = (0.5 + self._draws.random(JITTERS)).tolist()
            self._drawn = 0
        self._drawn += 1
        return self._jitter[self._drawn - 1]
