"""The budgets of a region's control nodes, as the entries of the replicated log make them. Deterministic, without I/O.

The sum of all budgets never passes the region's units: an entry frees units or changes weights, and only what is free
then is dealt out, to nodes that are under their target, in the order of their names.
"""

from __future__ import annotations

from copy import copy

import msgspec
from msgspec import Struct

from tansykeel.control.entries import (
    AnyEntry,
    BudgetReleased,
    NodeDemand,
    NodeReclaimed,
    NodeRegistered,
    StateLost,
    decode_entry,
    encode_entry,
)


class NodeBudget(Struct):
    """The record of one control node. `version` counts the changes of its units within a term."""

    incarnation: int
    term: int
    weight: int = 0
    units: int = 0
    version: int = 0

    @property
    def tenure(self) -> tuple[int, int]:
        """Which incarnation and which term of it the record is of; later ones are greater."""
        return self.incarnation, self.term


class BudgetSnapshot(Struct):
    """All of the state. `region_units`: what its first node registered with, 0 while there is no record; `lost_in`: the
    number of the view that last lost what was decided before, 0: none."""

    region_units: int = 0
    lost_in: int = 0
    records: dict[str, NodeBudget] = {}


_decode_snapshot = msgspec.msgpack.Decoder(BudgetSnapshot).decode


class BudgetState:
    """The replicated log's state machine: each voter applies the same entries in the same order."""

    def __init__(self) -> None:
        self.region_units = 0
        self.lost_in = 0
        self.records: dict[str, NodeBudget] = {}

    def apply(self, index: int, entry: bytes) -> None:
        """Take one entry of the log, and deal out what is free then."""
        self.apply_entry(decode_entry(entry))

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return msgspec.msgpack.encode(BudgetSnapshot(self.region_units, self.lost_in, self.records))

    def restore(self, data: bytes) -> None:
        """Take the state of a snapshot in place of this one."""
        kept = _decode_snapshot(data)
        self.region_units = kept.region_units
        self.lost_in = kept.lost_in
        self.records = kept.records

    def state_lost_entry(self, number: int) -> bytes:
        """Return the entry by which view `number`, formed anew, begins."""
        return encode_entry(StateLost(number))

    def copy(self) -> BudgetState:
        """Return a state that goes its own way from here on."""
        made = type(self)()
        made.region_units = self.region_units
        made.lost_in = self.lost_in
        made.records = {node: copy(record) for node, record in self.records.items()}
        return made

    def target(self, node: str) -> int:
        """Return how many units a registered node should have by its weight; evenly where no node has a session."""
        total = sum(record.weight for record in self.records.values())
        if total == 0:
            return self.region_units // len(self.records)
        return self.region_units * self.records[node].weight // total

    def apply_entry(self, entry: AnyEntry) -> None:
        """Take one entry; one that is late, of an earlier term or of another version changes nothing."""
        match entry:
            case NodeRegistered():
                self._register(entry)
            case NodeDemand(node, incarnation, term, weight):
                if (record := self._record(node, incarnation, term)) is not None:
                    record.weight = weight
            case BudgetReleased():
                self._release(entry)
            case NodeReclaimed(node, incarnation, term):
                if self._record(node, incarnation, term) is not None:
                    del self.records[node]
            case StateLost(view):
                self.records.clear()
                self.lost_in = view
        self._deal()

    def _record(self, node: str, incarnation: int, term: int) -> NodeBudget | None:
        """Return the node's record if it is of this term."""
        record = self.records.get(node)
        return record if record is not None and record.tenure == (incarnation, term) else None

    def _register(self, entry: NodeRegistered) -> None:
        others = [name for name in self.records if name != entry.node]
        if not others:
            self.region_units = entry.region_units
        if entry.region_units != self.region_units:
            # Guards against two nodes that share a region of different sizes while new settings are rolled out.
            return
        record = self.records.get(entry.node)
        if record is None or record.tenure < (entry.incarnation, entry.term):
            self.records[entry.node] = NodeBudget(entry.incarnation, entry.term)

    def _release(self, entry: BudgetReleased) -> None:
        record = self._record(entry.node, entry.incarnation, entry.term)
        if record is None or record.version != entry.version or entry.units >= record.units:
            return
        record.units = entry.units
        record.version += 1

    def _deal(self) -> None:
        free = self.region_units - sum(record.units for record in self.records.values())
        for node, record in sorted(self.records.items()):
            missing = min(self.target(node) - record.units, free)
            if missing > 0:
                record.units += missing
                record.version += 1
                free -= missing
