"""Runs the maintenance controller of a gateway on its clock, connections and cluster member.

It answers the agents of machines that may be taken out of service and the operators of rollouts, and it collects the
task counts from which the leader compares the new version with the old one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.member import ClusterMember, OutgoingMessage
from tansykeel.edge.clock import clock
from tansykeel.edge.core import Core
from tansykeel.interface import StoreState
from tansykeel.maintenance.canary_analysis import Seen
from tansykeel.maintenance.controller import Ask, Controller
from tansykeel.maintenance.disruption_budget import Place
from tansykeel.maintenance.entries import Recover, encode_entry
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

UPDATE_INTERVAL_S = 0.2
FIGURES_INTERVAL = 10_000  # ticks of the clock: each gateway reports its task counts once per interval, here a second
INTERVALS_KEPT = 3  # the counts of an interval are compared so many intervals later, when those of all have arrived
Reply = Callable[[MaintenanceMessage], None]


class MaintenanceAgent:
    """One gateway's `Controller` with what it reads and how it sends.

    `addresses` are the addresses of all gateways by name. `served` holds, by category, how many tasks this gateway has
    answered and how many of them were delivered in time; the gateway's program updates it.
    `send_to_gateway(name, message)` sends a message to another gateway; `send_to_cluster` takes messages that the
    cluster member wants sent.
    """

    def __init__(
        self,
        settings: AccordOf,
        state: State,
        cluster_member: ClusterMember,
        core: Core,
        addresses: dict[str, str],
        served: dict[str, list[int]],
        send_to_gateway: Callable[[str, MaintenanceMessage], None],
        send_to_cluster: Callable[[list[OutgoingMessage]], None],
        log: Any,
    ) -> None:
        self.state, self.cluster_member, self.core, self.addresses, self.served = (
            state,
            cluster_member,
            core,
            addresses,
            served,
        )
        self.send_to_gateway, self.send_to_cluster, self.log = send_to_gateway, send_to_cluster, log
        self.controller = Controller(state, pace_of(settings), comparing_of(settings), len(core.facts.categories))
        self.bounds = bounds_of(settings)
        self.pending: dict[str, tuple[int, Reply]] = {}  # by agent: when it asked; its answer waits for a majority
        self.interval = 0  # number of the present one
        self.last_counts: dict[str, Seen] = {}  # by category, at the end of the last interval
        self.figures: dict[int, dict[str, dict[str, Seen]]] = {}  # by interval, gateway, category
        self.led = False  # whether this gateway led the log at the last update

    def update(self) -> None:
        """Advance the controller and answer waiting agents; to be called every UPDATE_INTERVAL_S."""
        now, replicated_log = clock(), self.cluster_member.replicated_log
        assert replicated_log is not None
        if replicated_log.leads is not self.led:
            self.led = replicated_log.leads
            self.log.info(
                "ledger", leads=self.led, view=self.cluster_member.agreement.number, entries=replicated_log.last_index
            )
        self.controller.set_leading(now, replicated_log.leads)
        if now // FIGURES_INTERVAL != self.interval:
            self.interval = now // FIGURES_INTERVAL
            self._finish_interval()
        if replicated_log.leads:
            gone, alive = self._health()
            for entry in self.controller.entries_to_offer(now, self._places(), self.bounds, gone, alive):
                self.send_to_cluster(self.cluster_member.offer(now, encode_entry(entry))[1])
        for name, (since, reply) in list(self.pending.items()):
            self._answer(now, name, since, reply)

    def received(self, message: MaintenanceMessage, reply: Reply) -> None:
        """Process a message of an agent or an operator; `figures_received` takes those of other gateways."""
        now, replicated_log = clock(), self.cluster_member.replicated_log
        assert replicated_log is not None
        match message:
            case Offered(entry) if (
                isinstance(entry, Recover) and not replicated_log.state_transferred and not replicated_log.leads
            ):
                # The voters of the previous view are lost, so no gateway can lead the log until an operator allows it.
                self.send_to_cluster(list(replicated_log.recover_without_electors(now)))
                reply(Taken(False, "this view goes on with what it knows; legal: the same again in a few seconds"))
            case _ if not replicated_log.leads:
                reply(Elsewhere(replicated_log.leader, self.addresses.get(replicated_log.leader, "")))
            case Ask():
                self.controller.record_request(now, message)
                self.pending[message.name] = now, reply
                self._answer(now, message.name, now, reply)
            case StatusAsk():
                release = self.state.active_release()
                steps = release.next_targets()[:1] if release else []
                reply(
                    Status(
                        self.cluster_member.me.name,
                        self.cluster_member.agreement.number,
                        replicated_log.last_index,
                        self.state.kept,
                        tuple(self.state.denial_reasons(steps[0])) if steps else (),
                    )
                )
            case Offered(entry):
                if isinstance(entry, Recover) and self.controller.recovery_entry(now, entry.out, entry.by) is None:
                    return reply(Taken(False, "orders of before may still be obeyed; legal: a few seconds later"))
                added, sent = self.cluster_member.offer(now, encode_entry(entry))
                self.send_to_cluster(sent)
                reply(Taken(added))

    def figures_received(self, gateway: str, figures: Figures) -> None:
        """Keep the task counts of a gateway for one interval, this gateway's own ones included."""
        self.figures.setdefault(figures.stretch, {})[gateway] = figures.by_class

    # Implementation

    def _answer(self, now: int, name: str, since: int, reply: Reply) -> None:
        """Reply to an agent that asked at `since`; where an order may still follow, keep the agent waiting."""
        replicated_log = self.cluster_member.replicated_log
        assert replicated_log is not None
        out = self.state.kept.out.get(name)
        if (order := self.controller.order_for(now, name, replicated_log.leader_confirmed_at(now))) is not None:
            reply(order)
        elif out is not None and replicated_log.leads and now - since < self.controller.pace.patience:
            return  # until a majority has confirmed that this gateway leads, or the agent has waited too long
        else:
            reply(Wait(tuple(self.state.denial_reasons(name))))
        self.pending.pop(name, None)

    def _places(self) -> dict[str, Place]:
        """Return all gateways of the settings and all stores of the store list, by name."""
        gateways = {name: Place(name, "gateway", place.zone) for name, place in self.cluster_member.placements.items()}
        stores = {
            str(store.handle): Place(str(store.handle), "store", store.zone, store.shard)
            for store in self.core.stores.values()
            if store.state is not StoreState.GONE
        }
        return gateways | stores

    def _health(self) -> tuple[dict[str, str], list[str]]:
        """Return who is out of service and why, by name, and who is in service.

        A store that is ready but still warming up is in neither.
        """
        now, cold = self.core.runner.now, self.core.facts.slow_start
        others = self.cluster_member.failure_detector.others.values()
        gone = {other.name: "died" for other in others if other.state is MemberState.DEAD}
        alive = [other.name for other in others if other.state is MemberState.ALIVE and other.incarnation]
        for name, store in self.core.stores.items():
            if store.state is not StoreState.READY:
                gone[name] = "drains" if store.state is StoreState.DRAINING else "is gone"
            elif not cold or not store.started or now - store.started >= cold.warm_after + cold.span:
                alive.append(name)
        return gone, [*alive, self.cluster_member.me.name]

    def _finish_interval(self) -> None:
        """Report the task counts of the last interval to the leader; the leader compares the counts of older ones."""
        counts = {name: Seen(*totals) for name, totals in self.served.items()}
        last = {
            name: Seen(
                totals.tasks - self.last_counts.get(name, Seen(0, 0)).tasks,
                totals.served - self.last_counts.get(name, Seen(0, 0)).served,
            )
            for name, totals in counts.items()
        }
        self.last_counts = counts
        replicated_log = self.cluster_member.replicated_log
        assert replicated_log is not None
        figures = Figures(self.interval - 1, {name: seen for name, seen in last.items() if seen.tasks})
        if replicated_log.leads:
            self.figures_received(self.cluster_member.me.name, figures)
        elif replicated_log.leader:
            self.send_to_gateway(replicated_log.leader, figures)
        for interval in [interval for interval in self.figures if interval <= self.interval - INTERVALS_KEPT]:
            by_gateway = self.figures.pop(interval)
            if replicated_log.leads:
                self._compare(by_gateway)

    def _compare(self, by_gateway: dict[str, dict[str, Seen]]) -> None:
        """Give the controller the counts of one interval: of gateways with the new version, and of the others."""
        release = self.state.active_release()
        if release is None:
            return
        newer = {name for name in release.went if name not in release.returned}
        sides: tuple[dict[tuple[str, int], Seen], dict[tuple[str, int], Seen]] = ({}, {})
        for name, by_class in by_gateway.items():
            if name in self.state.kept.out or name not in self.cluster_member.placements:
                continue
            side, zone = sides[name not in newer], self.cluster_member.placements[name].zone
            for category, counts in by_class.items():
                sum_so_far = side.get((category, zone), Seen(0, 0))
                side[category, zone] = Seen(
                    sum_so_far.tasks + counts.tasks, sum_so_far.served + min(counts.served, counts.tasks)
                )
        self.controller.add_task_counts(clock(), *sides)
