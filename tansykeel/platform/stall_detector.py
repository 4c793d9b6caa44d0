"""Tells whether the event loop has stood still, and for how long bytes may have waited unread. No I/O.

A process that is stopped or gets no processor finds requests, ends of connections and news of stores all at once when
it goes on. What it reads then is not new, and what it has not read yet may forbid what it is about to do.
"""

from __future__ import annotations

BEAT_TOLERANCE = 0.05  # seconds by which a beat may be late on a busy machine
CATCHING_UP = 0.5  # seconds after a stall in which connections are accepted and read that waited through it


class StallDetector:
    """`beat` is called every `period` seconds, each time after sockets were read. Times are in seconds, monotonic."""

    def __init__(self, period: float, now: float) -> None:
        self.period = period
        self.stalls = 0
        self._last_beat = now
        self._stalled_since = now
        self._catching_up_until = now

    def beat(self, now: float) -> None:
        """The loop has read its sockets and runs."""
        if now - self._last_beat > self.period + BEAT_TOLERANCE:
            self.stalls += 1
            self._stalled_since = self._last_beat
            self._catching_up_until = now + CATCHING_UP
        self._last_beat = now

    def max_unread_age(self, now: float) -> float:
        """Return the seconds for which bytes read now may have waited at most; 0 while the loop runs as it should."""
        if now - self._last_beat > self.period + BEAT_TOLERANCE:
            return now - self._last_beat
        if now < self._catching_up_until:
            return now - self._stalled_since
        return 0.0

    def age_of_bytes(self, now: float, kernel_age: float | None) -> float:
        """Return the seconds for which bytes read now have waited, by what the kernel says of them if it does.

        Without the kernel's word the whole stall counts, less a period in which the loop may still have run.
        """
        longest = self.max_unread_age(now)
        if kernel_age is not None:
            return min(kernel_age, longest)
        return max(longest - self.period, 0.0)
