"""State that spans all stores: a volume's use and limit, the retry budget, queues on keys."""

from collections import deque

from tansykeel.interface import Outcome, Plan, RetryBudgetRule, ShareProvider, Task

from .cold import SECOND
from .queues import VolumeQueue
from .rates import OVERLOAD_LIFETIME

HISTORY_LENGTH = 32  # hand-offs and answers of a volume that tell where it is used


class KeyQueue:
    """Tasks of ordered categories with one key, in order of arrival."""

    def __init__(self, rests_until: int) -> None:
        self.tasks, self.rests_until = deque[Task](), rests_until  # no task uses the key before then


class RetryBudget:
    """Bounds the retries in each window of the rule's span.

    It allows none in the first window: an earlier process of this gateway may have used up its budget.
    """

    def __init__(self, rule: RetryBudgetRule, now: int) -> None:
        # Times of the tasks that were taken and of the retries that were made.
        self.rule, self.tasks, self.retries, self.opens_at = rule, deque[int](), deque[int](), now + rule.span

    def allows(self, now: int) -> bool:
        """Whether one more retry is within the budget now."""
        while self.tasks and self.tasks[0] <= now - self.rule.span + 1:  # rounded to allow less, not more
            self.tasks.popleft()
        while self.retries and self.retries[0] < now - self.rule.span - 1:
            self.retries.popleft()
        return now > self.opens_at and len(self.retries) + 1 <= self.rule.free + self.rule.share * len(
            self.tasks
        )


class VolumeState:
    """A volume over all nodes, with this gateway's part of the volume's limit as a token bucket."""

    def __init__(
        self, gateways: float, limit: float, depth: float, started_at: int, shares: ShareProvider
    ) -> None:
        # The bucket is filled at `limit` units a tenth up to `depth`, both multiplied by the gateway's share.
        self.gateways, self.limit, self.depth, self.units, self.filled_at = (
            gateways,
            limit,
            depth,
            0.0,
            started_at,
        )
        self.shares, self.started = shares, False  # started: it is decided if the bucket starts full or empty
        self.peers: dict[int, None] = {}  # other gateways that are known to have tasks of the volume
        # When others were last asked for units; when some, or all, may be asked again.
        self.asked_at = self.next_ask_at = self.next_broadcast_at = started_at
        # The time between asks; what was last asked for, and what came of it.
        self.ask_interval, self.wanted, self.received = 0, 0.0, 0.0
        # Tasks that wait for units; shards that first tries went to.
        self.waiting, self.shards = dict[Task, None](), dict[int, None]()
        # The last hand-offs, and the sum of their units by queue.
        self.recent_sends, self.units_by_queue = (
            deque[tuple[VolumeQueue, float]](),
            dict[VolumeQueue, float](),
        )
        self.recent_use = deque[
            tuple[float, float]
        ]()  # for each of the last answers: units here, units everywhere
        # When use was last reported; the sums of `recent_use`; the sum of `recent_sends`.
        self.use_reported_at, self.use_here, self.use_everywhere, self.recent_units = (
            started_at,
            0.0,
            0.0,
            0.0,
        )

    def record_use(self, units: float, outcome: Outcome, plan: Plan, now: int) -> None:
        """Take in an answer's report of the volume's use since the last one.

        It tells what was used through other gateways, or else how far the plan's rate is used by all.
        """
        used = (
            (outcome.plan_use_percent or 0)
            / 100
            * plan.rate
            * min(now - self.use_reported_at, OVERLOAD_LIFETIME)
            / SECOND
        )
        self.use_reported_at, everywhere = (
            now,
            used if outcome.used_elsewhere is None else units + outcome.used_elsewhere,
        )
        self.recent_use.append((units, everywhere))
        oldest = self.recent_use.popleft() if len(self.recent_use) > HISTORY_LENGTH else (0.0, 0.0)
        self.use_here, self.use_everywhere = (
            self.use_here + units - oldest[0],
            self.use_everywhere + everywhere - oldest[1],
        )

    def record_send(self, queue: VolumeQueue, units: float) -> None:
        """Count a hand-off of a task from this queue."""
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
        """This gateway's share of the volume's use; an even share is weighed in as one usual task."""
        return (self.use_here + usual / self.gateways) / (max(self.use_here, self.use_everywhere) + usual)

    def fill(self, now: int, more: float = 0.0) -> None:
        """Fill the bucket for the time that has passed, and with units that another gateway granted."""
        span, share = self.shares.accrued(self.filled_at, now)
        self.units, self.filled_at = min(self.units + self.limit * span + more, self.depth * share), now
