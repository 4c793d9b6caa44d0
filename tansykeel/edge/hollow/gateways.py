"""A range of hollow gateways: started, killed as a process dies, closed in order."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from typing import Any

from tansykeel.control.actions import CountedLease
from tansykeel.edge.clock import clock
from tansykeel.edge.control_session import ClaimObserver, ControlSession, create_control_session
from tansykeel.edge.hollow.lease_time import LeaseTime
from tansykeel.errors import Problem
from tansykeel.settings.records import Settings
from tansykeel.transport.link import Hub, Limits
from tansykeel.transport.traffic import Traffic, traffic_of

INCARNATION_MASK = 2**62 - 1  # what the hello's `boot` holds of a clock's nanoseconds


class HollowError(Problem, ValueError):
    """A range of hollow gateways, or a command to them, that can't be."""

    advice = (
        "give a range of numbers that this process has, and one of the commands of tansykeel/edge/hollow/commands.py"
    )


class HollowGateway:
    """One gateway: its session while it runs, and what is measured of it over all of its incarnations."""

    def __init__(self, settings: Settings, number: int, seed: int, hub: Hub, log: Any, on_claim: ClaimObserver) -> None:
        self.settings, self.number, self.seed, self.hub = settings, number, seed, hub
        self.name = settings.gateway.named(number)
        self.log = log.bind(gateway=self.name)
        self.on_claim = on_claim
        self.incarnation = 0
        self.starts = 0
        self.session: ControlSession | None = None
        self.lease_time = LeaseTime()
        self._claim: CountedLease | None = None  # the newest, of any incarnation
        self._ended_traffic = Traffic()  # of connections that ended

    @property
    def running(self) -> bool:
        """Whether it was started and neither killed nor closed since."""
        return self.session is not None and not self.session.closed

    @property
    def session_open(self) -> bool:
        """Whether a control node holds its session, as far as it knows."""
        return self.session is not None and self.running and self.session.is_open

    @property
    def traffic(self) -> Traffic:
        """Return what went over its connections to control nodes so far, of all incarnations."""
        total = self._ended_traffic
        for sock in self.session.open_sockets() if self.session else ():
            total += traffic_of(sock)
        return total

    def units(self, now: int) -> int:
        """Return the units that it counts at this moment; one that was killed counts none."""
        claim = self._claim
        return claim.units if claim and self.running and now < claim.until else 0

    def start(self) -> None:
        """Start it as a new incarnation; one that runs is left alone."""
        if self.running:
            return
        self.incarnation = max(time.time_ns() & INCARNATION_MASK, self.incarnation + 1)
        self.starts += 1
        self.lease_time.start(clock())
        self.session = create_control_session(
            self.settings,
            self.number,
            self.incarnation,
            self.seed,
            self.hub,
            self.log,
            self._claimed,
            self._connection_ended,
        )
        self.session.start()

    def kill(self) -> None:
        """End it as the death of its process would: its connections end, and nothing is said."""
        if self.session and self.running:
            self.lease_time.stop(clock())
            self.session.abort("killed")

    def close(self) -> None:
        """Close its session in order."""
        if self.session and self.running:
            self.session.close()
            self.lease_time.stop(clock())

    def _claimed(self, now: int, gateway: str, incarnation: int, claim: CountedLease) -> None:
        self._claim = claim
        self.lease_time.claim(now, claim)
        self.on_claim(now, gateway, incarnation, claim)

    def _connection_ended(self, sock: socket.socket) -> None:
        self._ended_traffic += traffic_of(sock)


class HollowGateways:
    """All hollow gateways of one process, by number; they share one `Hub`."""

    def __init__(
        self, settings: Settings, first: int, count: int, seed: int, log: Any, on_claim: ClaimObserver | None = None
    ) -> None:
        gateways = sum(region.gateways for region in settings.regions)
        if count < 1 or first < 0 or first + count > gateways:
            raise HollowError(f"{count} gateways from number {first}; legal: numbers from 0 to {gateways - 1}")
        self.hub = Hub(Limits(stall=settings.gateway.peer_stall_s))
        observe = on_claim or (lambda now, gateway, incarnation, claim: None)
        self.by_number = {
            number: HollowGateway(settings, number, seed, self.hub, log, observe)
            for number in range(first, first + count)
        }

    def __iter__(self) -> Iterator[HollowGateway]:
        return iter(self.by_number.values())

    def range(self, first: int, count: int) -> list[HollowGateway]:
        """Return the gateways of a range of numbers. Raises HollowError where one is not of this process."""
        numbers = range(first, first + count)
        if count < 1 or not all(number in self.by_number for number in numbers):
            have = list(self.by_number)
            raise HollowError(f"{count} gateways from number {first}; legal: numbers from {have[0]} to {have[-1]}")
        return [self.by_number[number] for number in numbers]
