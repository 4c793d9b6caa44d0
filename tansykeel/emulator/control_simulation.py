"""A whole control plane in simulated time: the real cores of control nodes and gateways, faults, and what is judged.

What gateways count is summed at every change, and all frames and claims are given to the checker of the control plane
(`audit/control.py`). `docs/control.md` has the figures that came out.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from tansykeel.audit.control import ControlChecker
from tansykeel.audit.control_findings import ControlFacts
from tansykeel.audit.records import FrameSeen, LeaseClaimed
from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.messages import CODEC
from tansykeel.control.actions import EffectiveLease
from tansykeel.control.node import ControlNode
from tansykeel.control.session_client import SessionClient
from tansykeel.emulator.control_faults import ControlFaults
from tansykeel.emulator.control_measures import (
    ControlSeen,
    Counted,
    CountedUnits,
    ProcessorTime,
    Traffic,
    median,
)
from tansykeel.emulator.control_network import Connection, ControlNetwork
from tansykeel.emulator.control_processes import GatewayProcess, NodeProcess, Process
from tansykeel.emulator.control_trial import CLUSTER, NODES_PER_REGION, ControlTrial
from tansykeel.emulator.drifting_clock import DriftingClock
from tansykeel.emulator.engine import START, Engine, NoEnd
from tansykeel.protocol.frames import Fields, Hello, Watch, pack

MICROSECONDS = 1_000_000  # in a second
MICROSECONDS_PER_TICK = 100
CONNECT_TIMEOUT = 500_000  # microseconds
SAMPLE_EVERY = 500_000  # microseconds between looks at what all gateways count
STARTS_WITHIN = 2 * MICROSECONDS  # from the control nodes' start on, all gateways start
LATEST_CLOCK = 10**9  # ticks: clocks begin anywhere up to this
MOST_EVENTS = 100_000_000


class ControlSimulation:
    """Plays one trial."""

    def __init__(self, trial: ControlTrial) -> None:
        self.trial = trial
        self.engine = Engine()
        self.network = ControlNetwork(
            self.engine, trial.chance("network"), trial.way_ms, trial.loss, trial.lost_between_nodes
        )
        self.checker = ControlChecker(self._facts())
        self.counted = CountedUnits(trial.region_units())
        self.processor = ProcessorTime()
        self._clocks = trial.chance("clocks")
        self.nodes = {
            place.name: NodeProcess(self, place, self._clock(), self._new_node) for place in trial.node_places()
        }
        self.gateways = {
            place.name: GatewayProcess(self, place, self._clock(), self._new_client) for place in trial.gateway_places()
        }
        self.faults = ControlFaults(
            trial, self.engine, self.network, [*self.gateways.values()], [*self.nodes.values()], self.counted
        )
        self.traffic = {name: Traffic() for name in (*self.nodes, *self.gateways)}
        self.frames = Counter[str]()  # bytes of frames alone, by process
        self._connections = 0
        self._sums: list[float] = []
        self._first = START + trial.settle_s * MICROSECONDS

    def play(self) -> ControlSeen:
        """Play the trial to its end. Raises NoEnd where that has too many events."""
        starts = self.trial.chance("starts")
        for node in self.nodes.values():
            node.start()
        for gateway in self.gateways.values():
            self.engine.after(int(starts.random() * STARTS_WITHIN), gateway.start)
        self.faults.plan(self._first)
        self.engine.at(self._first, self._sample)
        end = self._first + self.trial.seconds * MICROSECONDS
        if not self.engine.run(end, MOST_EVENTS):
            raise NoEnd(f"{self.trial} did not end within {MOST_EVENTS} events")
        return self._seen()

    # What processes ask for

    def measure(self, process: Process, step: Callable[[], list[Any]]) -> list[Any]:
        """Carry out a step of a core, and count its processor time."""
        role = "gateway"
        if isinstance(process, NodeProcess):
            role = "leader" if process.leads else "follower"
        return self.processor.measure(role, step, self._counts())

    def connect(self, gateway: GatewayProcess, node_name: str) -> None:
        """Open a connection; `connected` or `lost` of the gateway follows."""
        node = self.nodes[node_name]
        self._connections += 1
        connection = Connection(self._connections, gateway.name, node_name, (gateway.incarnation, node.incarnation))
        gateway.connections[node_name] = connection
        if self.network.cut_until(gateway.name, node_name) or node.silent:
            self.engine.after(CONNECT_TIMEOUT, gateway.lost, connection)
        else:
            self.engine.after(self.network.way() + self.network.way(), self._establish, connection)

    def to_node(self, connection: Connection, record: Fields) -> None:
        """Send a frame of a gateway."""
        if not connection.gateway_open:
            return
        arrival = self.network.arrival(connection, to_node=True)
        self._count_frame(connection.gateway, connection.node, len(pack(0, record)))
        self._observe(
            arrival,
            (connection.gateway, connection.gateway_incarnation),
            (connection.node, connection.node_incarnation),
            record,
        )
        self.engine.at(arrival, self.nodes[connection.node].arrived, connection, record)

    def to_gateway(self, connection: Connection, record: Fields) -> None:
        """Send a frame of a control node."""
        if not connection.node_open:
            return
        arrival = self.network.arrival(connection, to_node=False)
        self._count_frame(connection.node, connection.gateway, len(pack(0, record)))
        self._observe(
            arrival,
            (connection.node, connection.node_incarnation),
            (connection.gateway, connection.gateway_incarnation),
            record,
        )
        self.engine.at(arrival, self.gateways[connection.gateway].arrived, connection, record)

    def between_nodes(self, sender: NodeProcess, node: str, message: ClusterMessage) -> None:
        """Send a message of one control node to another."""
        receiver = self.nodes[node]
        what, word = CODEC.encode(message)
        self._count_frame(sender.name, node, len(pack(0, Watch(what, word))))
        arrival = self.network.arrival_between_nodes(sender.name, node)
        seen = FrameSeen(
            self.engine.now,
            arrival or 0,
            sender.name,
            sender.incarnation,
            node,
            receiver.incarnation,
            "between-nodes",
            what,
            word,
        )
        self.checker.observe(seen)
        if arrival is not None:
            self.engine.at(arrival, receiver.heard, sender.node.member.me, message)

    def close(self, connection: Connection, by_gateway: bool) -> None:
        """End a connection after all that was sent on it from this end."""
        gateway, node = self.gateways[connection.gateway], self.nodes[connection.node]
        if by_gateway and connection.gateway_open:
            connection.gateway_open = False
            if not gateway.silent:
                self.engine.at(self.network.arrival(connection, to_node=True), node.lost, connection)
        if not by_gateway and connection.node_open:
            connection.node_open = False
            if not node.silent:
                self.engine.at(self.network.arrival(connection, to_node=False), gateway.lost, connection)

    def claimed(self, gateway: GatewayProcess, lease: EffectiveLease) -> None:
        """Note that a gateway counts something else than before."""
        now = self.engine.now
        if not lease.units:
            self.counted.put(now, gateway.name, None)
            self.checker.observe(LeaseClaimed(now, gateway.name, gateway.incarnation))
            return
        until = gateway.clock.moment_of(lease.until)
        self.counted.put(now, gateway.name, Counted(gateway.region, lease.units, until))
        self.checker.observe(
            LeaseClaimed(
                now, gateway.name, gateway.incarnation, lease.node, lease.session, lease.lease, lease.units, until
            )
        )

    # Within

    def _facts(self) -> ControlFacts:
        return ControlFacts(
            region_units=self.trial.region_units(),
            nodes={node.name: node.region for node in self.trial.node_places()},
            gateways={gateway.name: gateway.region for gateway in self.trial.gateway_places()},
            lease=self.trial.terms.lease * MICROSECONDS_PER_TICK,
            drift=self.trial.terms.drift,
        )

    def _clock(self) -> DriftingClock:
        drift = self.trial.terms.drift if self.trial.clocks_apart else 0.0
        return DriftingClock(1 + self._clocks.uniform(-drift, drift), self._clocks.randrange(LATEST_CLOCK))

    def _new_client(self, gateway: GatewayProcess) -> SessionClient:
        return SessionClient(
            CLUSTER,
            gateway.region,
            gateway.name,
            self.trial.gateways,
            tuple(self.trial.nodes_of(gateway.region)),
            self.trial.terms,
            self.trial.chance(f"{gateway.name} {gateway.incarnation}"),
            gateway.now(),
        )

    def _new_node(self, node: NodeProcess) -> ControlNode:
        places = self.trial.gateway_places()
        return ControlNode(
            cluster=CLUSTER,
            region=node.region,
            region_units=self.trial.region_units()[node.region],
            name=node.name,
            incarnation=node.incarnation,
            placements=self.trial.nodes_of(node.region),
            gateways=frozenset(place.name for place in places if place.region == node.region),
            detector_config=self.trial.pace,
            terms=self.trial.lease_terms,
            session_terms=self.trial.terms,
            rng=self.trial.chance(f"{node.name} {node.incarnation}"),
            now=node.now(),
        )

    def _establish(self, connection: Connection) -> None:
        gateway, node = self.gateways[connection.gateway], self.nodes[connection.node]
        if gateway.connections.get(connection.node) is not connection:
            return
        if not node.up or node.incarnation != connection.node_incarnation:
            gateway.lost(connection)
            return
        connection.gateway_open = connection.node_open = True
        node.connections[connection.number] = connection
        self._count_frame(gateway.name, node.name, len(pack(0, Hello(1, "edge", gateway.name, gateway.incarnation))))
        self._count_frame(node.name, gateway.name, len(pack(0, Hello(1, "control", node.name, node.incarnation))))
        gateway.connected(connection)

    def _observe(self, arrival: int, sender: tuple[str, int], receiver: tuple[str, int], record: Fields) -> None:
        to_node = receiver[0] in self.nodes
        self.checker.observe(
            FrameSeen(
                self.engine.now,
                arrival,
                *sender,
                *receiver,
                "to-node" if to_node else "to-gateway",
                type(record).__name__,
                msgspec.msgpack.encode(record),
            )
        )

    def _counts(self) -> bool:
        return self.engine.now >= self._first

    def _count_frame(self, sender: str, receiver: str, length: int) -> None:
        if self._counts():
            self.traffic[sender].send(length)
            self.traffic[receiver].receive(length)
            self.frames[sender] += length
            self.frames[receiver] += length

    def _sample(self) -> None:
        self.counted.expire(self.engine.now)
        units = sum(self.counted.region_units.values())
        self._sums.append(sum(self.counted.by_region.values()) / units)
        self.engine.after(SAMPLE_EVERY, self._sample)

    def _seen(self) -> ControlSeen:
        seconds = self.trial.seconds
        gateways = [self.traffic[name].total / seconds for name in self.gateways]
        nodes = [self.traffic[name].total / seconds for name in self.nodes]
        regions = len(self.trial.regions())
        cpu = {role: spent * 1e6 / seconds for role, spent in self.processor.seconds.items()}
        findings = self.checker.finish()
        return ControlSeen(
            bytes_median=median(gateways),
            bytes_busiest=max(gateways),
            frame_bytes_median=median([self.frames[name] / seconds for name in self.gateways]),
            node_bytes_median=median(nodes),
            node_bytes_busiest=max(nodes),
            gateway_cpu_us=cpu.get("gateway", 0.0) / len(self.gateways),
            follower_cpu_us=cpu.get("follower", 0.0) / (regions * (NODES_PER_REGION - 1)),
            leader_cpu_us=cpu.get("leader", 0.0) / regions,
            most_of_region=self.counted.most_part,
            mean_of_whole=sum(self._sums) / len(self._sums),
            over=self.counted.over,
            findings=tuple(f"{finding.rule}: {finding.who}: {finding.what}" for finding in findings),
            refused_renewals=sum(
                gateway.refused + (gateway.client.refusals.total() if gateway.up else 0)
                for gateway in self.gateways.values()
            ),
            sessions=self._sessions(),
            faults=tuple(self.faults.felt),
            restarts=self.faults.restarts,
            observed=self.checker.observed,
            events=self.engine.events,
        )

    def _sessions(self) -> dict[str, tuple[int, ...]]:
        return {
            region: tuple(
                len(node.node.table) if node.up else 0 for node in self.nodes.values() if node.region == region
            )
            for region in self.trial.regions()
        }
