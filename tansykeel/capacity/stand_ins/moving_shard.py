"""A list of stores and two stores of shard 0, which changes from one to the other when told to."""

from __future__ import annotations

import asyncio
import time

from tansykeel.capacity.stand_ins.commands import commands, say
from tansykeel.capacity.stand_ins.store_list import JUST_STARTED_US, LATER_BOOT, StoreList
from tansykeel.capacity.stand_ins.stores import InstantStore
from tansykeel.protocol.frames import Row
from tansykeel.transport.link import Hub, Limits
from tansykeel.transport.sockets import accept_all, listening


class MovingShard:
    """Shard 0 of a list: the one of two stores that is ready takes its tasks, the other drains."""

    def __init__(self, hub: Hub, count: int) -> None:
        self.list = StoreList(count)
        self.stores = (InstantStore(hub, 0), InstantStore(hub, 0))
        self.ready = 0
        self.list.rows = (self._row(0, "ready"), *self.list.rows[1:])

    def _row(self, which: int, state: str) -> Row:
        address = f"127.0.0.1:{self.stores[which].port}"
        boot = LATER_BOOT + self.list.version
        return Row(f"shard-0-{which}", address, 0, 0, state, boot, JUST_STARTED_US)  # type: ignore[arg-type]

    async def move(self, settle_s: float) -> float:
        """Push the change; seconds from then until the last attempt at the store of before, 0 if none came."""
        before = self.ready
        self.ready = 1 - before
        pushed_at = time.monotonic()
        self.list.push_rows((self._row(before, "draining"), self._row(self.ready, "ready")))
        await asyncio.sleep(settle_s)
        return max(self.stores[before].last_attempt_at - pushed_at, 0.0)


async def serve_moving_shard(count: int) -> None:
    """Such a list of so many stores; each command moves the shard and is answered with the seconds that it took."""
    hub, listener = Hub(Limits()), listening("127.0.0.1:0")
    shard = MovingShard(hub, count)
    accepting = [store.start() for store in shard.stores]
    accepting.append(asyncio.create_task(accept_all(listener, lambda sock: shard.list.accept(hub, sock))))
    say(port=listener.getsockname()[1])
    async for command in commands():
        if command["verb"] == "look":
            say(watchers=len(shard.list.watchers))
        else:
            took_s = await shard.move(command["settle_s"])
            say(took_s=took_s, attempts=[store.outcomes for store in shard.stores])
    for task in accepting:
        task.cancel()
    await hub.stop()
