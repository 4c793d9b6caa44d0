"""Plays a day on loopback sockets: starts gateways, stores, the list and clients as processes, causes the faults in
their time, ends all that it started and nothing else. What the day was is left in a folder, for the audit.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from tansykeel.audit.records import Recorder, now_us
from tansykeel.audit.records import Trouble as TroubleRecord
from tansykeel.rehearse.agents import Agent, Operator, guarded
from tansykeel.rehearse.child_processes import END_WITHIN, PROGRAM, Child, ChildProcesses, RehearsalError
from tansykeel.rehearse.day import LOAD, VERBS
from tansykeel.rehearse.gateway_processes import EDGE, GatewayProcesses
from tansykeel.rehearse.load import CHANCE, stream
from tansykeel.rehearse.socket_stage import SocketStage
from tansykeel.rehearse.store_processes import StoreProcesses
from tansykeel.rehearse.troubles import Steps, steps_of
from tansykeel.settings.day import Day, Trouble

LEAD = 1.0  # seconds between all being ready and the first task
LOOK_EVERY = 0.1  # seconds between looks whether the clients have ended
MOST_CLIENT_LOG = 800  # characters of a client's log in the error that names it


class ScenarioRunner:
    """Plays one day once. `edge` are the words that start a gateway, before its settings and options."""

    def __init__(
        self,
        day: Day,
        seed: int,
        folder: Path,
        progress: Callable[[float], None] = lambda at: None,
        edge: tuple[str, ...] = EDGE,
    ) -> None:
        self.day = day
        self.seed = seed
        self.folder = folder
        self.progress = progress
        self.edge = edge
        self.processes = ChildProcesses(folder)
        self.clients: list[Child] = []
        self.operator: Operator | None = None
        self._tasks: set[asyncio.Future[None]] = set()
        self._tasks_failed: list[BaseException] = []

    async def play(self) -> None:
        """Play the day to its end. Raises RehearsalError; whatever happens, no process is left behind."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for name in ("data", "records"):
            (self.folder / name).mkdir(exist_ok=True)
        self.record = Recorder(self.processes.record_path("conductor"))
        self.stores = StoreProcesses(self.day, self.seed, self.processes)
        self.gateways = GatewayProcesses(self.day, self.seed, self.processes, self.record, self.edge)
        self.stage = SocketStage(self.stores, self.gateways, self.day.fleet.silent_s, stream(self.seed, CHANCE))
        try:
            await self._start()
            await self._run()
        finally:
            for task in self._tasks:
                task.cancel()
            await self.processes.end_all(self.gateways.all_started())
            self.record.close()
            if self.operator:
                self.operator.leave(self.folder)
        if self._tasks_failed:
            raise RehearsalError(f"a trouble could not be caused: {self._tasks_failed[0]!r}")

    # Start

    async def _start(self) -> None:
        day, fleet = self.day, self.day.fleet
        (self.folder / "day.json").write_bytes(msgspec.json.encode(day))
        (self.folder / "shape.json").write_bytes(msgspec.json.encode(fleet.shape))
        await self.stores.start()
        self.gateways.list_port = self.stores.list_port
        if fleet.talk or fleet.agree:
            await self.gateways.open_relay()
        late = fleet.late(day.troubles)
        await asyncio.gather(*(self.gateways.start(index) for index in range(fleet.edges) if index not in late))
        clients = (self._start_client(number) for number in range(day.clients.processes))
        self.clients = list(await asyncio.gather(*clients))

    async def _start_client(self, number: int) -> Child:
        name = f"client-{number}"
        told = {
            "day": msgspec.to_builtins(self.day),
            "seed": self.seed,
            "number": number,
            "count": self.day.clients.processes,
            "record": str(self.processes.record_path(name)),
            "go": str(self.folder / "go"),
            "edges": [(f"edge-{index}", f"127.0.0.1:{port}") for index, port in enumerate(self.gateways.ports)],
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(told))
        child = await self.processes.spawn(name, *PROGRAM, "load", path)
        await self.processes.ready(child)
        return child

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
        longest = max(category.cut_off_ms for category in self.day.categories) / 1000
        end = start + self.day.seconds + longest + END_WITHIN
        while any(client.runs for client in self.clients):
            self.progress(min(loop.time() - start, self.day.seconds))
            if loop.time() > end:
                raise RehearsalError("clients did not end in time")
            await asyncio.sleep(LOOK_EVERY)
        for client in self.clients:
            if code := client.process.returncode:
                log = self.processes.log_tail(client, MOST_CLIENT_LOG)
                raise RehearsalError(f"{client.name} ended with {code}: {log}")

    def _release(self, start: float) -> None:
        """Agents for all gateways' machines, and an operator who plans the release."""
        assert self.day.release is not None
        names = [self.day.gateway.named(number) for number in range(self.day.fleet.edges)]
        self.operator = Operator(self.day.release, names, self.gateways.ports, start)
        agents = [Agent(self.gateways, index, name, self.record, names).run for index, name in enumerate(names)]
        for work in (self.operator.run, *agents):
            self._go(guarded(work))

    def _cause(self, trouble: Trouble) -> None:
        self.record.add(TroubleRecord(now_us(), trouble.verb, trouble.detail | {"for_s": trouble.for_s}))
        for steps in steps_of(self.stage, trouble):
            self._go(self._walk(steps))

    async def _walk(self, steps: Steps) -> None:
        with contextlib.closing(steps):
            for step in steps:
                await (asyncio.sleep(step) if isinstance(step, (int, float)) else step)

    def _go(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._went)

    def _went(self, task: asyncio.Future[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self._tasks_failed.append(error)
