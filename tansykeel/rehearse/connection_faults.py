"""What faults do to the frames of connections that many gateways have to a few control nodes. Without I/O.

A connection is a byte stream: nothing on it is lost for good, repeated or overtaken while it lasts. So a lost packet
is the time until it is sent again, in which all that follows on the same direction waits; a silence keeps everything
back until it is over; and a reset ends the connection at both ends at once. `rehearse.faults` has the other model, of
messages that are lost one by one. Times are whole microseconds.
"""

from __future__ import annotations

from enum import StrEnum
from random import Random
from typing import Annotated, Literal

from msgspec import Meta, Struct

MICROSECONDS_IN_MS = 1_000
SECOND = 1_000_000
RETRANSMIT = 200_000  # microseconds after which a lost packet is sent again: the least that Linux waits
MOST_RETRANSMITS = 6  # of one packet, each after twice the time: with 1% lost, one in 10**12 would take more

EndKind = Literal["", "gateway", "node"]


class End(Struct, frozen=True):
    """Who is at one end of a connection, and where it lies."""

    name: str
    kind: EndKind
    region: str
    zone: int


class Ends(Struct, frozen=True):
    """Which ends a fault strikes: those that fit all that is given. What is left out fits everyone."""

    kind: EndKind = ""
    name: str = ""
    region: str = ""
    zone: int = -1
    outside_zone: int = -1

    def fit(self, end: End) -> bool:
        """Whether the fault strikes at this end."""
        return (
            self.kind in ("", end.kind)
            and self.name in ("", end.name)
            and self.region in ("", end.region)
            and self.zone in (-1, end.zone)
            and (self.outside_zone == -1 or self.outside_zone != end.zone)
        )


class FaultKind(StrEnum):
    """What can strike a connection."""

    DELAY = "delay"
    LOSS = "loss"
    SILENCE = "silence"
    RESET = "reset"


class ConnectionFault(Struct, frozen=True):
    """A fault on all frames from some ends to some others, and with `both` on those back."""

    kind: FaultKind
    seconds: Annotated[float, Meta(ge=0)] = 0.0  # how long it lasts; a reset strikes once
    sender: Ends = Ends()
    receiver: Ends = Ends()
    both: bool = True
    share: Annotated[float, Meta(ge=0, le=1)] = 1.0  # of packets that are lost, or of connections that are reset
    delay_ms: Annotated[float, Meta(ge=0)] = 0.0
    spread: Annotated[float, Meta(ge=0, le=1)] = 0.0  # of the delay, up or down

    def strikes(self, sender: End, receiver: End) -> bool:
        """Whether it strikes frames from one end to another."""
        there = self.sender.fit(sender) and self.receiver.fit(receiver)
        return there or self.both and self.sender.fit(receiver) and self.receiver.fit(sender)


def zone_cut(zone: int, seconds: float) -> ConnectionFault:
    """Return the cut of a zone from all others, both ways."""
    return ConnectionFault(FaultKind.SILENCE, seconds, Ends(zone=zone), Ends(outside_zone=zone))


def region_cut(region: str, seconds: float) -> ConnectionFault:
    """Return the cut between a region's gateways and its control nodes, both ways."""
    return ConnectionFault(FaultKind.SILENCE, seconds, Ends(kind="gateway", region=region), Ends(kind="node"))


def one_way_silence(sender: Ends, receiver: Ends, seconds: float) -> ConnectionFault:
    """Return a silence of what some ends send to others; what comes back passes."""
    return ConnectionFault(FaultKind.SILENCE, seconds, sender, receiver, both=False)


def loss(share: float, seconds: float) -> ConnectionFault:
    """Return the loss of a share of all packets, one a frame, each sent again later."""
    return ConnectionFault(FaultKind.LOSS, seconds, share=share)


class ConnectionFaults:
    """All faults that strike now. `chance` is drawn from only while a fault strikes."""

    def __init__(self, chance: Random) -> None:
        self.chance = chance
        self.caused = 0  # faults so far: whoever remembers which of them strike it looks again when this grows
        self._active: list[tuple[int, ConnectionFault]] = []  # with the moment at which each ends

    def cause(self, now: int, fault: ConnectionFault) -> None:
        """Let a fault strike from now on. A reset is carried out by whoever holds the connections."""
        self.caused += 1
        self._active = [(until, other) for until, other in self._active if until > now]
        if fault.kind is not FaultKind.RESET:
            self._active.append((now + int(fault.seconds * SECOND), fault))

    def striking(self, sender: End, receiver: End) -> list[tuple[int, ConnectionFault]]:
        """Return the faults that strike frames from one end to another, with the moment at which each ends."""
        return [(until, fault) for until, fault in self._active if fault.strikes(sender, receiver)]


class Direction:
    """Frames from one end of one connection to the other, in their order."""

    def __init__(self, faults: ConnectionFaults, sender: End, receiver: End) -> None:
        self.faults = faults
        self._last = 0  # when the frame before goes on
        self.leads(sender, receiver)

    def leads(self, sender: End, receiver: End) -> None:
        """From now on it is known to lead from this end to that one."""
        self.sender = sender
        self.receiver = receiver
        self._known = -1  # faults that were caused when it was looked up which of them strike here
        self._striking: list[tuple[int, ConnectionFault]] = []

    def goes_on(self, now: int) -> int:
        """Return when a frame that comes by now goes on: never before the one that came by before it."""
        if self._known != self.faults.caused:
            self._known = self.faults.caused
            self._striking = self.faults.striking(self.sender, self.receiver)
        moment = now
        for until, fault in self._striking:
            if until > now:
                moment = self._struck(moment, until, fault)
        self._last = max(moment, self._last)
        return self._last

    def _struck(self, moment: int, until: int, fault: ConnectionFault) -> int:
        """When a frame goes on that would go on at `moment` without this fault."""
        chance = self.faults.chance
        match fault.kind:
            case FaultKind.DELAY:
                spread = fault.spread * (2 * chance.random() - 1)
                return moment + int(fault.delay_ms * MICROSECONDS_IN_MS * (1 + spread))
            case FaultKind.LOSS:
                wait = RETRANSMIT
                for _ in range(MOST_RETRANSMITS):
                    if chance.random() >= fault.share:
                        break
                    moment += wait
                    wait *= 2
                return moment
            case _:
                return max(moment, until)
