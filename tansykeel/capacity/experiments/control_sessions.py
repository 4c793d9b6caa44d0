"""Sessions with control nodes on sockets: what control costs a gateway, and what gateways cost a control node.

Hollow gateways run the code of a real gateway's session. Nobody dies while something is measured, and all sessions are
open and leased before. Bytes are those of the TCP streams as the kernel counts them, the hello and the heads of frames
among them; one series adds 40 bytes of TCP/IP headers for each segment, also for those that only acknowledge.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from statistics import fmean, median

from tansykeel.capacity.control_plane import ControlPlane, HollowGateways, control_plane, hollow_gateways
from tansykeel.capacity.processes import processor_seconds, resident_bytes
from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment
from tansykeel.capacity.socket_traffic import traffic_of_process
from tansykeel.edge.hollow.report import GatewayReport

PER_PROCESS = (25, 50, 75, 100, 150)
GATEWAYS = (75, 150, 225, 300, 450)
PER_PROCESS_REPETITIONS, REPETITIONS = 3, 2
SETTLE_S = 3.0  # a lease: what the sessions' opening cost is over by then
MEASURED_S = 20.0
MICROSECONDS = 1e6
MECHANISM = "sessions with control nodes"
HOLLOW = "hollow gateways of one process before 3 control node processes on loopback, heartbeats of 1 s"
PLANE = "3 control node processes before hollow gateways on loopback, one region, leases of 3 s, heartbeats of 1 s"


def _gateway_series(
    name: str, aspect: Aspect, quantity: str, unit: str, grows_by: str, figure_unit: str, factor: float, bound: str
) -> SeriesSpec:
    return SeriesSpec(
        name=name,
        role=Role.GATEWAY_CONTROL,
        aspect=aspect,
        quantity=quantity,
        unit=unit,
        grows_by=grows_by,
        mechanism=MECHANISM,
        figure="each gateway",
        figure_unit=figure_unit,
        factor=factor,
        bound=bound,
        counts_fixed=grows_by != "one",
        how=HOLLOW if grows_by == "one" else PLANE,
    )


SESSION_PROCESSOR = _gateway_series(
    "session-processor",
    Aspect.PROCESSOR,
    "processor time of a process, for each hollow gateway in it",
    "us/s",
    "one",
    "% of a core",
    1e-4,
    "gateway-control-processor",
)
SESSION_MEMORY = _gateway_series(
    "session-memory",
    Aspect.MEMORY,
    "resident memory of a process, for each hollow gateway in it",
    "bytes",
    "one",
    "bytes",
    1,
    "gateway-control-memory",
)
SESSION_BYTES_MEDIAN = _gateway_series(
    "session-bytes-median",
    Aspect.MESSAGES,
    "control of the median gateway, in and out",
    "bytes/s",
    "gateways",
    "bytes/s",
    1,
    "",
)
SESSION_BYTES_BUSIEST = _gateway_series(
    "session-bytes-busiest",
    Aspect.MESSAGES,
    "control of the busiest gateway, in and out",
    "bytes/s",
    "gateways",
    "bytes/s",
    1,
    "gateway-control-bytes",
)
SESSION_BYTES_WIRE = _gateway_series(
    "session-bytes-wire",
    Aspect.MESSAGES,
    "control of the busiest gateway, in and out, with 40 bytes of TCP/IP headers a segment",
    "bytes/s",
    "gateways",
    "bytes/s",
    1,
    "",
)


def _node_series(role: Role, part: str, aspect: Aspect, quantity: str, unit: str, factor: float) -> SeriesSpec:
    return SeriesSpec(
        name=f"{role.value}-{part}",
        role=role,
        aspect=aspect,
        quantity=quantity,
        unit=unit,
        grows_by="gateways_per_control_node",
        mechanism=MECHANISM,
        figure="each node",
        figure_unit="% of a core" if aspect is Aspect.PROCESSOR else unit,
        factor=factor,
        how=PLANE,
    )


NODE_ROLES = (Role.CONTROL_LEADER, Role.CONTROL_FOLLOWER)
NODE_PROCESSOR, NODE_MEMORY, NODE_BYTES = (
    {role: _node_series(role, part, aspect, quantity, unit, factor) for role in NODE_ROLES}
    for part, aspect, quantity, unit, factor in (
        ("processor", Aspect.PROCESSOR, "processor time", "us/s", 1e-4),
        ("memory", Aspect.MEMORY, "resident memory", "bytes", 1.0),
        ("bytes", Aspect.MESSAGES, "traffic with gateways and other nodes, in and out", "bytes/s", 1.0),
    )
)


@experiment("hollow-gateways", SESSION_PROCESSOR, SESSION_MEMORY)
def sessions_of_one_process(scale: Scale) -> Iterator[Sample]:
    """Hollow gateways in one process: the slope is what one of them costs, the fixed part is the process at rest."""
    seconds = scale.seconds(MEASURED_S)
    for _ in scale.repetitions(PER_PROCESS_REPETITIONS):
        for size in scale.sizes(PER_PROCESS, least=1):
            with control_plane(size) as plane, hollow_gateways(plane, per_process=size) as gateways:
                time.sleep(scale.seconds(SETTLE_S))
                pid = gateways.processes[0].pid
                before = processor_seconds(pid)
                time.sleep(seconds)
                spent = processor_seconds(pid) - before
                yield Sample(SESSION_PROCESSOR.name, size, spent / seconds * MICROSECONDS)
                yield Sample(SESSION_MEMORY.name, size, resident_bytes(pid))


@experiment(
    "control-nodes",
    SESSION_BYTES_MEDIAN,
    SESSION_BYTES_BUSIEST,
    SESSION_BYTES_WIRE,
    *NODE_PROCESSOR.values(),
    *NODE_MEMORY.values(),
    *NODE_BYTES.values(),
)
def control_nodes(scale: Scale) -> Iterator[Sample]:
    """Control nodes of one region before more and more gateways. A node's size is the number of its sessions."""
    for _ in scale.repetitions(REPETITIONS):
        for size in scale.sizes(GATEWAYS, least=1):
            with control_plane(size) as plane, hollow_gateways(plane) as gateways:
                time.sleep(scale.seconds(SETTLE_S))
                yield from quiet_samples(plane, gateways, scale.seconds(MEASURED_S))


def quiet_samples(plane: ControlPlane, gateways: HollowGateways, seconds: float) -> Iterator[Sample]:
    """Measure a quiet control plane for so many seconds; of the two followers the mean."""
    gateways_before = gateways.gateway_reports()
    nodes_before = [traffic_of_process(node.pid) for node in plane.nodes]
    spent_before = [processor_seconds(node.pid) for node in plane.nodes]
    time.sleep(seconds)
    spent = [processor_seconds(node.pid) - before for node, before in zip(plane.nodes, spent_before, strict=True)]
    node_bytes = [
        (traffic_of_process(node.pid) - before).bytes_both_ways
        for node, before in zip(plane.nodes, nodes_before, strict=True)
    ]
    pairs = list(zip(gateways_before, gateways.gateway_reports(), strict=True))
    rates = [(_stream_bytes(after) - _stream_bytes(before)) / seconds for before, after in pairs]
    wire_rates = [(after.bytes_with_headers - before.bytes_with_headers) / seconds for before, after in pairs]
    yield Sample(SESSION_BYTES_MEDIAN.name, plane.gateways, median(rates))
    yield Sample(SESSION_BYTES_BUSIEST.name, plane.gateways, max(rates))
    yield Sample(SESSION_BYTES_WIRE.name, plane.gateways, max(wire_rates))
    leader = plane.leader()
    followers = [number for number in range(len(plane.nodes)) if number != leader]
    for role, numbers in ((Role.CONTROL_LEADER, [leader]), (Role.CONTROL_FOLLOWER, followers)):
        sessions = fmean(plane.status(number).sessions for number in numbers)
        processor = fmean(spent[number] for number in numbers) / seconds * MICROSECONDS
        memory = fmean(resident_bytes(plane.nodes[number].pid) for number in numbers)
        yield Sample(NODE_PROCESSOR[role].name, sessions, processor)
        yield Sample(NODE_MEMORY[role].name, sessions, memory)
        yield Sample(NODE_BYTES[role].name, sessions, fmean(node_bytes[number] for number in numbers) / seconds)


def _stream_bytes(report: GatewayReport) -> int:
    return report.bytes_received + report.bytes_sent
