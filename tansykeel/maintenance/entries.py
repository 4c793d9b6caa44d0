"""What is decided once and for all, as entries of the ledger; each is for the state to take or to refuse.

Packed as msgpack by kind and fields. Whoever offers one may be late, cut off or mistaken: the state judges it as of
when it is decided, not of when it was offered.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from tansykeel.maintenance.disruption_budget import Bounds, Place


class Entry(Struct, frozen=True, array_like=True, tag=True):
    pass


class There(Entry, frozen=True, array_like=True, tag=True):
    """Who there is, in part or whole: gateways and stores that came or are otherwise now, and those gone for good."""

    places: tuple[Place, ...] = ()
    gone: tuple[str, ...] = ()


class Bounded(Entry, frozen=True, array_like=True, tag=True):
    """The bounds in force from now on."""

    bounds: Bounds


class Asked(Entry, frozen=True, array_like=True, tag=True):
    """Units a second that are asked of all stores, and of all gateways, by the gateways' own figures."""

    of_stores: float
    of_gateways: float


class Leave(Entry, frozen=True, array_like=True, tag=True):
    """Leave for one life of a gateway or store (`boot`) to go out. `release`: of which it is a step; else by hand."""

    name: str
    boot: int
    why: str
    by: str
    release: str = ""
    back: bool = False  # a step of the release's way back


class Went(Entry, frozen=True, array_like=True, tag=True):
    """It is out unasked: died, drains by itself, or is away by a timetable."""

    name: str
    why: str


class Back(Entry, frozen=True, array_like=True, tag=True):
    """It was seen back and whole, in a life `boot`. `number`: of the leave, or of what said that it went."""

    name: str
    boot: int
    number: int


class Plan(Entry, frozen=True, array_like=True, tag=True):
    """A release: a version for gateways or stores in waves, the first of which is the canary."""

    name: str
    version: str
    before: str  # the version that the way back leads to
    waves: tuple[tuple[str, ...], ...]
    by: str


class Move(Entry, frozen=True, array_like=True, tag=True):
    """An operator's or the leader's word on a release: see `releases.MOVES`."""

    release: str
    what: str
    why: str
    by: str


class Lost(Entry, frozen=True, array_like=True, tag=True):
    """A view that all formed: what was decided before may be missing."""

    view: int


class Recover(Entry, frozen=True, array_like=True, tag=True):
    """An operator's word on what is out; all else is taken for granted to be there and whole."""

    out: tuple[tuple[str, str], ...]  # name and why
    by: str


AnyEntry = There | Bounded | Asked | Leave | Went | Back | Plan | Move | Lost | Recover
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AnyEntry).decode


def encode_entry(entry: AnyEntry) -> bytes:
    return _encode(entry)


def decode_entry(data: bytes) -> AnyEntry:
    return _decode(data)
