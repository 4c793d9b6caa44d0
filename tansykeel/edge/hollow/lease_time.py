"""Measures how long a gateway had no lease. Times are tenths of a millisecond of its own clock."""

from __future__ import annotations

from tansykeel.control.actions import EffectiveLease


class LeaseTime:
    """Adds up the time without a lease while a gateway runs, over all of its incarnations."""

    def __init__(self) -> None:
        self.without = 0
        self.longest_without = 0
        self.first_lease: int | None = None  # time from the last start to the first lease after it
        self._running = False
        self._started = 0
        self._covered_until = 0

    def start(self, now: int) -> None:
        """Record that the gateway starts, without a lease."""
        self._running = True
        self._started = now
        self._covered_until = now
        self.first_lease = None

    def stop(self, now: int) -> None:
        """Record that the gateway stops."""
        if self._running:
            self._add_gap(now)
            self._running = False

    def claim(self, now: int, claim: EffectiveLease) -> None:
        """Record that the gateway uses this lease instead of the one before; one without a node is no lease."""
        if not claim.node:
            self._covered_until = min(self._covered_until, now)
            return
        self._add_gap(now)
        self._covered_until = claim.until
        if self.first_lease is None:
            self.first_lease = now - self._started

    def leased(self, now: int) -> bool:
        """Whether the gateway runs and holds a lease."""
        return self._running and now < self._covered_until

    def without_until(self, now: int) -> int:
        """Return the total time without a lease up to now."""
        return self.without + self._open_gap(now)

    def longest_until(self, now: int) -> int:
        """Return the longest uninterrupted time without a lease up to now."""
        return max(self.longest_without, self._open_gap(now))

    def _open_gap(self, now: int) -> int:
        return max(now - self._covered_until, 0) if self._running else 0

    def _add_gap(self, now: int) -> None:
        gap = self._open_gap(now)
        self.without += gap
        self.longest_without = max(self.longest_without, gap)
