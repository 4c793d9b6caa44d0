"""Drawn runs of `model_checker.py`: from a region at work, spans of order among drawn nodes, and single events between.

Events drawn one by one seldom let a view, a term and a lease come about one after the other. So most events of a run
come in rounds: the nodes that are there renew, what was sent among them arrives, gateways act, and the nodes lead,
propose and form views as they would; who is there changes from time to time. Between the rounds come events drawn of
all that may happen: late and repeated messages, crashes, connections that break, clocks that go on. Without I/O.
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
DISRUPTING = ("tick", "crashes", "restarts", "forms", "proposes", "leaves", "reopens", "breaks", "leads")
ARRIVES = 0.5  # part of the single events that is a message of any time, again or for the first time
DISRUPTS = 0.1  # part of the single events that are such
STEPS = 600  # events of a drawn run at most
WAVES = 4  # of messages and their answers that arrive in a round
ROUND = 0.4  # part of the steps that are a round
THERE = 0.8  # chance of each node to be there while the next are drawn
KEPT = 0.7  # chance that the same nodes are there in the next round
MAY = (0.3, 0.9)  # chance that a node leads, proposes or forms where it would: drawn for each run
ANYWAY = 0.2  # chance that it leads though another one may do so
ALL_RESTART = 0.05  # chance that all nodes start again before a round
ACTS = (0.6, 1.0)  # chance of each gateway to act in the next rounds: drawn for each run
REOPENS = 0.1  # chance that a gateway starts again in a round
TICKS = (0.2, 0.8)  # chance that time goes on after a round: drawn for each run


def settled_region(
    names: tuple[str, ...], model: ModelConfig, rates: tuple[int, ...] = EXACT_CLOCK_RATES
) -> RegionModel:
    """Return a region whose nodes agreed on a first view and whose gateways count by leases.

    Raises NoFirstView where that does not come about.
    """
    region = RegionModel(names, model, rates)
    late: dict[tuple[str, Member, ViewMessage], None] = {}  # entries that were proposed may arrive again at any time

    def happen(events: list[Event]) -> None:
        nonlocal region
        for event in events:
            region = cast(RegionModel, region.successor(event)) or region

    def all_arrive() -> None:
        for _ in range(6):
            words = list(region.sent)
            late.update({word: None for word in words if isinstance(word[2], Propose)})
            happen([("arrives", *word) for word in words])
            region.sent = {word: None for word in region.sent if word not in words}
            while deliveries := region.deliveries():
                happen(deliveries)

    happen([("forms", names[0])])
    all_arrive()
    happen([("leads", names[0])])
    for turn in range(SETTLING_ROUNDS):
        happen([("renews", name) for name in names])
        all_arrive()
        if turn < SETTLING_ROUNDS // 4:  # until then some nodes have no lease yet and reject sessions
            happen([("tick",)])
            continue
        happen([("acts", name) for name in model.gateways])
        happen([("connects", name, node) for name, one in region.gateways.items() for node in one.pending])
        all_arrive()
        happen([("tick",)])
    happen([("renews", name) for name in names])
    all_arrive()
    happen([("acts", name) for name in model.gateways])
    all_arrive()
    if (
        region.violation
        or sum(one.units for name in model.gateways if (one := region.counted_by(name))) < REGION_UNITS - 1
    ):
        raise NoFirstView(
            f"no settled region of {names}: {region.violation or 'the gateways count less than its units'}"
        )
    region.sent, region.event_counts = late, dict.fromkeys(region.event_counts, 0)
    return region


class DrawnRun:
    """One run: the state it came to, and the events that led there."""

    def __init__(self, first: RegionModel, bounds: Bounds, chance: Random) -> None:
        self.region = first
        self.bounds = bounds
        self.chance = chance
        self.events: list[Event] = []
        self.fresh: dict[Event, None] = {}
        self.may = chance.uniform(*MAY)
        self.ticks = chance.uniform(*TICKS)
        self.acts = chance.uniform(*ACTS)
        self.there = list(first.names)  # nodes that hear each other
        self.reached = list(first.names)  # nodes that gateways hear and are heard by
        self.acting = list(first.model.gateways)  # gateways that do not stand still

    def go(self, steps: int) -> bool:
        """Go so many events on. Return True where a law broke."""
        while len(self.events) < steps and not self.region.violation:
            if self.chance.random() < ROUND:
                self._round()
            else:
                self._single()
        return bool(self.region.violation)

    def step(self, event: Event) -> None:
        """Let an event happen, where it can and no law is broken yet."""
        if self.region.violation:
            return
        self.fresh.pop(event, None)
        after = self.region.successor(event)
        if after is None:
            return
        self.region = cast(RegionModel, after)
        self.fresh |= dict.fromkeys(self.region.recent)
        self.events.append(event)

    def _single(self) -> None:
        """One event of all that may happen, its kind drawn first, and for a message its type."""
        choice = self.region.events(self.bounds)
        kinds = list(dict.fromkeys(event[0] for event in choice))
        if "arrives" in kinds and self.chance.random() < ARRIVES:
            kinds = ["arrives"]
        disrupts = self.chance.random() < DISRUPTS
        kind = self.chance.choice([one for one in kinds if (one in DISRUPTING) == disrupts] or kinds)
        choice = [event for event in choice if event[0] == kind]
        if kind == "arrives":
            message_type = self.chance.choice(list(dict.fromkeys(type(event[3]) for event in choice)))
            choice = [event for event in choice if type(event[3]) is message_type]
        self.step(self.chance.choice(choice))

    def _may(self, kind: str, most: int) -> bool:
        return self.region.event_counts[kind] < most

    def _drawn_nodes(self) -> list[str]:
        return [name for name in self.region.names if self.chance.random() < THERE]

    def _round(self) -> None:
        if self.chance.random() > KEPT:
            self.there = self._drawn_nodes()
            self.reached = self._drawn_nodes()
            self.acting = [name for name in self.region.model.gateways if self.chance.random() < self.acts]
        if self.chance.random() < ALL_RESTART and self._may("restart", self.bounds.restarts):
            for name in self.region.names:
                self.step(("restarts", name))
        for name in self.there:
            if name not in self.region.nodes and self._may("restart", self.bounds.restarts):
                self.step(("restarts", name))
        self._decide()
        if self.chance.random() < REOPENS and self._may("reopen", EVENT_LIMITS["reopen"]):
            self.step(("reopens", self.chance.choice(self.region.model.gateways)))
        self.play_round()
        if self.chance.random() < self.ticks and self._may("tick", self.bounds.ticks):
            self.step(("tick",))

    def play_round(self) -> None:
        """Nodes that are there renew, gateways that do not stand still act, and what they send arrives."""
        for name in self.there:
            self.step(("renews", name))
        self._arrive()
        self._lose_connections()
        for name in self.acting:
            self.step(("acts", name))
            for node in self.region.gateways[name].pending:
                self.step(("connects", name, node))
        self._arrive()

    def _arrive(self) -> None:
        """What was sent among the nodes that are there arrives, and what is on its way to and from gateways."""
        for _ in range(WAVES):
            for event in list(self.fresh):
                if event[1] in self.there and getattr(event[2], "name", "") in self.there:
                    self.step(event)
            for event in self.region.deliveries():
                connection = self.region.connections.get(cast(int, event[1]))
                if connection is not None and connection.node in self.reached:
                    self.step(event)

    def _lose_connections(self) -> None:
        """A gateway sees that the other end is gone, or after a while that nothing comes from there."""
        for number, connection in list(self.region.connections.items()):
            gone = not connection.node_open and not connection.to_gateway
            silent = connection.node not in self.reached and self._may("break", EVENT_LIMITS["break"])
            if connection.gateway_open and (gone or silent and self.chance.random() < self.may):
                self.step(("breaks", number, GATEWAY))
            if connection.node_open and not connection.gateway_open and connection.node in self.reached:
                self.step(("breaks", number, NODE))

    def _decide(self) -> None:
        """A node that is there leads, proposes or forms a view, where the running program would."""
        nodes = [self.region.nodes[name] for name in self.there if name in self.region.nodes]
        if not nodes or self.chance.random() > self.may:
            return
        node = self.chance.choice(nodes)
        agreement, now = node.member.agreement, self.region.clock(node.name)
        if self.chance.random() < ANYWAY:
            self.step(("leads", node.name))
        elif not any(one.member.agreement.leased(self.region.clock(one.name)) for one in nodes):
            if self._may("form", self.bounds.forms):
                self.step(("forms", node.name))
        elif agreement.view is not None and agreement.leased(now):
            members = tuple(sorted(one.member.me for one in nodes))
            if members != agreement.view.members and self._may("propose", self.bounds.proposals):
                self.step(("proposes", node.name, members))
            elif not any(one.member.log.leads for one in nodes):
                self.step(("leads", node.name))


def guided_runs(first: RegionModel, bounds: Bounds, seed: int, steps: int = STEPS) -> SearchResult:
    """Draw runs until so many states were looked at, or a law broke: then with the fewest events that show it."""
    chance, seen = Random(seed), 0
    while seen < bounds.states:
        run = DrawnRun(first, bounds, chance)
        broken = run.go(steps)
        seen += len(run.events)
        if broken:
            return SearchResult(
                seen, False, run.region.violation, tuple(map(describe_event, minimize_trace(first, run.events)))
            )
    return SearchResult(seen, False)
