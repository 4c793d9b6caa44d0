"""One control node's side of its budget: its term, until when it may grant, and the entries that it proposes.

`docs/control.md` has the argument why the leases that nodes grant by this never make up more than their region's units.
Without I/O. Times are tenths of a millisecond of the node's own clock.
"""

from __future__ import annotations

from copy import copy
from dataclasses import dataclass

from tansykeel.cluster.member import ClusterMember, OutgoingMessage
from tansykeel.cluster.membership import NEVER, View
from tansykeel.cluster.view_agreement import LeaseTerms
from tansykeel.control.budget_state import BudgetState, NodeBudget
from tansykeel.control.entries import (
    BudgetReleased,
    NodeDemand,
    NodeReclaimed,
    NodeRegistered,
    encode_entry,
)

NodeEntry = NodeRegistered | NodeDemand | BudgetReleased | NodeReclaimed
SECOND = 10_000
DEMAND_EVERY = SECOND  # a node's weight is told no more often than this
RELEASE_EVERY = SECOND // 5  # units come free with each heartbeat: some of them go together
PROPOSE_AGAIN = SECOND // 5  # an entry that was not decided by then may be lost
REGISTER_AGAIN = SECOND  # guards against a stream of entries by a node whose settings the others refuse


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """What the node proposed to keep, of a record with this version."""

    version: int
    units: int


class BudgetAgent:
    """Follows the node's views and the log's state, and proposes what its budget needs."""

    def __init__(
        self, member: ClusterMember, state: BudgetState, region_units: int, terms: LeaseTerms, now: int
    ) -> None:
        self.member = member
        self.state = state
        self.region_units = region_units
        self.terms = terms
        self.term = 0
        self.lease_end = NEVER  # of its own lease on a view that it holds in this term
        self.register_from = now  # earlier leases of the region may count until then
        self.registering = False  # whether it began to register in this term
        self.leaving = False
        self.record: NodeBudget | None = None  # of this term: the latest that the log had
        self.pending: PendingRelease | None = None
        self.view: View | None = None
        self._proposed_at: dict[tuple[str, str], int] = {}  # by kind of entry and node that it is about

    def remaining_lease(self, now: int) -> int:
        """Return how long it may grant leases for; 0 where it holds no lease on its view."""
        return max(self.lease_end - now, 0)

    def budget(self) -> int:
        """Return the units that it may grant: its record's, and no more than it proposed to keep."""
        if self.record is None:
            return 0
        return min(self.record.units, self.pending.units) if self.pending else self.record.units

    def share(self) -> int:
        """Return the units that its sessions are to have: its target where that is under its budget."""
        me = self.member.me.name
        if me not in self.state.records:
            return self.budget()
        return min(self.budget(), self.state.target(me))

    def observe(self, now: int) -> bool:
        """Follow the member's view and lease and the log. Return True where a new term began.

        A lease on the view before counts on in the term: no view without this node is active before that is over too.
        """
        view = self.member.agreement.view
        began = view is not None and view is not self.view and self._follow_view(now, view)
        self.lease_end = max(self.lease_end, self.member.agreement.lease_expires_at())
        self._take_record()
        return began

    def may_register(self, now: int) -> bool:
        """Return whether all leases that were granted in earlier terms are over."""
        agreement = self.member.agreement
        return agreement.active and agreement.leased(now) and now >= self.register_from

    def may_reclaim(self, now: int) -> bool:
        """Return whether this node leads the log and holds a lease on an active view."""
        agreement, replicated_log = self.member.agreement, self.member.replicated_log
        leads = replicated_log is not None and replicated_log.leads
        return leads and agreement.active and agreement.leased(now)

    def start_registering(self, now: int) -> bool:
        """Return True once in each term: from now on nothing counts that was granted before it."""
        if self.registering or not self.may_register(now):
            return False
        self.registering = True
        return True

    def proposals(self, now: int, sessions: int, outstanding: int) -> list[OutgoingMessage]:
        """Return the messages by which it proposes the entries that its budget needs now."""
        sent: list[OutgoingMessage] = []
        if self.record is not None:
            sent += self._demand(now, self.record, sessions)
            sent += self._release(now, self.record, outstanding)
        elif self.registering and self.may_register(now):
            me = self.member.me
            entry = NodeRegistered(me.name, me.incarnation, self.term, self.region_units)
            sent += self._propose(now, entry, REGISTER_AGAIN)
        if self.may_reclaim(now):
            sent += self._reclaim(now)
        return sent

    def copy(self, member: ClusterMember, state: BudgetState) -> BudgetAgent:
        """Return one that goes its own way from here on, with this copy of the member and of the state."""
        made = copy(self)
        made.member = member
        made.state = state
        made._proposed_at = dict(self._proposed_at)
        return made

    # Within

    def _follow_view(self, now: int, view: View) -> bool:
        """Take up a view. Return True where a new term begins with it."""
        before, me = self.view, self.member.me
        self.view = view
        stepped = before is not None and bool(view.electors) and view.number == before.number + 1
        if stepped and before is not None and me in before.members and me in view.members:
            return False
        self.term += 1
        self.lease_end = NEVER
        self.registering = False
        self.record = None
        self.pending = None
        self._proposed_at.clear()
        if not view.electors:
            # A node that restarted has forgotten whom it granted leases; all such ended their lives before this view.
            self.register_from = now + self.terms.granter_duration()
        return True

    def _take_record(self) -> None:
        """Take the node's record from the log's state, unless it is an older one than is known here.

        Guards against a budget that was released and comes back: a new leader of the log may not know at once how far
        it was decided, and until it does the state of its followers begins at an earlier entry.
        """
        me, known = self.member.me, self.record
        record = self.state.records.get(me.name)
        if record is None or record.generation != (me.incarnation, self.term):
            return
        if known is None or record.version >= known.version:
            self.record = copy(record)
            if self.pending and record.version != self.pending.version:
                self.pending = None

    def _demand(self, now: int, record: NodeBudget, sessions: int) -> list[OutgoingMessage]:
        weight = 0 if self.leaving else sessions
        if record.weight == weight:
            return []
        me = self.member.me
        return self._propose(now, NodeDemand(me.name, me.incarnation, self.term, weight), DEMAND_EVERY)

    def _release(self, now: int, record: NodeBudget, outstanding: int) -> list[OutgoingMessage]:
        """Propose to keep no more than its target, as far as its gateways let it."""
        target = 0 if self.leaving else self.share()
        units = max(target, outstanding)
        if self.pending:
            units = self.pending.units  # again: the one that was proposed may be lost
        if units >= record.units:
            return []
        # From now on no more than this is granted, for the entry may be decided at any time.
        self.pending = PendingRelease(record.version, units)
        me = self.member.me
        entry = BudgetReleased(me.name, me.incarnation, self.term, record.version, units)
        return self._propose(now, entry, RELEASE_EVERY)

    def _reclaim(self, now: int) -> list[OutgoingMessage]:
        """Propose that what nodes hold that are in the view no more is free."""
        assert self.view is not None
        there = {(member.name, member.incarnation) for member in self.view.members}
        sent: list[OutgoingMessage] = []
        for node, record in list(self.state.records.items()):
            if (node, record.incarnation) not in there:
                sent += self._propose(now, NodeReclaimed(node, record.incarnation, record.term), PROPOSE_AGAIN)
        return sent

    def _propose(self, now: int, entry: NodeEntry, every: int) -> list[OutgoingMessage]:
        """Propose an entry, unless one of its kind was proposed for the node within the time given."""
        key = (type(entry).__name__, entry.node)
        if now - self._proposed_at.get(key, NEVER) < every:
            return []
        taken, sent = self.member.offer(now, encode_entry(entry))
        if taken:
            self._proposed_at[key] = now
        return sent
