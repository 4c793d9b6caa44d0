"""Runs a cluster member on the program's clock and connections, and logs what changes."""

from __future__ import annotations

from collections.abc import Callable
from fractions import Fraction
from random import Random
from typing import Any

from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import View
from tansykeel.cluster.replicated_log import StateMachine
from tansykeel.edge.clock import EPOCH, WakeupTimer, clock
from tansykeel.edge.cluster_connections import MICROS, ClusterConnections
from tansykeel.edge.peers import Peers
from tansykeel.protocol.frames import FleetTold, Hello, Watch
from tansykeel.settings.cluster import cluster_member_of
from tansykeel.settings.records import PeersOf

Counted = Callable[[int, str, int, int, Fraction, int], None]  # at, who, life, view, part, until; microseconds


class ClusterAgent:
    """`counted` hears of each change of what this gateway counts as its own."""

    def __init__(
        self,
        settings: PeersOf,
        names: list[str],
        me: int,
        hello: Hello,
        seed: int,
        peers: Peers,
        log: Any,
        wall_ms: Callable[[], int],
        counted: Counted | None = None,
        machine: StateMachine | None = None,
    ) -> None:
        self.names, self.peers, self.log, self.wall_ms, self.counted = names, peers, log, wall_ms, counted
        self.cluster_member = cluster_member_of(
            settings, names, me, hello.boot, Random(f"{seed} {hello.boot}"), clock(), machine
        )
        self.connections = ClusterConnections(self.cluster_member, peers, log)
        self.reminder = WakeupTimer(self._tick)
        self.leased = self.ended = False
        self.told: tuple[int, Fraction, int] | None = None

    @property
    def view(self) -> View | None:
        """The view that was there when last looked at."""
        return self.connections.view

    @property
    def seems(self) -> dict[str, MemberState]:
        """How each of the others seemed when last looked at."""
        return self.connections.seems

    def start(self) -> None:
        self._done(clock(), [])

    def say(self, sent: list[tuple[str, ClusterMessage]]) -> None:
        """Send what the cluster member wants said beside its own steps."""
        self._done(clock(), sent)

    def leave(self) -> None:
        self._done(clock(), self.cluster_member.leave(clock()))

    def end(self) -> None:
        self.ended = True

    def heard(self, hello: Hello, watch: Watch) -> None:
        """A word of the gateway that said this hello. Raises ProtocolError for one that is none."""
        if not self.ended and (received := self.connections.received(hello, watch)) is not None:
            now = clock()
            self._done(now, self.cluster_member.heard(now, *received))

    def told_of(self) -> FleetTold:
        """What this gateway believes, for an operator."""
        now = clock()
        return self.connections.status(now, float(self.cluster_member.agreement.part(now)))

    # Within

    def _tick(self, now: int) -> None:
        if self.ended:
            return
        sent: list[tuple[str, ClusterMessage]] = []
        if now >= self.cluster_member.due():
            sent = self.cluster_member.tick(now, self.wall_ms())
        self._done(now, sent)

    def _done(self, now: int, sent: list[tuple[str, ClusterMessage]]) -> None:
        self._look(now)
        for name, word in sent:
            self.connections.send(name, word)
        self.reminder.set(max(self.cluster_member.due(), now + 1))

    def _look(self, now: int) -> None:
        """Say what changed since it was looked at last."""
        agreement = self.cluster_member.agreement
        self.connections.log_changes()
        if (leased := agreement.leased(now)) is not self.leased:
            self.leased = leased
            self.log.info("lease", held=leased, view=agreement.number, part=float(agreement.part(now)))
        if self.counted and self.cluster_member.counted != self.told:
            self.told = number, part, until = self.cluster_member.counted
            self.counted(
                (now - EPOCH) * MICROS,
                self.cluster_member.me.name,
                self.cluster_member.me.incarnation,
                number,
                part,
                max(until - EPOCH, 0) * MICROS,
            )
