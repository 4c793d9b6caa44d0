"""All connections to one store, kept warm, and the attempts that wait for one of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tansykeel.edge.tasks import Attempt
from tansykeel.interface import How, State, Store
from tansykeel.platform.connection import ConnectionGateway, StoreConnection
from tansykeel.platform.event_counts import EventCounts, StoreConnectionEnd
from tansykeel.platform.request_rules import Verdict
from tansykeel.transport.sockets import OUT_OF_FILES, PRESSURE_REST, lacks_descriptor

COOL_DOWN = 0.005  # seconds after an answer in which a second one would still come, of a store not known to send any
MOST_COOL_DOWN = 0.25  # seconds, of a store that has answered twice
LATENESS_MARGIN = 2.0  # times the lateness of a second answer for which its store's connections cool down
COOL_DOWN_SHRINK = 0.9  # by which that time shrinks again at each check, from the most to the least in ten seconds
CONNECTS_PER_ATTEMPT = 2  # connections tried for an attempt before it counts as not connected
CLIENT_READ_DELAY = 0.001  # seconds in which the loop has read what a client has sent, its end too
ABANDONED_FOR = 30.0  # seconds after the longest deadline at which an answer that nobody waits for is let go


class PoolGateway(ConnectionGateway, Protocol):
    """What a pool asks of its gateway's part for stores, and reports to it."""

    connect_within: float  # seconds
    longest_deadline: float  # seconds, the longest deadline
    idle_limit: float  # seconds for which a connection may idle and still be used
    counts: EventCounts

    def clock(self) -> int:
        """Return the time of the core's clock."""

    def call_soon(self, call: Callable[[], None]) -> None:
        """Call in the loop's next turn."""

    def log(self, event: str, **fields: object) -> None:
        """Write a line of the log."""

    def address(self, store: Store) -> str | None:
        """Return the store's address, None where it is no longer known."""

    def may_begin(self, attempt: Attempt) -> Verdict:
        """Whether the attempt may be written now."""

    def violates_invariant(self, attempt: Attempt) -> bool:
        """Whether writing the attempt now would break an invariant; it is counted then."""

    def may_open_connection(self, evict: bool = True) -> bool:
        """Whether another connection may be opened; `evict`: also by closing one that idles."""

    def wait_for_room(self, pool: Pool) -> None:
        """Call the pool's `open` once another connection may be opened."""

    def has_waiting(self) -> bool:
        """Whether some pool waits for room."""

    def connection_closed(self) -> None:
        """A connection was closed."""

    def free_descriptors(self) -> None:
        """No descriptor is left."""

    def record_outcome_later(self, attempt: Attempt, how: How) -> None:
        """Tell the core in the loop's next turn what became of an attempt."""


@dataclass(eq=False, slots=True)
class WaitingAttempt:
    """An attempt of which nothing was sent, with the store's start as it was known when it came."""

    attempt: Attempt
    store_started: int
    failed_connects: int = 0


class Pool:
    """All connections to one store. Attempts that wait for one have not been sent."""

    def __init__(self, gateway: PoolGateway, store: Store) -> None:
        self.gateway, self.store = gateway, store
        self.connections: dict[StoreConnection, None] = {}
        self.idle: list[StoreConnection] = []  # the one used last at the end
        self.waiting: deque[WaitingAttempt] = deque()
        self.cool_down = COOL_DOWN  # seconds after an answer in which its connection carries no other request
        self._serve_is_due = False

    # What the gateway wants

    def hand_off(self, attempt: Attempt) -> None:
        """Send the attempt once a connection is there for it."""
        self.waiting.append(WaitingAttempt(attempt, self.store.started))
        self.serve_waiting()

    def withdraw(self, attempt: Attempt) -> bool:
        """Take the attempt back if it has not begun: it waits here, or its last byte was not written. Return whether
        it was taken back."""
        connection = attempt.connection
        if self._remove_waiting(attempt):
            self.gateway.record_outcome_later(attempt, How.CANCELLED)
            return True
        if isinstance(connection, StoreConnection) and not connection.has_written(attempt):
            self._abandon(connection, attempt)
            return True
        return False

    def cancel(self, attempt: Attempt) -> None:
        """Take the attempt back, or give its answer up, which ends its connection."""
        connection = attempt.connection
        if self.withdraw(attempt) or not isinstance(connection, StoreConnection):
            return
        if connection.attempt is attempt:
            self._abandon(connection, attempt)

    def _abandon(self, connection: StoreConnection, attempt: Attempt) -> None:
        connection.attempt = None
        connection.close(StoreConnectionEnd.GIVEN_UP)
        self.gateway.record_outcome_later(attempt, How.CANCELLED)

    def list_changed(self) -> None:
        """Guards against what was granted before a drain or a new start was heard of: it is decided anew."""
        restarted = any(waiting.store_started != self.store.started for waiting in self.waiting)
        if self.store.state is not State.READY or restarted:
            obsolete, self.waiting = self.waiting, deque()
            for waiting in obsolete:
                self.gateway.record_outcome(waiting.attempt, How.MOOT)
        address = self.gateway.address(self.store)
        moved = any(connection.address != address for connection in self.connections)
        if self.store.state is State.GONE or moved:
            self.close_idle(StoreConnectionEnd.MOVED)

    def check_timeouts(self, now: float) -> None:
        """Close connections that did not come up, idle too long, or owe an answer that nobody waits for."""
        self.cool_down = max(self.cool_down * COOL_DOWN_SHRINK, COOL_DOWN)
        for connection in [one for one in self.connections if not one.is_up and now >= one.connect_deadline]:
            connection.close(StoreConnectionEnd.NOT_UP)
            self.connect_failed(retry=False)
        for connection in [one for one in self.idle if now - one.idle_since >= self.gateway.idle_limit]:
            connection.close(StoreConnectionEnd.IDLE)
        # Guards against answers that trickle without an end to tasks that have theirs.
        oldest = now - self.gateway.longest_deadline - ABANDONED_FOR
        abandoned = [one for one in self.connections if one.attempt and one.attempt.finished and one.sent_at < oldest]
        for connection in abandoned:
            connection.close(StoreConnectionEnd.ABANDONED)

    def close_idle(self, reason: StoreConnectionEnd) -> None:
        """Close the connections that carry no request."""
        for connection in list(self.idle):
            connection.close(reason)

    def open(self) -> None:
        """Open another connection if more attempts wait than connections are coming up, and if there is room."""
        coming_up = sum(not connection.is_up for connection in self.connections)
        if coming_up >= len(self.waiting) or self.gateway.address(self.store) is None:
            return
        if self.gateway.may_open_connection():
            self._connect()
        else:
            self.gateway.wait_for_room(self)

    def _connect(self) -> None:
        address = self.gateway.address(self.store)
        assert address is not None
        try:
            connection = StoreConnection(self, self.gateway, address, self.gateway.connect_within)
        except (OSError, ValueError) as error:
            self._open_failed(error)
        else:
            self.connections[connection] = None

    def _open_failed(self, error: OSError | ValueError) -> None:
        self.gateway.log("no connection", store=self.store.handle, why=str(error))
        if isinstance(error, OSError) and error.errno in OUT_OF_FILES:
            # Guards against a store that counts as out of reach because we lack a descriptor.
            if lacks_descriptor(error):
                self.gateway.free_descriptors()
            self.gateway.call_later(PRESSURE_REST, self.open)
        else:
            # What fails on this machine for a moment (no free port, no route) says little of the store.
            self.gateway.call_soon(lambda: self.connect_failed(retry=True))

    def serve_waiting(self) -> None:
        """Give connections that have cooled down to the attempts that wait; open one where that is too few."""
        while attempt := self._next_attempt():
            if connection := self._take_idle():
                self._send(connection, attempt)
            elif self.idle and not self.gateway.may_open_connection(evict=False):
                # No other may be opened, and this one only has to cool down.
                return self._serve_after(self.cool_down)
            else:
                return self.open()

    # What connections report

    def connected(self, connection: StoreConnection) -> None:
        """A connection came up: for the attempt that waits longest."""
        if connection.address != self.gateway.address(self.store):
            # Guards against a request at an address that its store has left while the connection came up.
            connection.close(StoreConnectionEnd.MOVED)
        elif attempt := self._next_attempt():
            self._send(connection, attempt)
        else:
            connection.idle_since = (
                self.gateway.now() - MOST_COOL_DOWN
            )  # nothing was asked on it: nothing more can come
            self.idle.append(connection)

    def connect_failed(self, retry: bool) -> None:
        """A connection did not come up: the attempt that waits longest failed, or waits for one more connection.

        Guards against a store that turns single connections away: it is not out of reach.
        """
        while self.waiting:
            waiting = self.waiting.popleft()
            if waiting.attempt.finished:
                continue
            waiting.failed_connects += 1
            if retry and waiting.failed_connects < CONNECTS_PER_ATTEMPT:
                self.waiting.appendleft(waiting)
            else:
                self.gateway.record_outcome(waiting.attempt, How.NO_CONNECTION)
            break
        if self.waiting:
            self.open()

    def released(self, connection: StoreConnection) -> None:
        """An answer has come: the connection is for who waits here, else for who can't open one elsewhere."""
        connection.idle_since = self.gateway.now()
        self.idle.append(connection)
        if self.waiting:
            self._serve_after(self.cool_down)
        elif self.gateway.has_waiting():
            connection.close(StoreConnectionEnd.ROOM)

    def answered_twice(self, lateness: float) -> None:
        """Guards against a later second answer of this store that comes once its connection was taken again."""
        self.gateway.log("second answer", store=self.store.handle, late_ms=round(lateness * 1000, 1))
        self.cool_down = min(max(self.cool_down, lateness * LATENESS_MARGIN), MOST_COOL_DOWN)

    def closed(self, connection: StoreConnection, reason: StoreConnectionEnd) -> None:
        """A connection was closed: another may be opened."""
        owed = connection.attempt.held.id if connection.attempt else None
        self.gateway.counts.store_connection_ended(reason, self.store.handle, owed)
        self.connections.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiting:
            self.gateway.call_soon(self.open)
        self.gateway.connection_closed()

    # Within

    def _send(self, connection: StoreConnection, attempt: Attempt) -> None:
        self._remove_waiting(attempt)
        if self.gateway.violates_invariant(attempt):
            connection.idle_since = self.gateway.now() - MOST_COOL_DOWN
            self.idle.append(connection)
            self.gateway.record_outcome_later(attempt, How.MOOT)
        else:
            connection.send(attempt, self.gateway.clock())

    def _serve_after(self, seconds: float) -> None:
        if not self._serve_is_due:
            self._serve_is_due = True
            self.gateway.call_later(seconds, self._serve_due)

    def _serve_due(self) -> None:
        self._serve_is_due = False
        self.serve_waiting()

    def _take_idle(self) -> StoreConnection | None:
        """Return the connection used last among those that have cooled down and on which nothing has come."""
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
            # Otherwise the loop is about to read what came, and closes it.
        return None

    def _next_attempt(self) -> Attempt | None:
        """Return the attempt that has waited longest and may begin now.

        One whose client has said more is looked at again once that was read. Guards against an attempt for a client
        whose end has come and is not read yet, or to a store whose drain is not, on a busy loop or after a stall.
        """
        while self.waiting and self.waiting[0].attempt.finished:
            self.waiting.popleft()
        attempts = (waiting.attempt for waiting in self.waiting)
        chosen = next((attempt for attempt in attempts if self.gateway.may_begin(attempt) is Verdict.NOW), None)
        if self.waiting and chosen is not self.waiting[0].attempt:
            self._serve_after(CLIENT_READ_DELAY)
        return chosen

    def _remove_waiting(self, attempt: Attempt) -> bool:
        """Remove the attempt from those that wait; return whether it was there."""
        found = next((waiting for waiting in self.waiting if waiting.attempt is attempt), None)
        if found:
            self.waiting.remove(found)
        return found is not None
