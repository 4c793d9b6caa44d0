"""Detects stalls of the event loop, and bounds for how long bytes have waited to be read. No I/O.

A process that was stopped or got no processor time finds requests, ends of connections and changes of the store list
all at once when it continues. What it reads then arrived earlier, and what it has not read yet may forbid what it is
about to do.
"""

from __future__ import annotations

BEAT_TOLERANCE = 0.05  # seconds by which a beat may be late on a busy machine without a stall
CATCH_UP_PERIOD = 0.5  # seconds after a stall in which the connections that waited meanwhile are accepted and read


class StallDetector:
    """Detects stalls by late calls of `beat`, which is called every `period` seconds after sockets were read.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self, period: float, now: float) -> None:
        self.period = period
        self.stalls = 0
        self._last_beat = now
        self._stalled_since = now
        self._catching_up_until = now

    def beat(self, now: float) -> None:
        """Record that the loop runs and has read its sockets."""
        if now - self._last_beat > self.period + BEAT_TOLERANCE:
            self.stalls += 1
            self._stalled_since = self._last_beat
            self._catching_up_until = now + CATCH_UP_PERIOD
        self._last_beat = now

    def max_unread_age(self, now: float) -> float:
        """Return the most seconds for which bytes read now may have waited; 0 if there was no stall lately."""
        if now - self._last_beat > self.period + BEAT_TOLERANCE:
            return now - self._last_beat
        if now < self._catching_up_until:
            return now - self._stalled_since
        return 0.0

    def age_of_bytes(self, now: float, kernel_age: float | None) -> float:
        """Return the seconds for which bytes read now have waited. `kernel_age`: the kernel's figure, None without one.

        Without it the whole stall counts, less one period in which the loop may still have run.
        """
        longest = self.max_unread_age(now)
        if kernel_age is not None:
            return min(kernel_age, longest)
        return max(longest - self.period, 0.0)
