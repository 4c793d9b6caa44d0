"""The clock of a gateway's program, and a timer that follows it. A tick is 0.1 ms."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

NANOSECONDS_PER_TICK = 100_000
EPOCH = 10**9  # ticks at which the clock starts, so that no time that is compared with it is 0 or less
TICKS_PER_SECOND = 10_000
TICKS_PER_MS = 10
MICROSECONDS_PER_TICK = 100
LATE_TICKS = 20  # a timer that fires later than this shows that the process was stalled


def clock() -> int:
    """Return the monotonic time in whole ticks."""
    return time.monotonic_ns() // NANOSECONDS_PER_TICK + EPOCH


def microseconds_of(moment: int) -> int:
    """Return a time of `clock` in whole microseconds of the machine's monotonic clock, which processes share."""
    return (moment - EPOCH) * MICROSECONDS_PER_TICK


class WakeupTimer:
    """Calls `due(now)` once, at the earliest of the times that were set."""

    def __init__(self, due: Callable[[int], None]) -> None:
        self._due = due
        self._handle: asyncio.TimerHandle | None = None
        self._at = 0

    def set(self, at: int) -> None:
        """Have `due` called at that time, unless it is to be called earlier already."""
        if self._handle:
            if at >= self._at:
                return
            self._handle.cancel()
        self._at = at
        # Rounded up to whole milliseconds, the resolution of the loop's timers. A delay rounded down to 0 would fire
        # too early, be set again at once, and so spin the processor.
        delay = max(-(-(at - clock() + 1) // TICKS_PER_MS), 1) / 1_000
        self._handle = asyncio.get_event_loop().call_later(delay, self._fire, False)

    def _fire(self, sockets_read: bool) -> None:
        """Call `due`. If the timer is late, the process was stalled, and sockets are read first: what came in the
        meantime (a drain, a client's end) must be known before anything is done about held tasks."""
        self._handle = None
        now = clock()
        if now < self._at:  # the loop's clock differs from ours: a timer that fires early is set again
            self.set(self._at)
        elif not sockets_read and now - self._at > LATE_TICKS:
            self._handle = asyncio.get_event_loop().call_later(0.001, self._fire, True)
        else:
            self._due(now)
