"""A control node's own view of its budget: its term, how long it may grant leases, and the entries it proposes.

`docs/control.md` argues why the leases that nodes grant under these rules never exceed their region's units. Without
I/O. Times are tenths of a millisecond of the node's own clock.
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
DEMAND_INTERVAL = SECOND  # minimum time between two proposals of the node's weight
RELEASE_INTERVAL = SECOND // 5  # each heartbeat may free units; this batches them into fewer entries
RECLAIM_RETRY_INTERVAL = SECOND // 5  # an entry that is not committed after this may be lost
REGISTER_RETRY_INTERVAL = SECOND  # limits the entries of a node that others reject for its different settings


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """A proposed release: the units the node keeps, and the version of the record that the release is based on."""

    version: int
    units: int


class BudgetAgent:
    """Tracks the node's views and the state of the log, and proposes the entries that maintain the node's budget."""

    def __init__(
        self, member: ClusterMember, state: BudgetState, region_units: int, terms: LeaseTerms, now: int
    ) -> None:
        self.member = member
        self.state = state
        self.region_units = region_units
        self.terms = terms
        self.term = 0
        self.lease_end = NEVER  # latest end of the node's own lease on a view within this term
        self.register_from = now  # until then, leases that were granted before this term may still count
        self.registering = False  # whether registration has started in this term
        self.leaving = False  # set by the node when it shuts down as planned
        self.record: NodeBudget | None = None  # the latest version seen in this term
        self.pending: PendingRelease | None = None
        self.view: View | None = None
        self._proposed_at: dict[tuple[str, str], int] = {}  # by kind of entry and the node that it concerns

    def remaining_lease(self, now: int) -> int:
        """Return the longest duration of a lease that the node may grant now, or 0 without a lease of its own."""
        return max(self.lease_end - now, 0)

    def budget(self) -> int:
        """Return the most units that may be granted: those of the record, limited by a pending release."""
        if self.record is None:
            return 0
        return min(self.record.units, self.pending.units) if self.pending else self.record.units

    def share(self) -> int:
        """Return the units to divide among the node's sessions: the lesser of its target and its budget."""
        me = self.member.me.name
        if me not in self.state.records:
            return self.budget()
        return min(self.budget(), self.state.target(me))

    def observe(self, now: int) -> bool:
        """Update from the member's view and lease and from the log. Return whether a new term began.

        Within a term, a lease on the previous view remains valid: no view without this node becomes active before that
        lease has expired.
        """
        view = self.member.agreement.view
        new_term = view is not None and view is not self.view and self._follow_view(now, view)
        self.lease_end = max(self.lease_end, self.member.agreement.lease_expires_at())
        self._update_record()
        return new_term

    def may_register(self, now: int) -> bool:
        """Return whether all leases that were granted in earlier terms have expired."""
        agreement = self.member.agreement
        return agreement.active and agreement.leased(now) and now >= self.register_from

    def may_reclaim(self, now: int) -> bool:
        """Return whether the node may propose reclaims: it leads the log and holds a lease on an active view."""
        agreement, replicated_log = self.member.agreement, self.member.replicated_log
        leads = replicated_log is not None and replicated_log.leads
        return leads and agreement.active and agreement.leased(now)

    def start_registering(self, now: int) -> bool:
        """Start registration, if it is allowed and has not started in this term. Return whether it started now.

        From then on no lease that was granted before this term counts any more.
        """
        if self.registering or not self.may_register(now):
            return False
        self.registering = True
        return True

    def proposals(self, now: int, sessions: int, outstanding: int) -> list[OutgoingMessage]:
        """Return the messages that propose the entries needed now: registration, demand, release and reclaims."""
        sent: list[OutgoingMessage] = []
        if self.record is not None:
            sent += self._demand(now, self.record, sessions)
            sent += self._release(now, self.record, outstanding)
        elif self.registering and self.may_register(now):
            me = self.member.me
            entry = NodeRegistered(me.name, me.incarnation, self.term, self.region_units)
            sent += self._propose(now, entry, REGISTER_RETRY_INTERVAL)
        if self.may_reclaim(now):
            sent += self._reclaim(now)
        return sent

    def copy(self, member: ClusterMember, state: BudgetState) -> BudgetAgent:
        """Return an independent copy that uses this copy of the member and of the state."""
        made = copy(self)
        made.member = member
        made.state = state
        made._proposed_at = dict(self._proposed_at)
        return made

    def _follow_view(self, now: int, view: View) -> bool:
        """Adopt a view. Return whether a new term begins with it.

        The term continues only if the view directly succeeds the previous one and the node is a member of both. In any
        other case the node's units may have been reclaimed in between.
        """
        previous, me = self.view, self.member.me
        self.view = view
        is_successor = previous is not None and bool(view.electors) and view.number == previous.number + 1
        if is_successor and previous is not None and me in previous.members and me in view.members:
            return False
        self.term += 1
        self.lease_end = NEVER
        self.registering = False
        self.record = None
        self.pending = None
        self._proposed_at.clear()
        if not view.electors:
            # A view formed without a predecessor may have members that restarted and no longer know which leases they
            # granted before. Those earlier incarnations all ended before this view was formed, so their leases have
            # expired once a granter's duration has passed.
            self.register_from = now + self.terms.granter_duration()
        return True

    def _update_record(self) -> None:
        """Read the node's record from the log's state, unless it is older than the record known here.

        Without this check a released budget could reappear: a new leader may not know at once how far the log was
        committed, and until it does, its followers' state is restored to an earlier entry.
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
        """Propose the number of sessions as the node's weight if it changed; a leaving node has weight 0."""
        weight = 0 if self.leaving else sessions
        if record.weight == weight:
            return []
        me = self.member.me
        return self._propose(now, NodeDemand(me.name, me.incarnation, self.term, weight), DEMAND_INTERVAL)

    def _release(self, now: int, record: NodeBudget, outstanding: int) -> list[OutgoingMessage]:
        """Propose to reduce the budget to the node's target, but not below the outstanding units."""
        target = 0 if self.leaving else self.share()
        units = max(target, outstanding)
        if self.pending:
            units = self.pending.units  # propose the same again, as the earlier proposal may be lost
        if units >= record.units:
            return []
        # From now on no more than these units are granted, because the entry may be committed at any time.
        self.pending = PendingRelease(record.version, units)
        me = self.member.me
        entry = BudgetReleased(me.name, me.incarnation, self.term, record.version, units)
        return self._propose(now, entry, RELEASE_INTERVAL)

    def _reclaim(self, now: int) -> list[OutgoingMessage]:
        """Propose to free the units of all nodes that are not members of the current view."""
        assert self.view is not None
        current_members = {(member.name, member.incarnation) for member in self.view.members}
        sent: list[OutgoingMessage] = []
        for node, record in list(self.state.records.items()):
            if (node, record.incarnation) not in current_members:
                sent += self._propose(now, NodeReclaimed(node, record.incarnation, record.term), RECLAIM_RETRY_INTERVAL)
        return sent

    def _propose(self, now: int, entry: NodeEntry, interval: int) -> list[OutgoingMessage]:
        """Propose an entry, unless one of its kind was proposed for the same node less than `interval` ago."""
        key = (type(entry).__name__, entry.node)
        if now - self._proposed_at.get(key, NEVER) < interval:
            return []
        accepted, sent = self.member.offer(now, encode_entry(entry))
        if accepted:
            self._proposed_at[key] = now
        return sent
