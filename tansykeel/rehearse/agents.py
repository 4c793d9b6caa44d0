"""The machines' agents and the operator of a rehearsed release: they ask gateways for leave, over the protocol, and
start the gateway that they are told to. What they do is written down as it happens, for the audit.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from tansykeel.audit.records import Left, Recorder, now_us
from tansykeel.edge.ask import NotTold, exchange_maintenance, query_fleet
from tansykeel.errors import Problem
from tansykeel.maintenance.controller import Ask, Order, make_plan
from tansykeel.maintenance.entries import Move, Recover
from tansykeel.maintenance.messages import Elsewhere, MaintenanceMessage, Offered, Status, StatusAsk, Taken
from tansykeel.maintenance.rollouts import DONE, GIVEN_UP, HALTED
from tansykeel.maintenance.state import Kept
from tansykeel.settings.day import ReleaseOf

EVERY = 0.3  # seconds between an agent's questions
ANSWERS_WITHIN = 1.0  # seconds; an order that comes later is not obeyed
RELEASE = "rehearsed"


class Machines(Protocol):
    """What agents need of the gateways' processes."""

    ports: list[int]

    def starts(self, index: int) -> int: ...
    def runs(self, index: int) -> bool: ...
    def end(self, index: int) -> Awaitable[None]: ...
    def start_version(self, index: int, version: str) -> Awaitable[None]: ...


@dataclass(eq=False)
class Agent:
    """Of one gateway's machine. `boot`: how often that was started; `went`: by which leave it went last."""

    machines: Machines
    index: int
    name: str
    record: Recorder
    names: list[str]
    went: tuple[int, int] = (0, 0)
    whole: bool = True
    asks: int = 0
    leader: str = ""

    async def run(self) -> None:
        while True:
            await asyncio.sleep(EVERY)
            if (answer := await self._ask()) is not None:
                await self._obey(answer)

    async def _ask(self) -> Order | None:
        whole = self.machines.runs(self.index) and await self._is_whole()
        if whole and not self.whole:
            self.record.add(Left(now_us(), self.name, "whole", self.went, self.machines.starts(self.index)))
            self.record.flush()
        self.whole = whole
        to = self.names.index(self.leader) if self.leader in self.names else self.asks % len(self.names)
        self.asks, self.leader = self.asks + 1, ""
        boot = self.machines.starts(self.index)
        try:
            told = await exchange_maintenance(
                f"127.0.0.1:{self.machines.ports[to]}", Ask(self.name, boot, self.went, whole), ANSWERS_WITHIN
            )
        except NotTold:
            return None
        if isinstance(told, Elsewhere):
            self.leader = told.leader
            return None
        self.leader = self.names[to]
        return told if isinstance(told, Order) else None

    async def _is_whole(self) -> bool:
        try:
            return (await query_fleet(f"127.0.0.1:{self.machines.ports[self.index]}", ANSWERS_WITHIN)).leased > 0
        except NotTold:
            return False

    async def _obey(self, order: Order) -> None:
        """An older number, or another life's, is refused; one that came too late was not heard."""
        if order.number <= self.went or order.boot != self.machines.starts(self.index):
            return
        self.went, self.whole = order.number, False
        self.record.add(Left(now_us(), self.name, "out", order.number, order.boot))
        self.record.flush()
        await self.machines.end(self.index)
        await self.machines.start_version(self.index, order.version)


@dataclass(eq=False)
class Operator:
    """Says what is out once the fleet asks, plans the release in its time, sends back what was halted."""

    release: ReleaseOf
    names: list[str]
    ports: list[int]
    start: float
    seen: Status | None = None

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EVERY)
            told = await self._say(StatusAsk())
            if not isinstance(told, Status):
                continue
            self.seen = told
            kept = told.state
            if not kept.known:
                await self._say(Offered(Recover((), "operator")))
            elif RELEASE not in kept.releases:
                if loop.time() >= self.start + self.release.at and len(kept.places) >= len(self.names):
                    waves = [[self.names[index] for index in wave] for wave in self.release.waves]
                    await self._say(Offered(make_plan(RELEASE, self.release.version, "old", waves, "operator")))
            elif kept.releases[RELEASE].state == HALTED:
                why = kept.releases[RELEASE].why
                lost = "lost" in why
                await self._say(Offered(Move(RELEASE, "resume" if lost else "back", why, "operator")))

    async def _say(self, word: MaintenanceMessage) -> Status | Taken | None:
        """To whoever leads: each is asked in turn."""
        for port in self.ports:
            try:
                told = await exchange_maintenance(f"127.0.0.1:{port}", word, ANSWERS_WITHIN)
            except NotTold:
                continue
            if isinstance(told, Status | Taken):
                return told
        return None

    def leave(self, folder: Path) -> None:
        """What was seen of the release last, beside the records."""
        kept = self.seen.state if self.seen else Kept(known=False)
        release = kept.releases.get(RELEASE)
        told: dict[str, Any] = {
            "known": kept.known,
            "out": sorted(kept.out),
            "entries": self.seen.entries if self.seen else 0,
        }
        if release:
            told |= {
                "state": release.state,
                "wave": release.wave,
                "why": release.why,
                "went": release.went,
                "over": release.state in (DONE, GIVEN_UP),
            }
        (folder / "release.json").write_text(json.dumps(told, indent=1))


async def guarded(work: Callable[[], Awaitable[None]]) -> None:
    """An agent whose gateway can't be started goes on asking: the leader sees that it is not whole."""
    while True:
        try:
            return await work()
        except Problem:
            continue
