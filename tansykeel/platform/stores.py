"""All connections of one gateway to stores: how many there may be, how long they idle, what becomes of attempts."""

from __future__ import annotations

import re
from collections.abc import Callable

from tansykeel.edge.core import Core
from tansykeel.edge.tasks import Attempt
from tansykeel.http1 import codec
from tansykeel.interface import How, State, Store
from tansykeel.platform.clients import Client, Clients
from tansykeel.platform.event_counts import EventCounts, StoreConnectionEnd
from tansykeel.platform.pool import COOL_DOWN, Pool
from tansykeel.platform.request_rules import Verdict, Violations, attempt_may_begin, violation_of_attempt

IDLE_PART = 0.8  # of a store's own limit, after which a connection that idles is closed here
STALE_SHRINK = 0.5  # an idle connection is trusted for this times the age of one that was found dead
TRUST_GROWTH = 1.1  # by which that time grows again at each check
_FIGURE = re.compile(rb"[0-9]{1,6}(?:\.[0-9]{1,6})?")


def parse_figure(value: bytes | None, default: int) -> int:
    """Return a figure that an answer tells, rounded; the default where there is none or it can't be read."""
    return round(float(value)) if value is not None and _FIGURE.fullmatch(value) else default


class Stores:
    """All connections to stores, `most` at once; answers hold `most_bytes`, those not taken by clients too."""

    def __init__(
        self,
        core: Core,
        most: int,
        most_bytes: int,
        clients: Clients,
        connect_within: float,
        idle_close: float,
        longest: float,
        clock: Callable[[], int],
        now: Callable[[], float],
        after: Callable[[float, Callable[[], None]], object],
        note: Callable[..., None],
        list_caught_up: Callable[[], bool],
        violations: Violations,
        counts: EventCounts,
    ) -> None:
        """`list_caught_up`: whether all that discovery has said was read."""
        self.list_caught_up, self.violations, self.counts = list_caught_up, violations, counts
        self.core, self.clients = core, clients
        self.most, self.most_bytes = most, most_bytes
        self.connect_within, self.idle_close, self.longest = connect_within, idle_close, longest
        self.clock, self.now, self.after, self.note = clock, now, after, note
        self.pools: dict[Store, Pool] = {}
        self._waiting_for_room: dict[Pool, None] = {}
        self.trusted = idle_close * IDLE_PART  # seconds for which a connection may idle and still be used

    # What the gateway wants

    def hand_off(self, attempt: Attempt) -> None:
        """Send the attempt to its store."""
        held = attempt.held
        self.counts.attempt_sent(held.id, attempt.number, attempt.store.handle, held.last_outcome)
        if attempt.store not in self.pools:
            self.pools[attempt.store] = Pool(self, attempt.store)
        self.pools[attempt.store].hand_off(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Give the attempt up, whether it was sent or not."""
        self.pools[attempt.store].cancel(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Take the attempt back if nothing of it was sent."""
        self.pools[attempt.store].withdraw(attempt)

    def list_changed(self) -> None:
        """The list of stores changed."""
        for pool in list(self.pools.values()):
            pool.list_changed()

    def look(self) -> None:
        """Close what is late or idles too long; called several times a second."""
        now = self.now()
        self.trusted = min(self.trusted * TRUST_GROWTH, self.idle_close * IDLE_PART)
        for store, pool in list(self.pools.items()):
            pool.check_timeouts(now)
            if store.state is State.GONE and not pool.connections and not pool.waiting:
                del self.pools[store]

    def pressure(self) -> None:
        """No descriptor is left: close what idles."""
        self.clients.close_one_for_descriptor()
        for pool in self.pools.values():
            pool.close_idle(StoreConnectionEnd.ROOM)

    # What pools ask and report

    def address(self, store: Store) -> str | None:
        """Return the store's address, None where it is no longer known."""
        return self.core.addresses.get(store)

    def may_begin(self, attempt: Attempt) -> Verdict:
        """Whether the attempt may be written now: all that its client has said, its end too, and what discovery says of
        stores has to be read first."""
        client: Client = attempt.held.client
        caught_up = client.stream.quiet()
        return attempt_may_begin(attempt, client_caught_up=caught_up, list_caught_up=self.list_caught_up())

    def violation(self, attempt: Attempt) -> bool:
        """Whether writing the attempt now would break an invariant; it is counted then."""
        invariant = violation_of_attempt(attempt, self.core.facts.allowed)
        if invariant:
            self.violations.report(invariant, id=attempt.held.id, attempt=attempt.number, store=attempt.store.handle)
        return invariant is not None

    def held_bytes(self) -> int:
        """Return the bytes of answers that are not whole, or that clients have not taken yet."""
        connections = (connection for pool in self.pools.values() for connection in pool.connections)
        return self.clients.unsent_bytes() + sum(
            connection.reader.size for connection in connections if connection.reader
        )

    def answers_exceed_memory(self) -> bool:
        """Whether the answers held take more memory than they may."""
        return self.held_bytes() > self.most_bytes

    def room(self, make: bool = True) -> bool:
        """Whether another connection may be opened; to make room the one that idles longest is closed."""
        if sum(len(pool.connections) for pool in self.pools.values()) < self.most:
            return True
        idle = [connection for pool in self.pools.values() for connection in pool.idle]
        if idle and make:
            min(idle, key=lambda connection: connection.idle_since).close(StoreConnectionEnd.ROOM)
            return True
        return False

    def wait_for_room(self, pool: Pool) -> None:
        """Call the pool's `open` once another connection may be opened."""
        self._waiting_for_room[pool] = None

    def has_waiting(self) -> bool:
        """Whether some pool waits for room."""
        return bool(self._waiting_for_room)

    def freed(self) -> None:
        """A connection was closed: the pool that has waited longest may open one."""
        if self._waiting_for_room:
            self.later(self._open_next)

    def _open_next(self) -> None:
        """Let pools that wait open connections while there is room: one may not need it any more."""
        for pool in list(self._waiting_for_room):
            if not self.room(make=False):
                return
            del self._waiting_for_room[pool]
            pool.open()

    def found_stale(self, idle_time: float) -> None:
        """Guards against connections that are dropped unseen while they idle: each costs its task an attempt."""
        self.trusted = min(self.trusted, max(idle_time * STALE_SHRINK, COOL_DOWN))

    def later(self, call: Callable[[], None]) -> None:
        """Call in the loop's next turn."""
        self.after(0, call)

    def later_outcome(self, attempt: Attempt, how: How) -> None:
        """Tell the core in the loop's next turn, as it may not be called back while it calls."""
        self.after(0, lambda: self.outcome(attempt, how))

    def outcome(self, attempt: Attempt, how: How) -> None:
        """Tell the core what became of an attempt."""
        self.counts.trace("outcome", id=attempt.held.id, number=attempt.number, how=how.value)
        self.core.record_outcome(self.clock(), attempt, how)

    def malformed(self, attempt: Attempt, why: str) -> None:
        """An answer came that can't be read: what was asked may have run."""
        self.note("spoilt answer", store=attempt.store.handle, why=why)
        self.outcome(attempt, How.ERROR)

    def answered(self, attempt: Attempt, answer: codec.Answer) -> None:
        """Tell the core of a whole answer."""
        fields = answer.fields
        if answer.status == 200:
            how = How.DELIVERED
        elif answer.status in (503, 504) and fields.get(b"x-turned-away") == b"1":
            how = How.FULL
        else:
            how = How.ERROR
        self.counts.trace("outcome", id=attempt.held.id, number=attempt.number, how=how.value)
        used = parse_figure(fields.get(b"x-meter"), -1)
        elsewhere = parse_figure(fields.get(b"x-delta"), 0)
        self.core.record_outcome(self.clock(), attempt, how, body=[answer.body], used=used, elsewhere=elsewhere)
