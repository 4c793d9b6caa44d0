"""What counts over all stores: a volume's use and limit, the budget of further hand-offs, lines on keys."""

from collections import deque

from tansykeel.interface import Outcome, Plan, RetryBudgetRule, ShareProvider, Task

from .cold import SECOND
from .nodes import VolumeQueue
from .rates import OVERLOAD_LIFETIME

HISTORY_LENGTH = 32  # of a volume's last hand-offs and answers, where it is used is worked out


class KeyQueue:  # tasks of ordered categories that carry one key, in the order taken
    def __init__(self, rests_until: int) -> None:
        self.tasks, self.rests_until = deque[Task](), rests_until


class RetryBudget:  # further hand-offs within each window's budget; an earlier life may have used up the first
    def __init__(self, rule: RetryBudgetRule, now: int) -> None:
        self.rule, self.tasks, self.retries, self.opens_at = rule, deque[int](), deque[int](), now + rule.span

    def allows(self, now: int) -> bool:
        while self.tasks and self.tasks[0] <= now - self.rule.span + 1:  # rounding never in our favour
            self.tasks.popleft()
        while self.retries and self.retries[0] < now - self.rule.span - 1:
            self.retries.popleft()
        return now > self.opens_at and len(self.retries) + 1 <= self.rule.free + self.rule.share * len(
            self.tasks
        )


class VolumeState:
    """A volume over all nodes, and its limit's part here; units passed on are gone before they come."""

    def __init__(self, gateways: float, limit: float, depth: float, born: int, shares: ShareProvider) -> None:
        self.gateways, self.limit, self.depth, self.units, self.filled_at = gateways, limit, depth, 0.0, born
        self.shares, self.started = (
            shares,
            False,
        )  # started: it is settled that the part starts full, or empty
        self.peers: dict[int, None] = {}  # other gateways heard to have tasks of the volume
        self.asked_at = self.next_ask_at = self.next_broadcast_at = (
            born  # last; when some, or all, may be again
        )
        self.ask_interval, self.wanted, self.received = (
            0,
            0.0,
            0.0,
        )  # between asks; what the last was for, and brought
        self.waiting, self.shards = (
            dict[Task, None](),
            dict[int, None](),
        )  # who waits for units; of first tries
        self.recent_sends, self.units_by_queue = (
            deque[tuple[VolumeQueue, float]](),
            dict[VolumeQueue, float](),
        )  # of the last hand-offs
        self.recent_use = deque[tuple[float, float]]()  # of the last answers: units here, by all gateways
        self.use_reported_at, self.use_here, self.use_everywhere, self.recent_units = (
            born,
            0.0,
            0.0,
            0.0,
        )  # their sums

    def record_use(self, units: float, outcome: Outcome, plan: Plan, now: int) -> None:
        """Take in the volume's use: through others since the last answer, or by the meter, through all."""
        used = (
            (outcome.plan_use_percent or 0)
            / 100
            * plan.rate
            * min(now - self.use_reported_at, OVERLOAD_LIFETIME)
            / SECOND
        )
        self.use_reported_at, by_all = (
            now,
            used if outcome.used_elsewhere is None else units + outcome.used_elsewhere,
        )
        self.recent_use.append((units, by_all))
        was = self.recent_use.popleft() if len(self.recent_use) > HISTORY_LENGTH else (0.0, 0.0)
        self.use_here, self.use_everywhere = (
            self.use_here + units - was[0],
            self.use_everywhere + by_all - was[1],
        )

    def record_send(self, queue: VolumeQueue, units: float) -> None:
        self.recent_sends.append((queue, units))
        self.units_by_queue[queue], self.recent_units = (
            self.units_by_queue.get(queue, 0.0) + units,
            self.recent_units + units,
        )
        if len(self.recent_sends) > HISTORY_LENGTH:
            queue, units = self.recent_sends.popleft()
            self.units_by_queue[queue], self.recent_units = (
                self.units_by_queue[queue] - units,
                self.recent_units - units,
            )
            if self.units_by_queue[queue] <= 0:
                del self.units_by_queue[queue]

    def use_share(self, usual: float) -> float:
        """This gateway's part of the volume's use; the even part weighs in as a usual task."""
        return (self.use_here + usual / self.gateways) / (max(self.use_here, self.use_everywhere) + usual)

    def fill(self, now: int, more: float = 0.0) -> None:
        span, most = self.shares.accrued(self.filled_at, now)
        self.units, self.filled_at = min(self.units + self.limit * span + more, self.depth * most), now
