"""How long a gateway waits before it asks a control node again: exponential back-off with full jitter. Without I/O.

Brooker, "Exponential Backoff And Jitter" (AWS Architecture Blog, 2015). Times are tenths of a millisecond.
"""

from __future__ import annotations

from random import Random

SECOND = 10_000
FIRST_WAIT = SECOND // 5  # the longest after a first failure; twice as long after each further one
LONGEST_WAIT = 5 * SECOND
MOST_DOUBLINGS = 10  # more than it takes to come to the longest wait


class BackOff:
    """Counts failures in a row and draws waits."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._failures = 0

    def failed(self) -> int:
        """Count a failure, and return how long to wait after it."""
        longest = min(FIRST_WAIT << min(self._failures, MOST_DOUBLINGS), LONGEST_WAIT)
        self._failures += 1
        return self.up_to(longest)

    def succeeded(self) -> None:
        """End the row of failures."""
        self._failures = 0

    def up_to(self, longest: int) -> int:
        """Return a time drawn evenly up to `longest`."""
        return int(self._rng.random() * longest)

    def around(self, mean: int) -> int:
        """Return a time between half and one and a half of the mean, so that gateways do not act in step."""
        return mean // 2 + self.up_to(mean)
