"""Runs a gateway's cluster member on the event loop and the connections to the other gateways, and logs its changes."""

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
from tansykeel.edge.cluster_connections import MICROSECONDS_PER_TICK, ClusterConnections
from tansykeel.edge.peers import Peers
from tansykeel.protocol.frames import FleetTold, Hello, Watch
from tansykeel.settings.cluster import cluster_member_of
from tansykeel.settings.records import PeersOf

# Arguments: time, name and incarnation of the gateway, number of the view, the gateway's share of each divided limit,
# and when its lease on that share expires (0: the share needs no lease). Times: microseconds of the monotonic clock.
PartObserver = Callable[[int, str, int, int, Fraction, int], None]


class ClusterAgent:
    """One gateway's `ClusterMember` with its timer and its connections.

    `number` is the gateway's index in `names`; `wall_clock_ms` returns the wall-clock time in milliseconds;
    `on_part_change` is called with each change of the gateway's share; `state_machine` is that of the replicated log,
    None for a cluster without one.
    """

    def __init__(
        self,
        settings: PeersOf,
        names: list[str],
        number: int,
        hello: Hello,
        seed: int,
        peers: Peers,
        log: Any,
        wall_clock_ms: Callable[[], int],
        on_part_change: PartObserver | None = None,
        state_machine: StateMachine | None = None,
    ) -> None:
        self.names, self.peers, self.log, self.wall_clock_ms, self.on_part_change = (
            names,
            peers,
            log,
            wall_clock_ms,
            on_part_change,
        )
        self.cluster_member = cluster_member_of(
            settings, names, number, hello.boot, Random(f"{seed} {hello.boot}"), clock(), state_machine
        )
        self.connections = ClusterConnections(self.cluster_member, peers, log)
        self.reminder = WakeupTimer(self._tick)
        self.leased = self.stopped = False  # `leased`: as logged last
        self.last_part: tuple[int, Fraction, int] | None = None  # view, share, expiry, as reported last

    @property
    def view(self) -> View | None:
        """The current view as of the last step."""
        return self.connections.view

    @property
    def member_states(self) -> dict[str, MemberState]:
        """The state of each member by name, as of the last step."""
        return self.connections.member_states

    def start(self) -> None:
        """Start the timer, and with it the failure detector and the agreement on views."""
        self._finish_step(clock(), [])

    def send(self, messages: list[tuple[str, ClusterMessage]]) -> None:
        """Send messages that the cluster member returned from a call made by another component."""
        self._finish_step(clock(), messages)

    def leave(self) -> None:
        """Tell the other gateways that this one ends."""
        self._finish_step(clock(), self.cluster_member.leave(clock()))

    def stop(self) -> None:
        """Stop the timer and ignore further messages."""
        self.stopped = True

    def received(self, hello: Hello, watch: Watch) -> None:
        """Process a WATCH frame of the gateway that sent this HELLO. Raises ProtocolError if it holds no message."""
        if not self.stopped and (received := self.connections.received(hello, watch)) is not None:
            now = clock()
            self._finish_step(now, self.cluster_member.handle_message(now, *received))

    def status(self) -> FleetTold:
        """Return this gateway's view of the cluster, for an operator."""
        now = clock()
        return self.connections.status(now, float(self.cluster_member.agreement.part(now)))

    # Implementation

    def _tick(self, now: int) -> None:
        if self.stopped:
            return
        messages: list[tuple[str, ClusterMessage]] = []
        if now >= self.cluster_member.due():
            messages = self.cluster_member.tick(now, self.wall_clock_ms())
        self._finish_step(now, messages)

    def _finish_step(self, now: int, messages: list[tuple[str, ClusterMessage]]) -> None:
        """Report changes, send the messages that a step of the cluster member produced, and set the timer anew."""
        self._report_changes(now)
        for name, message in messages:
            self.connections.send(name, message)
        self.reminder.set(max(self.cluster_member.due(), now + 1))

    def _report_changes(self, now: int) -> None:
        """Log what changed since the last call, and report a change of the gateway's share."""
        agreement = self.cluster_member.agreement
        self.connections.log_changes()
        if (leased := agreement.leased(now)) is not self.leased:
            self.leased = leased
            self.log.info("lease", held=leased, view=agreement.number, part=float(agreement.part(now)))
        if self.on_part_change and self.cluster_member.counted != self.last_part:
            self.last_part = number, part, until = self.cluster_member.counted
            self.on_part_change(
                (now - EPOCH) * MICROSECONDS_PER_TICK,
                self.cluster_member.me.name,
                self.cluster_member.me.incarnation,
                number,
                part,
                max(until - EPOCH, 0) * MICROSECONDS_PER_TICK,
            )
