"""Faults of a control plane in simulated time: strikes them, and watches how long each is felt."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from tansykeel.control.session_client import SessionState
from tansykeel.emulator.control_measures import LONGEST_LEADER_CHANGE_S, WHOLE_PART, CountedUnits, FaultFelt
from tansykeel.emulator.control_network import ControlNetwork
from tansykeel.emulator.control_processes import GatewayProcess, NodeProcess, Process
from tansykeel.emulator.control_trial import ControlFault, ControlTrial, FaultKind
from tansykeel.emulator.engine import Engine

MICROSECONDS = 1_000_000  # in a second
LOOK_EVERY = 100_000  # microseconds between looks at a fault that is felt
LONGEST_WATCH = 30 * MICROSECONDS  # or until the next fault
GATEWAY_STALLS_S = 5.0
CALM_BEFORE_S = 5.0  # without another fault, for the change of a leader to be held to its bound
PLANNED_PART = 0.8  # of the restarts of gateways; the others are kills
AWAY_S = (2.0, 6.0)  # how long a gateway that restarts is away


class FaultWatch:
    """Looks at a region from a fault on, up to a moment: until when it was felt."""

    def __init__(
        self,
        engine: Engine,
        felt: FaultFelt,
        gateways: Sequence[GatewayProcess],
        nodes: Sequence[NodeProcess],
        counted: CountedUnits,
        until: int,
    ) -> None:
        self.felt = felt
        self._engine = engine
        self._begun = engine.now
        self._gateways = [gateway for gateway in gateways if gateway.name in felt.gateways]
        self._nodes = nodes
        self._counted = counted
        self._until = until
        self._look()

    def _look(self) -> None:
        passed = (self._engine.now - self._begun) / MICROSECONDS
        self._counted.expire(self._engine.now)
        there = [gateway for gateway in self._gateways if self._lived_through(gateway)]
        without = sum(not self._counted.has_lease(gateway.name) for gateway in there)
        self.felt.most_without_lease = max(self.felt.most_without_lease, without)
        if without:
            self.felt.without_lease_s = passed
        if any(gateway.client.state is not SessionState.OPEN for gateway in there):
            self.felt.without_session_s = passed
        if self._counted.by_region[self.felt.region] < WHOLE_PART * self._counted.region_units[self.felt.region]:
            self.felt.whole_s = passed
        if self.felt.dead and self.felt.reclaimed_s is None and self._reclaimed():
            self.felt.reclaimed_s = passed
        if self._engine.now + LOOK_EVERY < self._until:
            self._engine.after(LOOK_EVERY, self._look)

    def _lived_through(self, gateway: GatewayProcess) -> bool:
        """Whether the gateway neither restarted nor stood still since the fault."""
        same = gateway.up and gateway.incarnation == self.felt.gateways[gateway.name]
        return same and gateway.stalled_until < self._begun

    def _reclaimed(self) -> bool:
        """Whether a leader's log has no units of the dead nodes, or these are back."""
        leaders = [node for node in self._nodes if node.leads and node.name not in self.felt.dead]
        records = [leader.node.state.records for leader in leaders]
        return any(not any(name in state and state[name].units for name in self.felt.dead) for state in records)


class ControlFaults:
    """Strikes the faults and restarts of a trial."""

    def __init__(
        self,
        trial: ControlTrial,
        engine: Engine,
        network: ControlNetwork,
        gateways: Sequence[GatewayProcess],
        nodes: Sequence[NodeProcess],
        counted: CountedUnits,
    ) -> None:
        self.felt: list[FaultFelt] = []
        self.restarts = 0
        self._trial = trial
        self._engine = engine
        self._network = network
        self._gateways = gateways
        self._nodes = nodes
        self._counted = counted
        self._chance: Random = trial.chance("faults")
        self._begun = 0

    def plan(self, begin: int) -> None:
        """Plan all that is to happen, from a moment on."""
        self._begun = begin
        span = self._trial.seconds * MICROSECONDS
        for fault in self._trial.faults:
            self._engine.at(begin + int(fault.at_s * MICROSECONDS), self._strike, fault)
        for _ in range(self._trial.restarts):
            self._engine.at(begin + int(self._chance.random() * span), self._restart_any)
        for _ in range(self._trial.stalls):
            self._engine.at(begin + int(self._chance.random() * span), self._stall_any)

    # Gateways

    def _any_gateway(self) -> GatewayProcess | None:
        there = [gateway for gateway in self._gateways if gateway.up]
        return self._chance.choice(there) if there else None

    def _restart_any(self) -> None:
        gateway = self._any_gateway()
        if gateway is None:
            return
        self.restarts += 1
        if self._chance.random() < PLANNED_PART:
            gateway.stop()
        else:
            gateway.kill()
        self._counted.put(self._engine.now, gateway.name, None)
        self._engine.after(int(self._chance.uniform(*AWAY_S) * MICROSECONDS), self._start, gateway)

    def _stall_any(self) -> None:
        gateway = self._any_gateway()
        if gateway is not None:
            gateway.stall(self._engine.now + int(GATEWAY_STALLS_S * MICROSECONDS))

    def _start(self, process: GatewayProcess | NodeProcess) -> None:
        if not process.up:
            process.start()

    # Control nodes and zones

    def _strike(self, fault: ControlFault) -> None:
        strikes: dict[FaultKind, Callable[[ControlFault, str], Sequence[Process]]] = {
            FaultKind.LEADER_KILLED: self._leader_killed,
            FaultKind.FOLLOWER_LOST: self._follower_lost,
            FaultKind.NODE_STALLED: self._node_stalled,
            FaultKind.NODE_CUT_OFF: self._node_cut_off,
            FaultKind.CONNECTIONS_RESET: self._connections_reset,
            FaultKind.ZONE_LOST: self._zone_lost,
            FaultKind.REGIONS_CUT: self._regions_cut,
            FaultKind.ALL_NODES_KILLED: self._all_nodes_killed,
        }
        region = f"region-{fault.region}"
        if fault.kind is FaultKind.ZONE_LOST:
            region = next(node.region for node in self._nodes if node.zone == fault.zone)
        covered = {
            gateway.name: gateway.incarnation
            for gateway in self._gateways
            if gateway.up and gateway.region == region and self._counted.has_lease(gateway.name)
        }
        if not self._nodes_of(region):
            return  # there is nothing left to strike
        alone = self._alone(fault) and any(node.leads for node in self._nodes_of(region))
        dead = strikes[fault.kind](fault, region)
        names = tuple(process.name for process in dead if isinstance(process, NodeProcess))
        felt = FaultFelt(fault.kind, region, fault.at_s, covered, alone, names)
        self.felt.append(felt)
        nodes = [node for node in self._nodes if node.region == region]
        FaultWatch(self._engine, felt, self._gateways, nodes, self._counted, self._watched_until())

    def _alone(self, fault: ControlFault) -> bool:
        begin, end = fault.at_s - CALM_BEFORE_S, fault.at_s + LONGEST_LEADER_CHANGE_S
        others = [other for other in self._trial.faults if other is not fault]
        return not any(other.at_s < end and other.at_s + other.lasts_s > begin for other in others)

    def _watched_until(self) -> int:
        moments = [self._begun + int(fault.at_s * MICROSECONDS) for fault in self._trial.faults]
        later = [moment for moment in moments if moment > self._engine.now]
        return min([self._engine.now + LONGEST_WATCH, *later])

    def _nodes_of(self, region: str) -> list[NodeProcess]:
        return [node for node in self._nodes if node.region == region and node.up]

    def _leader(self, region: str) -> NodeProcess:
        nodes = self._nodes_of(region)
        return next((node for node in nodes if node.leads), nodes[0])

    def _follower(self, region: str) -> NodeProcess:
        nodes = self._nodes_of(region)
        return next((node for node in nodes if not node.leads), nodes[0])

    def _kill(self, processes: Sequence[GatewayProcess | NodeProcess], lasts_s: float, silent: bool) -> None:
        for process in processes:
            process.silent = silent
            process.kill()
            if isinstance(process, GatewayProcess):
                self._counted.put(self._engine.now, process.name, None)
            self._engine.after(int(lasts_s * MICROSECONDS), self._start, process)

    def _until(self, fault: ControlFault) -> int:
        return self._engine.now + int(fault.lasts_s * MICROSECONDS)

    def _leader_killed(self, fault: ControlFault, region: str) -> Sequence[Process]:
        struck = [self._leader(region)]
        self._kill(struck, fault.lasts_s, silent=False)
        return struck

    def _follower_lost(self, fault: ControlFault, region: str) -> Sequence[Process]:
        struck = [self._follower(region)]
        self._kill(struck, fault.lasts_s, silent=True)
        return struck

    def _node_stalled(self, fault: ControlFault, region: str) -> Sequence[Process]:
        self._leader(region).stall(self._until(fault))
        return ()

    def _node_cut_off(self, fault: ControlFault, region: str) -> Sequence[Process]:
        struck = self._follower(region).name
        others = {node.name for node in self._nodes_of(region)} - {struck}
        pairs = {(struck, other) for other in others} | {(other, struck) for other in others}
        self._network.cut(self._until(fault), lambda one, other: (one, other) in pairs)
        return ()

    def _connections_reset(self, fault: ControlFault, region: str) -> Sequence[Process]:
        self._leader(region).reset_connections()
        return ()

    def _zone_lost(self, fault: ControlFault, region: str) -> Sequence[Process]:
        processes: list[GatewayProcess | NodeProcess] = [*self._gateways, *self._nodes]
        struck = [process for process in processes if process.up and process.zone == fault.zone]
        self._kill(struck, fault.lasts_s, silent=True)
        return struck

    def _regions_cut(self, fault: ControlFault, region: str) -> Sequence[Process]:
        region_of = {process.name: process.region for process in (*self._gateways, *self._nodes)}
        self._network.cut(self._until(fault), lambda one, other: region_of[one] != region_of[other])
        return ()

    def _all_nodes_killed(self, fault: ControlFault, region: str) -> Sequence[Process]:
        struck = self._nodes_of(region)
        self._kill(struck, fault.lasts_s, silent=False)
        return struck
