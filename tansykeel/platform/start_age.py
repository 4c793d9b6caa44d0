"""Computes how long ago a store started from its start in wall-clock time. No I/O.

A machine's wall clock may be stepped, its monotonic clock is not. A store that is taken for older than it is gets more
load than it can serve in its slow start, so the lowest of several estimates is used:

* by the wall clock as it is now;
* by the wall clock when this process began plus the monotonic time since then, which is not changed by later steps;
* by discovery's earlier lists: a start that the list did not have a moment ago can't be long past, which also detects
  a wall clock that was wrong before this process began.
"""

from __future__ import annotations

MILLISECONDS = 1000  # in a second
# Seconds by which a start may reach discovery's list late. Lists that come late are some seconds behind; a greater age
# of a new start shows a wrong clock, as discovery gives the start of a store that started long ago as 0.
MAX_LIST_DELAY = 10.0


class StartAge:
    """Computes ages from the clocks of one process. Times are in seconds, `since_ms` in milliseconds of Unix time."""

    def __init__(self, wall: float, monotonic: float) -> None:
        self.offset = wall - monotonic

    def age(self, since_ms: float, wall: float, monotonic: float, known_without: float | None) -> float:
        """Return the seconds since a store's start, at least 0.

        `known_without`: the monotonic time at which the list was last known not to have this start, None if there is
        none.
        """
        since = since_ms / MILLISECONDS
        by_wall_clock = wall - since
        by_monotonic_clock = self.offset + monotonic - since
        age = min(by_wall_clock, by_monotonic_clock)
        if known_without is not None and age > monotonic - known_without + MAX_LIST_DELAY:
            return 0.0
        return max(age, 0.0)
