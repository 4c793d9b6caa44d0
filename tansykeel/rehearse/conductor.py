"""Plays a day on loopback sockets: starts edges, stores, the list and clients as processes, causes the troubles in
their time, ends all that it started and nothing else. What the day was is left in a folder, for the audit.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from tansykeel.audit.records import Killed, Recorder, Stood, now_us
from tansykeel.audit.records import Trouble as TroubleRecord
from tansykeel.rehearse.day import ALL, LIST, LOAD, STORES, VERBS, Day, Trouble, settings_of
from tansykeel.rehearse.load import stream
from tansykeel.settings.build import text_of

START_WITHIN = 20.0  # seconds for a process to say that it is ready
END_WITHIN = 15.0  # seconds for a process to end by itself
LEAD = 1.0  # seconds between all being ready and the first task
PROGRAM = (sys.executable, "-m", "tansykeel")
EDGE = (*PROGRAM, "edge")
NOTICE = 0.1  # seconds until the list notices a start
CHANCE = 2 * 10**6  # stream of the conductor's own draws


class RehearsalError(Exception):
    """The day could not be played; nothing is said of the rules."""


@dataclass(eq=False)
class Child:
    """A process that this conductor started."""

    name: str
    process: asyncio.subprocess.Process
    lines: asyncio.Queue[dict[str, Any]] = field(default_factory=asyncio.Queue)
    reading: asyncio.Task[None] | None = None

    def tell(self, **command: Any) -> None:
        if self.process.returncode is None and self.process.stdin:
            self.process.stdin.write(json.dumps(command).encode() + b"\n")


@dataclass(eq=False)
class StoreChild:
    child: Child
    name: str
    index: int
    zone: int
    address: str = ""
    boot: int = 0
    started: float = 0.0  # loop time of a start that was cold
    alive: bool = True


class Conductor:
    """`edge` are the words that start a gateway, before its settings and options."""

    def __init__(self, day: Day, seed: int, folder: Path, progress: Callable[[float], None] = lambda at: None,
                 edge: tuple[str, ...] = EDGE) -> None:
        self.day, self.seed, self.folder, self.progress, self.edge = day, seed, folder, progress, edge
        self.children: list[Child] = []
        self.stores: list[StoreChild] = []  # by index: who holds the shard now
        self.edges: list[Child] = []
        self.ports: list[int] = []
        self.draw = stream(seed, CHANCE)
        self.tasks: set[asyncio.Future[None]] = set()
        self.tasks_failed: list[BaseException] = []

    async def play(self) -> None:
        """Play the day to its end. Raises RehearsalError; whatever happens, no process is left behind."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for name in ("data", "records"):
            (self.folder / name).mkdir(exist_ok=True)
        self.record = Recorder(self.folder / "records" / "conductor.rec")
        try:
            await self._start()
            await self._run()
        finally:
            for task in self.tasks:
                task.cancel()
            await self._end_all()
            self.record.close()
        if self.tasks_failed:
            raise RehearsalError(f"a trouble could not be caused: {self.tasks_failed[0]!r}")

    # Start

    async def _start(self) -> None:
        day, fleet = self.day, self.day.fleet
        (self.folder / "day.json").write_bytes(msgspec.json.encode(day))
        (self.folder / "shape.json").write_bytes(msgspec.json.encode(fleet.shape))
        self.list = await self._spawn("list", *PROGRAM, "list-service", "--record", self._rec("list"),
                                      "--late", fleet.list_late_s, "--call-ms", fleet.list_call_ms)
        self.list_port = (await self._ready(self.list))["port"]
        self.stores = list(await asyncio.gather(*(
            self._store(f"store-{index}", index, cold=False) for index in range(fleet.stores))))
        self._list(*self.stores)
        self.ports = [0] * fleet.edges
        self.edges = list(await asyncio.gather(*(self._edge(index) for index in range(fleet.edges))))
        count = day.clients.processes
        self.clients = list(await asyncio.gather(*(self._client(number, count) for number in range(count))))

    async def _spawn(self, name: str, *arguments: object) -> Child:
        log = (self.folder / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            *map(str, arguments), stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, stderr=log)
        log.close()
        child = Child(name, process)
        child.reading = asyncio.create_task(self._read(child))
        self.children.append(child)
        return child

    async def _read(self, child: Child) -> None:
        assert child.process.stdout
        while line := await child.process.stdout.readline():
            if line.startswith(b"{"):
                child.lines.put_nowait(json.loads(line))
        child.lines.put_nowait({})  # it has ended

    async def _ready(self, child: Child) -> dict[str, Any]:
        try:
            async with asyncio.timeout(START_WITHIN):
                if told := await child.lines.get():
                    return told
                why = "ended before it was ready"
        except TimeoutError:
            why = f"did not start within {START_WITHIN:g} s"
        log = (self.folder / f"{child.name}.log").read_text()[-600:]
        raise RehearsalError(f"{child.name} {why}: {log}")

    async def _store(self, name: str, index: int, cold: bool) -> StoreChild:
        child = await self._spawn(
            name, *PROGRAM, "store", "--name", name, "--shard", index, "--zone", self._zone(index), "--data",
            self.folder / "data", "--record", self._rec(name), "--seed", self.seed, "--shape",
            self.folder / "shape.json", *(["--cold"] if cold else []))
        up = await self._ready(child)
        now = asyncio.get_running_loop().time()
        return StoreChild(child, name, index, self._zone(index), up["address"], up["boot"], now if cold else 0.0)

    async def _edge(self, index: int) -> Child:
        script = self.folder / f"edge-{index}.star"
        script.write_text(text_of(settings_of(self.day, f"127.0.0.1:{self.list_port}",
                                              f"127.0.0.1:{self.ports[index]}")))
        child = await self._spawn(f"edge-{index}", *self.edge, script, "--number", index,
                                  "--count", self.day.fleet.edges, "--seed", self.seed * 1000 + index,
                                  "--leashed")
        self.ports[index] = (await self._ready(child))["port"]
        return child

    async def _client(self, number: int, count: int) -> Child:
        name = f"client-{number}"
        told = {"day": msgspec.to_builtins(self.day), "seed": self.seed, "number": number, "count": count,
                "record": self._rec(name), "go": str(self.folder / "go"),
                "edges": [(f"edge-{i}", f"127.0.0.1:{port}") for i, port in enumerate(self.ports)]}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(told))
        child = await self._spawn(name, *PROGRAM, "load", path)
        await self._ready(child)
        return child

    def _rec(self, name: str) -> str:
        return str(self.folder / "records" / f"{name}.rec")

    def _zone(self, index: int) -> int:
        return index * self.day.fleet.zones // self.day.fleet.stores

    # The day

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time() + LEAD
        going = self.folder / "go.part"
        going.write_text(str(now_us() + int(LEAD * 1e6)))
        going.rename(self.folder / "go")
        for trouble in self.day.troubles:
            if VERBS[trouble.verb][0] is not LOAD:
                loop.call_at(start + trouble.at, self._cause, trouble)
        longest = max(c.cut_off_ms for c in self.day.categories) / 1000
        end = start + self.day.seconds + longest + END_WITHIN
        while any(client.process.returncode is None for client in self.clients):
            self.progress(min(loop.time() - start, self.day.seconds))
            if loop.time() > end:
                raise RehearsalError("clients did not end in time")
            await asyncio.sleep(0.1)
        for client in self.clients:
            if client.process.returncode:
                log = (self.folder / f"{client.name}.log").read_text()[-800:]
                raise RehearsalError(f"{client.name} ended with {client.process.returncode}: {log}")

    def _cause(self, trouble: Trouble) -> None:
        self.record.add(TroubleRecord(now_us(), trouble.verb, trouble.detail | {"for_s": trouble.for_s}))
        whom = VERBS[trouble.verb][0]
        if whom is LIST:
            verb = {"list_late": "late", "list_gone": "gone"}[trouble.verb]
            self.list.tell(verb=verb, for_s=trouble.for_s, **trouble.detail)
            return
        for index in self._struck(trouble):
            method = getattr(self, f"_{trouble.verb}", None)
            if method is not None:
                self._go(method(index, trouble))
            elif whom is STORES:
                self.stores[index].child.tell(**self._command(trouble))

    def _struck(self, trouble: Trouble) -> list[int]:
        told = trouble.detail[VERBS[trouble.verb][0]]
        return list(told) if isinstance(told, (list, tuple)) else [told]

    @staticmethod
    def _command(trouble: Trouble) -> dict[str, Any]:
        """The store's own verb for a trouble that lasts."""
        detail = {name: value for name, value in trouble.detail.items() if name not in ALL}
        names = {"slow": ("slow", "factor"), "fast_errors": ("errors", "share"), "neighbour": ("neighbour", "share"),
                 "heavy_tail": ("heavy", "factor"), "report_late": ("late", "")}
        verb, figure = names.get(trouble.verb, (trouble.verb, ""))
        how_much = {"how_much": detail.pop(figure)} if figure else {}
        return {"verb": verb, "for_s": trouble.for_s, **how_much, **detail}

    def _go(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._went)

    def _went(self, task: asyncio.Future[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.tasks_failed.append(error)

    # Troubles of stores

    async def _drain(self, index: int, trouble: Trouble) -> None:
        store = self.stores[index]
        store.child.tell(verb="drain")
        self._list(store, state="draining")
        if trouble.detail["die_after_s"]:
            await asyncio.sleep(trouble.detail["die_after_s"])
            await self._death(store)

    async def _die(self, index: int, trouble: Trouble) -> None:
        await self._death(self.stores[index])

    async def _death(self, store: StoreChild) -> None:
        store.alive = False
        store.child.tell(verb="die")
        await asyncio.sleep(self.day.fleet.silent_s)
        self._list(store, state="gone")

    async def _restart(self, index: int, trouble: Trouble) -> None:
        store = self.stores[index]
        await asyncio.sleep(trouble.detail["within_s"] * self.draw.random())
        store.child.tell(verb="restart", down_s=trouble.detail["down_s"])
        up = await self._ready(store.child)
        store.boot, store.started = up["boot"], asyncio.get_running_loop().time()
        await asyncio.sleep(NOTICE)
        self._list(store)

    _mass_restart = _restart

    async def _replace(self, index: int, trouble: Trouble) -> None:
        """A new machine under a new id holds the same shard."""
        old = self.stores[index]
        if old.alive:
            await self._death(old)
        await asyncio.sleep(trouble.detail["after_s"])
        name = f"store-{index}-{sum(c.name.startswith(f'store-{index}') for c in self.children)}"
        self.stores[index] = await self._store(name, index, cold=True)
        self._list(self.stores[index])

    async def _preempt(self, index: int, trouble: Trouble) -> None:
        """Told to go, gone after the notice, back on a new machine: wave after wave over the stores struck."""
        struck, waves = self._struck(trouble), max(int(trouble.detail["waves"]), 1)
        await asyncio.sleep(trouble.for_s * (struck.index(index) * waves // len(struck)) / waves)
        self.stores[index].child.tell(verb="drain")
        self._list(self.stores[index], state="draining")
        await asyncio.sleep(trouble.detail["notice_s"])
        await self._replace(index, trouble)

    def _list(self, *stores: StoreChild, state: str = "ready") -> None:
        now = asyncio.get_running_loop().time()
        self.list.tell(verb="rows", rows=[
            {"name": s.name, "address": s.address, "zone": s.zone, "shard": s.index, "state": state, "boot": s.boot,
             "age": int((now - s.started) * 1e6) if s.started else 0} for s in stores])

    # Troubles of edges

    async def _stall(self, index: int, trouble: Trouble) -> None:
        """The process stands still again and again, then finds all that came meanwhile."""
        loop = asyncio.get_running_loop()
        end = loop.time() + trouble.for_s
        while loop.time() < end:
            edge = self.edges[index]
            if edge.process.returncode is not None:
                return
            at = now_us()
            os.kill(edge.process.pid, signal.SIGSTOP)
            try:
                await asyncio.sleep(trouble.detail["stall_ms"] / 1000)
            finally:
                os.kill(edge.process.pid, signal.SIGCONT)
                self.record.add(Stood(at, f"edge-{index}", now_us()))
            await asyncio.sleep(trouble.detail["every_s"] * (0.5 + self.draw.random()))

    async def _kill_edge(self, index: int, trouble: Trouble) -> None:
        edge = self.edges[index]
        self.record.add(Killed(now_us(), f"edge-{index}"))
        self.record.flush()
        edge.process.kill()
        await edge.process.wait()
        if trouble.detail["back_s"]:
            await asyncio.sleep(trouble.detail["back_s"])
            self.edges[index] = await self._edge(index)

    # The end

    async def _end_all(self) -> None:
        edges = [child for child in self.children if child.name.startswith("edge")]
        for edge in edges:
            if edge.process.returncode is None:
                edge.process.terminate()
        await self._wait(edges)
        others = [child for child in self.children if child not in edges]
        for child in others:
            if child.process.stdin and child.process.returncode is None:
                child.process.stdin.close()  # a stand-in ends with its input, clients have ended
        await self._wait(others)
        for child in self.children:
            if child.process.returncode is None:
                child.process.kill()
                await child.process.wait()
            if child.reading:
                child.reading.cancel()

    async def _wait(self, children: list[Child]) -> None:
        for child in children:
            try:
                async with asyncio.timeout(END_WITHIN):
                    await child.process.wait()
            except TimeoutError:
                child.process.kill()
