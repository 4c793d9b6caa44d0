"""Actions that control nodes and session clients return for their program to perform, and the units of leases."""

from __future__ import annotations

from dataclasses import dataclass
from fractions import Fraction

from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import SAFE_FRACTION
from tansykeel.protocol.frames import Fields

WHOLE_UNITS = 1_000_000_000  # of all regions together: all of a whole except the safe part
ConnectionId = int  # assigned by the program to each connection from a gateway to a control node; never reused


@dataclass(frozen=True, slots=True)
class SessionTerms:
    """Terms that control nodes and gateways share through the settings. Times are in tenths of a millisecond."""

    lease: int  # the longest time for which a gateway's lease is valid
    heartbeat: int  # time between two heartbeats of a session
    drift: float  # largest error of the rate of any clock, as a fraction
    admissions_per_second: float  # rate at which one control node accepts new sessions


@dataclass(frozen=True, slots=True)
class EffectiveLease:
    """The lease that is in effect at a gateway, and until when.

    Without a lease the node is empty, and the gateway is entitled to its safe part alone.
    """

    node: str
    session: int
    lease: int
    units: int
    until: int


@dataclass(frozen=True, slots=True)
class SendToNode:
    """A control node sends a message to another one of its region."""

    node: str
    message: ClusterMessage


@dataclass(frozen=True, slots=True)
class SendToGateway:
    """A control node sends a record to the gateway at the other end of a connection."""

    connection: ConnectionId
    record: Fields


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """A control node closes a gateway's connection after everything sent on it has been written out."""

    connection: ConnectionId
    reason: str


@dataclass(frozen=True, slots=True)
class ConnectToNode:
    """A gateway opens a connection to this control node; the program then calls `connected` or `connection_lost`."""

    node: str


@dataclass(frozen=True, slots=True)
class SendToControl:
    """A gateway sends a record over its connection to the control node of this name."""

    node: str
    record: Fields


@dataclass(frozen=True, slots=True)
class DisconnectFromNode:
    """A gateway closes its connection to this control node after everything sent on it has been written out."""

    node: str
    reason: str


NodeAction = SendToNode | SendToGateway | CloseConnection
GatewayAction = ConnectToNode | SendToControl | DisconnectFromNode


def gateway_part(units: int, gateways: int) -> Fraction:
    """Return a gateway's part of any whole: its even share of the safe part plus the units of its lease."""
    return SAFE_FRACTION / gateways + (1 - SAFE_FRACTION) * Fraction(units, WHOLE_UNITS)
