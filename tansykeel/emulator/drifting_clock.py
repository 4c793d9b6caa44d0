"""A process's own clock in simulated time: it begins anywhere, and runs a little fast or slow."""

from __future__ import annotations

import math

from tansykeel.emulator.engine import START

MICROSECONDS_PER_TICK = 100


class DriftingClock:
    """Whole tenths of a millisecond since `start`, which pass at `rate` times the rate of real time."""

    def __init__(self, rate: float = 1.0, start: int = 0) -> None:
        self.rate = rate
        self.start = start

    def at(self, moment: int) -> int:
        """Return what the clock shows at a moment of the engine."""
        return self.start + int((moment - START) * self.rate / MICROSECONDS_PER_TICK)

    def moment_of(self, tick: int) -> int:
        """Return the first microsecond of the engine at which the clock shows `tick`, or one after it."""
        return START + math.ceil((tick - self.start) * MICROSECONDS_PER_TICK / self.rate) + 1
