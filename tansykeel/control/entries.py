"""Entries of a region's replicated log: the committed changes to the budgets of its control nodes.

Each entry is a msgpack array of its class name and its fields. A proposer may be slow, cut off from the other nodes or
no longer the leader, and an entry may be committed twice. The state machine (`budget_state.py`) therefore decides
whether an entry still applies when it is committed, not when it is proposed.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct


class Entry(Struct, frozen=True, array_like=True, tag=True):
    """Base class of all entries; the tag is the class name."""


class NodeRegistered(Entry, frozen=True, array_like=True, tag=True):
    """A control node starts a term without units; the units of its earlier terms become free.

    `region_units` is the region's total in the node's settings. The entry is ignored if other registered nodes have a
    different total.
    """

    node: str
    incarnation: int
    term: int
    region_units: int


class NodeDemand(Entry, frozen=True, array_like=True, tag=True):
    """The number of sessions a control node holds, which is its weight when the region's units are divided."""

    node: str
    incarnation: int
    term: int
    weight: int


class BudgetReleased(Entry, frozen=True, array_like=True, tag=True):
    """A control node reduces its budget to `units`.

    `version` is the version of the record that the decision was based on; the entry is ignored if the record changed.
    """

    node: str
    incarnation: int
    term: int
    version: int
    units: int


class NodeReclaimed(Entry, frozen=True, array_like=True, tag=True):
    """Ends a term of a control node that the current view no longer contains, and frees the node's units."""

    node: str
    incarnation: int
    term: int


class StateLost(Entry, frozen=True, array_like=True, tag=True):
    """A view was formed without a predecessor: earlier entries may be missing, so all records are dropped."""

    view: int


AnyEntry = NodeRegistered | NodeDemand | BudgetReleased | NodeReclaimed | StateLost
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AnyEntry).decode


def encode_entry(entry: AnyEntry) -> bytes:
    """Encode an entry for the log."""
    return _encode(entry)


def decode_entry(data: bytes) -> AnyEntry:
    """Decode an entry that `encode_entry` encoded."""
    return _decode(data)
