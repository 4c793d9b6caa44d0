"""What a gateway earns of a whole that its fleet divides, by the parts that it counted on over time. Without I/O.

The module earns even parts; this tells it how many even parts' time a span was worth, and how large a part is now. A
lease that ran out is known here before anybody says so: a gateway that stood still earns nothing by it.
"""

from __future__ import annotations

from collections import deque
from fractions import Fraction

FOREVER = 1 << 62
MOST = 64  # changes remembered; before them the least part counted


class Allotments:
    """`least`: the part that counts whatever is agreed; times are whole tenths of the gateway's own clock."""

    def __init__(self, gateways: int, least: Fraction, now: int) -> None:
        self.gateways, self.least = gateways, float(least * gateways)
        self.spans: deque[tuple[int, int, float]] = deque(maxlen=MOST)  # since, until at most, even parts
        self.put(now, least, 0)

    def put(self, now: int, part: Fraction, until: int) -> None:
        """From now on this part counts, up to `until` (0: for good)."""
        scale, until = float(part * self.gateways), until or FOREVER
        if self.spans and self.spans[-1][2] == scale and self.spans[-1][1] >= now:
            since, _, _ = self.spans.pop()
            self.spans.append((since, until, scale))
        else:
            self.spans.append((now, until, scale))

    def accrued(self, since: int, now: int) -> tuple[float, float]:
        """What the time from `since` is worth in tenths of an even part, and how many even parts count now."""
        worth, end = 0.0, now
        for begins, until, scale in reversed(self.spans):
            begins = max(begins, since)
            if begins < end:
                held = max(min(end, until) - begins, 0)
                worth, end = worth + held * scale + (end - begins - held) * self.least, begins
            if begins <= since:
                break
        _, until, scale = self.spans[-1]
        return worth + max(end - since, 0) * self.least, scale if now < until else self.least
