"""What faults can do to the processes of a scenario on sockets."""

from __future__ import annotations

import asyncio
from typing import Any

from numpy.random import Generator

from tansykeel.rehearse.gateway_processes import GatewayProcesses
from tansykeel.rehearse.store_processes import StoreChild, StoreProcesses


class SocketStage:
    """The stage (`troubles.Stage`) of a scenario on sockets; `draw` is all chance in its faults."""

    def __init__(self, stores: StoreProcesses, gateways: GatewayProcesses, silent_s: float, draw: Generator) -> None:
        self.stores = stores
        self.gateways = gateways
        self.silent_s = silent_s
        self.draw = draw

    def now(self) -> float:
        """Return the running loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def chance(self) -> float:
        """Return the next draw, at least 0 and under 1."""
        return float(self.draw.random())

    def store(self, index: int) -> StoreChild:
        """Return who holds the shard now."""
        return self.stores.stores[index]

    def alive(self, store: StoreChild) -> bool:
        """Return whether a store was not killed."""
        return store.alive

    def store_verb(self, store: StoreChild, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        """Have a store misbehave."""
        store.child.tell(verb=verb, for_s=for_s, **detail)

    def kill_store(self, store: StoreChild) -> None:
        """End a store at once."""
        self.stores.kill(store)

    async def restart_store(self, store: StoreChild, down_s: float) -> None:
        """Restart a store and wait until it is back."""
        await self.stores.restart(store, down_s)

    async def new_store(self, index: int) -> None:
        """Start another store for a shard."""
        await self.stores.replace(index)

    def list_store(self, store: StoreChild, state: str) -> None:
        """List a store in another state."""
        self.stores.list_store(store, state)

    def list_verb(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        """Have the list service misbehave."""
        self.stores.tell_list_service(verb, for_s, detail)

    def link_verb(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        """Have a fault strike connections between gateways."""
        self.gateways.tell_relay(verb, for_s, detail)

    def stop_edge(self, index: int) -> bool:
        """Have a gateway's process stand still; False where it can't be done."""
        return self.gateways.stop(index)

    def let_edge_go_on(self, index: int) -> None:
        """Have a gateway that stands still go on."""
        self.gateways.resume(index)

    async def kill_edge(self, index: int) -> None:
        """Kill a gateway and wait until it is gone."""
        await self.gateways.kill(index)

    async def start_edge(self, index: int) -> None:
        """Start a gateway unless it runs."""
        await self.gateways.start(index)

    async def end_edge(self, index: int) -> None:
        """Tell a gateway to end and wait until it has."""
        await self.gateways.end(index)
