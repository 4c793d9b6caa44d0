"""Model checker for the control plane: explores orders of events on a small region and checks invariants. Without I/O.

Extends the model of `cluster.model_checker` to complete control nodes and the session clients of gateways. Messages
between nodes may arrive late, repeatedly or never; connections of gateways may break at either end; nodes and gateways
crash, restart or stall while time advances, and nodes lead the log, propose views and form them. After each event the
invariants are checked on what the gateways count and on what the nodes granted and committed.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import cast

from tansykeel.cluster.member import OutgoingMessage
from tansykeel.cluster.membership import Member, View, ViewMessage
from tansykeel.cluster.model_checker import Bounds, Event, Fleet
from tansykeel.cluster.view_agreement import ViewAgreement
from tansykeel.control.actions import (
    CloseConnection,
    ConnectToNode,
    DisconnectFromNode,
    GatewayAction,
    NodeAction,
    SendToControl,
    SendToGateway,
    SendToNode,
)
from tansykeel.control.entries import decode_entry
from tansykeel.control.model_parts import (
    REGION_UNITS,
    TICK,
    Connection,
    GrantId,
    GrantRecord,
    ModelConfig,
    ModelGateway,
    ModelNode,
)
from tansykeel.protocol.frames import LeaseRenewal

EXACT_CLOCK_RATES = (10,)  # tenths of a tick that each clock advances per tick: all clocks agree
DRIFTING_CLOCK_RATES = (11, 9)  # of a fast and a slow clock, assigned in turn, for terms with a drift of a tenth
EVENT_LIMITS = {"lead": 3, "break": 8, "reopen": 4, "leave": 1}  # per run, besides `Bounds`; reopen: a gateway restarts
NODE, GATEWAY = "node", "gateway"  # the ends of a connection


@dataclass(frozen=True, slots=True)
class CountedGrant:
    """The units that a gateway counts now, and the grant by which it counts them."""

    gateway: str
    grant: GrantId
    units: int


class RegionModel(Fleet):
    """A state of the model: nodes, gateways, connections, the messages between nodes and the grants to gateways."""

    def __init__(self, names: tuple[str, ...], model: ModelConfig, rates: tuple[int, ...] = EXACT_CLOCK_RATES) -> None:
        self.model = model
        self.nodes: dict[str, ModelNode] = {}
        self.gateways: dict[str, ModelGateway] = {}
        self.connections: dict[int, Connection] = {}
        self.granted: dict[GrantId, GrantRecord] = {}
        self.entries: dict[tuple[int, int], bytes] = {}  # committed, by the view that last lost the state and index
        self.recent: list[Event] = []  # arrivals of the messages sent in the last event, repeated messages included
        self.opened = 0  # connections so far
        super().__init__(names, model.leases, ViewAgreement, rates)
        self.event_counts |= dict.fromkeys(EVENT_LIMITS, 0)
        for gateway in model.gateways:
            self._start_gateway(gateway, 1)

    def copy(self) -> RegionModel:
        """Return a copy that shares the nodes and gateways; each is copied before it changes."""
        made = cast(RegionModel, super().copy())
        made.model, made.opened = self.model, self.opened
        made.nodes, made.gateways = dict(self.nodes), dict(self.gateways)
        made.connections, made.granted = dict(self.connections), dict(self.granted)
        made.entries, made.recent = dict(self.entries), self.recent
        return made

    def clock(self, name: str) -> int:
        """Return the time by the clock of a node or gateway; the rates are assigned to the names in turn."""
        index = (*self.names, *self.model.gateways).index(name)
        return self.now * TICK // EXACT_CLOCK_RATES[0] * self.rates[index % len(self.rates)]

    def key(self) -> tuple[object, ...]:
        """Return everything that determines the future of the state, to recognize visited states."""
        return (
            self.now,
            frozenset((name, node.key()) for name, node in self.nodes.items()),
            frozenset((name, gateway.key()) for name, gateway in self.gateways.items()),
            frozenset(self.connections.values()),
            frozenset(self.sent),
            tuple(self.event_counts.values()),
            tuple(self.incarnations.values()),
        )

    # Possible events

    def events(self, bounds: Bounds) -> list[Event]:
        """Return all events that are possible next, in a fixed order."""
        possible = super().events(bounds)
        allowed = {kind: self.event_counts[kind] < limit for kind, limit in EVENT_LIMITS.items()}
        for name, node in self.nodes.items():
            if allowed["lead"] and node.member.agreement.view is not None:
                possible.append(("leads", name))
            if allowed["leave"] and not node.leaving:
                possible.append(("leaves", name))
        for name, gateway in self.gateways.items():
            possible.append(("acts", name))
            possible += [("connects", name, node) for node in gateway.pending]
            if allowed["reopen"]:
                possible.append(("reopens", name))
        possible += self.deliveries()
        for number, connection in self.connections.items():
            if connection.node_open and (allowed["break"] or not connection.gateway_open):
                possible.append(("breaks", number, NODE))
            if connection.gateway_open and (allowed["break"] or not connection.node_open):
                possible.append(("breaks", number, GATEWAY))
        return possible

    def arrivals(self, before: Fleet) -> list[Event]:
        """Return the arrivals of the messages sent last, and of the first record in transit on each connection."""
        return self.recent + self.deliveries()

    def deliveries(self) -> list[Event]:
        """Return the deliveries of the first record in transit to each end of each connection."""
        possible: list[Event] = []
        for number, connection in self.connections.items():
            if connection.to_node:
                possible.append(("delivers", number, NODE))
            if connection.to_gateway:
                possible.append(("delivers", number, GATEWAY))
        return possible

    def _apply(self, event: Event) -> bool:
        self.recent = []
        kind, subject, *arguments = event if len(event) > 1 else (*event, "")
        if kind in ("tick", "restarts"):
            self.event_counts[{"tick": "tick", "restarts": "restart"}[str(kind)]] += 1
            if kind == "tick":
                self.now += 1
            else:
                self._crash(str(subject))
                self._start(str(subject))
            possible = True
        elif kind in ("delivers", "breaks"):
            connection = self.connections.get(cast(int, subject))
            step = self._deliver if kind == "delivers" else self._break
            possible = connection is not None and step(connection, str(arguments[0]))
        elif kind in ("acts", "connects", "reopens"):
            possible = self._gateway_event(str(kind), str(subject), [str(argument) for argument in arguments])
        elif str(subject) not in self.nodes:
            return False
        else:
            possible = self._node_event(str(kind), str(subject), arguments, event)
        self._check_invariants()
        return possible

    # Nodes

    def _start(self, name: str) -> None:
        self.incarnations[name] += 1
        node = self.model.node(Member(name, self.incarnations[name]), self.names, self.clock(name))
        self._store_node(node)

    def _store_node(self, node: ModelNode) -> None:
        self.nodes[node.name] = node
        self.alive[node.name] = node.member.agreement

    def _crash(self, name: str) -> None:
        if self.nodes.pop(name, None) is None:
            return
        del self.alive[name]
        for connection in [each for each in self.connections.values() if each.node == name]:
            self._store_connection(connection.closed_at_node())

    def _node_event(self, kind: str, name: str, arguments: list[object], event: Event) -> bool:
        if kind == "crashes":
            self.event_counts["crash"] += 1
            self._crash(name)
            return True
        node = self.nodes[name].copy()
        now = self.clock(name)
        if kind == "arrives":
            if event[1:] not in self.sent:
                return False
            actions = node.handle_node_message(now, cast(Member, arguments[0]), cast(ViewMessage, arguments[1]))
        elif kind == "renews":
            actions = node.act(now, node.member.renew(now)) + node.tick(now, 0)
        elif kind == "leaves":
            self.event_counts["leave"] += 1
            actions = node.leave(now)
        else:
            actions = node.act(now, self._member_event(kind, node, now, arguments))
        self._store_node(node)
        self._perform_node_actions(node, actions)
        return True

    def _member_event(self, kind: str, node: ModelNode, now: int, arguments: list[object]) -> list[OutgoingMessage]:
        if kind == "leads":
            self.event_counts["lead"] += 1
            return list(node.member.lead(now))
        if kind == "proposes":
            self.event_counts["propose"] += 1
            return list(node.member.propose(now, cast("tuple[Member, ...]", arguments[0])))
        self.event_counts["form"] += 1
        without = tuple(name for name in self.names if name not in self.alive)
        members = [other.me for other in self.alive.values()]
        # In milliseconds, which exceeds all earlier view numbers: views change less often than once a millisecond.
        wall_ms = 1_000 * self.now + 50 * self.event_counts["form"]
        return list(node.member.form(now, members, wall_ms, without))

    def _perform_node_actions(self, node: ModelNode, actions: list[NodeAction]) -> None:
        me = node.member.me
        for action in actions:
            match action:
                case SendToNode(to, message):
                    self.sent[to, me, cast(ViewMessage, message)] = None
                    self.recent.append(("arrives", to, me, message))
                case SendToGateway(number, record):
                    connection = self.connections[number]
                    if isinstance(record, LeaseRenewal):
                        self._record_grant(node, record)
                    if connection.gateway_open:
                        self._store_connection(replace(connection, to_gateway=(*connection.to_gateway, record)))
                case CloseConnection(number, _):
                    self._store_connection(self.connections[number].closed_at_node())

    def _record_grant(self, node: ModelNode, renewal: LeaseRenewal) -> None:
        grant = GrantId(node.name, node.member.me.incarnation, renewal.session, renewal.lease)
        expires_at = renewal.asked_at + renewal.valid_for // 100
        self.granted[grant] = GrantRecord(renewal.units, expires_at, node.member.agreement.number)

    # Gateways and connections

    def _start_gateway(self, name: str, incarnation: int) -> None:
        self.gateways[name] = self.model.gateway(name, incarnation, self.names, self.clock(name))

    def _gateway_event(self, kind: str, name: str, arguments: list[str]) -> bool:
        gateway = self.gateways[name]
        if kind == "reopens":
            self.event_counts["reopen"] += 1
            for connection in [each for each in self.connections.values() if each.gateway == name]:
                self._store_connection(connection.closed_at_gateway())
            self._start_gateway(name, gateway.incarnation + 1)
            return True
        if kind == "connects" and arguments[0] not in gateway.pending:
            return False
        gateway = gateway.copy()
        now = self.clock(name)
        if kind == "acts":
            actions = gateway.client.tick(now)
        else:
            gateway = replace(gateway, pending=tuple(node for node in gateway.pending if node != arguments[0]))
            actions = self._connect(now, gateway, arguments[0])
        self.gateways[name] = gateway
        self._perform_gateway_actions(name, actions)
        return True

    def _connect(self, now: int, gateway: ModelGateway, to: str) -> list[GatewayAction]:
        """Connect a gateway to a node; the attempt fails if the node is not running."""
        if to not in self.nodes:
            return gateway.client.connection_lost(now, to)
        self.opened += 1
        incarnation = self.nodes[to].member.me.incarnation
        self._store_connection(Connection(self.opened, gateway.client.gateway, gateway.incarnation, to, incarnation))
        return gateway.client.connected(now, to)

    def _perform_gateway_actions(self, name: str, actions: list[GatewayAction]) -> None:
        for action in actions:
            gateway = self.gateways[name]
            if isinstance(action, ConnectToNode):
                self.gateways[name] = replace(gateway, pending=(*gateway.pending, action.node))
                continue
            if isinstance(action, DisconnectFromNode):
                self.gateways[name] = replace(gateway, pending=tuple(n for n in gateway.pending if n != action.node))
            for connection in [each for each in self.connections.values() if self._is_open(each, name, action.node)]:
                if isinstance(action, DisconnectFromNode):
                    self._store_connection(connection.closed_at_gateway())
                elif isinstance(action, SendToControl) and connection.node_open:
                    self._store_connection(replace(connection, to_node=(*connection.to_node, action.record)))

    def _is_open(self, connection: Connection, gateway: str, node: str) -> bool:
        return connection.gateway_open and (connection.gateway, connection.node) == (gateway, node)

    def _store_connection(self, connection: Connection) -> None:
        """Store a changed connection, or remove it if both ends are closed."""
        if connection.node_open or connection.gateway_open:
            self.connections[connection.number] = connection
        else:
            self.connections.pop(connection.number, None)

    def _deliver(self, connection: Connection, end: str) -> bool:
        """Deliver the first record in transit to this end; return False if there is none."""
        if end == NODE:
            if not connection.to_node:
                return False
            record, rest = connection.to_node[0], connection.to_node[1:]
            self._store_connection(replace(connection, to_node=rest))
            node = self.nodes[connection.node].copy()
            now = self.clock(node.name)
            actions = node.handle_gateway_record(now, connection.number, connection.gateway_incarnation, record)
            self._store_node(node)
            self._perform_node_actions(node, actions)
            return True
        if not connection.to_gateway:
            return False
        answer, remaining = connection.to_gateway[0], connection.to_gateway[1:]
        self._store_connection(replace(connection, to_gateway=remaining))
        gateway = self.gateways[connection.gateway].copy()
        now = self.clock(connection.gateway)
        reactions = gateway.client.handle_record(now, connection.node, answer)
        if isinstance(answer, LeaseRenewal):
            lease = gateway.client.effective_lease(now)
            if (lease.node, lease.session, lease.lease) == (connection.node, answer.session, answer.lease):
                grant = GrantId(connection.node, connection.node_incarnation, answer.session, answer.lease)
                gateway = replace(gateway, counted=grant)
        self.gateways[connection.gateway] = gateway
        self._perform_gateway_actions(connection.gateway, reactions)
        return True

    def _break(self, connection: Connection, end: str) -> bool:
        """Let one end notice the loss of the connection; the records in transit to it are lost."""
        self.event_counts["break"] += connection.node_open and connection.gateway_open
        if end == NODE:
            if not connection.node_open:
                return False
            self._store_connection(connection.closed_at_node())
            node = self.nodes[connection.node].copy()
            actions = node.connection_lost(self.clock(node.name), connection.number)
            self._store_node(node)
            self._perform_node_actions(node, actions)
            return True
        if not connection.gateway_open:
            return False
        self._store_connection(connection.closed_at_gateway())
        gateway = self.gateways[connection.gateway].copy()
        reactions = gateway.client.connection_lost(self.clock(connection.gateway), connection.node)
        self.gateways[connection.gateway] = gateway
        self._perform_gateway_actions(connection.gateway, reactions)
        return True

    # Invariants

    def _check_invariants(self) -> None:
        counted = [one for name in self.gateways if (one := self.counted_by(name)) is not None]
        if sum(one.units for one in counted) > REGION_UNITS:
            self.violation = f"gateways count more than the region's units: {_format(counted)}"
        for one in counted:
            self._check_lease(one)
        for node in self.nodes.values():
            self._check_node(node, counted)

    def counted_by(self, gateway: str) -> CountedGrant | None:
        """Return the grant that a gateway counts by now, or None if it counts no units."""
        holder = self.gateways[gateway]
        lease = holder.client.effective_lease(self.clock(gateway))
        return CountedGrant(gateway, holder.counted, lease.units) if lease.units and holder.counted else None

    def _check_lease(self, one: CountedGrant) -> None:
        granted = self.granted[one.grant]
        if one.units > granted.units or self.clock(one.gateway) >= granted.expires_at:
            self.violation = f"a gateway counts by a lease that ended: {_format([one])}"

    def _check_node(self, node: ModelNode, counted: list[CountedGrant]) -> None:
        agreement, me = node.member.agreement, node.member.me
        mine = [one for one in counted if (one.grant.node, one.grant.incarnation) == (me.name, me.incarnation)]
        outstanding = node.outstanding_units(self.clock(node.name))
        if sum(one.units for one in mine) > outstanding:
            self.violation = f"{me.name} takes {outstanding} units for outstanding: {_format(mine)}"
        view = agreement.view
        if view is None:
            return
        if self.decided.setdefault(view.number, view) != view:
            self.violation = f"two views with the number {view.number}"
        # A view without a predecessor does not imply that the grants of earlier incarnations have expired.
        if agreement.active and view.electors:
            self._check_removed_nodes(view, counted)
        self._check_log(node)

    def _check_removed_nodes(self, view: View, counted: list[CountedGrant]) -> None:
        members = {(member.name, member.incarnation) for member in view.members}
        for one in counted:
            later = view.number > self.granted[one.grant].view
            if later and (one.grant.node, one.grant.incarnation) not in members:
                self.violation = f"a lease counts after view {view.number} without its node is active: {_format([one])}"

    def _check_log(self, node: ModelNode) -> None:
        log = node.member.log
        for index in range(log.base + 1, log.commit + 1):
            entry = log.entries[index - log.base - 1]
            if self.entries.setdefault((node.state.lost_in, index), entry) != entry:
                self.violation = f"two entries decided as number {index}: {decode_entry(entry)}"


def _format(counted: list[CountedGrant]) -> str:
    return ", ".join(f"{one.gateway} {one.units} of {one.grant.node}{one.grant.incarnation}" for one in counted)
