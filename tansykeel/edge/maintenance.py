"""Runs the maintenance controller on the program's clock: answers agents and operators, passes on figures."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.member import ClusterMember, Sent
from tansykeel.edge.clock import clock
from tansykeel.edge.core import Core
from tansykeel.interface import StoreState
from tansykeel.maintenance.canary_analysis import Seen
from tansykeel.maintenance.controller import Ask, Controller
from tansykeel.maintenance.disruption_budget import Place
from tansykeel.maintenance.entries import Recover, packed
from tansykeel.maintenance.messages import (
    Elsewhere,
    Figures,
    MaintenanceMessage,
    Offered,
    Status,
    StatusAsk,
    Taken,
    Wait,
)
from tansykeel.maintenance.state import State
from tansykeel.settings.cluster import bounds_of, comparing_of, pace_of
from tansykeel.settings.records import AccordOf

LOOKS_EVERY = 0.2  # seconds
STRETCH = 10_000  # tenths: figures are of as long
KEPT = 3  # stretches whose figures are waited for
Reply = Callable[[MaintenanceMessage], None]


class MaintenanceAgent:
    """`tell(name, word)` to another gateway; `sent` takes what the cluster member wants said."""

    def __init__(
        self,
        settings: AccordOf,
        state: State,
        cluster_member: ClusterMember,
        core: Core,
        addresses: dict[str, str],
        served: dict[str, list[int]],
        tell: Callable[[str, MaintenanceMessage], None],
        sent: Callable[[list[Sent]], None],
        log: Any,
    ) -> None:
        self.state, self.cluster_member, self.core, self.addresses, self.served = (
            state,
            cluster_member,
            core,
            addresses,
            served,
        )
        self.tell, self.sent, self.log = tell, sent, log
        self.controller = Controller(state, pace_of(settings), comparing_of(settings), len(core.facts.categories))
        self.bounds = bounds_of(settings)
        self.pending: dict[str, tuple[int, Reply]] = {}  # agents that wait for a majority, by name: since when
        self.stretch = 0
        self.before: dict[str, Seen] = {}
        self.figures: dict[int, dict[str, dict[str, Seen]]] = {}  # by stretch, gateway, class
        self.led = False

    def look(self) -> None:
        """To be called every LOOKS_EVERY."""
        now, book = clock(), self.cluster_member.replicated_log
        assert book is not None
        if book.leads is not self.led:
            self.led = book.leads
            self.log.info("ledger", leads=self.led, view=self.cluster_member.agreement.number, entries=book.last)
        self.controller.leads(now, book.leads)
        if now // STRETCH != self.stretch:
            self.stretch = now // STRETCH
            self._figures()
        if book.leads:
            gone, alive = self._seen()
            for entry in self.controller.wants(now, self._places(), self.bounds, gone, alive):
                self.sent(self.cluster_member.offer(now, packed(entry))[1])
        for name, (since, reply) in list(self.pending.items()):
            self._answer(now, name, since, reply)

    def heard(self, word: MaintenanceMessage, reply: Reply) -> None:
        """An agent or an operator says something; what gateways say comes by `told_by`."""
        now, book = clock(), self.cluster_member.replicated_log
        assert book is not None
        match word:
            case Offered(entry) if isinstance(entry, Recover) and not book.carried and not book.leads:
                # The voters of the view before are gone: nobody leads until an operator says so.
                self.sent(list(book.go_on(now)))
                reply(Taken(False, "this view goes on with what it knows; legal: the same again in a few seconds"))
            case _ if not book.leads:
                reply(Elsewhere(book.leader, self.addresses.get(book.leader, "")))
            case Ask():
                self.controller.asked(now, word)
                self.pending[word.name] = now, reply
                self._answer(now, word.name, now, reply)
            case StatusAsk():
                release = self.state.under_way()
                steps = release.steps()[:1] if release else []
                reply(
                    Status(
                        self.cluster_member.me.name,
                        self.cluster_member.agreement.number,
                        book.last,
                        self.state.kept,
                        tuple(self.state.against(steps[0])) if steps else (),
                    )
                )
            case Offered(entry):
                if isinstance(entry, Recover) and self.controller.recover(now, entry.out, entry.by) is None:
                    return reply(Taken(False, "orders of before may still be obeyed; legal: a few seconds later"))
                added, sent = self.cluster_member.offer(now, packed(entry))
                self.sent(sent)
                reply(Taken(added))

    def told_by(self, gateway: str, word: Figures) -> None:
        self.figures.setdefault(word.stretch, {})[gateway] = word.by_class

    # Within

    def _answer(self, now: int, name: str, since: int, reply: Reply) -> None:
        book = self.cluster_member.replicated_log
        assert book is not None
        out = self.state.kept.out.get(name)
        if (order := self.controller.answer(now, name, book.confirmed(now))) is not None:
            reply(order)
        elif out is not None and book.leads and now - since < self.controller.pace.patience:
            return  # until a majority has confirmed that this gateway leads, or it is too late
        else:
            reply(Wait(tuple(self.state.against(name))))
        self.pending.pop(name, None)

    def _places(self) -> dict[str, Place]:
        gateways = {name: Place(name, "gateway", place.zone) for name, place in self.cluster_member.places.items()}
        stores = {
            str(store.handle): Place(str(store.handle), "store", store.zone, store.shard)
            for store in self.core.stores.values()
            if store.state is not StoreState.GONE
        }
        return gateways | stores

    def _seen(self) -> tuple[dict[str, str], list[str]]:
        """Who went unasked and how, and who of those that did is there and whole."""
        now, cold = self.core.runner.now, self.core.facts.slow_start
        others = self.cluster_member.failure_detector.others.values()
        gone = {other.name: "died" for other in others if other.seems is MemberState.DEAD}
        alive = [other.name for other in others if other.seems is MemberState.ALIVE and other.life]
        for name, store in self.core.stores.items():
            if store.state is not StoreState.READY:
                gone[name] = "drains" if store.state is StoreState.DRAINING else "is gone"
            elif not cold or not store.started or now - store.started >= cold.warm_after + cold.span:
                alive.append(name)
        return gone, [*alive, self.cluster_member.me.name]

    def _figures(self) -> None:
        """Tell whoever leads what was served in the last stretch; a leader compares those that are whole."""
        counts = {name: Seen(*of) for name, of in self.served.items()}
        last = {
            name: Seen(
                of.tasks - self.before.get(name, Seen(0, 0)).tasks, of.served - self.before.get(name, Seen(0, 0)).served
            )
            for name, of in counts.items()
        }
        self.before = counts
        book = self.cluster_member.replicated_log
        assert book is not None
        word = Figures(self.stretch - 1, {name: seen for name, seen in last.items() if seen.tasks})
        if book.leads:
            self.told_by(self.cluster_member.me.name, word)
        elif book.leader:
            self.tell(book.leader, word)
        for stretch in [stretch for stretch in self.figures if stretch <= self.stretch - KEPT]:
            told = self.figures.pop(stretch)
            if book.leads:
                self._compare(told)

    def _compare(self, told: dict[str, dict[str, Seen]]) -> None:
        release = self.state.under_way()
        if release is None:
            return
        newer = {name for name in release.went if name not in release.returned}
        sides: tuple[dict[tuple[str, int], Seen], dict[tuple[str, int], Seen]] = ({}, {})
        for name, by_class in told.items():
            if name in self.state.kept.out or name not in self.cluster_member.places:
                continue
            side, zone = sides[name not in newer], self.cluster_member.places[name].zone
            for of, seen in by_class.items():
                was = side.get((of, zone), Seen(0, 0))
                side[of, zone] = Seen(was.tasks + seen.tasks, was.served + min(seen.served, seen.tasks))
        self.controller.figures(clock(), *sides)
