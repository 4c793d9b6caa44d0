"""Cold stores: what all gateways together may send to one that has just started."""

from collections import deque

from tansykeel.interface import SlowStartRule, Store

SECOND, ROUND, MAX_ROUND_DELAY = (
    10_000,
    100,
    1_000,
)  # a round every 10 ms (design), put off at cold nodes for so long
EVEN_SHARE, DEMAND_SHARE, START_REPORTED_WITHIN = (
    0.2,
    0.8,
    6 * SECOND,
)  # parts dealt evenly, by what is asked; when a start is told by
SPANS_REMEMBERED = 4  # of the rule's span, that tell what is asked of a store
MIN_TASKS_IN_SPAN = (
    3  # largest tasks; below it one gateway's requests tell nothing of what the fleet asks for
)


class DemandRate:
    """What first tries ask for at a store, over the last whole spans in which any came.

    The middle one counts, and the span that has not ended only while there is no other: so a surge does
    not raise it before it has lasted.
    """

    def __init__(self, span: int) -> None:
        self.span = span
        self._finished = deque[float](maxlen=SPANS_REMEMBERED)  # units of each span that has ended
        self._current, self._current_ends = 0.0, 0  # of the span that has not

    def add(self, now: int, units: float) -> None:
        """Count units that are asked for now."""
        if now >= self._current_ends:
            if self._current:
                self._finished.append(self._current)
            self._current, self._current_ends = 0.0, now + self.span
        self._current += units

    def rate(self) -> float:
        """Units a tenth, the lower middle; at first those since the first one, over a whole span."""
        spans = sorted(self._finished) or [self._current]
        return spans[(len(spans) - 1) // 2] / self.span


class SpanBudget:
    """Bounds what one gateway's first tries earn at a cold store in any window of the rule's span.

    It is the capacity that the store bears of what is asked of it here: by the plans of the gateway's volumes,
    and by what was asked before. Over all gateways that is within what it bears, if one is within its power.
    """

    def __init__(self, span: int, largest: float) -> None:
        self.span, self.minimum = span, MIN_TASKS_IN_SPAN * largest
        self.planned_rate = 0.0  # units a tenth that the plans of this gateway's volumes ask for here
        self.demand = DemandRate(span)
        self._credited, self._total = list[tuple[int, float]](), 0.0  # when, units; their sum in the window

    def remaining(self, now: int, capacity: float) -> float:
        """Units that may still be earned in the window that ends now; `capacity` of what is asked is borne."""
        while self._credited and self._credited[0][0] <= now - self.span:
            self._total -= self._credited.pop(0)[1]
        rate = min(self.planned_rate, self.demand.rate())
        return max(DEMAND_SHARE * capacity * rate * self.span, self.minimum) - self._total

    def spend(self, now: int, units: float) -> None:
        """Count units that were earned now."""
        self._credited.append((now, units))
        self._total += units


class SlowStart:
    """Keeps what all send to a store that has just started within what it bears by its share of power."""

    def __init__(self, rule: SlowStartRule, gateways: int, me: int, largest: float) -> None:
        self.rule, self.largest = rule, largest
        self.even_units, self.phase = (
            EVEN_SHARE * rule.always_safe / max(gateways, 1),
            (me + 0.5) / max(gateways, 1),
        )
        self.next_room_at = self.suspected_start = (
            0  # when the last task will find room; when it may have started
        )
        self.last_start, self.credited_at, self.credit = -rule.warm_after - rule.span, 0, 0.0
        self.budget = SpanBudget(rule.span, largest)

    def cold_capacity(self, store: Store, now: int, answered_sent: int) -> float:
        """What it bears by now, as a capacity of what it does when warm; 0 if it is."""
        # Guards against a cut link taken for a restart: it answers, and no start was told when it had to be.
        unconfirmed = (
            answered_sent <= self.suspected_start or now < self.suspected_start + START_REPORTED_WITHIN
        )
        age = now - (started := max(store.started, self.suspected_start if unconfirmed else 0))
        if started <= 0 or age >= self.rule.warm_after + self.rule.span:
            return 0.0
        if (
            started > self.last_start + self.rule.span
        ):  # the list and the store tell of one start a little apart
            self.credited_at, self.credit = started, 0.0
        self.last_start = started
        # The power at the start of the window bounds the whole window, for power never sinks on the way up.
        ramp = max(age - self.rule.span, 0) / max(self.rule.warm_after, 1)
        grown = 1 + ramp * (1 / self.rule.share - 1) if self.rule.share > 0 else 1.0
        even_credit, self.credited_at = (
            self.even_units * grown * (now - self.credited_at) / self.rule.span,
            now,
        )
        self.credit = min(self.credit + even_credit, self.largest)
        return max(self.rule.multiple * self.rule.share * grown, 1e-9)

    def add_credit(self, units: float, now: int, capacity: float) -> None:
        """Credit for a first try, within the window's budget however many come and how quick answers are."""
        credited = min(units, self.budget.remaining(now, capacity), self.largest - self.credit)
        if credited > 0:
            self.budget.spend(now, credited)
            self.credit += credited

    def admits(self, store: Store, now: int, units: float, answered_sent: int) -> bool:
        warm, missing = not self.cold_capacity(store, now, answered_sent), units * self.phase - self.credit
        self.next_room_at = (
            now + int(min(missing * self.rule.span / max(self.even_units, 1e-9), MAX_ROUND_DELAY))
            if missing > 0
            else 0
        )
        return warm or missing <= 0
