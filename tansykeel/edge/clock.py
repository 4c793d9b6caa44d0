"""The clock of a gateway's program, and its one reminder."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

TENTH = 100_000  # nanoseconds
EPOCH = 10**9  # the clock's first tenth, so that no time that matters is 0 or less
TICKS_PER_SECOND = 10_000
TICKS_PER_MS = 10  # tenths in a millisecond
MICROSECONDS = 100  # in a tenth
LATE = 20  # tenths by which a reminder shows that the process stood still


def clock() -> int:
    """Whole tenths of a millisecond, monotonic."""
    return time.monotonic_ns() // TENTH + EPOCH


def microseconds_of(moment: int) -> int:
    """Return a moment of `clock` in whole microseconds of the machine's monotonic clock, which processes share."""
    return (moment - EPOCH) * MICROSECONDS


class WakeupTimer:
    """Calls `due(now)` at the earliest time asked for."""

    def __init__(self, due: Callable[[int], None]) -> None:
        self._due = due
        self._handle: asyncio.TimerHandle | None = None
        self._at = 0

    def set(self, at: int) -> None:
        if self._handle:
            if at >= self._at:
                return
            self._handle.cancel()
        self._at = at
        # Up to whole milliseconds, which the loop's timers know: guards against a rest that is rounded to none, so
        # that the reminder comes too early again and again and the processor spins.
        rest = max(-(-(at - clock() + 1) // TICKS_PER_MS), 1) / 1_000
        self._handle = asyncio.get_event_loop().call_later(rest, self._remind, False)

    def _remind(self, read_first: bool) -> None:
        """Guards against a process that stood still: what came in meanwhile (a drain, a client's end) must be
        known before held tasks are acted on, so sockets are read before a late reminder is carried out."""
        self._handle = None
        now = clock()
        if now < self._at:  # the loop's clock is not ours: a reminder that comes early is not lost
            self.set(self._at)
        elif not read_first and now - self._at > LATE:
            self._handle = asyncio.get_event_loop().call_later(0.001, self._remind, True)
        else:
            self._due(now)
