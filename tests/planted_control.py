"""Parts of control nodes and gateways with a fault in them, to be named by the checker of the control plane.

Each takes the place of the real part in one that was made already: `part.__class__ = ...`.
"""

from __future__ import annotations

from dataclasses import replace

from tansykeel.cluster.replicated_log import ZERO_BALLOT, LogMessage, ReplicatedLog
from tansykeel.control.actions import WHOLE_UNITS, CountedLease
from tansykeel.control.budget_agent import BudgetAgent
from tansykeel.control.held_lease import HeldLease

SECOND = 10_000  # tenths of a millisecond


class RenewsWithoutLease(BudgetAgent):
    """Renews leases also when its own lease on the view is over."""

    def remaining_lease(self, now: int) -> int:
        return super().remaining_lease(now) or self.terms.lease


class IgnoresBudget(BudgetAgent):
    """Grants each of its gateways all that there is."""

    def budget(self) -> int:
        return WHOLE_UNITS

    def share(self) -> int:
        return WHOLE_UNITS


class RegistersWithoutWaiting(BudgetAgent):
    """Registers as soon as a view that all formed is active, as if nobody counted what earlier lives granted."""

    def may_register(self, now: int) -> bool:
        self.register_from = now
        return super().may_register(now)


class LeadsWithoutMajority(ReplicatedLog):
    """Leads with its own promise alone, without a majority, and as a follower forgets what it promised."""

    def handle_message(self, now, sender, message: LogMessage):
        self.promised = ZERO_BALLOT
        return super().handle_message(now, sender, message)

    def tick(self, now: int, turn: int):
        sent = super().tick(now, 0)
        if self.leader_state is not None and not self.leader_state.ready:
            self.leader_state.ready = True
            self._adopt_log(self.leader_state.ballot, self.base, self.snapshot, tuple(self.entries))
        return sent


class CountsExpiredLease(HeldLease):
    """Counts by its lease for a second more than that lasts."""

    def replace(self, now: int, lease: CountedLease) -> None:
        longer = replace(lease, until=lease.until + SECOND) if lease.units else lease
        super().replace(now, longer)


class KeepsLargestUnits(HeldLease):
    """Never counts less than it did, though it acknowledges the smaller lease."""

    def replace(self, now: int, lease: CountedLease) -> None:
        units = max(lease.units, self._lease.units)
        super().replace(now, replace(lease, units=units) if lease.units else lease)
