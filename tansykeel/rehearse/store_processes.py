"""The simulated stores of a scenario on sockets, and the list service that tells gateways of them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from tansykeel.rehearse.child_processes import PROGRAM, Child, ChildProcesses
from tansykeel.settings.day import Day


@dataclass(eq=False)
class StoreChild:
    """A store's process, and what the list service says of it."""

    child: Child
    name: str
    index: int
    zone: int
    address: str
    boot: int
    started: float  # 0 for one that has run for long
    alive: bool = True


class StoreProcesses:
    """Stores by index: who holds the shard now."""

    def __init__(self, day: Day, seed: int, processes: ChildProcesses) -> None:
        self.day = day
        self.seed = seed
        self.processes = processes
        self.stores: list[StoreChild] = []
        self.list_port = 0
        self._list_service: Child | None = None

    async def start(self) -> None:
        """Start the list service and all stores, and list them. Raises RehearsalError."""
        fleet = self.day.fleet
        self._list_service = await self.processes.spawn(
            "list",
            *PROGRAM,
            "list-service",
            "--record",
            self.processes.record_path("list"),
            "--late",
            fleet.list_late_s,
            "--call-ms",
            fleet.list_call_ms,
        )
        self.list_port = (await self.processes.ready(self._list_service))["port"]
        starting = (self._start_store(f"store-{index}", index, cold=False) for index in range(fleet.stores))
        self.stores = list(await asyncio.gather(*starting))
        self._list(self.stores, "ready")

    def tell_list_service(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        """Have the list service misbehave."""
        self._tell_list_service(verb=verb, for_s=for_s, **detail)

    def list_store(self, store: StoreChild, state: str) -> None:
        """List a store in another state."""
        self._list([store], state)

    def kill(self, store: StoreChild) -> None:
        """End a store at once."""
        store.alive = False
        store.child.tell(verb="die")

    async def restart(self, store: StoreChild, down_s: float) -> None:
        """Restart a store and wait until it is back. Raises RehearsalError."""
        store.child.tell(verb="restart", down_s=down_s)
        up = await self.processes.ready(store.child)
        store.boot = up["boot"]
        store.started = asyncio.get_running_loop().time()

    async def replace(self, index: int) -> None:
        """Start another store for a shard. Raises RehearsalError."""
        before = sum(child.name.startswith(f"store-{index}") for child in self.processes.children)
        self.stores[index] = await self._start_store(f"store-{index}-{before}", index, cold=True)

    async def _start_store(self, name: str, index: int, cold: bool) -> StoreChild:
        zone = self.day.fleet.zone_of(index)
        child = await self.processes.spawn(
            name,
            *PROGRAM,
            "store",
            "--name",
            name,
            "--shard",
            index,
            "--zone",
            zone,
            "--data",
            self.processes.folder / "data",
            "--record",
            self.processes.record_path(name),
            "--seed",
            self.seed,
            "--shape",
            self.processes.folder / "shape.json",
            *(["--cold"] if cold else []),
        )
        up = await self.processes.ready(child)
        started = asyncio.get_running_loop().time() if cold else 0.0
        return StoreChild(child, name, index, zone, up["address"], up["boot"], started)

    def _list(self, stores: list[StoreChild], state: str) -> None:
        now = asyncio.get_running_loop().time()
        rows = [
            {
                "name": store.name,
                "address": store.address,
                "zone": store.zone,
                "shard": store.index,
                "state": state,
                "boot": store.boot,
                "age": int((now - store.started) * 1e6) if store.started else 0,
            }
            for store in stores
        ]
        self._tell_list_service(verb="rows", rows=rows)

    def _tell_list_service(self, **command: Any) -> None:
        assert self._list_service is not None
        self._list_service.tell(**command)
