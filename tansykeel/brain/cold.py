"""Slow start: what all gateways together may send to a store that has just started and is still cold."""

from tansykeel.interface import SlowStartRule, Store

# Rounds run every 10 ms (design). At a cold node they wait until the next task has room, at most so long.
SECOND, ROUND, MAX_ROUND_DELAY = 10_000, 100, 1_000
# Fractions of what a cold store bears: shared evenly; sent by demand. The time in which a start is reported.
EVEN_PART, DEMAND_PART, START_REPORTED_WITHIN = 0.2, 0.8, 6 * SECOND
SPANS_REMEMBERED = 4  # spans of the rule from which the demand for a store is estimated
MIN_TASKS_IN_SPAN = 3  # largest tasks; with fewer, one gateway's requests say nothing of the fleet's demand


class DemandRate:
    """The rate of first tries for a store, from the last whole spans in which any came.

    It is the lower median, and the current span counts only while there is no other: a surge does not raise
    the rate before it has lasted.
    """

    __slots__ = ("_current", "_current_ends", "_finished", "span")

    def __init__(self, span: int) -> None:
        self.span = span
        self._finished = list[float]()  # units of each span that has ended
        self._current, self._current_ends = 0.0, 0  # units of the current span

    def add(self, now: int, units: float) -> None:
        """Count the units of a first try that comes now."""
        if now >= self._current_ends:
            if self._current:
                self._finished = [*self._finished, self._current][-SPANS_REMEMBERED:]
            self._current, self._current_ends = 0.0, now + self.span
        self._current += units

    def rate(self) -> float:
        """Units a tenth; before the first span has ended, its units so far over a whole span."""
        spans = sorted(self._finished) or [self._current]
        return spans[(len(spans) - 1) // 2] / self.span


class SpanBudget:
    """Bounds the credit that one gateway's first tries get at a cold store in any window of the rule's span.

    The bound is the store's present capacity, as a fraction of its warm one, of the demand at this gateway:
    the lower of what the plans of its volumes ask for and of what was asked for before. Summed over all
    gateways that is within the store's capacity, if one of the two is within its warm capacity.
    """

    __slots__ = ("_credited", "_total", "demand", "minimum", "planned_rate", "span")

    def __init__(self, span: int, largest: float) -> None:
        self.span, self.minimum = span, MIN_TASKS_IN_SPAN * largest
        self.planned_rate = 0.0  # units a tenth that the plans of this gateway's volumes ask for here
        self.demand = DemandRate(span)
        self._credited, self._total = list[tuple[int, float]](), 0.0  # when, units; their sum in the window

    def remaining(self, now: int, capacity: float) -> float:
        """Units that may still be credited in the window that ends now, at this fraction of warm capacity."""
        while self._credited and self._credited[0][0] <= now - self.span:
            self._total -= self._credited.pop(0)[1]
        rate = min(self.planned_rate, self.demand.rate())
        return max(DEMAND_PART * capacity * rate * self.span, self.minimum) - self._total

    def spend(self, now: int, units: float) -> None:
        """Count units that are credited now."""
        self._credited.append((now, units))
        self._total += units


class SlowStart:
    """Limits what this gateway sends to a store that has just started: all together stay within its capacity.

    A task needs credit to be sent. A fifth of what the store surely bears is credited evenly over time. The
    rest goes by demand: first tries bring credit with them.
    """

    __slots__ = (
        "budget",
        "credit",
        "credited_at",
        "even_units",
        "largest",
        "last_start",
        "next_room_at",
        "phase",
        "rule",
        "suspected_start",
    )

    def __init__(self, rule: SlowStartRule, gateways: int, gateway_index: int, largest: float) -> None:
        self.rule, self.largest = rule, largest
        # Units that this gateway gets evenly in a span at first. A task goes at this fraction of its units in
        # credit: it differs between gateways, so that the first tasks of several hundred don't come together.
        self.even_units, self.phase = (
            EVEN_PART * rule.always_safe / max(gateways, 1),
            (gateway_index + 0.5) / max(gateways, 1),
        )
        # When the task that was last refused will find room; when the store may have restarted unreported.
        self.next_room_at = self.suspected_start = 0
        self.last_start, self.credited_at, self.credit = -rule.warm_after - rule.span, 0, 0.0
        self.budget = SpanBudget(rule.span, largest)

    def cold_capacity(self, store: Store, now: int, answered_sent: int) -> float:
        """How much a cold store bears, as a fraction of its power when warm; 0 if it is warm.

        Gives the even credit up to now. `answered_sent`: when the newest answered hand-off was sent.
        """
        # A cut connection can look like a restart. A store that has answered since, and of which no start was
        # reported in time, had not restarted.
        unconfirmed = (
            answered_sent <= self.suspected_start or now < self.suspected_start + START_REPORTED_WITHIN
        )
        age = now - (started := max(store.started, self.suspected_start if unconfirmed else 0))
        if started <= 0 or age >= self.rule.warm_after + self.rule.span:
            return 0.0
        # The list and the store itself report one start at slightly different times.
        if started > self.last_start + self.rule.span:
            self.credited_at, self.credit = started, 0.0
        self.last_start = started
        # The power at the start of a window bounds the whole window: power never falls during warm-up.
        ramp = max(age - self.rule.span, 0) / max(self.rule.warm_after, 1)
        growth = 1 + ramp * (1 / self.rule.share - 1) if self.rule.share > 0 else 1.0
        even_credit, self.credited_at = (
            self.even_units * growth * (now - self.credited_at) / self.rule.span,
            now,
        )
        self.credit = min(self.credit + even_credit, self.largest)
        return max(self.rule.multiple * self.rule.share * growth, 1e-9)

    def add_credit(self, units: float, now: int, capacity: float) -> None:
        """Give credit for a first try, within the window's budget, however fast the store answers."""
        credited = min(units, self.budget.remaining(now, capacity), self.largest - self.credit)
        if credited > 0:
            self.budget.spend(now, credited)
            self.credit += credited

    def admits(self, store: Store, now: int, units: float, answered_sent: int) -> bool:
        """Whether a task of this size may be sent now; else `next_room_at` tells when to look again."""
        warm, missing = not self.cold_capacity(store, now, answered_sent), units * self.phase - self.credit
        self.next_room_at = (
            now + int(min(missing * self.rule.span / max(self.even_units, 1e-9), MAX_ROUND_DELAY))
            if missing > 0
            else 0
        )
        return warm or missing <= 0
