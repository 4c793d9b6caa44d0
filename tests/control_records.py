"""Made-up records of a small region, as links and gateways would write them: three control nodes, three gateways."""

from __future__ import annotations

import msgspec

from tansykeel.audit.control_findings import ControlFacts
from tansykeel.audit.records import FrameSeen, LeaseClaimed
from tansykeel.cluster.membership import Decided, LeaseGrant, LeaseRequest, Member, View
from tansykeel.cluster.messages import CODEC
from tansykeel.protocol.frames import Heartbeat, LeaseRenewal, SessionAccepted, SessionClose

MS, SECOND = 1_000, 1_000_000
LEASE = 3 * SECOND
WAY = 100  # microseconds that a frame is on its way
NODES = tuple(Member(f"control-{n}", n + 1) for n in range(3))
VIEW = View(7, NODES, NODES)
UNITS = 600_000_000
FACTS = ControlFacts(
    region_units={"north": UNITS, "south": 400_000_000},
    nodes={"control-0": "north", "control-1": "north", "control-2": "north", "control-9": "south"},
    gateways={"gateway-0": "north", "gateway-1": "north", "gateway-2": "north", "gateway-9": "south"},
    lease=LEASE,
    drift=0.0,
)


def between_nodes(at, node, to, message, passed=None):
    """A frame from one control node to another."""
    name, fields = CODEC.encode(message)
    went_on = at + WAY if passed is None else passed
    return FrameSeen(at, went_on, f"control-{node}", node + 1, f"control-{to}", to + 1, "between-nodes", name, fields)


def to_gateway(at, node, gateway, record, passed=None, incarnation=10):
    """A frame from a control node to a gateway."""
    fields = msgspec.msgpack.encode(record)
    went_on = at + WAY if passed is None else passed
    return FrameSeen(
        at,
        went_on,
        f"control-{node}",
        node + 1,
        f"gateway-{gateway}",
        incarnation,
        "to-gateway",
        type(record).__name__,
        fields,
    )


def to_node(at, gateway, node, record, incarnation=10):
    """A frame from a gateway to a control node."""
    fields = msgspec.msgpack.encode(record)
    return FrameSeen(
        at,
        at + WAY,
        f"gateway-{gateway}",
        incarnation,
        f"control-{node}",
        node + 1,
        "to-node",
        type(record).__name__,
        fields,
    )


def node_leases(at, view=VIEW, nodes=(0, 1, 2)):
    """Each node holds a lease on the view for the longest time from `at` on."""
    told = [between_nodes(0, 0, 1, Decided(view))]
    for node in nodes:
        for voter in [voter for voter in range(3) if voter != node]:
            told.append(between_nodes(at, node, voter, LeaseRequest(view.number, at // 100)))
            told.append(between_nodes(at + 200, voter, node, LeaseGrant(view.number, at // 100, True)))
    return told


def session(at, gateway, node, number=1, incarnation=10):
    """A control node holds a session of a gateway."""
    return [
        to_gateway(at, node, gateway, SessionAccepted("c", f"control-{node}", number, SECOND), incarnation=incarnation)
    ]


def renewal(at, gateway, node, units, lease=1, number=1, valid_for=SECOND, acknowledged=0, incarnation=10):
    """A gateway asks at `at`, its node answers, and it has the lease 400 microseconds after it asked."""
    return [
        to_node(at, gateway, node, Heartbeat(number, at // 100, acknowledged), incarnation=incarnation),
        to_gateway(
            at + 200, node, gateway, LeaseRenewal(number, at // 100, lease, units, valid_for), incarnation=incarnation
        ),
    ]


def claim(at, gateway, node, units, lease=1, number=1, until=None, incarnation=10):
    """A gateway counts by a lease that it asked for 400 microseconds before."""
    ends = at - 400 + SECOND if until is None else until
    return LeaseClaimed(at, f"gateway-{gateway}", incarnation, f"control-{node}", number, lease, units, ends)


def session_close(at, gateway, node, number=1, incarnation=10):
    """A gateway closes its session."""
    return to_node(at, gateway, node, SessionClose(number), incarnation=incarnation)
