"""The sessions that a control node holds, and the leases that it granted to their gateways. Without I/O.

A gateway counts by one lease at a time, whichever of its sessions that is of. So what one start of a gateway may count
is the largest of its leases that are outstanding: not acknowledged as replaced, not given back, not over. The sum of
these over all gateways is what the node answers for, and a renewal never raises it over the node's budget.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import copy
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush

from tansykeel.control.actions import ConnectionId, SessionTerms

MOST_GRANTS = 16  # leases outstanding of one gateway: far more than one that acknowledges what it receives ever has
SILENT_HEARTBEATS = 5  # without one of a gateway after which its session is closed: its connection may be half open
GatewayIncarnation = tuple[str, int]  # name and incarnation of a gateway


@dataclass(frozen=True, slots=True)
class Grant:
    """A lease that a gateway may count, until this moment of the control node's clock at most."""

    session: int
    lease: int
    units: int
    until: int


@dataclass(slots=True)
class Holder:
    """One start of a gateway with its leases that are outstanding, and the most units that it may count by them."""

    grants: list[Grant] = field(default_factory=list)
    units: int = 0
    looked_at: bool = False  # whether its next look for leases that are over is planned


@dataclass(slots=True)
class Session:
    """One session of a gateway, which ends with its connection."""

    number: int
    connection: ConnectionId
    gateway_incarnation: GatewayIncarnation
    heard_at: int
    weight: int = 1
    lease: int = 0  # the number of the newest lease granted
    acknowledged: int = 0

    @property
    def gateway(self) -> str:
        """The gateway's name."""
        return self.gateway_incarnation[0]


class SessionTable:
    """Sessions by connection and by gateway, and all that they were granted."""

    def __init__(self, terms: SessionTerms) -> None:
        self.terms = terms
        self.by_connection: dict[ConnectionId, Session] = {}
        self.by_gateway: dict[str, Session] = {}
        self.weights = 0  # of all sessions
        self._opened = 0  # sessions so far: the newest one's number
        self._holders: dict[GatewayIncarnation, Holder] = {}
        self._units = 0  # sum over all holders
        self._looks: list[
            tuple[int, GatewayIncarnation]
        ] = []  # heap: when a lease of whom may be over, one for each holder

    def __len__(self) -> int:
        return len(self.by_connection)

    def open(self, now: int, connection: ConnectionId, start: GatewayIncarnation) -> Session:
        """Begin a session on a connection that has none, for a gateway that has none."""
        self._opened += 1
        session = Session(self._opened, connection, start, now)
        self.by_connection[connection] = session
        self.by_gateway[session.gateway] = session
        self.weights += session.weight
        return session

    def end(self, session: Session) -> None:
        """End a session; what it was granted is outstanding until it is over."""
        del self.by_connection[session.connection]
        del self.by_gateway[session.gateway]
        self.weights -= session.weight

    def give_back(self, session: Session) -> None:
        """The gateway said that it counts by no lease of the session any more."""
        self._remove_grants(session.gateway_incarnation, lambda grant: grant.session == session.number)

    def acknowledge(self, session: Session, lease: int) -> bool:
        """The gateway received this lease of the session, so it counts by no earlier one of it.

        Return False where it was never granted.
        """
        if lease > session.lease:
            return False
        if lease > session.acknowledged:
            session.acknowledged = lease
            self._remove_grants(
                session.gateway_incarnation, lambda grant: grant.session == session.number and grant.lease < lease
            )
        return True

    def renew(self, now: int, session: Session, budget: int, share: int, valid_for: int) -> int:
        """Grant the session a new lease and return its units: its part of `share` by weight, within the budget."""
        session.lease += 1
        if valid_for <= 0:
            return 0
        outstanding = self.outstanding(now)
        holder = self._holders.get(session.gateway_incarnation, Holder())
        if len(holder.grants) >= MOST_GRANTS:
            # Guards against memory that grows with the heartbeats of a gateway that acknowledges nothing.
            return 0
        others = outstanding - holder.units
        target = share * session.weight // self.weights
        units = max(min(target, budget - others), 0)
        if units:
            self._add(session, Grant(session.number, session.lease, units, now + self.outstanding_duration(valid_for)))
        return units

    def outstanding_duration(self, valid_for: int) -> int:
        """Return how long a lease may count by this node's clock, however far the two clocks are apart."""
        drift = self.terms.drift
        return int(valid_for * (1 + drift) / (1 - drift)) + 1

    def outstanding(self, now: int) -> int:
        """Return the sum of what the gateways may count now by leases of this node."""
        while self._looks and self._looks[0][0] <= now:
            _, start = heappop(self._looks)
            holder = self._holders[start]
            holder.looked_at = False
            self._remove_grants(start, lambda grant: grant.until <= now)
            self._plan_look(start)
        return self._units

    def next_expiry(self) -> int | None:
        """Return when a lease may be over next; None where none is outstanding."""
        return self._looks[0][0] if self._looks else None

    def forget_grants(self) -> None:
        """No lease of before is outstanding: the node begins to grant in a new term."""
        self._holders.clear()
        self._looks.clear()
        self._units = 0

    def silent(self, now: int) -> list[Session]:
        """Return the sessions without a heartbeat for too long."""
        latest = now - SILENT_HEARTBEATS * self.terms.heartbeat
        return [session for session in self.by_connection.values() if session.heard_at < latest]

    def copy(self) -> SessionTable:
        """Return a table that goes its own way from here on."""
        made = copy(self)
        made.by_connection = {connection: replace(session) for connection, session in self.by_connection.items()}
        made.by_gateway = {session.gateway: session for session in made.by_connection.values()}
        made._holders = {start: replace(holder, grants=list(holder.grants)) for start, holder in self._holders.items()}
        made._looks = list(self._looks)
        return made

    # Within

    def _add(self, session: Session, grant: Grant) -> None:
        holder = self._holders.setdefault(session.gateway_incarnation, Holder())
        holder.grants.append(grant)
        self._recount(session.gateway_incarnation)
        self._plan_look(session.gateway_incarnation)

    def _remove_grants(self, start: GatewayIncarnation, is_over: Callable[[Grant], bool]) -> None:
        holder = self._holders.get(start)
        if holder is None:
            return
        holder.grants = [grant for grant in holder.grants if not is_over(grant)]
        self._recount(start)

    def _recount(self, start: GatewayIncarnation) -> None:
        holder = self._holders[start]
        self._units -= holder.units
        holder.units = max((grant.units for grant in holder.grants), default=0)
        self._units += holder.units

    def _plan_look(self, start: GatewayIncarnation) -> None:
        """Plan when to look for leases of this holder that are over; one without any is forgotten."""
        holder = self._holders[start]
        if holder.looked_at:
            return
        if not holder.grants:
            del self._holders[start]
            return
        holder.looked_at = True
        heappush(self._looks, (min(grant.until for grant in holder.grants), start))
