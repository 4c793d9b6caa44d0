"""Drawn runs of `model_checker.py`: from a region at work, spans of order among drawn nodes, and single events between.

Events drawn one by one seldom let a view, a term and a lease come about one after the other. So most events of a run
come in rounds: the nodes that are there renew, what was sent among them arrives, gateways act, and the nodes lead,
propose and form views as they would; who is there changes from time to time. Between the rounds come events drawn of
all that may happen: late and repeated messages, crashes, connections that break, clocks that go on. Without I/O.
"""

from __future__ import annotations

from random import Random
from typing import cast

from tansykeel.cluster.model_checker import Bounds, Event, Found, NoFirstView, shrunk, told
from tansykeel.control.model_checker import ALIKE, RegionModel
from tansykeel.control.model_parts import REGION_UNITS, ModelTerms

SETTLING_ROUNDS = 12
STEPS = 300  # events of a drawn run at most
WAVES = 4  # of messages and their answers that arrive in a round
ROUND = 0.4  # part of the steps that are a round
KEPT = 0.7  # chance that the same nodes are there in the next round
MAY = 0.4  # chance that a node leads, proposes or forms where it would
ACTS = 0.8  # chance that a gateway acts in a round
TICKS = 0.6  # chance that time goes on after a round


def settled(names: tuple[str, ...], model: ModelTerms, rates: tuple[int, ...] = ALIKE) -> RegionModel:
    """Return a region whose nodes agreed on a first view and whose gateways count by leases.

    Raises NoFirstView where that does not come about.
    """
    region = RegionModel(names, model, rates)

    def happen(events: list[Event]) -> None:
        nonlocal region
        for event in events:
            region = cast(RegionModel, region.after(event)) or region

    def all_arrive() -> None:
        for _ in range(6):
            words = list(region.sent)
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
        happen([("connects", name, node) for name, one in region.gateways.items() for node in one.wants])
        all_arrive()
        happen([("tick",)])
    happen([("renews", name) for name in names])
    all_arrive()
    happen([("acts", name) for name in model.gateways])
    all_arrive()
    if region.law or sum(one.units for name in model.gateways if (one := region.counted_by(name))) < REGION_UNITS - 1:
        raise NoFirstView(f"no settled region of {names}: {region.law or 'the gateways count less than its units'}")
    region.sent, region.used = {}, dict.fromkeys(region.used, 0)
    return region


class DrawnRun:
    """One run: the state it came to, and the events that led there."""

    def __init__(self, first: RegionModel, bounds: Bounds, chance: Random) -> None:
        self.region = first
        self.bounds = bounds
        self.chance = chance
        self.events: list[Event] = []
        self.fresh: dict[Event, None] = {}
        self.there = list(first.names)

    def go(self, steps: int) -> bool:
        """Go so many events on. Return True where a law broke."""
        while len(self.events) < steps and not self.region.law:
            if self.chance.random() < ROUND:
                self._round()
            else:
                self._single()
        return bool(self.region.law)

    def _step(self, event: Event) -> None:
        if self.region.law:
            return
        self.fresh.pop(event, None)
        after = self.region.after(event)
        if after is None:
            return
        self.fresh |= dict.fromkeys(("arrives", *word) for word in after.sent if word not in self.region.sent)
        self.region = cast(RegionModel, after)
        self.events.append(event)

    def _single(self) -> None:
        """One event of all that may happen, its kind drawn first."""
        choice = self.region.events(self.bounds)
        kind = self.chance.choice(list(dict.fromkeys(event[0] for event in choice)))
        self._step(self.chance.choice([event for event in choice if event[0] == kind]))

    def _round(self) -> None:
        if self.chance.random() > KEPT:
            self.there = [name for name in self.region.names if self.chance.random() < 0.7]
        self._decide()
        for name in self.there:
            self._step(("renews", name))
        self._arrive()
        for name in self.region.model.gateways:
            if self.chance.random() < ACTS:
                self._step(("acts", name))
                for node in self.region.gateways[name].wants:
                    self._step(("connects", name, node))
        self._arrive()
        if self.chance.random() < TICKS and self.region.used["tick"] < self.bounds.ticks:
            self._step(("tick",))

    def _arrive(self) -> None:
        """What was sent among the nodes that are there arrives, and what is on its way between them and gateways."""
        for _ in range(WAVES):
            for event in list(self.fresh):
                if event[1] in self.there and getattr(event[2], "name", "") in self.there:
                    self._step(event)
            for event in self.region.deliveries():
                if self.region.connections[cast(int, event[1])].node in self.there:
                    self._step(event)

    def _decide(self) -> None:
        """A node that is there leads, proposes or forms a view, where the running program would."""
        nodes = [self.region.nodes[name] for name in self.there if name in self.region.nodes]
        if not nodes or self.chance.random() > MAY:
            return
        node = self.chance.choice(nodes)
        agreement, now = node.member.agreement, self.region.clock(node.name)
        if not any(one.member.agreement.leased(self.region.clock(one.name)) for one in nodes):
            if self.region.used["form"] < self.bounds.forms:
                self._step(("forms", node.name))
        elif agreement.view is not None and agreement.leased(now):
            members = tuple(sorted(one.member.me for one in nodes))
            if members != agreement.view.members and self.region.used["propose"] < self.bounds.proposals:
                self._step(("proposes", node.name, members))
            elif not any(one.member.log.leads for one in nodes):
                self._step(("leads", node.name))


def drawn_runs(first: RegionModel, bounds: Bounds, seed: int, steps: int = STEPS) -> Found:
    """Draw runs until so many states were looked at, or a law broke: then with the fewest events that show it."""
    chance, seen = Random(seed), 0
    while seen < bounds.states:
        run = DrawnRun(first, bounds, chance)
        broken = run.go(steps)
        seen += len(run.events)
        if broken:
            return Found(seen, False, run.region.law, tuple(map(told, shrunk(first, run.events))))
    return Found(seen, False)
