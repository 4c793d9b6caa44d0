"""Connections to stores: opened as they are needed, kept warm, closed when they idle.

Nothing is sent before the store's hello: until then a connection that fails proves that nothing ran. A connection
that is lost later tells every hand-off on it as RESET.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from tansykeel.edge.core import Core
from tansykeel.edge.native import hand_off_of
from tansykeel.edge.tasks import Attempt
from tansykeel.interface import OutcomeKind, Store
from tansykeel.protocol.codec import Codec, Event, Frame, Piece
from tansykeel.protocol.frames import Cancel, Hello, OutcomeOf
from tansykeel.settings.records import Gateway
from tansykeel.transport.link import Hub, Link
from tansykeel.transport.sockets import connect

HOWS = {
    how.value: how
    for how in (
        OutcomeKind.DELIVERED,
        OutcomeKind.ERROR,
        OutcomeKind.QUEUE_FULL,
        OutcomeKind.NOT_EXECUTED,
        OutcomeKind.CANCELLED,
    )
}


class Connection:
    """One connection to a store; `ready` once its hello came."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.link: Link | None = None
        self.ready = False
        self.out: dict[int, Attempt] = {}
        self.answers: dict[int, tuple[OutcomeOf, list[bytes]]] = {}  # delivered, the body still coming
        self.count = 0
        self.idle_since = 0.0


class Pool:
    """All connections of this gateway to one store."""

    def __init__(self, stores: Stores, store: Store) -> None:
        self.stores, self.store = stores, store
        self.connections: list[Connection] = []
        self.waiting: deque[Attempt] = deque()

    def hand_off(self, attempt: Attempt) -> None:
        connection = min((s for s in self.connections if s.ready), key=lambda s: len(s.out), default=None)
        bounds = self.stores.gateway
        if connection is None or len(connection.out) >= bounds.streams_per_connection:
            opening = sum(not s.ready for s in self.connections)
            if (
                opening * bounds.streams_per_connection <= len(self.waiting)
                and len(self.connections) < bounds.connections_per_store
            ):
                self._open()
            if connection is None or opening:
                self.waiting.append(attempt)
                return
        self._send(connection, attempt)

    def withdraw(self, attempt: Attempt) -> bool:
        """Take it back if it was never sent."""
        if attempt not in self.waiting:
            return False
        self.waiting.remove(attempt)
        self.stores.later(attempt, OutcomeKind.CANCELLED)
        return True

    def cancel(self, attempt: Attempt) -> None:
        if not self.withdraw(attempt) and isinstance(attempt.connection, tuple):
            connection, stream = attempt.connection
            if connection.link and stream in connection.out:
                connection.link.drop_body(stream)
                connection.link.send(stream, Cancel())

    def close_idle(self, before: float) -> None:
        """Close connections with nothing out since `before`."""
        for connection in list(self.connections):
            if connection.ready and not connection.out and connection.idle_since <= before and connection.link:
                connection.link.close()

    def _open(self) -> None:
        connection = Connection(self)
        self.connections.append(connection)
        self.stores.spawn(self._connect(connection))

    async def _connect(self, connection: Connection) -> None:
        timeout = self.stores.gateway.connect_timeout_ms / 1000
        loop = asyncio.get_running_loop()
        begun = loop.time()
        try:
            sock = await connect(self.stores.core.addresses[self.store], timeout)
        except (OSError, ValueError):
            return self._failed(connection)
        connection.link = Link(
            self.stores.hub,
            sock,
            Codec("store"),
            self.stores.hello,
            self._on_event(connection),
            lambda link, why: self._lost(connection),
        )
        await asyncio.sleep(max(timeout - (loop.time() - begun), 0))
        if not connection.ready and not connection.link.lost:  # accepts, and says nothing
            connection.link.abort("no hello in time")

    def _failed(self, connection: Connection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
        if not self.connections:
            while self.waiting:
                self.stores.core_outcome(self.waiting.popleft(), OutcomeKind.NO_CONNECTION)

    def _lost(self, connection: Connection) -> None:
        out, was_ready = list(connection.out.values()), connection.ready
        connection.out.clear()
        connection.answers.clear()
        if not was_ready:
            return self._failed(connection)
        self.connections.remove(connection)
        for attempt in out:
            self.stores.core_outcome(attempt, OutcomeKind.RESET)
        if self.waiting and not self.connections:
            self._open()

    def _send(self, connection: Connection, attempt: Attempt) -> None:
        assert connection.link is not None
        connection.count += 1
        connection.out[connection.count] = attempt
        attempt.connection = connection, connection.count
        request = hand_off_of(attempt, self.stores.clock())
        connection.link.send(connection.count, request)
        if request.body:
            connection.link.send_body(connection.count, attempt.held.body)

    def _on_event(self, connection: Connection) -> Callable[[Link, Event], None]:
        def on_event(link: Link, event: Event) -> None:
            if isinstance(event, Piece):
                if event.stream in connection.answers:
                    outcome, parts = connection.answers[event.stream]
                    parts.append(event.data)
                    if event.last:
                        del connection.answers[event.stream]
                        self._done(connection, event.stream, outcome, parts)
                return
            if isinstance(event.record, Hello):
                return self._ready(connection, event.record)
            self._frame(connection, link, event)

        return on_event

    def _ready(self, connection: Connection, hello: Hello) -> None:
        connection.ready, connection.idle_since = True, asyncio.get_running_loop().time()
        if self.stores.core.met(self.stores.clock(), self.store, hello.boot, hello.age):
            # Guards against all that many gateways granted to a store whose restart they had not heard of: sent
            # together it would push it over. It was not sent, and the module decides anew.
            unsent, self.waiting = list(self.waiting), deque()
            for attempt in unsent:
                self.stores.core_outcome(attempt, OutcomeKind.NOT_EXECUTED)
        while self.waiting and len(connection.out) < self.stores.gateway.streams_per_connection:
            attempt = self.waiting.popleft()
            if not attempt.over:
                self._send(connection, attempt)

    def _frame(self, connection: Connection, link: Link, event: Frame) -> None:
        outcome = event.record
        attempt = connection.out.get(event.stream)
        if not isinstance(outcome, OutcomeOf) or attempt is None:
            return  # an outcome that came after its time-out, or an error frame before the end
        if outcome.body > attempt.held.request.size:
            link.abort(f"{outcome.body} bytes for a task of {attempt.held.request.size}")
        elif outcome.body:
            connection.answers[event.stream] = outcome, []
        else:
            self._done(connection, event.stream, outcome, [])

    def _done(self, connection: Connection, stream: int, outcome: OutcomeOf, parts: list[bytes]) -> None:
        attempt = connection.out.pop(stream, None)
        if not connection.out:
            connection.idle_since = asyncio.get_running_loop().time()
        if attempt:
            self.stores.core.outcome(
                self.stores.clock(),
                attempt,
                HOWS[outcome.how],
                shard=outcome.shard,
                body=parts,
                report=outcome.report,
                used=outcome.used,
                elsewhere=outcome.elsewhere,
            )
        if self.waiting and connection.ready and connection.link and not connection.link.lost:
            waiting = self.waiting.popleft()
            if not waiting.over:
                self._send(connection, waiting)


class Stores:
    def __init__(self, core: Core, hub: Hub, gateway: Gateway, hello: Hello, clock: Callable[[], int]) -> None:
        self.core, self.hub, self.gateway, self.hello, self.clock = core, hub, gateway, hello, clock
        self.pools: dict[Store, Pool] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def hand_off(self, attempt: Attempt) -> None:
        store = attempt.store
        if store not in self.pools:
            self.pools[store] = Pool(self, store)
        self.pools[store].hand_off(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.pools[attempt.store].cancel(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        self.pools[attempt.store].withdraw(attempt)

    def sweep(self, now: float) -> None:
        for pool in self.pools.values():
            pool.close_idle(now - self.gateway.idle_close_s)

    def pressure(self) -> None:
        """No descriptor is left: what idles goes."""
        for pool in self.pools.values():
            pool.close_idle(float("inf"))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def later(self, attempt: Attempt, how: OutcomeKind) -> None:
        """Tell the core of an outcome once it has returned."""
        asyncio.get_running_loop().call_soon(self.core_outcome, attempt, how)

    def core_outcome(self, attempt: Attempt, how: OutcomeKind) -> None:
        self.core.outcome(self.clock(), attempt, how)
