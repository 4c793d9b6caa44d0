"""Plays a day on loopback sockets: starts edges, stores, the list and clients as processes, causes the troubles in
their time, ends all that it started and nothing else. What the day was is left in a folder, for the audit.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from tansykeel.audit.records import Killed, Recorder, Stood, now_us
from tansykeel.audit.records import Trouble as TroubleRecord
from tansykeel.errors import NOT_PLAYED, Problem
from tansykeel.rehearse.agents import Agent, Operator, guarded
from tansykeel.rehearse.children import Child, StoreChild
from tansykeel.rehearse.day import LOAD, VERBS
from tansykeel.rehearse.load import CHANCE, stream
from tansykeel.rehearse.troubles import Steps, steps_of
from tansykeel.settings.build import text_of
from tansykeel.settings.day import Day, Trouble, settings_of
from tansykeel.transport.sockets import listening

START_WITHIN = 20.0  # seconds for a process to say that it is ready
END_WITHIN = 15.0  # seconds for a process to end by itself
PORTS = (18_000, 32_000)  # for gateways whose ports are chosen before they start
LEAD = 1.0  # seconds between all being ready and the first task
PROGRAM = (sys.executable, "-m", "tansykeel")
EDGE = (*PROGRAM, "edge")
# Versions of a rehearsed release, beside the one that the day begins with: one worse, one that ends as it starts.
VERSIONS = {"at-once": (*EDGE, "--send-at-once"), "crashes": (sys.executable, "-c", "raise SystemExit(3)")}


class RehearsalError(Problem):
    """A day could not be played to its end."""

    advice = "read the log that is named; play the day again with nothing else on the machine"
    code = NOT_PLAYED


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on now, under those that connections are given by the machine: guards against one that
    is taken by a connection before its gateway, killed meanwhile, is back."""
    ports: list[int] = []
    first = PORTS[0] + os.getpid() * count % (PORTS[1] - PORTS[0])
    for port in [*range(first, PORTS[1]), *range(PORTS[0], first)]:
        try:
            listening(f"127.0.0.1:{port}").close()
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RehearsalError(f"no {count} free ports from {PORTS[0]} to {PORTS[1]}")


class Conductor:
    """`edge` are the words that start a gateway, before its settings and options."""

    def __init__(self, day: Day, seed: int, folder: Path, progress: Callable[[float], None] = lambda at: None,
                 edge: tuple[str, ...] = EDGE) -> None:
        self.day, self.seed, self.folder, self.progress, self.edge = day, seed, folder, progress, edge
        self.children: list[Child] = []
        self.stores: list[StoreChild] = []  # by index: who holds the shard now
        self.edges: dict[int, Child] = {}
        self.ports: list[int] = []
        self.draw = stream(seed, CHANCE)
        self.silent_s = day.fleet.silent_s
        self.stopped: dict[int, tuple[int, Child]] = {}
        self.starting: set[int] = set()
        self.relay: Child | None = None
        self.between: dict[str, int] = {}  # the relay's port for each pair, as from-to
        self.tasks: set[asyncio.Future[None]] = set()
        self.tasks_failed: list[BaseException] = []
        self.versions: dict[int, str] = {}
        self.operator: Operator | None = None

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
            if self.operator:
                self.operator.leave(self.folder)
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
        if fleet.talk or fleet.agree:
            self.ports = free_ports(fleet.edges)
            await self._relay()
        there = [index for index in range(fleet.edges) if index not in fleet.late(day.troubles)]
        self.edges = dict(zip(there, await asyncio.gather(*map(self._edge, there)), strict=True))
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
        zone = self.day.fleet.zone_of(index)
        child = await self._spawn(
            name, *PROGRAM, "store", "--name", name, "--shard", index, "--zone", zone, "--data",
            self.folder / "data", "--record", self._rec(name), "--seed", self.seed, "--shape",
            self.folder / "shape.json", *(["--cold"] if cold else []))
        up = await self._ready(child)
        now = asyncio.get_running_loop().time()
        return StoreChild(child, name, index, zone, up["address"], up["boot"], now if cold else 0.0)

    async def _relay(self) -> None:
        """Started before the gateways, whose ports are chosen by then; each finds the others at the relay's ports."""
        fleet, path = self.day.fleet, self.folder / "relay.json"
        names = [self.day.gateway.named(n) for n in range(fleet.edges)]
        path.write_text(json.dumps({"targets": [f"127.0.0.1:{port}" for port in self.ports], "names": names,
                                    "zones": fleet.edge_zones(), "seed": self.seed}))
        self.relay = await self._spawn("relay", *PROGRAM, "relay", path, "--record", self._rec("relay"))
        self.between = (await self._ready(self.relay))["ports"]

    def _peers(self, index: int) -> tuple[str, ...]:
        others = range(self.day.fleet.edges) if self.relay else ()
        return tuple(f"127.0.0.1:{self.ports[n] if n == index else self.between[f'{index}-{n}']}" for n in others)

    def starts(self, index: int) -> int:
        return sum(child.name == f"edge-{index}" for child in self.children)

    def runs(self, index: int) -> bool:
        return (edge := self.edges.get(index)) is not None and edge.process.returncode is None

    async def start_version(self, index: int, version: str) -> None:
        self.versions[index] = version or "old"
        await self.start_edge(index)

    def _release(self, start: float) -> None:
        """Agents for all gateways' machines, and an operator who plans the release."""
        assert self.day.release is not None
        names = [self.day.gateway.named(n) for n in range(self.day.fleet.edges)]
        self.operator = Operator(self.day.release, names, self.ports, start)
        agents = [Agent(self, index, name, self.record, names).run for index, name in enumerate(names)]
        for work in (self.operator.run, *agents):
            self._go(guarded(work))

    async def _edge(self, index: int) -> Child:
        script = self.folder / f"edge-{index}.star"
        script.write_text(text_of(settings_of(self.day, f"127.0.0.1:{self.list_port}",
                                              f"127.0.0.1:{self.ports[index]}", self._peers(index))))
        starts = self.starts(index)
        words = VERSIONS.get(self.versions.get(index, "old"), self.edge)
        record = ("--record", self._rec(f"edge-{index}-{starts}")) if self.day.fleet.agree else ()
        child = await self._spawn(f"edge-{index}", *words, script, "--number", index,
                                  "--count", self.day.fleet.edges, "--seed", self.seed * 1000 + index,
                                  "--leashed", *record)
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
        if self.day.release:
            self._release(start)
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
        for steps in steps_of(self, trouble):
            self._go(self._walk(steps))

    async def _walk(self, steps: Steps) -> None:
        with contextlib.closing(steps):
            for step in steps:
                await (asyncio.sleep(step) if isinstance(step, (int, float)) else step)

    def _go(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._went)

    def _went(self, task: asyncio.Future[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.tasks_failed.append(error)

    # Stage: what troubles can do

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def chance(self) -> float:
        return float(self.draw.random())

    def store(self, index: int) -> StoreChild:
        return self.stores[index]

    def alive(self, store: StoreChild) -> bool:
        return store.alive

    def store_verb(self, store: StoreChild, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        store.child.tell(verb=verb, for_s=for_s, **detail)

    def kill_store(self, store: StoreChild) -> None:
        store.alive = False
        store.child.tell(verb="die")

    async def restart_store(self, store: StoreChild, down_s: float) -> None:
        store.child.tell(verb="restart", down_s=down_s)
        up = await self._ready(store.child)
        store.boot, store.started = up["boot"], self.now()

    async def new_store(self, index: int) -> None:
        name = f"store-{index}-{sum(c.name.startswith(f'store-{index}') for c in self.children)}"
        self.stores[index] = await self._store(name, index, cold=True)

    def list_store(self, store: StoreChild, state: str) -> None:
        self._list(store, state=state)

    def list_verb(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        self.list.tell(verb=verb, for_s=for_s, **detail)

    def _list(self, *stores: StoreChild, state: str = "ready") -> None:
        now = self.now()
        self.list.tell(verb="rows", rows=[
            {"name": s.name, "address": s.address, "zone": s.zone, "shard": s.index, "state": state, "boot": s.boot,
             "age": int((now - s.started) * 1e6) if s.started else 0} for s in stores])

    def link_verb(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        if self.relay:
            self.relay.tell(verb=verb, for_s=for_s, detail=detail)

    def stop_edge(self, index: int) -> bool:
        edge = self.edges.get(index)
        if edge is None or edge.process.returncode is not None or index in self.stopped:
            return False
        self.stopped[index] = now_us(), edge
        os.kill(edge.process.pid, signal.SIGSTOP)
        return True

    def let_edge_go_on(self, index: int) -> None:
        at, edge = self.stopped.pop(index)
        if edge.process.returncode is None:
            os.kill(edge.process.pid, signal.SIGCONT)
        self.record.add(Stood(at, f"edge-{index}", now_us()))

    async def kill_edge(self, index: int) -> None:
        edge = self.edges.get(index)
        if edge is None or edge.process.returncode is not None:
            return
        self.record.add(Killed(now_us(), f"edge-{index}"))
        self.record.flush()
        edge.process.kill()
        await edge.process.wait()

    async def start_edge(self, index: int) -> None:
        gone = index not in self.edges or self.edges[index].process.returncode is not None
        if gone and index not in self.starting:  # guards against two troubles that start it at once
            self.starting.add(index)
            try:
                self.edges[index] = await self._edge(index)
            finally:
                self.starting.discard(index)

    async def end_edge(self, index: int) -> None:
        """Tell it to end and wait until it has; one that stands still goes on later, and ends then."""
        edge = self.edges.get(index)
        if edge is None or edge.process.returncode is not None:
            return
        edge.process.terminate()
        await self._wait([edge])

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
