"""Random runs of `model_checker.py` that alternate between rounds of regular operation and single random events.

Events drawn one by one rarely lead to a view, then a term and then a lease. Most events of a run therefore come in
rounds: the connected nodes renew their leases, their messages are delivered, gateways act, and nodes lead, propose and
form views as the real program would. The set of connected nodes changes from time to time. Between the rounds, single
events are drawn from all possible ones: late and repeated messages, crashes, broken connections, ticks. Without I/O.
"""

from __future__ import annotations

from random import Random
from typing import cast

from tansykeel.cluster.membership import Member, ViewMessage
from tansykeel.cluster.model_checker import Bounds, Event, NoFirstView, SearchResult, describe_event, minimize_trace
from tansykeel.cluster.replicated_log import Propose
from tansykeel.control.model_checker import EVENT_LIMITS, EXACT_CLOCK_RATES, GATEWAY, NODE, RegionModel
from tansykeel.control.model_parts import REGION_UNITS, ModelConfig

SETTLING_ROUNDS = 12
DISRUPTIVE_EVENTS = ("tick", "crashes", "restarts", "forms", "proposes", "leaves", "reopens", "breaks", "leads")
ARRIVAL_PROBABILITY = 0.5  # that a single event is the arrival of a message, new or old, delivered before or not
DISRUPTION_PROBABILITY = 0.1  # that any other single event is a disruptive one
RUN_LENGTH = 600  # events of a run, after which no further round or single event is started
DELIVERY_PASSES = 4  # in a round: messages, the answers to them, and so on
ROUND_PROBABILITY = 0.4  # that a step is a round rather than a single event
CONNECTED_PROBABILITY = 0.8  # of each node, when the connected nodes are drawn
SAME_CONNECTED_PROBABILITY = 0.7  # that the next round keeps the connected nodes
DECISION_PROBABILITY_RANGE = (0.3, 0.9)  # that a node leads, proposes or forms when due; drawn for each run
EXTRA_ELECTION_PROBABILITY = 0.2  # that a node starts an election although another may lead
ALL_RESTART_PROBABILITY = 0.05  # that all nodes restart before a round
ACTION_PROBABILITY_RANGE = (0.6, 1.0)  # of each gateway, when the acting gateways are drawn; drawn for each run
REOPEN_PROBABILITY = 0.1  # that a gateway restarts in a round
TICK_PROBABILITY_RANGE = (0.2, 0.8)  # that a tick passes after a round; drawn for each run


def settled_region(
    names: tuple[str, ...], model: ModelConfig, rates: tuple[int, ...] = EXACT_CLOCK_RATES
) -> RegionModel:
    """Return a region whose nodes agreed on a first view and whose gateways hold leases on nearly all of its units.

    Raises NoFirstView if the configuration does not lead there.
    """
    region = RegionModel(names, model, rates)
    late: dict[tuple[str, Member, ViewMessage], None] = {}  # proposed entries, which may arrive again at any time

    def apply(events: list[Event]) -> None:
        nonlocal region
        for event in events:
            region = cast(RegionModel, region.successor(event)) or region

    def deliver_all() -> None:
        for _ in range(6):
            sent = list(region.sent)
            late.update({message: None for message in sent if isinstance(message[2], Propose)})
            apply([("arrives", *message) for message in sent])
            region.sent = {message: None for message in region.sent if message not in sent}
            while deliveries := region.deliveries():
                apply(deliveries)

    apply([("forms", names[0])])
    deliver_all()
    apply([("leads", names[0])])
    for turn in range(SETTLING_ROUNDS):
        apply([("renews", name) for name in names])
        deliver_all()
        if turn < SETTLING_ROUNDS // 4:  # some nodes may not have a lease yet and would reject sessions
            apply([("tick",)])
            continue
        apply([("acts", name) for name in model.gateways])
        apply([("connects", name, node) for name, one in region.gateways.items() for node in one.pending])
        deliver_all()
        apply([("tick",)])
    apply([("renews", name) for name in names])
    deliver_all()
    apply([("acts", name) for name in model.gateways])
    deliver_all()
    if (
        region.violation
        or sum(one.units for name in model.gateways if (one := region.counted_by(name))) < REGION_UNITS - 1
    ):
        raise NoFirstView(
            f"no settled region of {names}: {region.violation or 'the gateways count less than its units'}"
        )
    region.sent, region.event_counts = late, dict.fromkeys(region.event_counts, 0)
    return region


class GuidedRun:
    """One random run: the state it reached, and the events that led there."""

    def __init__(self, first: RegionModel, bounds: Bounds, rng: Random) -> None:
        self.region = first
        self.bounds = bounds
        self.rng = rng
        self.events: list[Event] = []
        self.new_arrivals: dict[Event, None] = {}  # of messages sent in this run and not yet delivered since
        self.decision_probability = rng.uniform(*DECISION_PROBABILITY_RANGE)
        self.tick_probability = rng.uniform(*TICK_PROBABILITY_RANGE)
        self.action_probability = rng.uniform(*ACTION_PROBABILITY_RANGE)
        self.connected = list(first.names)  # nodes that exchange messages with each other
        self.reachable = list(first.names)  # nodes that exchange records with gateways
        self.acting = list(first.model.gateways)  # gateways that are not stalled

    def run(self, steps: int) -> bool:
        """Run until the run has `steps` events or an invariant is violated. Return whether one is."""
        while len(self.events) < steps and not self.region.violation:
            if self.rng.random() < ROUND_PROBABILITY:
                self._round()
            else:
                self._single()
        return bool(self.region.violation)

    def step(self, event: Event) -> None:
        """Apply an event, if it is possible and no invariant is violated yet."""
        if self.region.violation:
            return
        self.new_arrivals.pop(event, None)
        after = self.region.successor(event)
        if after is None:
            return
        self.region = cast(RegionModel, after)
        self.new_arrivals |= dict.fromkeys(self.region.recent)
        self.events.append(event)

    def _single(self) -> None:
        """Apply one random event: draw its kind first, and for an arrival the type of the message."""
        candidates = self.region.events(self.bounds)
        kinds = list(dict.fromkeys(event[0] for event in candidates))
        if "arrives" in kinds and self.rng.random() < ARRIVAL_PROBABILITY:
            kinds = ["arrives"]
        disrupts = self.rng.random() < DISRUPTION_PROBABILITY
        kind = self.rng.choice([each for each in kinds if (each in DISRUPTIVE_EVENTS) == disrupts] or kinds)
        candidates = [event for event in candidates if event[0] == kind]
        if kind == "arrives":
            message_type = self.rng.choice(list(dict.fromkeys(type(event[3]) for event in candidates)))
            candidates = [event for event in candidates if type(event[3]) is message_type]
        self.step(self.rng.choice(candidates))

    def _allowed(self, kind: str, limit: int) -> bool:
        return self.region.event_counts[kind] < limit

    def _random_nodes(self) -> list[str]:
        return [name for name in self.region.names if self.rng.random() < CONNECTED_PROBABILITY]

    def _round(self) -> None:
        """Play a round, preceded by restarts, elections and view changes and followed by a tick, each at random."""
        if self.rng.random() > SAME_CONNECTED_PROBABILITY:
            self.connected = self._random_nodes()
            self.reachable = self._random_nodes()
            self.acting = [name for name in self.region.model.gateways if self.rng.random() < self.action_probability]
        if self.rng.random() < ALL_RESTART_PROBABILITY and self._allowed("restart", self.bounds.restarts):
            for name in self.region.names:
                self.step(("restarts", name))
        for name in self.connected:
            if name not in self.region.nodes and self._allowed("restart", self.bounds.restarts):
                self.step(("restarts", name))
        self._agreement_event()
        if self.rng.random() < REOPEN_PROBABILITY and self._allowed("reopen", EVENT_LIMITS["reopen"]):
            self.step(("reopens", self.rng.choice(self.region.model.gateways)))
        self.play_round()
        if self.rng.random() < self.tick_probability and self._allowed("tick", self.bounds.ticks):
            self.step(("tick",))

    def play_round(self) -> None:
        """Let the connected nodes renew and the acting gateways act, and deliver what they send."""
        for name in self.connected:
            self.step(("renews", name))
        self._deliver_all()
        self._break_connections()
        for name in self.acting:
            self.step(("acts", name))
            for node in self.region.gateways[name].pending:
                self.step(("connects", name, node))
        self._deliver_all()

    def _deliver_all(self) -> None:
        """Deliver the messages among connected nodes, and the records between reachable nodes and gateways."""
        for _ in range(DELIVERY_PASSES):
            for event in list(self.new_arrivals):
                if event[1] in self.connected and getattr(event[2], "name", "") in self.connected:
                    self.step(event)
            for event in self.region.deliveries():
                connection = self.region.connections.get(cast(int, event[1]))
                if connection is not None and connection.node in self.reachable:
                    self.step(event)

    def _break_connections(self) -> None:
        """Let gateways notice closed connections and at random those to unreachable nodes, and nodes closed ones."""
        for number, connection in list(self.region.connections.items()):
            closed = not connection.node_open and not connection.to_gateway
            silent = connection.node not in self.reachable and self._allowed("break", EVENT_LIMITS["break"])
            if connection.gateway_open and (closed or silent and self.rng.random() < self.decision_probability):
                self.step(("breaks", number, GATEWAY))
            if connection.node_open and not connection.gateway_open and connection.node in self.reachable:
                self.step(("breaks", number, NODE))

    def _agreement_event(self) -> None:
        """Let a connected node lead, propose or form a view when the real program would."""
        nodes = [self.region.nodes[name] for name in self.connected if name in self.region.nodes]
        if not nodes or self.rng.random() > self.decision_probability:
            return
        node = self.rng.choice(nodes)
        agreement, now = node.member.agreement, self.region.clock(node.name)
        if self.rng.random() < EXTRA_ELECTION_PROBABILITY:
            self.step(("leads", node.name))
        elif not any(one.member.agreement.leased(self.region.clock(one.name)) for one in nodes):
            if self._allowed("form", self.bounds.forms):
                self.step(("forms", node.name))
        elif agreement.view is not None and agreement.leased(now):
            members = tuple(sorted(one.member.me for one in nodes))
            if members != agreement.view.members and self._allowed("propose", self.bounds.proposals):
                self.step(("proposes", node.name, members))
            elif not any(one.member.log.leads for one in nodes):
                self.step(("leads", node.name))


def guided_runs(first: RegionModel, bounds: Bounds, seed: int, steps: int = RUN_LENGTH) -> SearchResult:
    """Draw guided runs until `bounds.states` states were visited or an invariant is violated.

    The trace of a violation is minimized.
    """
    rng, visited = Random(seed), 0
    while visited < bounds.states:
        run = GuidedRun(first, bounds, rng)
        violated = run.run(steps)
        visited += len(run.events)
        if violated:
            return SearchResult(
                visited, False, run.region.violation, tuple(map(describe_event, minimize_trace(first, run.events)))
            )
    return SearchResult(visited, False)
