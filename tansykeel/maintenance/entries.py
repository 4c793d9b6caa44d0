"""Entries of the maintenance log, each of which the state accepts or refuses when it applies it.

Packed as msgpack by kind and fields. Whoever offers an entry may be late, cut off or mistaken: the state judges it as
of when it is committed, not of when it was offered.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from tansykeel.maintenance.disruption_budget import Bounds, Place


class Entry(Struct, frozen=True, array_like=True, tag=True):
    """Base of all entries."""


class There(Entry, frozen=True, array_like=True, tag=True):
    """Changes of the fleet: gateways and stores that are new or have changed, and names of those removed for good."""

    places: tuple[Place, ...] = ()
    gone: tuple[str, ...] = ()


class Bounded(Entry, frozen=True, array_like=True, tag=True):
    """The bounds of the disruption budget that hold from this entry on."""

    bounds: Bounds


class Asked(Entry, frozen=True, array_like=True, tag=True):
    """The load on all stores and on all gateways, in units a second, as the gateways report it."""

    of_stores: float
    of_gateways: float


class Leave(Entry, frozen=True, array_like=True, tag=True):
    """Permission for a gateway or store to go out of service, for the incarnation `boot` only.

    `release`: the release that takes it out; empty if it goes on its agent's own request.
    """

    name: str
    boot: int
    why: str
    by: str
    release: str = ""
    back: bool = False  # whether it goes back to the release's previous version


class Went(Entry, frozen=True, array_like=True, tag=True):
    """A gateway or store went out of service unplanned: it died, drains by itself, or is absent by a timetable."""

    name: str
    why: str


class Back(Entry, frozen=True, array_like=True, tag=True):
    """A gateway or store was seen back in service and ready, as incarnation `boot`.

    `number`: the index of the `Leave`, `Went` or `Recover` entry by which it is out.
    """

    name: str
    boot: int
    number: int


class Plan(Entry, frozen=True, array_like=True, tag=True):
    """A new release: a version to install on gateways or stores in waves, the first of which is the canary."""

    name: str
    version: str
    before: str  # the version that a rollback returns to
    waves: tuple[tuple[str, ...], ...]
    by: str


class Move(Entry, frozen=True, array_like=True, tag=True):
    """An action of an operator or the leader on a release, such as a halt: see `rollouts.TRANSITIONS`."""

    release: str
    what: str
    why: str
    by: str


class Lost(Entry, frozen=True, array_like=True, tag=True):
    """Entries committed before this view may be missing: it was formed anew, or goes on without its electors."""

    view: int


class Recover(Entry, frozen=True, array_like=True, tag=True):
    """An operator's statement of what is out of service after a loss; everything else is taken to be in service."""

    out: tuple[tuple[str, str], ...]  # name and why
    by: str


AnyEntry = There | Bounded | Asked | Leave | Went | Back | Plan | Move | Lost | Recover
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AnyEntry).decode


def encode_entry(entry: AnyEntry) -> bytes:
    """Encode an entry for the log."""
    return _encode(entry)


def decode_entry(data: bytes) -> AnyEntry:
    """Decode an entry of the log."""
    return _decode(data)
