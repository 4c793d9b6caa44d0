"""One session of a gateway to one control node, from the wish for a connection on. Without I/O.

It knows what it asked and what was answered; `SessionClient` decides which sessions there are. Times are whole tenths
of a millisecond of the gateway's own monotonic clock.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from tansykeel.control.actions import WHOLE_UNITS, EffectiveLease, SessionTerms
from tansykeel.protocol.frames import Heartbeat, LeaseRenewal, SessionAccepted

MICROSECONDS_PER_TICK = 100
SILENT_HEARTBEATS = 1.5  # without an answer, after which a session counts as lost
SHORTEST_HEARTBEAT = 500  # 50 ms, the least that settings allow: a node can't ask for more heartbeats than that
HEARTBEATS_PER_LEASE = 3  # at least, whatever a node asks for, so that one lost answer loses no lease
# Leases that a node has to grant a gateway its first units, which others have to give up and acknowledge before: they
# take up to five heartbeats.
LEASES_TO_MOVE = 3
MOST_UNANSWERED = 8  # heartbeats that are remembered; a session is lost long before


class Phase(Enum):
    """How far a session has come."""

    CONNECTING = "connecting"
    OPENING = "opening"
    OPEN = "open"


class RefusedRenewal(Enum):
    """Why a renewal is not counted by."""

    OTHER_SESSION = "it names another session"
    OLD_LEASE = "its lease is not newer than the newest of the session"
    NEVER_ASKED = "no heartbeat of the session was sent at its time"
    BEYOND_TERMS = "it is valid for longer than the settings' lease"
    BEYOND_WHOLE = "it has more units than the whole"


class GatewaySession:
    """A session in its phases; `lease` and `units` are those of the newest renewal."""

    def __init__(self, node: str, terms: SessionTerms, now: int) -> None:
        """Begin with the wish for a connection to `node`."""
        self.node = node
        self.terms = terms
        self.phase = Phase.CONNECTING
        self.number = 0
        self.lease = 0
        self.acknowledges = 0  # the newest lease of the session that took the place of what the gateway counted by
        self.units = 0
        self.without_units_since = now
        self.heartbeat = terms.heartbeat
        self.next_heartbeat = now
        self._answered_at = now
        self._unanswered: deque[int] = deque(maxlen=MOST_UNANSWERED)

    def connected(self, now: int) -> None:
        """Note that the connection is up and the session asked for."""
        self.phase = Phase.OPENING
        self._answered_at = now

    def accepted(self, now: int, answer: SessionAccepted) -> None:
        """Note that the node holds the session from now on."""
        self.phase = Phase.OPEN
        self.number = answer.session
        self._answered_at = now
        self.without_units_since = now
        longest = max(self.terms.lease // HEARTBEATS_PER_LEASE, SHORTEST_HEARTBEAT)
        asked_for = answer.heartbeat_every // MICROSECONDS_PER_TICK
        self.heartbeat = min(max(asked_for, SHORTEST_HEARTBEAT), longest)
        self.next_heartbeat = now

    def due(self) -> int:
        """Return when this session wants to be looked at next."""
        lost_at = self.lost_at()
        return min(self.next_heartbeat, lost_at) if self.phase is Phase.OPEN else lost_at

    def lost_at(self) -> int:
        """Return when the session counts as lost, unless the node answers before."""
        return self._answered_at + int(SILENT_HEARTBEATS * self.heartbeat)

    def starves_at(self) -> int | None:
        """Return when the node has granted nothing for a whole lease; None while the newest lease has units."""
        return None if self.units else self.without_units_since + self.terms.lease

    def move_fails_at(self) -> int:
        """Return when the node has granted nothing for so long that the gateway stays where it is."""
        return self.without_units_since + LEASES_TO_MOVE * self.terms.lease

    def forgive_pause(self, now: int) -> None:
        """Wait half a heartbeat more: the gateway itself stood still, and answers may wait to be read."""
        self._answered_at = max(self._answered_at, now - self.heartbeat)

    def next_beat(self, now: int) -> Heartbeat:
        """Return the heartbeat to be sent now."""
        self._unanswered.append(now)
        self.next_heartbeat = now + self.heartbeat
        return Heartbeat(session=self.number, asked_at=now, lease=self.acknowledges)

    def refusal_of(self, renewal: LeaseRenewal) -> RefusedRenewal | None:
        """Return why a renewal must not be counted by; None: it may."""
        if self.phase is not Phase.OPEN or renewal.session != self.number:
            return RefusedRenewal.OTHER_SESSION
        if renewal.lease <= self.lease:
            return RefusedRenewal.OLD_LEASE
        if renewal.asked_at not in self._unanswered:
            return RefusedRenewal.NEVER_ASKED
        if renewal.valid_for > self.terms.lease * MICROSECONDS_PER_TICK:
            return RefusedRenewal.BEYOND_TERMS
        return RefusedRenewal.BEYOND_WHOLE if renewal.units > WHOLE_UNITS else None

    def apply_renewal(self, now: int, renewal: LeaseRenewal) -> EffectiveLease:
        """Take a renewal that was not refused, and return the lease to be counted by."""
        while self._unanswered and self._unanswered[0] <= renewal.asked_at:
            self._unanswered.popleft()
        self._answered_at = now
        self.lease = renewal.lease
        if self.units and not renewal.units:
            self.without_units_since = now
        self.units = renewal.units
        until = renewal.asked_at + renewal.valid_for // MICROSECONDS_PER_TICK
        return EffectiveLease(self.node, self.number, renewal.lease, renewal.units, until)
