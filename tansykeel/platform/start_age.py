"""How long ago a store started, worked out from a start that is told in wall-clock time. No I/O.

A machine's wall clock may be stepped; its monotonic clock runs on. A store that counts as older than it is gets more
than it bears in its slow start, so of several readings the youngest age counts:

* by the wall clock as it is now;
* by the wall clock as it was when this process began, carried on by the monotonic clock, which shows every later step;
* by what discovery had said before: a start that the list was known to be without a moment ago can't be long past,
  which shows a clock that was wrong before this process began.
"""

from __future__ import annotations

MILLISECONDS = 1000  # in a second
# Seconds by which a start may be told late. Lists that come late are some seconds behind; a claim beyond that shows a
# wrong clock, for what started long ago is told as 0.
LATEST_TOLD = 10.0


class StartAge:
    """The clocks of one process. All times are in seconds, `since_ms` in milliseconds of Unix time."""

    def __init__(self, wall: float, monotonic: float) -> None:
        self.offset = wall - monotonic

    def age(self, since_ms: float, wall: float, monotonic: float, known_without: float | None) -> float:
        """Return the seconds since a store's start, 0 at least.

        `known_without`: when (monotonic) the list was last known not to have this start, None if it never was.
        """
        since = since_ms / MILLISECONDS
        by_wall_clock = wall - since
        by_monotonic_clock = self.offset + monotonic - since
        age = min(by_wall_clock, by_monotonic_clock)
        if known_without is not None and age > monotonic - known_without + LATEST_TOLD:
            return 0.0
        return max(age, 0.0)
