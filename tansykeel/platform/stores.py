"""Connections to stores: one request at a time on each, kept warm, never one sent twice by the transport."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable

from tansykeel.edge.core import Core
from tansykeel.edge.tasks import Attempt
from tansykeel.http1 import codec
from tansykeel.http1.codec import AnswerReader, Malformed
from tansykeel.interface import How, State, Store
from tansykeel.platform.clients import Client, Clients
from tansykeel.platform.intake import Wanted
from tansykeel.transport.sockets import OUT_OF_FILES, PRESSURE_REST, address_of, open_socket
from tansykeel.transport.stream import Stream

RESTED = 0.005  # seconds after an answer in which what does not belong to it would still come
IDLE_PART = 0.8  # of a store's own limit, after which a connection that idles is closed here
STALE_WITHIN = 0.02  # seconds after a request in which a kept connection that was dead already shows it
LESS, MORE = 0.5, 1.1  # how long an idle connection is trusted: times the age of one found dead; growth at each look
DIALS = 2  # connections tried for a hand-off before it counts as not connected
HEARD = 0.001  # seconds in which the loop has read what a client has sent, its end too
OWED = 30.0  # seconds after an attempt's time is up at which its connection is closed, though cancels are not allowed
_FIGURE = re.compile(rb"[0-9]{1,6}(?:\.[0-9]{1,6})?")


def figure(value: bytes | None, default: int) -> int:
    """A figure that an answer tells; one that can't be read is left out."""
    return round(float(value)) if value is not None and _FIGURE.fullmatch(value) else default


class Connection:
    """One connection to a store."""

    __slots__ = ("pool", "stream", "address", "reader", "attempt", "up", "used", "idle_since", "idled",
                 "sent", "expires")

    def __init__(self, pool: Pool, address: str, now: float) -> None:
        self.pool, self.address = pool, address
        self.reader: AnswerReader | None = None
        self.attempt: Attempt | None = None
        self.up = self.used = False
        self.idle_since, self.expires = now, now + pool.stores.connect_within
        self.idled = self.sent = 0.0  # for how long before the last request, and when that was written
        host = address_of(address)
        self.stream = Stream(open_socket(host), self._data, self._ended)
        try:
            self.stream.connect(host, self._opened)
        except OSError:
            self.stream.close()
            raise

    def send(self, attempt: Attempt, now: int) -> None:
        wanted: Wanted = attempt.held.request
        request, left = wanted.request, max(attempt.until - now, 0) / 10_000
        self.attempt, attempt.connection, self.reader = attempt, self, AnswerReader()
        self.sent = self.pool.stores.now()
        self.idled = self.sent - self.idle_since
        self.stream.write(codec.request(request.method, request.target, self.address.encode(),
                                        b"X-Txn: %s\r\nX-Remaining: %.4f\r\n" % (request.fields[b"x-txn"], left),
                                        request.body))

    def _opened(self) -> None:
        self.up = True
        self.pool.opened(self)

    def _data(self, data: bytes) -> None:
        if self.reader is None or self.attempt is None or self.stream.unsent:
            # What comes unasked, or before the request is whole, belongs to nothing.
            return self._broken("bytes that answer nothing")
        self.reader.feed(data)
        if self.reader.size > codec.MOST_BODY and self.pool.stores.held_bytes() > self.pool.stores.most_bytes:
            return self._broken("no memory for an answer so large")
        try:
            answer = self.reader.next()
        except Malformed as error:
            return self._broken(str(error))
        if answer is None:
            return
        self._answered(answer, answer.lasts and not self.reader.behind)

    def _answered(self, answer: codec.Answer, lasts: bool) -> None:
        attempt, self.attempt = self.attempt, None
        self.reader, self.used = None, True
        if lasts:
            self.pool.rest(self)
        else:
            self.close()
        if attempt:
            self.pool.stores.answered(attempt, answer)

    def _broken(self, why: str) -> None:
        """A spoilt answer: what was asked may have run, and the connection is of no further use."""
        attempt, self.attempt = self.attempt, None
        self.close()
        if attempt:
            self.pool.stores.spoilt(attempt, why)

    def _ended(self, why: str) -> None:
        # An answer without a length is whole at the orderly end of its connection, never at a reset.
        if self.stream.finished and self.attempt and self.reader and (answer := self.reader.end()):
            return self._answered(answer, False)
        attempt, self.attempt = self.attempt, None
        unsent = bool(self.stream.unsent)
        self.close()
        if not self.up:
            self.pool.failed(again=True)
        elif attempt:
            silent = self.reader is None or not self.reader.size
            if self.used and silent and self.pool.stores.now() - self.sent < STALE_WITHIN:
                self.pool.stores.dead_after(self.idled)
            # Not whole at the store: it never ran. On a connection used before that tells nothing of the store.
            never = How.MOOT if self.used else How.NO_CONNECTION
            self.pool.stores.outcome(attempt, never if unsent else How.RESET)

    def close(self) -> None:
        self.stream.close()
        self.pool.closed(self)


class Pool:
    """All connections to one store. Hand-offs that wait for one have not been sent."""

    def __init__(self, stores: Stores, store: Store) -> None:
        self.stores, self.store = stores, store
        self.connections: dict[Connection, None] = {}
        self.idle: list[Connection] = []  # the one used last at the end
        self.waiting: deque[tuple[Attempt, int, int]] = deque()  # with the store's start as known, connections tried
        self._feeding = False

    def hand_off(self, attempt: Attempt) -> None:
        self.waiting.append((attempt, self.store.started, 0))
        self.feed()

    def open(self) -> None:
        """Another connection, if more wait than are being opened, and if there is room for one."""
        opening = sum(not connection.up for connection in self.connections)
        if opening >= len(self.waiting) or self.stores.core.addresses.get(self.store) is None:
            return
        if not self.stores.room():
            self.stores.starving[self] = None
            return
        try:
            self.connections[Connection(self, self.stores.core.addresses[self.store], self.stores.now())] = None
        except (OSError, ValueError) as error:
            self.stores.note("no connection", store=self.store.handle, why=str(error))
            if isinstance(error, OSError) and error.errno in OUT_OF_FILES:
                # Guards against a store that counts as out of reach because we lack a descriptor.
                self.stores.pressure()
                self.stores.after(PRESSURE_REST, self.open)
                return
            self.stores.later(lambda: self.failed(again=False))

    def opened(self, connection: Connection) -> None:
        if not self._serve(connection):
            connection.idle_since = self.stores.now() - RESTED  # nothing was asked on it: nothing more can come
            self.idle.append(connection)

    def rest(self, connection: Connection) -> None:
        """A connection whose answer has come: for who waits here, else for who can't open one elsewhere."""
        connection.idle_since = self.stores.now()
        self.idle.append(connection)
        if self.waiting:
            self.feed_after(RESTED)
        elif self.stores.starving:
            connection.close()

    def feed(self) -> None:
        """Give connections that rested to who waits; open one where that is too few."""
        while attempt := self._next():
            if connection := self._rested():
                self._leave(attempt)
                connection.send(attempt, self.stores.clock())
            elif self.idle and not self.stores.room(make=False):
                return self.feed_after(RESTED)  # no other may be opened, and this one only has to rest
            else:
                return self.open()

    def feed_after(self, seconds: float) -> None:
        if not self._feeding:
            self._feeding = True
            self.stores.after(seconds, self._feed_due)

    def _feed_due(self) -> None:
        self._feeding = False
        self.feed()

    def withdraw(self, attempt: Attempt) -> bool:
        """Take it back if it waits here: nothing of it was sent."""
        if not self._leave(attempt):
            return False
        self.stores.later_outcome(attempt, How.CANCELLED)
        return True

    def cancel(self, attempt: Attempt) -> None:
        connection = attempt.connection
        if not self.withdraw(attempt) and isinstance(connection, Connection) and connection.attempt is attempt:
            connection.attempt = None
            connection.close()
            self.stores.later_outcome(attempt, How.CANCELLED)

    def failed(self, again: bool) -> None:
        """A connection that could not be made: who waits longest is told, or waits for one more, as nothing was sent.

        Guards against a store that turns single connections away: it is not out of reach.
        """
        while self.waiting:
            attempt, started, dials = self.waiting.popleft()
            if attempt.over:
                continue
            if again and dials + 1 < DIALS:
                self.waiting.appendleft((attempt, started, dials + 1))
            else:
                self.stores.outcome(attempt, How.NO_CONNECTION)
            break
        if self.waiting:
            self.open()

    def closed(self, connection: Connection) -> None:
        self.connections.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiting:
            self.stores.later(self.open)
        self.stores.freed()

    def listed(self) -> None:
        """Guards against what was granted before a drain or a new start was heard of: it is decided anew."""
        if self.store.state is not State.READY or any(at != self.store.started for _, at, _ in self.waiting):
            waiting, self.waiting = self.waiting, deque()
            for attempt, _, _ in waiting:
                self.stores.outcome(attempt, How.MOOT)
        address = self.stores.core.addresses.get(self.store)
        if self.store.state is State.GONE or any(connection.address != address for connection in self.connections):
            for connection in list(self.idle):
                connection.close()

    def look(self, now: float) -> None:
        for connection in [one for one in self.connections if not one.up and now >= one.expires]:
            connection.close()
            self.failed(again=False)
        for connection in [one for one in self.idle if now - one.idle_since >= self.stores.trusted]:
            connection.close()
        for connection in [one for one in self.connections if one.attempt and one.attempt.over
                           and now - one.sent > self.stores.longest + OWED]:
            connection.close()  # guards against answers that trickle without an end to tasks that have theirs

    def _rested(self) -> Connection | None:
        """The warmest connection on which nothing more can come."""
        now = self.stores.now()
        for connection in reversed(self.idle):
            if now - connection.idle_since >= RESTED:
                self.idle.remove(connection)
                if now - connection.idle_since <= self.stores.trusted and connection.stream.quiet():
                    return connection
                connection.close()
                return self._rested()
        return None

    def _serve(self, connection: Connection) -> bool:
        attempt = self._next()
        if attempt:
            self._leave(attempt)
            connection.send(attempt, self.stores.clock())
        return attempt is not None

    def _next(self) -> Attempt | None:
        """Who has waited longest and may begin now. One whose client has said more is looked at again once that was
        read: guards against an attempt for a client whose end has come and is not read yet, on a busy loop."""
        while self.waiting and self.waiting[0][0].over:
            self.waiting.popleft()
        heard = next((attempt for attempt, _, _ in self.waiting
                      if not attempt.over and self.stores.quiet(attempt)), None)
        if self.waiting and heard is not self.waiting[0][0]:
            self.feed_after(HEARD)
        return heard

    def _leave(self, attempt: Attempt) -> bool:
        entry = next((entry for entry in self.waiting if entry[0] is attempt), None)
        if entry:
            self.waiting.remove(entry)
        return entry is not None


class Stores:
    """All connections of this gateway to stores, `most` at once; answers hold `most_bytes`, those not taken too."""

    def __init__(self, core: Core, most: int, most_bytes: int, clients: Clients, connect_within: float,
                 idle_close: float, longest: float, clock: Callable[[], int], now: Callable[[], float],
                 after: Callable[[float, Callable[[], None]], object], note: Callable[..., None]) -> None:
        self.most_bytes, self.clients, self.longest = most_bytes, clients, longest
        self.core, self.most, self.connect_within, self.idle_close = core, most, connect_within, idle_close
        self.clock, self.now, self.after, self.note = clock, now, after, note
        self.pools: dict[Store, Pool] = {}
        self.starving: dict[Pool, None] = {}
        self.trusted = idle_close * IDLE_PART  # seconds for which a connection may idle and still be used

    def hand_off(self, attempt: Attempt) -> None:
        if attempt.store not in self.pools:
            self.pools[attempt.store] = Pool(self, attempt.store)
        self.pools[attempt.store].hand_off(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.pools[attempt.store].cancel(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        self.pools[attempt.store].withdraw(attempt)

    def quiet(self, attempt: Attempt) -> bool:
        """Whether all that its client has said, or its end, was read."""
        client: Client = attempt.held.client
        return client.stream.quiet()

    def pressure(self) -> None:
        """No descriptor is left: what idles goes."""
        self.clients.make_place()
        self.close_idle()

    def held_bytes(self) -> int:
        """Of answers: what has come and is not whole, and what clients have not taken yet."""
        connections = (connection for pool in self.pools.values() for connection in pool.connections)
        return self.clients.unsent() + sum(connection.reader.size for connection in connections if connection.reader)

    def room(self, make: bool = True) -> bool:
        """Whether another connection may be opened; to make room the one that idles longest is closed."""
        if sum(len(pool.connections) for pool in self.pools.values()) < self.most:
            return True
        idle = [connection for pool in self.pools.values() for connection in pool.idle]
        if idle and make:
            min(idle, key=lambda connection: connection.idle_since).close()
            return True
        return False

    def freed(self) -> None:
        if self.starving:
            pool = next(iter(self.starving))
            del self.starving[pool]
            self.later(pool.open)

    def listed(self) -> None:
        for pool in list(self.pools.values()):
            pool.listed()

    def dead_after(self, idled: float) -> None:
        """Guards against connections that are dropped unseen while they idle: each costs its task a hand-off."""
        self.trusted = min(self.trusted, max(idled * LESS, RESTED))

    def look(self) -> None:
        now = self.now()
        self.trusted = min(self.trusted * MORE, self.idle_close * IDLE_PART)
        for store, pool in list(self.pools.items()):
            pool.look(now)
            if store.state is State.GONE and not pool.connections and not pool.waiting:
                del self.pools[store]

    def close_idle(self) -> None:
        for pool in self.pools.values():
            for connection in list(pool.idle):
                connection.close()

    def later(self, call: Callable[[], None]) -> None:
        self.after(0, call)

    def later_outcome(self, attempt: Attempt, how: How) -> None:
        self.after(0, lambda: self.outcome(attempt, how))

    def outcome(self, attempt: Attempt, how: How) -> None:
        self.core.outcome(self.clock(), attempt, how)

    def spoilt(self, attempt: Attempt, why: str) -> None:
        self.note("spoilt answer", store=attempt.store.handle, why=why)
        self.outcome(attempt, How.ERROR)

    def answered(self, attempt: Attempt, answer: codec.Answer) -> None:
        fields = answer.fields
        if answer.status == 200:
            how = How.DELIVERED
        elif answer.status in (503, 504) and fields.get(b"x-turned-away") == b"1":
            how = How.FULL
        else:
            how = How.ERROR
        self.core.outcome(self.clock(), attempt, how, body=[answer.body], used=figure(fields.get(b"x-meter"), -1),
                          elsewhere=figure(fields.get(b"x-delta"), 0))
