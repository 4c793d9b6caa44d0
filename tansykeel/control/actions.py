"""What the cores of the control plane ask the program around them to do, and the units in which parts are counted."""

from __future__ import annotations

from dataclasses import dataclass
from fractions import Fraction

from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import SAFE_FRACTION
from tansykeel.protocol.frames import Fields

WHOLE_UNITS = 1_000_000_000  # the whole beside the safe part, over all regions
ConnectionId = int  # given by the program to each connection of a gateway to a control node; never used twice


@dataclass(frozen=True, slots=True)
class SessionTerms:
    """What control nodes and gateways agree on beforehand, by their settings. Times are tenths of a millisecond."""

    lease: int  # the longest that a gateway counts a lease
    heartbeat: int
    drift: float  # by how much any clock may run fast or slow
    admissions_per_second: float  # new sessions that one control node accepts


@dataclass(frozen=True, slots=True)
class EffectiveLease:
    """What a gateway counts by: the control node that granted it, and until when; no node: the safe part alone."""

    node: str
    session: int
    lease: int
    units: int
    until: int


@dataclass(frozen=True, slots=True)
class SendToNode:
    """A control node tells another one of its region."""

    node: str
    message: ClusterMessage


@dataclass(frozen=True, slots=True)
class SendToGateway:
    """A control node tells the gateway at the other end of a connection."""

    connection: ConnectionId
    record: Fields


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """A control node has no use for a gateway's connection any more, once what was sent on it has left."""

    connection: ConnectionId
    reason: str


@dataclass(frozen=True, slots=True)
class ConnectToNode:
    """A gateway wants a connection to this control node; the program answers with `connected` or `connection_lost`."""

    node: str


@dataclass(frozen=True, slots=True)
class SendToControl:
    """A gateway tells the control node that it is connected to under this name."""

    node: str
    record: Fields


@dataclass(frozen=True, slots=True)
class DisconnectFromNode:
    """A gateway has no use for its connection to this control node any more, once what was sent has left."""

    node: str
    reason: str


NodeAction = SendToNode | SendToGateway | CloseConnection
GatewayAction = ConnectToNode | SendToControl | DisconnectFromNode


def gateway_part(units: int, gateways: int) -> Fraction:
    """Return a gateway's part of any whole: its even share of the safe part, and the units that it holds a lease on."""
    return SAFE_FRACTION / gateways + (1 - SAFE_FRACTION) * Fraction(units, WHOLE_UNITS)
