"""Entries of a region's replicated log: what is decided once and for all about the budgets of its control nodes.

Packed as msgpack by kind and fields. Whoever proposes one may be late, cut off or deposed, and an entry may be decided
twice: the state judges each as of when it is decided (`budget_state.py`).
"""

from __future__ import annotations

import msgspec
from msgspec import Struct


class Entry(Struct, frozen=True, array_like=True, tag=True):
    """Base of all entries."""


class NodeRegistered(Entry, frozen=True, array_like=True, tag=True):
    """A control node begins a term with nothing to grant; units of its earlier terms are free.

    `region_units` is what the node's settings give the region: nodes whose settings differ share no budget.
    """

    node: str
    incarnation: int
    term: int
    region_units: int


class NodeDemand(Entry, frozen=True, array_like=True, tag=True):
    """How many sessions a control node holds: what the region's units are divided by."""

    node: str
    incarnation: int
    term: int
    weight: int


class BudgetReleased(Entry, frozen=True, array_like=True, tag=True):
    """A control node keeps no more than `units`. `version`: of the record that it decided this by."""

    node: str
    incarnation: int
    term: int
    version: int
    units: int


class NodeReclaimed(Entry, frozen=True, array_like=True, tag=True):
    """A term of a control node that is in no view any more is over, with all that it granted."""

    node: str
    incarnation: int
    term: int


class StateLost(Entry, frozen=True, array_like=True, tag=True):
    """A view was formed anew: entries of before may be missing, so no record counts any more."""

    view: int


AnyEntry = NodeRegistered | NodeDemand | BudgetReleased | NodeReclaimed | StateLost
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AnyEntry).decode


def encode_entry(entry: AnyEntry) -> bytes:
    """Return the entry as bytes of the log."""
    return _encode(entry)


def decode_entry(data: bytes) -> AnyEntry:
    """Return the entry that `encode_entry` made these bytes of."""
    return _decode(data)
