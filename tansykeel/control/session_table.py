"""The sessions that a control node holds, and the leases that it granted to their gateways. Does no I/O.

A gateway uses one lease at a time, of whichever of its sessions. So the most units that one incarnation of a gateway
may use are those of its largest outstanding lease. A lease is outstanding until the gateway acknowledges a newer one of
the same session or closes the session, or until it expires. The sum over all gateways is the number of units that the
node has outstanding, and a renewal never raises it above the node's budget.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import copy
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush

from tansykeel.control.actions import ConnectionId, SessionTerms

MAX_GRANTS = 16  # outstanding leases of one gateway; one that acknowledges what it receives never has nearly as many
MAX_MISSED_HEARTBEATS = 5  # after that many the session is closed: its connection may be half open
GatewayIncarnation = tuple[str, int]  # name and incarnation of a gateway


@dataclass(frozen=True, slots=True)
class Grant:
    """A lease granted to a gateway; `until` is when it expires at the latest, by the control node's clock."""

    session: int
    lease: int
    units: int
    until: int


@dataclass(slots=True)
class Holder:
    """Outstanding leases of one incarnation of a gateway; `units` are those of the largest."""

    grants: list[Grant] = field(default_factory=list)
    units: int = 0
    expiry_scheduled: bool = False  # whether it has an entry in the expiry heap


@dataclass(slots=True)
class Session:
    """One session of a gateway; it ends with its connection."""

    number: int
    connection: ConnectionId
    gateway_incarnation: GatewayIncarnation
    last_heartbeat_at: int  # or when the session was opened
    weight: int = 1
    lease: int = 0  # the number of the newest lease granted
    acknowledged: int = 0  # the newest lease that the gateway acknowledged

    @property
    def gateway(self) -> str:
        """The gateway's name."""
        return self.gateway_incarnation[0]


class SessionTable:
    """Sessions by connection and by gateway, and the outstanding leases of each gateway."""

    def __init__(self, terms: SessionTerms) -> None:
        self.terms = terms
        self.by_connection: dict[ConnectionId, Session] = {}
        self.by_gateway: dict[str, Session] = {}
        self.total_weight = 0  # of all sessions
        self._opened = 0  # sessions opened so far, and the number of the newest one
        self._holders: dict[GatewayIncarnation, Holder] = {}
        self._units = 0  # sum over all holders, expired leases included until the next call of `outstanding`
        # Heap of when a holder's next lease expires; one entry for each holder.
        self._expiries: list[tuple[int, GatewayIncarnation]] = []

    def __len__(self) -> int:
        return len(self.by_connection)

    def open(self, now: int, connection: ConnectionId, gateway_incarnation: GatewayIncarnation) -> Session:
        """Open a session. Neither the connection nor the gateway may have one."""
        self._opened += 1
        session = Session(self._opened, connection, gateway_incarnation, now)
        self.by_connection[connection] = session
        self.by_gateway[session.gateway] = session
        self.total_weight += session.weight
        return session

    def end(self, session: Session) -> None:
        """End a session; its leases stay outstanding until they expire."""
        del self.by_connection[session.connection]
        del self.by_gateway[session.gateway]
        self.total_weight -= session.weight

    def release_grants(self, session: Session) -> None:
        """Release all leases of the session: the gateway said that it no longer uses any."""
        self._remove_grants(session.gateway_incarnation, lambda grant: grant.session == session.number)

    def acknowledge(self, session: Session, lease: int) -> bool:
        """Release the leases of the session before this one, which the gateway put into effect.

        Return False if the lease was never granted.
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
        """Grant the session a new lease and return its units.

        The units are the session's part of `share` by weight, as far as the budget allows.
        """
        session.lease += 1
        if valid_for <= 0:
            return 0
        outstanding = self.outstanding(now)
        holder = self._holders.get(session.gateway_incarnation, Holder())
        if len(holder.grants) >= MAX_GRANTS:
            # Bounds the memory for a gateway that sends heartbeats but acknowledges nothing.
            return 0
        others = outstanding - holder.units
        target = share * session.weight // self.total_weight
        units = max(min(target, budget - others), 0)
        if units:
            self._add_grant(
                session, Grant(session.number, session.lease, units, now + self.outstanding_duration(valid_for))
            )
        return units

    def outstanding_duration(self, valid_for: int) -> int:
        """Return how long a lease may be in effect by this node's clock, whatever the drift of the two clocks."""
        drift = self.terms.drift
        return int(valid_for * (1 + drift) / (1 - drift)) + 1

    def outstanding(self, now: int) -> int:
        """Return how many units the gateways may use now by leases of this node."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heappop(self._expiries)
            holder = self._holders[key]
            holder.expiry_scheduled = False
            self._remove_grants(key, lambda grant: grant.until <= now)
            self._schedule_expiry(key)
        return self._units

    def next_expiry(self) -> int | None:
        """Return when the next lease may expire; None if none is outstanding."""
        return self._expiries[0][0] if self._expiries else None

    def clear_grants(self) -> None:
        """Remove all grants: none is outstanding any more when the node starts to grant in a new term."""
        self._holders.clear()
        self._expiries.clear()
        self._units = 0

    def silent_sessions(self, now: int) -> list[Session]:
        """Return the sessions that missed too many heartbeats."""
        oldest = now - MAX_MISSED_HEARTBEATS * self.terms.heartbeat
        return [session for session in self.by_connection.values() if session.last_heartbeat_at < oldest]

    def copy(self) -> SessionTable:
        """Return an independent copy."""
        duplicate = copy(self)
        duplicate.by_connection = {connection: replace(session) for connection, session in self.by_connection.items()}
        duplicate.by_gateway = {session.gateway: session for session in duplicate.by_connection.values()}
        duplicate._holders = {key: replace(holder, grants=list(holder.grants)) for key, holder in self._holders.items()}
        duplicate._expiries = list(self._expiries)
        return duplicate

    # Grants and their expiry

    def _add_grant(self, session: Session, grant: Grant) -> None:
        holder = self._holders.setdefault(session.gateway_incarnation, Holder())
        holder.grants.append(grant)
        self._update_units(session.gateway_incarnation)
        self._schedule_expiry(session.gateway_incarnation)

    def _remove_grants(self, key: GatewayIncarnation, is_released: Callable[[Grant], bool]) -> None:
        holder = self._holders.get(key)
        if holder is None:
            return
        holder.grants = [grant for grant in holder.grants if not is_released(grant)]
        self._update_units(key)

    def _update_units(self, key: GatewayIncarnation) -> None:
        holder = self._holders[key]
        self._units -= holder.units
        holder.units = max((grant.units for grant in holder.grants), default=0)
        self._units += holder.units

    def _schedule_expiry(self, key: GatewayIncarnation) -> None:
        """Schedule the removal of expired leases of this holder; a holder without leases is removed."""
        holder = self._holders[key]
        if holder.expiry_scheduled:
            return
        if not holder.grants:
            del self._holders[key]
            return
        holder.expiry_scheduled = True
        heappush(self._expiries, (min(grant.until for grant in holder.grants), key))
