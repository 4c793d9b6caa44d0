"""The connection pool of one store: its keep-alive connections and the attempts that wait for one."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tansykeel.edge.tasks import Attempt
from tansykeel.interface import OutcomeKind, Store, StoreState
from tansykeel.platform.connection import ConnectionGateway, StoreConnection
from tansykeel.platform.event_counts import EventCounts, StoreConnectionEnd
from tansykeel.platform.request_rules import Verdict
from tansykeel.transport.sockets import OUT_OF_FILES, PRESSURE_REST, lacks_descriptor

# Seconds after an answer in which its connection is not reused, so that a second answer to the same request is not read
# as the answer to the next one. This value is for a store that is not known to send second answers.
COOL_DOWN = 0.005
MAX_COOL_DOWN = 0.25  # seconds; limit for a store that has sent second answers
LATENESS_FACTOR = 2.0  # the cool-down is the delay of a second answer times this
COOL_DOWN_DECAY = 0.9  # factor per periodic check: from MAX_COOL_DOWN back to COOL_DOWN within ten seconds
CONNECTS_PER_ATTEMPT = 2  # failed connects after which an attempt ends with NO_CONNECTION; a timeout ends it at once
CLIENT_READ_DELAY = 0.001  # seconds after which the event loop has read what a client has sent, end of stream included
ABANDON_AFTER = 30.0  # seconds beyond the longest deadline after which an answer that nobody needs is abandoned


class PoolGateway(ConnectionGateway, Protocol):
    """What a pool needs from `Stores`, and the events that it reports to it."""

    connect_timeout: float  # seconds
    longest_deadline: float  # seconds, the longest deadline of all task categories
    idle_limit: float  # seconds for which a connection may be idle and still be reused
    counts: EventCounts

    def clock(self) -> int:
        """Return the time of the core's clock, in ticks."""

    def call_soon(self, call: Callable[[], None]) -> None:
        """Call in the next iteration of the event loop."""

    def log(self, event: str, **fields: object) -> None:
        """Write a log line."""

    def address(self, store: Store) -> str | None:
        """Return the store's address, or None if it is no longer known."""

    def may_begin(self, attempt: Attempt) -> Verdict:
        """Return whether the attempt may be written now, later or never."""

    def violates_invariant(self, attempt: Attempt) -> bool:
        """Whether writing the attempt now would break an invariant; if so, the violation is counted."""

    def may_open_connection(self, evict: bool = True) -> bool:
        """Whether another connection may be opened; with `evict`, an idle one may be closed to allow it."""

    def wait_for_room(self, pool: Pool) -> None:
        """Call the pool's `open` once another connection may be opened."""

    def has_waiting(self) -> bool:
        """Whether some pool waits until it may open a connection."""

    def connection_closed(self) -> None:
        """Handle that a connection was closed."""

    def free_descriptors(self) -> None:
        """Close idle connections because the process is out of file descriptors."""

    def record_outcome_later(self, attempt: Attempt, how: OutcomeKind) -> None:
        """Report the outcome of an attempt to the core in the next iteration of the event loop."""


@dataclass(eq=False, slots=True)
class WaitingAttempt:
    """An attempt that waits for a connection, with the start of its store as it was known when the wait began."""

    attempt: Attempt
    store_started: int
    failed_connects: int = 0


class Pool:
    """All connections to one store, and the attempts that wait for one; of these nothing has been sent."""

    def __init__(self, gateway: PoolGateway, store: Store) -> None:
        self.gateway, self.store = gateway, store
        self.connections: dict[StoreConnection, None] = {}
        self.idle: list[StoreConnection] = []  # the most recently used one last
        self.waiting: deque[WaitingAttempt] = deque()
        self.cool_down = COOL_DOWN  # seconds after an answer in which its connection is not reused
        self._serve_scheduled = False

    # Calls from the gateway

    def hand_off(self, attempt: Attempt) -> None:
        """Send the attempt as soon as a connection is available."""
        self.waiting.append(WaitingAttempt(attempt, self.store.started))
        self.serve_waiting()

    def withdraw(self, attempt: Attempt) -> bool:
        """Cancel the attempt if the store can't have begun it: it still waits, or its last byte was not written. Return
        whether it was cancelled."""
        connection = attempt.connection
        if self._remove_waiting(attempt):
            self.gateway.record_outcome_later(attempt, OutcomeKind.CANCELLED)
            return True
        if isinstance(connection, StoreConnection) and not connection.has_written(attempt):
            self._cancel_sent(connection, attempt)
            return True
        return False

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the attempt. If it was sent, this closes its connection."""
        connection = attempt.connection
        if self.withdraw(attempt) or not isinstance(connection, StoreConnection):
            return
        if connection.attempt is attempt:
            self._cancel_sent(connection, attempt)

    def _cancel_sent(self, connection: StoreConnection, attempt: Attempt) -> None:
        """Cancel an attempt that was passed to a connection, by closing that connection."""
        connection.attempt = None
        connection.close(StoreConnectionEnd.GIVEN_UP)
        self.gateway.record_outcome_later(attempt, OutcomeKind.CANCELLED)

    def list_changed(self) -> None:
        """Apply a change to the list of stores.

        If the store is no longer ready or has restarted, the waiting attempts are returned as moot so that the core
        decides on them again: they were granted before that was known.
        """
        restarted = any(waiting.store_started != self.store.started for waiting in self.waiting)
        if self.store.state is not StoreState.READY or restarted:
            moot, self.waiting = self.waiting, deque()
            for waiting in moot:
                self.gateway.record_outcome(waiting.attempt, OutcomeKind.NOT_EXECUTED)
        address = self.gateway.address(self.store)
        moved = any(connection.address != address for connection in self.connections)
        if self.store.state is StoreState.GONE or moved:
            self.close_idle(StoreConnectionEnd.MOVED)

    def check_timeouts(self, now: float) -> None:
        """Close connections that failed to connect in time, were idle for too long, or wait for an answer that nobody
        needs. The cool-down decays by one step."""
        self.cool_down = max(self.cool_down * COOL_DOWN_DECAY, COOL_DOWN)
        for connection in [one for one in self.connections if not one.is_up and now >= one.connect_deadline]:
            connection.close(StoreConnectionEnd.NOT_UP)
            self.connect_failed(retry=False)
        for connection in [one for one in self.idle if now - one.idle_since >= self.gateway.idle_limit]:
            connection.close(StoreConnectionEnd.IDLE)
        # A slow, endless answer to a task that already has its own must not hold a connection forever.
        oldest = now - self.gateway.longest_deadline - ABANDON_AFTER
        abandoned = [one for one in self.connections if one.attempt and one.attempt.finished and one.sent_at < oldest]
        for connection in abandoned:
            connection.close(StoreConnectionEnd.ABANDONED)

    def is_unused(self) -> bool:
        """Whether it holds nothing that a new pool would lack. One of a store that sends second answers is kept until
        its cool-down has decayed, unless the store is gone."""
        has_default_cool_down = self.cool_down <= COOL_DOWN or self.store.state is StoreState.GONE
        return has_default_cool_down and not (self.connections or self.waiting)

    def close_idle(self, reason: StoreConnectionEnd) -> None:
        """Close all idle connections."""
        for connection in list(self.idle):
            connection.close(reason)

    def open(self) -> None:
        """Open another connection if more attempts wait than connections are being established, or wait until it may be
        opened."""
        connecting = sum(not connection.is_up for connection in self.connections)
        if connecting >= len(self.waiting) or self.gateway.address(self.store) is None:
            return
        if self.gateway.may_open_connection():
            self._connect()
        else:
            self.gateway.wait_for_room(self)

    def _connect(self) -> None:
        address = self.gateway.address(self.store)
        assert address is not None
        try:
            connection = StoreConnection(self, self.gateway, address, self.gateway.connect_timeout)
        except (OSError, ValueError) as error:
            self._open_failed(error)
        else:
            self.connections[connection] = None

    def _open_failed(self, error: OSError | ValueError) -> None:
        self.gateway.log("no connection", store=self.store.handle, why=str(error))
        if isinstance(error, OSError) and error.errno in OUT_OF_FILES:
            # A lack of descriptors is no failure of the store: retry later and leave the attempts waiting.
            if lacks_descriptor(error):
                self.gateway.free_descriptors()
            self.gateway.call_later(PRESSURE_REST, self.open)
        else:
            # A temporary local failure (no free port, no route) says little about the store: try another connect.
            self.gateway.call_soon(lambda: self.connect_failed(retry=True))

    def serve_waiting(self) -> None:
        """Assign cooled-down idle connections to waiting attempts; open another connection if none is left."""
        while attempt := self._next_attempt():
            if connection := self._take_idle():
                self._send(connection, attempt)
            elif self.idle and not self.gateway.may_open_connection(evict=False):
                # No other connection may be opened: wait until an idle one has cooled down.
                return self._serve_after(self.cool_down)
            else:
                return self.open()

    # Calls from connections

    def connected(self, connection: StoreConnection) -> None:
        """Use a connection that was established for the attempt that has waited longest."""
        if connection.address != self.gateway.address(self.store):
            # The store's address changed while the connection was being established.
            connection.close(StoreConnectionEnd.MOVED)
        elif attempt := self._next_attempt():
            self._send(connection, attempt)
        else:
            # No request was sent on it, so no answer can be pending: it needs no cool-down.
            connection.idle_since = self.gateway.now() - MAX_COOL_DOWN
            self.idle.append(connection)

    def connect_failed(self, retry: bool) -> None:
        """Handle a failed connect: the attempt that has waited longest ends with NO_CONNECTION or, with `retry`, waits
        for one more connection.

        A second connect is tried because a store that refuses single connections is not unreachable.
        """
        while self.waiting:
            waiting = self.waiting.popleft()
            if waiting.attempt.finished:
                continue
            waiting.failed_connects += 1
            if retry and waiting.failed_connects < CONNECTS_PER_ATTEMPT:
                self.waiting.appendleft(waiting)
            else:
                self.gateway.record_outcome(waiting.attempt, OutcomeKind.NO_CONNECTION)
            break
        if self.waiting:
            self.open()

    def released(self, connection: StoreConnection) -> None:
        """Take back a connection whose answer is complete: it serves the attempts that wait here. If none does but
        another pool waits until it may open a connection, it is closed."""
        connection.idle_since = self.gateway.now()
        self.idle.append(connection)
        if self.waiting:
            self._serve_after(self.cool_down)
        elif self.gateway.has_waiting():
            connection.close(StoreConnectionEnd.ROOM)

    def answered_twice(self, lateness: float) -> None:
        """Lengthen the cool-down after unexpected bytes, which are taken for a second answer to the previous request.

        The next second answer of this store must not arrive after its connection was reused.
        """
        self.gateway.log("second answer", store=self.store.handle, late_ms=round(lateness * 1000, 1))
        self.cool_down = min(max(self.cool_down, lateness * LATENESS_FACTOR), MAX_COOL_DOWN)

    def closed(self, connection: StoreConnection, reason: StoreConnectionEnd) -> None:
        """Forget a closed connection; another one may be opened in its place."""
        request_id = connection.attempt.held.id if connection.attempt else None
        self.gateway.counts.store_connection_ended(reason, self.store.handle, request_id)
        self.connections.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiting:
            self.gateway.call_soon(self.open)
        self.gateway.connection_closed()

    # Internal

    def _send(self, connection: StoreConnection, attempt: Attempt) -> None:
        """Send the attempt, unless that would break an invariant: then it is moot and the connection stays idle."""
        self._remove_waiting(attempt)
        if self.gateway.violates_invariant(attempt):
            connection.idle_since = self.gateway.now() - MAX_COOL_DOWN
            self.idle.append(connection)
            self.gateway.record_outcome_later(attempt, OutcomeKind.NOT_EXECUTED)
        else:
            connection.send(attempt, self.gateway.clock())

    def _serve_after(self, seconds: float) -> None:
        """Call `serve_waiting` after a delay; one such call is pending at most."""
        if not self._serve_scheduled:
            self._serve_scheduled = True
            self.gateway.call_later(seconds, self._run_scheduled_serve)

    def _run_scheduled_serve(self) -> None:
        self._serve_scheduled = False
        self.serve_waiting()

    def _take_idle(self) -> StoreConnection | None:
        """Remove and return the most recently used idle connection that has cooled down and has no unread input.

        Connections that have been idle for too long are closed.
        """
        now = self.gateway.now()
        for connection in reversed(list(self.idle)):
            idle_time = now - connection.idle_since
            if idle_time < self.cool_down:
                continue
            if idle_time > self.gateway.idle_limit:
                connection.close(StoreConnectionEnd.IDLE)
            elif connection.stream.quiet():
                self.idle.remove(connection)
                return connection
            # Otherwise the event loop is about to read the unexpected input, which closes the connection.
        return None

    def _next_attempt(self) -> Attempt | None:
        """Return the attempt that has waited longest of those that may begin now.

        If an older one may not begin yet, it is checked again after CLIENT_READ_DELAY. On a busy event loop or after a
        stall, a client's end of stream or a store's drain may have arrived but not been read yet, and no attempt may
        begin before that.
        """
        while self.waiting and self.waiting[0].attempt.finished:
            self.waiting.popleft()
        attempts = (waiting.attempt for waiting in self.waiting)
        chosen = next((attempt for attempt in attempts if self.gateway.may_begin(attempt) is Verdict.NOW), None)
        if self.waiting and chosen is not self.waiting[0].attempt:
            self._serve_after(CLIENT_READ_DELAY)
        return chosen

    def _remove_waiting(self, attempt: Attempt) -> bool:
        """Remove the attempt from the waiting ones; return whether it was among them."""
        found = next((waiting for waiting in self.waiting if waiting.attempt is attempt), None)
        if found:
            self.waiting.remove(found)
        return found is not None
