"""State machine of the replicated log: the budgets of a region's control nodes. Deterministic, without I/O.

The sum of all budgets never exceeds the region's units. Entries only free units or change weights; after each entry
the free units are distributed, in name order, to the nodes whose budget is below their target.
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
    """The budget record of one control node. `version` counts the changes of its units within a term."""

    incarnation: int
    term: int
    weight: int = 0
    units: int = 0
    version: int = 0

    @property
    def generation(self) -> tuple[int, int]:
        """The incarnation of the node and its term, which order the node's records by age."""
        return self.incarnation, self.term


class BudgetSnapshot(Struct):
    """The complete state, as stored in a snapshot.

    `region_units` is the total that the first node registered with, or 0 if none has yet. `lost_in` is the number of
    the last view that was formed without a predecessor and so dropped all records, or 0.
    """

    region_units: int = 0
    lost_in: int = 0
    records: dict[str, NodeBudget] = {}


_decode_snapshot = msgspec.msgpack.Decoder(BudgetSnapshot).decode


class BudgetState:
    """The replicated state: each voter applies the same entries in the same order."""

    def __init__(self) -> None:
        self.region_units = 0
        self.lost_in = 0
        self.records: dict[str, NodeBudget] = {}

    def apply(self, index: int, entry: bytes) -> None:
        """Apply an encoded entry of the log."""
        self.apply_entry(decode_entry(entry))

    def snapshot(self) -> bytes:
        """Encode the complete state."""
        return msgspec.msgpack.encode(BudgetSnapshot(self.region_units, self.lost_in, self.records))

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        snapshot = _decode_snapshot(data)
        self.region_units = snapshot.region_units
        self.lost_in = snapshot.lost_in
        self.records = snapshot.records

    def state_lost_entry(self, number: int) -> bytes:
        """Return the first entry of view `number`, which was formed without a predecessor."""
        return encode_entry(StateLost(number))

    def copy(self) -> BudgetState:
        """Return an independent copy."""
        made = type(self)()
        made.region_units = self.region_units
        made.lost_in = self.lost_in
        made.records = {node: copy(record) for node, record in self.records.items()}
        return made

    def target(self, node: str) -> int:
        """Return the units a registered node should have by its weight, or an even part if all weights are 0."""
        total = sum(record.weight for record in self.records.values())
        if total == 0:
            return self.region_units // len(self.records)
        return self.region_units * self.records[node].weight // total

    def apply_entry(self, entry: AnyEntry) -> None:
        """Apply an entry, then distribute the free units.

        A late entry, of an earlier incarnation or term or of another version than the record's, changes no record.
        """
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
        self._distribute_free_units()

    def _record(self, node: str, incarnation: int, term: int) -> NodeBudget | None:
        """Return the node's record if it is of this incarnation and term."""
        record = self.records.get(node)
        return record if record is not None and record.generation == (incarnation, term) else None

    def _register(self, entry: NodeRegistered) -> None:
        others = [name for name in self.records if name != entry.node]
        if not others:
            self.region_units = entry.region_units
        if entry.region_units != self.region_units:
            # While new settings are rolled out, nodes may disagree on the region's total and must not share a budget.
            return
        record = self.records.get(entry.node)
        if record is None or record.generation < (entry.incarnation, entry.term):
            self.records[entry.node] = NodeBudget(entry.incarnation, entry.term)

    def _release(self, entry: BudgetReleased) -> None:
        record = self._record(entry.node, entry.incarnation, entry.term)
        if record is None or record.version != entry.version or entry.units >= record.units:
            return
        record.units = entry.units
        record.version += 1

    def _distribute_free_units(self) -> None:
        free = self.region_units - sum(record.units for record in self.records.values())
        for node, record in sorted(self.records.items()):
            missing = min(self.target(node) - record.units, free)
            if missing > 0:
                record.units += missing
                record.version += 1
                free -= missing
