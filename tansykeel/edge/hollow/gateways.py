"""Hollow gateways of a range of numbers, which can be started, killed as by the death of a process, and closed."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from typing import Any

from tansykeel.control.actions import EffectiveLease
from tansykeel.edge.clock import clock
from tansykeel.edge.control_session import ClaimObserver, ControlSession, create_control_session
from tansykeel.edge.hollow.lease_time import LeaseTime
from tansykeel.errors import Problem
from tansykeel.settings.records import Settings
from tansykeel.transport.link import Hub, Limits
from tansykeel.transport.traffic import Traffic, traffic_of

INCARNATION_MASK = 2**62 - 1  # the field `boot` of the hello has room for 62 bits of the wall clock's nanoseconds


class HollowError(Problem, ValueError):
    """A range of hollow gateways or a command to them is invalid."""

    advice = (
        "give a range of numbers that this process has, and one of the commands of tansykeel/edge/hollow/commands.py"
    )


class HollowGateway:
    """One gateway: its session while it runs, and what is measured over all of its incarnations."""

    def __init__(self, settings: Settings, number: int, seed: int, hub: Hub, log: Any, on_claim: ClaimObserver) -> None:
        self.settings, self.number, self.seed, self.hub = settings, number, seed, hub
        self.name = settings.gateway.named(number)
        self.log = log.bind(gateway=self.name)
        self.on_claim = on_claim
        self.incarnation = 0
        self.starts = 0
        self.session: ControlSession | None = None
        self.lease_time = LeaseTime()
        self._claim: EffectiveLease | None = None  # the last one, of any incarnation
        self._ended_traffic = Traffic()  # of connections that have ended

    @property
    def running(self) -> bool:
        """Whether it was started and has not been killed or closed since."""
        return self.session is not None and not self.session.closed

    @property
    def session_open(self) -> bool:
        """Whether its session is open at a control node, as far as it knows."""
        return self.session is not None and self.running and self.session.is_open

    @property
    def traffic(self) -> Traffic:
        """The traffic of its connections to control nodes, of all incarnations."""
        total = self._ended_traffic
        for sock in self.session.open_sockets() if self.session else ():
            total += traffic_of(sock)
        return total

    def units(self, now: int) -> int:
        """Return the units of the lease that it uses at this moment; 0 without a lease or if it does not run."""
        claim = self._claim
        return claim.units if claim and self.running and now < claim.until else 0

    def start(self) -> None:
        """Start it as a new incarnation; does nothing if it runs."""
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
            self._claim_changed,
            self._connection_ended,
        )
        self.session.start()

    def kill(self) -> None:
        """Drop its connections as the death of its process would, without closing its session."""
        if self.session and self.running:
            self.lease_time.stop(clock())
            self.session.abort("killed")

    def close(self) -> None:
        """Close its session gracefully."""
        if self.session and self.running:
            self.session.close()
            self.lease_time.stop(clock())

    def _claim_changed(self, now: int, gateway: str, incarnation: int, claim: EffectiveLease) -> None:
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
        """Return the gateways of a range of numbers. Raises HollowError if one is not in this process."""
        numbers = range(first, first + count)
        if count < 1 or not all(number in self.by_number for number in numbers):
            own_numbers = list(self.by_number)
            raise HollowError(
                f"{count} gateways from number {first}; legal: numbers from {own_numbers[0]} to {own_numbers[-1]}"
            )
        return [self.by_number[number] for number in numbers]
