"""All connections of one gateway to stores: their number, their idle times, and the outcomes of attempts."""

from __future__ import annotations

import re
from collections.abc import Callable

from tansykeel.edge.core import Core
from tansykeel.edge.tasks import Attempt
from tansykeel.http1.messages import Answer
from tansykeel.interface import OutcomeKind, Store
from tansykeel.platform.client_connection import Client
from tansykeel.platform.clients import Clients
from tansykeel.platform.event_counts import EventCounts, StoreConnectionEnd
from tansykeel.platform.pool import COOL_DOWN, Pool
from tansykeel.platform.read_queue import ReadQueue
from tansykeel.platform.request_rules import Verdict, Violations, attempt_may_begin, violation_of_attempt

IDLE_FRACTION = (
    0.8  # of the store's own idle timeout; the gateway closes an idle connection then, before the store does
)
STALE_FACTOR = 0.5  # once a connection was found stale, the idle limit is its idle time times this
IDLE_LIMIT_GROWTH = 1.1  # factor by which the idle limit recovers at each periodic check
_NUMBER = re.compile(rb"[0-9]{1,6}(?:\.[0-9]{1,6})?")


def parse_number(value: bytes | None, default: int) -> int:
    """Return the number in a header field of an answer, rounded; the default if it is missing or not valid."""
    return round(float(value)) if value is not None and _NUMBER.fullmatch(value) else default


class Stores:
    """The connection pools of all stores.

    At most `max_connections` are open at once. Answers may take `max_answer_bytes` of memory, counting those that
    clients have not read yet.
    """

    def __init__(
        self,
        core: Core,
        max_connections: int,
        max_answer_bytes: int,
        clients: Clients,
        connect_timeout: float,
        store_idle_timeout: float,
        longest_deadline: float,
        clock: Callable[[], int],
        now: Callable[[], float],
        call_later: Callable[[float, Callable[[], None]], object],
        log: Callable[..., None],
        list_caught_up: Callable[[], bool],
        violations: Violations,
        counts: EventCounts,
    ) -> None:
        """`list_caught_up` tells whether everything that discovery has sent was read."""
        self.list_caught_up, self.violations, self.counts = list_caught_up, violations, counts
        self.core, self.clients = core, clients
        self.max_connections, self.max_answer_bytes = max_connections, max_answer_bytes
        self.connect_timeout, self.store_idle_timeout, self.longest_deadline = (
            connect_timeout,
            store_idle_timeout,
            longest_deadline,
        )
        self.clock, self.now, self.call_later, self.log = clock, now, call_later, log
        self.pools: dict[Store, Pool] = {}
        self.read_queue = ReadQueue(self.call_soon, now)
        self.incomplete_bytes = 0  # memory of answers that are incomplete
        self._waiting_for_room: dict[Pool, None] = {}
        # Seconds for which a connection may be idle and still be reused.
        self.idle_limit = store_idle_timeout * IDLE_FRACTION

    # Calls from the gateway

    def hand_off(self, attempt: Attempt) -> None:
        """Send the attempt to its store."""
        held = attempt.held
        self.counts.attempt_sent(held.id, attempt.number, attempt.store.handle, held.last_outcome)
        if attempt.store not in self.pools:
            self.pools[attempt.store] = Pool(self, attempt.store)
        self.pools[attempt.store].hand_off(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the attempt, whether it was sent or not."""
        if pool := self.pools.get(attempt.store):
            pool.cancel(attempt)

    def withdraw(self, attempt: Attempt) -> bool:
        """Cancel the attempt if its last byte was not written yet; return whether it was cancelled."""
        pool = self.pools.get(attempt.store)
        return pool is not None and pool.withdraw(attempt)

    def list_changed(self, changed: list[Store]) -> None:
        """Apply a change of these stores in the list."""
        for store in changed:
            if pool := self.pools.get(store):
                pool.list_changed()

    def check_timeouts(self) -> None:
        """Close connections that exceed a time limit, and drop pools that hold nothing, so that their number does not
        grow with that of the stores; called several times a second."""
        now = self.now()
        self.idle_limit = min(self.idle_limit * IDLE_LIMIT_GROWTH, self.store_idle_timeout * IDLE_FRACTION)
        for store, pool in list(self.pools.items()):
            pool.check_timeouts(now)
            if pool.is_unused():
                del self.pools[store]

    def free_descriptors(self) -> None:
        """Close idle connections because the process is out of file descriptors."""
        self.clients.close_one_for_descriptor()
        for pool in self.pools.values():
            pool.close_idle(StoreConnectionEnd.ROOM)

    # Calls from pools and connections

    def address(self, store: Store) -> str | None:
        """Return the store's address, or None if it is no longer known."""
        return self.core.addresses.get(store)

    def may_begin(self, attempt: Attempt) -> Verdict:
        """Return whether the attempt may be written now, later or never.

        Everything that its client has sent, end of stream included, has to be read first and, after a stall of the
        process, everything that discovery has sent.
        """
        client: Client = attempt.held.client
        return attempt_may_begin(
            attempt, self.clock(), client_caught_up=client.stream.quiet(), list_caught_up=self.list_caught_up()
        )

    def violates_invariant(self, attempt: Attempt) -> bool:
        """Whether writing the attempt now would break an invariant; if so, the violation is counted."""
        invariant = violation_of_attempt(attempt, self.core.facts.allowed, self.clock())
        if invariant:
            self.violations.report(invariant, id=attempt.held.id, attempt=attempt.number, store=attempt.store.handle)
        return invariant is not None

    def held_bytes(self) -> int:
        """Return the memory that answers take that are incomplete or that clients have not read yet, in bytes."""
        return self.clients.unsent_bytes() + self.incomplete_bytes

    def answers_exceed_memory(self) -> bool:
        """Whether the answers in memory exceed `max_answer_bytes`."""
        return self.held_bytes() > self.max_answer_bytes

    def may_open_connection(self, evict: bool = True) -> bool:
        """Whether another connection may be opened; with `evict`, the one idle for longest is closed to allow it."""
        if sum(len(pool.connections) for pool in self.pools.values()) < self.max_connections:
            return True
        idle = [connection for pool in self.pools.values() for connection in pool.idle]
        if idle and evict:
            min(idle, key=lambda connection: connection.idle_since).close(StoreConnectionEnd.ROOM)
            return True
        return False

    def wait_for_room(self, pool: Pool) -> None:
        """Call the pool's `open` once another connection may be opened."""
        self._waiting_for_room[pool] = None

    def has_waiting(self) -> bool:
        """Whether some pool waits until it may open a connection."""
        return bool(self._waiting_for_room)

    def connection_closed(self) -> None:
        """Let the pool that has waited longest open a connection in place of one that was closed."""
        if self._waiting_for_room:
            self.call_soon(self._open_next)

    def _open_next(self) -> None:
        """Let waiting pools open connections while that is allowed; a pool that no longer needs one opens none."""
        for pool in list(self._waiting_for_room):
            if not self.may_open_connection(evict=False):
                return
            del self._waiting_for_room[pool]
            pool.open()

    def stale_connection_found(self, idle_time: float) -> None:
        """Lower the idle limit after a connection was found dead when it was reused.

        Idle connections can be dropped without notice, and each of them costs its task an attempt.
        """
        self.idle_limit = min(self.idle_limit, max(idle_time * STALE_FACTOR, COOL_DOWN))

    def call_soon(self, call: Callable[[], None]) -> None:
        """Call in the next iteration of the event loop."""
        self.call_later(0, call)

    def record_outcome_later(self, attempt: Attempt, how: OutcomeKind) -> None:
        """Report an outcome in the next iteration of the event loop: the core must not be called while it calls us."""
        self.call_later(0, lambda: self.record_outcome(attempt, how))

    def record_outcome(self, attempt: Attempt, how: OutcomeKind) -> None:
        """Report the outcome of an attempt to the core."""
        self.counts.trace("outcome", id=attempt.held.id, number=attempt.number, how=how.value)
        self.core.record_outcome(self.clock(), attempt, how)

    def malformed_answer_received(self, attempt: Attempt, why: str) -> None:
        """Log an answer that can't be parsed and report an error; the request may have run."""
        self.log("spoilt answer", store=attempt.store.handle, why=why)
        self.record_outcome(attempt, OutcomeKind.ERROR)

    def answer_received(self, attempt: Attempt, answer: Answer) -> None:
        """Report a complete answer to the core."""
        fields = answer.fields
        if answer.status == 200:
            how = OutcomeKind.DELIVERED
        elif answer.status in (503, 504) and fields.get(b"x-turned-away") == b"1":
            how = OutcomeKind.QUEUE_FULL
        else:
            how = OutcomeKind.ERROR
        self.counts.trace("outcome", id=attempt.held.id, number=attempt.number, how=how.value)
        used = parse_number(fields.get(b"x-meter"), -1)
        elsewhere = parse_number(fields.get(b"x-delta"), 0)
        self.core.record_outcome(self.clock(), attempt, how, body=[answer.body], used=used, elsewhere=elsewhere)
