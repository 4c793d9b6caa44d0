"""Builds the records that links and gateways would write for a small region of three control nodes and gateways."""

from __future__ import annotations

import msgspec

from tansykeel.audit.control_findings import ControlFacts
from tansykeel.audit.records import FrameSeen, LeaseClaimed
from tansykeel.cluster.membership import Decided, LeaseGrant, LeaseRequest, Member, View
from tansykeel.cluster.messages import CODEC
from tansykeel.protocol.frames import Heartbeat, LeaseRenewal, SessionAccepted, SessionClose

MS, SECOND = 1_000, 1_000_000
LEASE = 3 * SECOND
TRANSIT_TIME = 100  # of a frame, in microseconds like all times here
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
    """The record of a frame from one control node to another."""
    name, fields = CODEC.encode(message)
    passed_at = at + TRANSIT_TIME if passed is None else passed
    return FrameSeen(at, passed_at, f"control-{node}", node + 1, f"control-{to}", to + 1, "between-nodes", name, fields)


def to_gateway(at, node, gateway, record, passed=None, incarnation=10):
    """The record of a frame from a control node to a gateway."""
    fields = msgspec.msgpack.encode(record)
    passed_at = at + TRANSIT_TIME if passed is None else passed
    return FrameSeen(
        at,
        passed_at,
        f"control-{node}",
        node + 1,
        f"gateway-{gateway}",
        incarnation,
        "to-gateway",
        type(record).__name__,
        fields,
    )


def to_node(at, gateway, node, record, incarnation=10):
    """The record of a frame from a gateway to a control node."""
    fields = msgspec.msgpack.encode(record)
    return FrameSeen(
        at,
        at + TRANSIT_TIME,
        f"gateway-{gateway}",
        incarnation,
        f"control-{node}",
        node + 1,
        "to-node",
        type(record).__name__,
        fields,
    )


def node_leases(at, view=VIEW, nodes=(0, 1, 2)):
    """The frames by which each node gets a lease of full duration on the view, asked for at `at`."""
    records = [between_nodes(0, 0, 1, Decided(view))]
    for node in nodes:
        for voter in [voter for voter in range(3) if voter != node]:
            records.append(between_nodes(at, node, voter, LeaseRequest(view.number, at // 100)))
            records.append(between_nodes(at + 200, voter, node, LeaseGrant(view.number, at // 100, True)))
    return records


def session(at, gateway, node, number=1, incarnation=10):
    """The frame by which a control node accepts a gateway's session."""
    return [
        to_gateway(at, node, gateway, SessionAccepted("c", f"control-{node}", number, SECOND), incarnation=incarnation)
    ]


def renewal(at, gateway, node, units, lease=1, number=1, valid_for=SECOND, acknowledged=0, incarnation=10):
    """A heartbeat that a gateway sends at `at`, and its renewal, which the gateway has 400 microseconds later."""
    return [
        to_node(at, gateway, node, Heartbeat(number, at // 100, acknowledged), incarnation=incarnation),
        to_gateway(
            at + 200, node, gateway, LeaseRenewal(number, at // 100, lease, units, valid_for), incarnation=incarnation
        ),
    ]


def claim(at, gateway, node, units, lease=1, number=1, until=None, incarnation=10):
    """The record of a gateway that counts by a lease from `at` on, 400 microseconds after it asked for the lease."""
    ends = at - 400 + SECOND if until is None else until
    return LeaseClaimed(at, f"gateway-{gateway}", incarnation, f"control-{node}", number, lease, units, ends)


def session_close(at, gateway, node, number=1, incarnation=10):
    """The frame by which a gateway closes its session."""
    return to_node(at, gateway, node, SessionClose(number), incarnation=incarnation)
