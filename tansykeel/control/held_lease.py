"""The one lease that is in effect at a gateway, and what it entitles the gateway to over time. Does no I/O.

Times are in whole tenths of a millisecond of the gateway's own monotonic clock. A lease expires by itself at its
`until`: a process that stalled past that time has no lease when it resumes.
"""

from __future__ import annotations

from fractions import Fraction

from tansykeel.cluster.allotments import Allotments
from tansykeel.cluster.membership import SAFE_FRACTION
from tansykeel.control.actions import EffectiveLease, gateway_part

NO_LEASE = EffectiveLease("", 0, 0, 0, 0)


class HeldLease:
    """Holds at most one lease, and records in `allotments` the part of a whole that it is worth over time."""

    def __init__(self, gateways: int, now: int) -> None:
        """`gateways` is the number of gateways in the settings of all regions."""
        self.gateways = gateways
        self.allotments = Allotments(gateways, SAFE_FRACTION / gateways, now)
        self._lease = NO_LEASE
        self._recorded = NO_LEASE

    def effective_lease(self, now: int) -> EffectiveLease:
        """Return the lease that is in effect now, or `NO_LEASE`."""
        return self._lease if now < self._lease.until and self._lease.units else NO_LEASE

    def part(self, now: int) -> Fraction:
        """Return the part of any whole that the gateway may use now."""
        return gateway_part(self.effective_lease(now).units, self.gateways)

    def replace(self, now: int, lease: EffectiveLease) -> None:
        """Put this lease into effect in place of any earlier one."""
        self._lease = lease
        self.update_allotments(now)

    def drop(self, now: int) -> None:
        """Hold no lease from now on."""
        self.replace(now, NO_LEASE)

    def update_allotments(self, now: int) -> None:
        """Record the part that applies from now on in `allotments`, if it changed."""
        effective = self.effective_lease(now)
        if effective != self._recorded:
            self._recorded = effective
            self.allotments.set_part(now, gateway_part(effective.units, self.gateways), effective.until)
