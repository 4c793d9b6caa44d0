"""Cold stores: what all gateways together may send to one that has just started."""

from collections import deque

from tansykeel.interface import SlowStartRule, Store

SECOND, ROUND, LONG = 10_000, 100, 1_000  # a round every 10 ms (design), put off at cold nodes for so long
EVEN_SHARE, DEMAND_SHARE, TOLD = (
    0.2,
    0.8,
    6 * SECOND,
)  # parts dealt evenly, by what is asked; when a start is told by
SPANS_KEPT = 4  # of the rule's span, that tell what is asked of a store
LEAST_IN_SPAN = 3  # largest tasks; below it one gateway's requests tell nothing of what the fleet asks for


class AskedRate:
    """What first tries ask for at a store, over the last whole spans in which any came.

    The middle one counts, and the span that has not ended only while there is no other: so a surge does
    not raise it before it has lasted.
    """

    def __init__(self, span: int) -> None:
        self.span = span
        self._ended = deque[float](maxlen=SPANS_KEPT)  # units of each span that has ended
        self._units, self._ends_at = 0.0, 0  # of the span that has not

    def add(self, now: int, units: float) -> None:
        """Count units that are asked for now."""
        if now >= self._ends_at:
            if self._units:
                self._ended.append(self._units)
            self._units, self._ends_at = 0.0, now + self.span
        self._units += units

    def rate(self) -> float:
        """Units a tenth, the lower middle; at first those since the first one, over a whole span."""
        spans = sorted(self._ended) or [self._units]
        return spans[(len(spans) - 1) // 2] / self.span


class SpanBudget:
    """Bounds what one gateway's first tries earn at a cold store in any window of the rule's span.

    It is the part that the store bears of what is asked of it here: by the plans of the gateway's volumes,
    and by what was asked before. Over all gateways that is within what it bears, if one is within its power.
    """

    def __init__(self, span: int, largest: float) -> None:
        self.span, self.least = span, LEAST_IN_SPAN * largest
        self.plans_rate = 0.0  # units a tenth that the plans of this gateway's volumes ask for here
        self.asked = AskedRate(span)
        self._earned, self._sum = list[tuple[int, float]](), 0.0  # when, units; their sum in the window

    def left(self, now: int, part: float) -> float:
        """Units that may still be earned in the window that ends now; `part` of what is asked is borne."""
        while self._earned and self._earned[0][0] <= now - self.span:
            self._sum -= self._earned.pop(0)[1]
        rate = min(self.plans_rate, self.asked.rate())
        return max(DEMAND_SHARE * part * rate * self.span, self.least) - self._sum

    def spend(self, now: int, units: float) -> None:
        """Count units that were earned now."""
        self._earned.append((now, units))
        self._sum += units


class Young:
    """Keeps what all send to a store that has just started within what it bears by its share of power."""

    def __init__(self, rule: SlowStartRule, gateways: int, me: int, largest: float) -> None:
        self.rule, self.largest = rule, largest
        self.even, self.phase = (
            EVEN_SHARE * rule.always_safe / max(gateways, 1),
            (me + 0.5) / max(gateways, 1),
        )
        self.due = self.suspected = 0  # when the last task will find room; when it may have started
        self.since, self.at, self.credit = -rule.warm_after - rule.span, 0, 0.0
        self.budget = SpanBudget(rule.span, largest)

    def bears(self, store: Store, now: int, proof: int) -> float:
        """What it bears by now, as a part of what it does when warm; 0 if it is."""
        # Guards against a cut link taken for a restart: it answers, and no start was told when it had to be.
        doubt = proof <= self.suspected or now < self.suspected + TOLD
        age = now - (started := max(store.started, self.suspected if doubt else 0))
        if started <= 0 or age >= self.rule.warm_after + self.rule.span:
            return 0.0
        if started > self.since + self.rule.span:  # the list and the store tell of one start a little apart
            self.at, self.credit = started, 0.0
        self.since = started
        # The power at the start of the window bounds the whole window, for power never sinks on the way up.
        since = max(age - self.rule.span, 0) / max(self.rule.warm_after, 1)
        grown = 1 + since * (1 / self.rule.share - 1) if self.rule.share > 0 else 1.0
        evenly, self.at = self.even * grown * (now - self.at) / self.rule.span, now
        self.credit = min(self.credit + evenly, self.largest)
        return max(self.rule.multiple * self.rule.share * grown, 1e-9)

    def earn(self, units: float, now: int, part: float) -> None:
        """Credit for a first try, within the window's budget however many come and how quick answers are."""
        earned = min(units, self.budget.left(now, part), self.largest - self.credit)
        if earned > 0:
            self.budget.spend(now, earned)
            self.credit += earned

    def room(self, store: Store, now: int, units: float, proof: int) -> bool:
        warm, short = not self.bears(store, now, proof), units * self.phase - self.credit
        self.due = now + int(min(short * self.rule.span / max(self.even, 1e-9), LONG)) if short > 0 else 0
        return warm or short <= 0
