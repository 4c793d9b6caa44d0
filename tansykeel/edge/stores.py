"""Connections to stores: opened when they are needed, kept open for reuse, and closed when they are idle for long.

Nothing is sent before the store's hello, so a connection that fails until then proves that nothing ran. When a
connection is lost later, each open attempt on it ends with the outcome RESET.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from tansykeel.edge.core import Core
from tansykeel.edge.native import hand_off_frame
from tansykeel.edge.tasks import Attempt
from tansykeel.interface import OutcomeKind, Store
from tansykeel.protocol.codec import Codec, Event, Frame, Piece
from tansykeel.protocol.frames import Cancel, Hello, OutcomeOf
from tansykeel.settings.records import Gateway
from tansykeel.transport.link import Hub, Link
from tansykeel.transport.pieces import add_piece
from tansykeel.transport.sockets import connect

OUTCOMES = {
    how.value: how
    for how in (
        OutcomeKind.DELIVERED,
        OutcomeKind.ERROR,
        OutcomeKind.QUEUE_FULL,
        OutcomeKind.NOT_EXECUTED,
        OutcomeKind.CANCELLED,
    )
}  # by frame field


class Connection:
    """One connection to a store. It is `ready` once the store's hello came."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.link: Link | None = None
        self.ready = False
        self.attempts: dict[int, Attempt] = {}  # open ones, by stream
        # Delivered, the body is still coming; None in its place where the task has its answer already.
        self.partial_answers: dict[int, tuple[OutcomeOf, list[bytes] | None]] = {}
        self.last_stream = 0
        self.idle_since = 0.0


class Pool:
    """All connections of this gateway to one store, and the attempts that wait for one of them."""

    def __init__(self, stores: Stores, store: Store) -> None:
        self.stores, self.store = stores, store
        self.connections: list[Connection] = []
        self.waiting: deque[Attempt] = deque()

    def hand_off(self, attempt: Attempt) -> None:
        """Send an attempt on the ready connection with the fewest open attempts. If there is none or it is full, open
        another one where that is allowed, and let the attempt wait."""
        connection = min((c for c in self.connections if c.ready), key=lambda c: len(c.attempts), default=None)
        bounds = self.stores.gateway
        if connection is None or len(connection.attempts) >= bounds.streams_per_connection:
            opening = sum(not c.ready for c in self.connections)
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
        """Take back an attempt that was not sent yet. Returns False for one that was."""
        if attempt not in self.waiting:
            return False
        self.waiting.remove(attempt)
        self.stores.report_outcome_later(attempt, OutcomeKind.CANCELLED)
        return True

    def cancel(self, attempt: Attempt) -> None:
        """Take back an attempt, or tell the store to cancel it if it was sent."""
        if not self.withdraw(attempt) and isinstance(attempt.connection, tuple):
            connection, stream = attempt.connection
            if connection.link and stream in connection.attempts:
                connection.link.drop_body(stream)
                connection.link.send(stream, Cancel())

    def close_idle(self, before: float) -> None:
        """Close the connections that have been idle since `before` or longer."""
        for connection in list(self.connections):
            if connection.ready and not connection.attempts and connection.idle_since <= before and connection.link:
                connection.link.close()

    def _open(self) -> None:
        connection = Connection(self)
        self.connections.append(connection)
        self.stores.spawn(self._connect(connection))

    async def _connect(self, connection: Connection) -> None:
        timeout = self.stores.gateway.connect_timeout_ms / 1000
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            sock = await connect(self.stores.core.addresses[self.store], timeout)
        except (OSError, ValueError):
            return self._on_failed(connection)
        connection.link = Link(
            self.stores.hub,
            sock,
            Codec("store"),
            self.stores.hello,
            self._event_handler(connection),
            lambda link, why: self._on_lost(connection),
        )
        await asyncio.sleep(max(timeout - (loop.time() - started), 0))
        if not connection.ready and not connection.link.lost:  # the store accepted and then sent nothing
            connection.link.abort("no hello in time")

    def _on_failed(self, connection: Connection) -> None:
        """A connection ended before the store's hello."""
        if connection in self.connections:
            self.connections.remove(connection)
        if not self.connections:
            while self.waiting:
                self.stores.report_outcome(self.waiting.popleft(), OutcomeKind.NO_CONNECTION)

    def _on_lost(self, connection: Connection) -> None:
        attempts, was_ready = list(connection.attempts.values()), connection.ready
        connection.attempts.clear()
        connection.partial_answers.clear()
        if not was_ready:
            return self._on_failed(connection)
        self.connections.remove(connection)
        for attempt in attempts:
            self.stores.report_outcome(attempt, OutcomeKind.RESET)
        if self.waiting and not self.connections:
            self._open()

    def _send_waiting(self, connection: Connection) -> None:
        """Send waiting attempts while the connection has room for them."""
        while self.waiting and len(connection.attempts) < self.stores.gateway.streams_per_connection:
            attempt = self.waiting.popleft()
            if not attempt.finished:
                self._send(connection, attempt)

    def _send(self, connection: Connection, attempt: Attempt) -> None:
        """Send an attempt, unless the time in which it may be sent is over: then the module decides again."""
        assert connection.link is not None
        if self.stores.clock() >= attempt.send_by:
            return self.stores.report_outcome_later(attempt, OutcomeKind.NOT_EXECUTED)
        connection.last_stream += 1
        connection.attempts[connection.last_stream] = attempt
        attempt.connection = connection, connection.last_stream
        request = hand_off_frame(attempt, self.stores.clock())
        connection.link.send(connection.last_stream, request)
        if request.body:
            connection.link.send_body(connection.last_stream, attempt.held.body)

    def _event_handler(self, connection: Connection) -> Callable[[Link, Event], None]:
        def on_event(link: Link, event: Event) -> None:
            if isinstance(event, Piece):
                if event.stream in connection.partial_answers:
                    outcome, parts = connection.partial_answers[event.stream]
                    if parts is not None:
                        add_piece(parts, event.data)
                    if event.last:
                        del connection.partial_answers[event.stream]
                        self._finish(connection, event.stream, outcome, parts or [])
                return
            if isinstance(event.record, Hello):
                return self._on_hello(connection, event.record)
            self._on_frame(connection, link, event)

        return on_event

    def _on_hello(self, connection: Connection, hello: Hello) -> None:
        connection.ready, connection.idle_since = True, asyncio.get_running_loop().time()
        if self.stores.core.store_connected(self.stores.clock(), self.store, hello.boot, hello.age):
            # The store has restarted, and these attempts were granted without knowing it. Sent together with those of
            # other gateways they would overload it, so the module decides about them again.
            unsent, self.waiting = list(self.waiting), deque()
            for attempt in unsent:
                self.stores.report_outcome(attempt, OutcomeKind.NOT_EXECUTED)
        self._send_waiting(connection)

    def _on_frame(self, connection: Connection, link: Link, event: Frame) -> None:
        outcome = event.record
        attempt = connection.attempts.get(event.stream)
        if not isinstance(outcome, OutcomeOf) or attempt is None:
            return  # an outcome after its attempt ended, or an error frame before the connection's end
        request = attempt.held.request
        if not outcome.body:
            self._finish(connection, event.stream, outcome, [])
        elif request is None:
            connection.partial_answers[event.stream] = outcome, None
        elif outcome.body > request.size:
            link.abort(f"{outcome.body} bytes in the answer to a task of size {request.size}")
        else:
            connection.partial_answers[event.stream] = outcome, []

    def _finish(self, connection: Connection, stream: int, outcome: OutcomeOf, parts: list[bytes]) -> None:
        """Report a complete outcome to the core and send waiting attempts."""
        attempt = connection.attempts.pop(stream, None)
        if not connection.attempts:
            connection.idle_since = asyncio.get_running_loop().time()
        if attempt:
            self.stores.core.record_outcome(
                self.stores.clock(),
                attempt,
                OUTCOMES[outcome.how],
                shard=outcome.shard,
                body=parts,
                report=outcome.report,
                used=outcome.used,
                elsewhere=outcome.elsewhere,
            )
        if self.waiting and connection.ready and connection.link and not connection.link.lost:
            self._send_waiting(connection)


class Stores:
    """The connection pools of all stores."""

    def __init__(self, core: Core, hub: Hub, gateway: Gateway, hello: Hello, clock: Callable[[], int]) -> None:
        self.core, self.hub, self.gateway, self.hello, self.clock = core, hub, gateway, hello, clock
        self.pools: dict[Store, Pool] = {}
        self.tasks: set[asyncio.Task[None]] = set()  # running; the loop itself keeps no strong references to tasks

    def hand_off(self, attempt: Attempt) -> None:
        """Send an attempt to its store, on a connection that is opened if necessary."""
        store = attempt.store
        if store not in self.pools:
            self.pools[store] = Pool(self, store)
        self.pools[store].hand_off(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Take back an attempt, or tell its store to cancel it if it was sent."""
        self.pools[attempt.store].cancel(attempt)

    def withdraw(self, attempt: Attempt) -> bool:
        """Take back an attempt if it was not sent yet; return whether it was taken back."""
        return self.pools[attempt.store].withdraw(attempt)

    def close_idle(self, now: float) -> None:
        """Close the connections that have been idle for longer than the settings allow."""
        for pool in self.pools.values():
            pool.close_idle(now - self.gateway.idle_close_s)

    def free_descriptors(self) -> None:
        """Close all idle connections; called when the process is out of file descriptors."""
        for pool in self.pools.values():
            pool.close_idle(float("inf"))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def report_outcome_later(self, attempt: Attempt, how: OutcomeKind) -> None:
        """Report an outcome in the loop's next turn: the core may not be called back while it calls."""
        asyncio.get_running_loop().call_soon(self.report_outcome, attempt, how)

    def report_outcome(self, attempt: Attempt, how: OutcomeKind) -> None:
        """Report an attempt's outcome to the core."""
        self.core.record_outcome(self.clock(), attempt, how)
