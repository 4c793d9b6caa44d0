"""The one lease that a gateway counts by, and what it earns by that over time. Without I/O.

Times are whole tenths of a millisecond of the gateway's own monotonic clock. A lease ends by itself at its `until`: a
process that stood still for longer counts by nothing when it goes on.
"""

from __future__ import annotations

from fractions import Fraction

from tansykeel.cluster.allotments import Allotments
from tansykeel.cluster.membership import SAFE_FRACTION
from tansykeel.control.actions import EffectiveLease, gateway_part

NO_LEASE = EffectiveLease("", 0, 0, 0, 0)


class HeldLease:
    """Holds at most one lease; `allotments` follows it for whatever earns by the gateway's part of a whole."""

    def __init__(self, gateways: int, now: int) -> None:
        """`gateways`: how many the settings name over all regions."""
        self.gateways = gateways
        self.allotments = Allotments(gateways, SAFE_FRACTION / gateways, now)
        self._lease = NO_LEASE
        self._recorded = NO_LEASE

    def effective_lease(self, now: int) -> EffectiveLease:
        """Return the lease that counts at this moment, or `NO_LEASE`."""
        return self._lease if now < self._lease.until and self._lease.units else NO_LEASE

    def part(self, now: int) -> Fraction:
        """Return which part of any whole the gateway may count as its own at this moment."""
        return gateway_part(self.effective_lease(now).units, self.gateways)

    def replace(self, now: int, lease: EffectiveLease) -> None:
        """Count by this lease from now on, and by none that was received before."""
        self._lease = lease
        self.record(now)

    def drop(self, now: int) -> None:
        """Count by nothing from now on."""
        self.replace(now, NO_LEASE)

    def record(self, now: int) -> None:
        """Bring `allotments` up to date."""
        counted = self.effective_lease(now)
        if counted != self._recorded:
            self._recorded = counted
            self.allotments.set_part(now, gateway_part(counted.units, self.gateways), counted.until)
