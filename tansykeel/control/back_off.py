"""Delay before a gateway asks a control node again: exponential back-off with full jitter. Does no I/O.

Brooker, "Exponential Backoff And Jitter" (AWS Architecture Blog, 2015). Times are in tenths of a millisecond.
"""

from __future__ import annotations

from random import Random

SECOND = 10_000
BASE_DELAY = SECOND // 5  # maximum after the first failure; it doubles with each further one
MAX_DELAY = 5 * SECOND
MAX_DOUBLINGS = 10  # bounds the shift; MAX_DELAY is reached well before


class BackOff:
    """Counts consecutive failures and draws random delays."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._failures = 0

    def record_failure(self) -> int:
        """Count a failure and return the delay before the next attempt."""
        max_delay = min(BASE_DELAY << min(self._failures, MAX_DOUBLINGS), MAX_DELAY)
        self._failures += 1
        return self.draw_up_to(max_delay)

    def reset(self) -> None:
        """Start again from the base delay after a success."""
        self._failures = 0

    def draw_up_to(self, max_delay: int) -> int:
        """Return a delay drawn uniformly between 0 and `max_delay`."""
        return int(self._rng.random() * max_delay)

    def draw_around(self, mean: int) -> int:
        """Return a delay between 0.5 and 1.5 times the mean, so that gateways do not act at the same time."""
        return mean // 2 + self.draw_up_to(mean)
