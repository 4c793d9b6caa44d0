"""What every part of a day in simulated time stands on. It knows none of the parts; the world puts them together."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from random import Random
from typing import Protocol

import numpy

from tansykeel.audit.records import AnyRecord, Record
from tansykeel.edge.tasks import DecisionModule
from tansykeel.emulator.engine import Engine
from tansykeel.emulator.ways import GatewayEnd, StoreEnd, Ways
from tansykeel.interface import SchedulerConfig
from tansykeel.protocol.frames import Answer
from tansykeel.rehearse.faults import Faults
from tansykeel.rehearse.load import stream
from tansykeel.settings.build import facts_of
from tansykeel.settings.day import Day, settings_of
from tansykeel.standin.behaviour import KeptMarks

STORES, NETWORK, LINKS = 3 * 10**6, 4 * 10**6, 6 * 10**6  # streams beside those of `rehearse.load`

Decide = Callable[..., DecisionModule]


class ClientsEnd(Protocol):
    """The clients as a gateway sees them."""

    def answer_on_its_way(self, gateway: GatewayEnd, task: int, answer: Answer) -> None: ...
    def edge_lost(self, gateway: GatewayEnd) -> None: ...


class ListEnd(Protocol):
    """The list's service as a gateway sees it."""

    def ask(self, gateway: GatewayEnd, life: int) -> None: ...


class Scene(ABC):
    clients: ClientsEnd
    list: ListEnd
    decide: Decide  # makes each gateway's decisions

    def __init__(self, day: Day, seed: int) -> None:
        self.day, self.seed = day, seed
        self.engine = Engine()
        self.ways = Ways(day.fleet, stream(seed, NETWORK))
        self.faults = Faults(Random(f"{seed} {LINKS}"))
        self.records: list[AnyRecord] = []
        self.notes: list[str] = []
        self.settings = settings_of(day, "list:1", "edge:1")
        self.facts: list[SchedulerConfig] = [
            facts_of(self.settings, n, day.fleet.edges) for n in range(day.fleet.edges)
        ]
        self.marks = KeptMarks()
        self.boots = 0
        self._blank: dict[int, bytes] = {}

    @abstractmethod
    def store_at(self, address: str) -> StoreEnd: ...

    def record(self, record: Record) -> None:
        self.records.append(record)  # type: ignore[arg-type]

    def blank(self, size: int) -> bytes:
        return self._blank.setdefault(size, bytes(size))

    def stream_of_store(self, index: int) -> numpy.random.Generator:
        return stream(self.seed, STORES, index, self.boots)

    def new_boot(self) -> int:
        self.boots += 1
        return self.boots
