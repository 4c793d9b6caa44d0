"""Tries orders of events on a small region of control nodes and gateways, and judges each state that comes of it.

The search of `cluster.model_checker` with whole control nodes and the session clients of gateways: messages between
nodes arrive late, again or never; connections of gateways break at either end; nodes and gateways crash and start
again, stand still while time goes on, lead the log, propose views and form them anew. Judged from what was sent and
what gateways count, at every step. Without I/O.
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
    GrantMade,
    GrantName,
    ModelConfig,
    ModelGateway,
    ModelNode,
)
from tansykeel.protocol.frames import LeaseRenewal

EXACT_CLOCK_RATES = (10,)  # tenths that each clock shows in a tenth of time: all agree
DRIFTING_CLOCK_RATES = (11, 9)  # a fast and a slow clock by turns, for terms with a drift of a tenth
MOST = {"lead": 3, "break": 8, "reopen": 4, "leave": 1}  # of each in one run, beside the bounds of every search
NODE, GATEWAY = "node", "gateway"  # the ends of a connection


@dataclass(frozen=True, slots=True)
class Counted:
    """What one gateway counts now."""

    gateway: str
    name: GrantName
    units: int


class RegionModel(Fleet):
    """A state of the search: nodes, gateways, connections, all that was sent between nodes and granted to gateways."""

    def __init__(self, names: tuple[str, ...], model: ModelConfig, rates: tuple[int, ...] = EXACT_CLOCK_RATES) -> None:
        self.model = model
        self.nodes: dict[str, ModelNode] = {}
        self.gateways: dict[str, ModelGateway] = {}
        self.connections: dict[int, Connection] = {}
        self.granted: dict[GrantName, GrantMade] = {}
        self.entries: dict[tuple[int, int], bytes] = {}  # decided, by the view that last lost the state, and index
        self.recent: list[Event] = []  # what was sent between nodes in the last event: also what was sent before
        self.opened = 0  # connections so far
        super().__init__(names, model.leases, ViewAgreement, rates)
        self.event_counts |= dict.fromkeys(MOST, 0)
        for gateway in model.gateways:
            self._start_gateway(gateway, 1)

    def copy(self) -> RegionModel:
        """Return a state that goes its own way; nodes and gateways are copied before they move."""
        made = cast(RegionModel, super().copy())
        made.model, made.opened = self.model, self.opened
        made.nodes, made.gateways = dict(self.nodes), dict(self.gateways)
        made.connections, made.granted = dict(self.connections), dict(self.granted)
        made.entries, made.recent = dict(self.entries), self.recent
        return made

    def clock(self, name: str) -> int:
        """Return what the clock of a node or a gateway shows; they have the rates by turns."""
        place = (*self.names, *self.model.gateways).index(name)
        return self.now * TICK // EXACT_CLOCK_RATES[0] * self.rates[place % len(self.rates)]

    def key(self) -> tuple[object, ...]:
        """Return all that decides what may happen from here on."""
        return (
            self.now,
            frozenset((name, node.key()) for name, node in self.nodes.items()),
            frozenset((name, gateway.key()) for name, gateway in self.gateways.items()),
            frozenset(self.connections.values()),
            frozenset(self.sent),
            tuple(self.event_counts.values()),
            tuple(self.incarnations.values()),
        )

    # What may happen

    def events(self, bounds: Bounds) -> list[Event]:
        """Return all that may happen next, in a fixed order."""
        found = super().events(bounds)
        free = {kind: self.event_counts[kind] < most for kind, most in MOST.items()}
        for name, node in self.nodes.items():
            if free["lead"] and node.member.agreement.view is not None:
                found.append(("leads", name))
            if free["leave"] and not node.leaving:
                found.append(("leaves", name))
        for name, gateway in self.gateways.items():
            found.append(("acts", name))
            found += [("connects", name, node) for node in gateway.wants]
            if free["reopen"]:
                found.append(("reopens", name))
        found += self.deliveries()
        for number, connection in self.connections.items():
            if connection.node_open and (free["break"] or not connection.gateway_open):
                found.append(("breaks", number, NODE))
            if connection.gateway_open and (free["break"] or not connection.node_open):
                found.append(("breaks", number, GATEWAY))
        return found

    def arrivals(self, before: Fleet) -> list[Event]:
        """Return what may arrive: what was sent last, and what is first on each connection."""
        return self.recent + self.deliveries()

    def deliveries(self) -> list[Event]:
        """Return what is first on each connection, as what may arrive."""
        found: list[Event] = []
        for number, connection in self.connections.items():
            if connection.to_node:
                found.append(("delivers", number, NODE))
            if connection.to_gateway:
                found.append(("delivers", number, GATEWAY))
        return found

    def _apply(self, event: Event) -> bool:
        self.recent = []
        kind, subject, *what = event if len(event) > 1 else (*event, "")
        if kind in ("tick", "restarts"):
            self.event_counts[{"tick": "tick", "restarts": "restart"}[str(kind)]] += 1
            if kind == "tick":
                self.now += 1
            else:
                self._crash(str(subject))
                self._start(str(subject))
            happened = True
        elif kind in ("delivers", "breaks"):
            connection = self.connections.get(cast(int, subject))
            step = self._deliver if kind == "delivers" else self._break
            happened = connection is not None and step(connection, str(what[0]))
        elif kind in ("acts", "connects", "reopens"):
            happened = self._gateway_event(str(kind), str(subject), [str(one) for one in what])
        elif str(subject) not in self.nodes:
            return False
        else:
            happened = self._node_event(str(kind), str(subject), what, event)
        self._check_invariants()
        return happened

    # Nodes

    def _start(self, name: str) -> None:
        self.incarnations[name] += 1
        node = self.model.node(Member(name, self.incarnations[name]), self.names, self.clock(name))
        self._keep(node)

    def _keep(self, node: ModelNode) -> None:
        self.nodes[node.name] = node
        self.alive[node.name] = node.member.agreement

    def _crash(self, name: str) -> None:
        if self.nodes.pop(name, None) is None:
            return
        del self.alive[name]
        for connection in [one for one in self.connections.values() if one.node == name]:
            self._put(connection.closed_at_node())

    def _node_event(self, kind: str, name: str, what: list[object], event: Event) -> bool:
        if kind == "crashes":
            self.event_counts["crash"] += 1
            self._crash(name)
            return True
        node = self.nodes[name].copy()
        now = self.clock(name)
        if kind == "arrives":
            if event[1:] not in self.sent:
                return False
            actions = node.node_message(now, cast(Member, what[0]), cast(ViewMessage, what[1]))
        elif kind == "renews":
            actions = node.act(now, node.member.renew(now)) + node.tick(now, 0)
        elif kind == "leaves":
            self.event_counts["leave"] += 1
            actions = node.leave(now)
        else:
            actions = node.act(now, self._member_step(kind, node, now, what))
        self._keep(node)
        self._do_node(node, actions)
        return True

    def _member_step(self, kind: str, node: ModelNode, now: int, what: list[object]) -> list[OutgoingMessage]:
        if kind == "leads":
            self.event_counts["lead"] += 1
            return list(node.member.lead(now))
        if kind == "proposes":
            self.event_counts["propose"] += 1
            return list(node.member.propose(now, cast("tuple[Member, ...]", what[0])))
        self.event_counts["form"] += 1
        without = tuple(name for name in self.names if name not in self.alive)
        members = [other.me for other in self.alive.values()]
        stamp = 1_000 * self.now + 50 * self.event_counts["form"]  # views change less than once a millisecond
        return list(node.member.form(now, members, stamp, without))

    def _do_node(self, node: ModelNode, actions: list[NodeAction]) -> None:
        me = node.member.me
        for action in actions:
            match action:
                case SendToNode(to, message):
                    self.sent[to, me, cast(ViewMessage, message)] = None
                    self.recent.append(("arrives", to, me, message))
                case SendToGateway(number, record):
                    connection = self.connections[number]
                    if isinstance(record, LeaseRenewal):
                        self._note(node, record)
                    if connection.gateway_open:
                        self._put(replace(connection, to_gateway=(*connection.to_gateway, record)))
                case CloseConnection(number, _):
                    self._put(self.connections[number].closed_at_node())

    def _note(self, node: ModelNode, renewal: LeaseRenewal) -> None:
        name = GrantName(node.name, node.member.me.incarnation, renewal.session, renewal.lease)
        over_at = renewal.asked_at + renewal.valid_for // 100
        self.granted[name] = GrantMade(renewal.units, over_at, node.member.agreement.number)

    # Gateways and connections

    def _start_gateway(self, name: str, incarnation: int) -> None:
        self.gateways[name] = self.model.gateway(name, incarnation, self.names, self.clock(name))

    def _gateway_event(self, kind: str, name: str, what: list[str]) -> bool:
        gateway = self.gateways[name]
        if kind == "reopens":
            self.event_counts["reopen"] += 1
            for connection in [one for one in self.connections.values() if one.gateway == name]:
                self._put(connection.closed_at_gateway())
            self._start_gateway(name, gateway.incarnation + 1)
            return True
        if kind == "connects" and what[0] not in gateway.wants:
            return False
        gateway = gateway.copied()
        now = self.clock(name)
        if kind == "acts":
            actions = gateway.client.tick(now)
        else:
            gateway = replace(gateway, wants=tuple(node for node in gateway.wants if node != what[0]))
            actions = self._connect(now, gateway, what[0])
        self.gateways[name] = gateway
        self._do_gateway(name, actions)
        return True

    def _connect(self, now: int, gateway: ModelGateway, to: str) -> list[GatewayAction]:
        """A node that is there takes the connection, else it fails."""
        if to not in self.nodes:
            return gateway.client.connection_lost(now, to)
        self.opened += 1
        incarnation = self.nodes[to].member.me.incarnation
        self._put(Connection(self.opened, gateway.client.gateway, gateway.incarnation, to, incarnation))
        return gateway.client.connected(now, to)

    def _do_gateway(self, name: str, actions: list[GatewayAction]) -> None:
        for action in actions:
            gateway = self.gateways[name]
            if isinstance(action, ConnectToNode):
                self.gateways[name] = replace(gateway, wants=(*gateway.wants, action.node))
                continue
            if isinstance(action, DisconnectFromNode):
                self.gateways[name] = replace(gateway, wants=tuple(n for n in gateway.wants if n != action.node))
            for connection in [one for one in self.connections.values() if self._is_open(one, name, action.node)]:
                if isinstance(action, DisconnectFromNode):
                    self._put(connection.closed_at_gateway())
                elif isinstance(action, SendToControl) and connection.node_open:
                    self._put(replace(connection, to_node=(*connection.to_node, action.record)))

    def _is_open(self, connection: Connection, gateway: str, node: str) -> bool:
        return connection.gateway_open and (connection.gateway, connection.node) == (gateway, node)

    def _put(self, connection: Connection) -> None:
        """Keep a connection, while either end is open."""
        if connection.node_open or connection.gateway_open:
            self.connections[connection.number] = connection
        else:
            self.connections.pop(connection.number, None)

    def _deliver(self, connection: Connection, end: str) -> bool:
        """What is first on its way to this end arrives."""
        if end == NODE:
            if not connection.to_node:
                return False
            record, rest = connection.to_node[0], connection.to_node[1:]
            self._put(replace(connection, to_node=rest))
            node = self.nodes[connection.node].copy()
            now = self.clock(node.name)
            actions = node.gateway_message(now, connection.number, connection.gateway_incarnation, record)
            self._keep(node)
            self._do_node(node, actions)
            return True
        if not connection.to_gateway:
            return False
        answer, left = connection.to_gateway[0], connection.to_gateway[1:]
        self._put(replace(connection, to_gateway=left))
        gateway = self.gateways[connection.gateway].copied()
        now = self.clock(connection.gateway)
        told = gateway.client.received(now, connection.node, answer)
        if isinstance(answer, LeaseRenewal):
            counts = gateway.client.counts(now)
            if (counts.node, counts.session, counts.lease) == (connection.node, answer.session, answer.lease):
                name = GrantName(connection.node, connection.node_incarnation, answer.session, answer.lease)
                gateway = replace(gateway, counted=name)
        self.gateways[connection.gateway] = gateway
        self._do_gateway(connection.gateway, told)
        return True

    def _break(self, connection: Connection, end: str) -> bool:
        """One end sees that the connection is lost; what was on its way to it is lost too."""
        self.event_counts["break"] += connection.node_open and connection.gateway_open
        if end == NODE:
            if not connection.node_open:
                return False
            self._put(connection.closed_at_node())
            node = self.nodes[connection.node].copy()
            actions = node.connection_lost(self.clock(node.name), connection.number)
            self._keep(node)
            self._do_node(node, actions)
            return True
        if not connection.gateway_open:
            return False
        self._put(connection.closed_at_gateway())
        gateway = self.gateways[connection.gateway].copied()
        told = gateway.client.connection_lost(self.clock(connection.gateway), connection.node)
        self.gateways[connection.gateway] = gateway
        self._do_gateway(connection.gateway, told)
        return True

    # What must hold

    def _check_invariants(self) -> None:
        counted = [one for name in self.gateways if (one := self.counted_by(name)) is not None]
        if sum(one.units for one in counted) > REGION_UNITS:
            self.violation = f"gateways count more than the region's units: {_told(counted)}"
        for one in counted:
            self._judge_lease(one)
        for node in self.nodes.values():
            self._judge_node(node, counted)

    def counted_by(self, gateway: str) -> Counted | None:
        """Return what a gateway counts now; None: nothing."""
        held = self.gateways[gateway]
        lease = held.client.counts(self.clock(gateway))
        return Counted(gateway, held.counted, lease.units) if lease.units and held.counted else None

    def _judge_lease(self, one: Counted) -> None:
        grant = self.granted[one.name]
        if one.units > grant.units or self.clock(one.gateway) >= grant.over_at:
            self.violation = f"a gateway counts by a lease that ended: {_told([one])}"

    def _judge_node(self, node: ModelNode, counted: list[Counted]) -> None:
        agreement, me = node.member.agreement, node.member.me
        mine = [one for one in counted if (one.name.node, one.name.incarnation) == (me.name, me.incarnation)]
        outstanding = node.answers_for(self.clock(node.name))
        if sum(one.units for one in mine) > outstanding:
            self.violation = f"{me.name} takes {outstanding} units for outstanding: {_told(mine)}"
        view = agreement.view
        if view is None:
            return
        if self.decided.setdefault(view.number, view) != view:
            self.violation = f"two views with the number {view.number}"
        if agreement.active and view.electors:  # a formed view says nothing of what earlier lives granted
            self._judge_removed(view, counted)
        self._judge_log(node)

    def _judge_removed(self, view: View, counted: list[Counted]) -> None:
        there = {(member.name, member.incarnation) for member in view.members}
        for one in counted:
            later = view.number > self.granted[one.name].view
            if later and (one.name.node, one.name.incarnation) not in there:
                self.violation = f"a lease counts after view {view.number} without its node is active: {_told([one])}"

    def _judge_log(self, node: ModelNode) -> None:
        log = node.member.log
        for index in range(log.base + 1, log.commit + 1):
            entry = log.entries[index - log.base - 1]
            if self.entries.setdefault((node.state.lost_in, index), entry) != entry:
                self.violation = f"two entries decided as number {index}: {decode_entry(entry)}"


def _told(counted: list[Counted]) -> str:
    return ", ".join(f"{one.gateway} {one.units} of {one.name.node}{one.name.incarnation}" for one in counted)
