"""One session between a gateway and a control node, from the request for a connection on. Does no I/O.

It keeps track of heartbeats sent and answers received; `SessionClient` decides which sessions there are. Times are in
whole tenths of a millisecond of the gateway's own monotonic clock.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from tansykeel.control.actions import WHOLE_UNITS, EffectiveLease, SessionTerms
from tansykeel.protocol.frames import Heartbeat, LeaseRenewal, SessionAccepted

MICROSECONDS_PER_TICK = 100
ANSWER_TIMEOUT_HEARTBEATS = 1.5  # heartbeat intervals without an answer after which a session is considered lost
MIN_HEARTBEAT_INTERVAL = 500  # 50 ms, the minimum in the settings: a node can't ask for more frequent heartbeats
MIN_HEARTBEATS_PER_LEASE = 3  # whatever a node asks for, so that no lease expires because of one lost answer
# Time, in leases, for a node to grant a gateway its first units. Other gateways have to receive and acknowledge smaller
# leases first, which takes up to five heartbeats.
MOVE_TIMEOUT_LEASES = 3
MAX_UNANSWERED = 8  # heartbeats that are remembered; a session is lost long before that many are unanswered


class Phase(Enum):
    """Progress of opening a session."""

    CONNECTING = "connecting"
    OPENING = "opening"
    OPEN = "open"


class RefusedRenewal(Enum):
    """Reason for which a renewal is ignored."""

    OTHER_SESSION = "it names another session"
    OLD_LEASE = "its lease is not newer than the newest of the session"
    NEVER_ASKED = "no heartbeat of the session was sent at its time"
    BEYOND_TERMS = "it is valid for longer than the settings' lease"
    BEYOND_WHOLE = "it has more units than the whole"


class GatewaySession:
    """State of one session; `lease` and `units` are the number and the units of the newest renewal."""

    def __init__(self, node: str, terms: SessionTerms, now: int) -> None:
        """Start in phase CONNECTING: a connection to `node` was requested."""
        self.node = node
        self.terms = terms
        self.phase = Phase.CONNECTING
        self.number = 0
        self.lease = 0
        self.lease_to_acknowledge = 0  # the newest lease of the session that the gateway put into effect
        self.units = 0
        self.without_units_since = now
        self.heartbeat_interval = terms.heartbeat
        self.next_heartbeat_at = now
        self._answered_at = now
        self._unanswered: deque[int] = deque(maxlen=MAX_UNANSWERED)  # times of unanswered heartbeats, oldest first

    def connected(self, now: int) -> None:
        """The connection is up, and `SessionOpen` is being sent."""
        self.phase = Phase.OPENING
        self._answered_at = now

    def accepted(self, now: int, answer: SessionAccepted) -> None:
        """The node accepted the session; take over its heartbeat interval within the allowed range."""
        self.phase = Phase.OPEN
        self.number = answer.session
        self._answered_at = now
        self.without_units_since = now
        max_interval = max(self.terms.lease // MIN_HEARTBEATS_PER_LEASE, MIN_HEARTBEAT_INTERVAL)
        requested = answer.heartbeat_every // MICROSECONDS_PER_TICK
        self.heartbeat_interval = min(max(requested, MIN_HEARTBEAT_INTERVAL), max_interval)
        self.next_heartbeat_at = now

    def due(self) -> int:
        """Return when this session next needs a tick."""
        deadline = self.answer_deadline()
        return min(self.next_heartbeat_at, deadline) if self.phase is Phase.OPEN else deadline

    def answer_deadline(self) -> int:
        """Return when the session is considered lost unless the node answers before."""
        return self._answered_at + int(ANSWER_TIMEOUT_HEARTBEATS * self.heartbeat_interval)

    def units_deadline(self) -> int | None:
        """Return when the session will have been without units for a whole lease; None while it has units."""
        return None if self.units else self.without_units_since + self.terms.lease

    def move_deadline(self) -> int:
        """Return when a move to this node is abandoned because it has granted no units."""
        return self.without_units_since + MOVE_TIMEOUT_LEASES * self.terms.lease

    def extend_after_stall(self, now: int) -> None:
        """Wait at least half a heartbeat interval more: the gateway stalled, and answers may be waiting to be read."""
        self._answered_at = max(self._answered_at, now - self.heartbeat_interval)

    def make_heartbeat(self, now: int) -> Heartbeat:
        """Return the heartbeat to be sent now, and schedule the next one."""
        self._unanswered.append(now)
        self.next_heartbeat_at = now + self.heartbeat_interval
        return Heartbeat(session=self.number, asked_at=now, lease=self.lease_to_acknowledge)

    def check_renewal(self, renewal: LeaseRenewal) -> RefusedRenewal | None:
        """Return the reason to ignore a renewal, or None if it is valid."""
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
        """Apply a renewal that passed `check_renewal`, and return its lease."""
        while self._unanswered and self._unanswered[0] <= renewal.asked_at:
            self._unanswered.popleft()
        self._answered_at = now
        self.lease = renewal.lease
        if self.units and not renewal.units:
            self.without_units_since = now
        self.units = renewal.units
        until = renewal.asked_at + renewal.valid_for // MICROSECONDS_PER_TICK
        return EffectiveLease(self.node, self.number, renewal.lease, renewal.units, until)
