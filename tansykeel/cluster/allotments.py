"""Record of the part of a whole that a gateway was entitled to over time. Does no I/O.

Limits such as that of a volume are replenished over time in proportion to the gateway's part. The scheduler replenishes
by even parts, one for each gateway; this module tells it how many even parts a span of time was worth, and how many
the gateway has now. The end of a lease is recorded with the part, so that a gateway that stalled past it gains nothing
for the time after.
"""

from __future__ import annotations

from collections import deque
from fractions import Fraction

FOREVER = 1 << 62
MAX_SPANS = 64  # spans that are remembered; the time before them counts with the safe part


class Allotments:
    """Spans of time with the part that counted in each.

    Times are in whole tenths of a millisecond of the gateway's own clock.
    """

    def __init__(self, gateways: int, safe_part: Fraction, now: int) -> None:
        """`safe_part` is the part that counts whatever is agreed."""
        self.gateways, self.safe_even_parts = gateways, float(safe_part * gateways)
        self.spans: deque[tuple[int, int, float]] = deque(maxlen=MAX_SPANS)  # start, latest end, even parts
        self.set_part(now, safe_part, 0)

    def set_part(self, now: int, part: Fraction, until: int) -> None:
        """Set the part that counts from now on, up to `until` (0: without end)."""
        even_parts, until = float(part * self.gateways), until or FOREVER
        if self.spans and self.spans[-1][2] == even_parts and self.spans[-1][1] >= now:
            since, _, _ = self.spans.pop()
            self.spans.append((since, until, even_parts))
        else:
            self.spans.append((now, until, even_parts))

    def accrued(self, since: int, now: int) -> tuple[float, float]:
        """Return what the time from `since` to `now` was worth, and how many even parts count now.

        The worth is the time during which one even part would have gained as much, in tenths of a millisecond.
        """
        worth, end = 0.0, now
        for start, until, even_parts in reversed(self.spans):
            start = max(start, since)
            if start < end:
                valid = max(min(end, until) - start, 0)
                worth, end = worth + valid * even_parts + (end - start - valid) * self.safe_even_parts, start
            if start <= since:
                break
        _, until, even_parts = self.spans[-1]
        return (worth + max(end - since, 0) * self.safe_even_parts, even_parts if now < until else self.safe_even_parts)
