"""Parts of control nodes and gateways with planted faults, which the checker of the control plane has to detect.

Each replaces the class of a part that already exists: `part.__class__ = ...`.
"""

from __future__ import annotations

from dataclasses import replace

from tansykeel.cluster.replicated_log import ZERO_BALLOT, LogMessage, ReplicatedLog
from tansykeel.control.actions import WHOLE_UNITS, EffectiveLease
from tansykeel.control.budget_agent import BudgetAgent
from tansykeel.control.held_lease import HeldLease

SECOND = 10_000  # tenths of a millisecond


class RenewsWithoutLease(BudgetAgent):
    """Renews leases even after the node's own lease on the view has expired."""

    def remaining_lease(self, now: int) -> int:
        return super().remaining_lease(now) or self.terms.lease


class IgnoresBudget(BudgetAgent):
    """Grants each of the node's gateways all units of all regions."""

    def budget(self) -> int:
        return WHOLE_UNITS

    def share(self) -> int:
        return WHOLE_UNITS


class RegistersWithoutWaiting(BudgetAgent):
    """Registers as soon as a formed view is active, although leases of earlier incarnations may still count."""

    def may_register(self, now: int) -> bool:
        self.register_from = now
        return super().may_register(now)


class LeadsWithoutMajority(ReplicatedLog):
    """Leads without the promises of a majority, and forgets as a follower what it promised."""

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
    """Counts a lease for one second after it has expired."""

    def replace(self, now: int, lease: EffectiveLease) -> None:
        extended = replace(lease, until=lease.until + SECOND) if lease.units else lease
        super().replace(now, extended)


class KeepsLargestUnits(HeldLease):
    """Counts no fewer units when a lease shrinks, although it acknowledges the smaller lease."""

    def replace(self, now: int, lease: EffectiveLease) -> None:
        units = max(lease.units, self._lease.units)
        super().replace(now, replace(lease, units=units) if lease.units else lease)
