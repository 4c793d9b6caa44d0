"""What counts over all stores: a volume's use and limit, the budget of further hand-offs, lines on keys."""

from collections import deque

from tansykeel.interface import Outcome, Plan, RetryBudgetRule, ShareProvider, Task

from .cold import SECOND
from .nodes import Line
from .rates import OVERLOAD_LIFETIME

LAST = 32  # of a volume's last hand-offs and answers, where it is used is worked out


class KeyLine:  # tasks of ordered categories that carry one key, in the order taken
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

    def __init__(self, hosts: float, limit: float, depth: float, born: int, shares: ShareProvider) -> None:
        self.hosts, self.limit, self.depth, self.units, self.at = hosts, limit, depth, 0.0, born
        self.shares, self.started = (
            shares,
            False,
        )  # started: it is settled that the part starts full, or empty
        self.peers: dict[int, None] = {}  # other gateways heard to have tasks of the volume
        self.asked = self.ask_due = self.all_due = born  # last; when some, or all, may be again
        self.pause, self.wish, self.got = 0, 0.0, 0.0  # between asks; what the last was for, and brought
        self.short, self.shards = dict[Task, None](), dict[int, None]()  # who waits for units; of first tries
        self.sent, self.by_line = deque[tuple[Line, float]](), dict[Line, float]()  # of the last hand-offs
        self.told = deque[tuple[float, float]]()  # of the last answers: units here, by all gateways
        self.told_at, self.here, self.all, self.total = born, 0.0, 0.0, 0.0  # their sums

    def tell(self, units: float, outcome: Outcome, plan: Plan, now: int) -> None:
        """Take in the volume's use: through others since the last answer, or by the meter, through all."""
        used = (
            (outcome.plan_use_percent or 0)
            / 100
            * plan.rate
            * min(now - self.told_at, OVERLOAD_LIFETIME)
            / SECOND
        )
        self.told_at, by_all = now, used if outcome.used_elsewhere is None else units + outcome.used_elsewhere
        self.told.append((units, by_all))
        was = self.told.popleft() if len(self.told) > LAST else (0.0, 0.0)
        self.here, self.all = self.here + units - was[0], self.all + by_all - was[1]

    def send(self, line: Line, units: float) -> None:
        self.sent.append((line, units))
        self.by_line[line], self.total = self.by_line.get(line, 0.0) + units, self.total + units
        if len(self.sent) > LAST:
            line, units = self.sent.popleft()
            self.by_line[line], self.total = self.by_line[line] - units, self.total - units
            if self.by_line[line] <= 0:
                del self.by_line[line]

    def part(self, usual: float) -> float:
        """This gateway's part of the volume's use; the even part weighs in as a usual task."""
        return (self.here + usual / self.hosts) / (max(self.here, self.all) + usual)

    def fill(self, now: int, more: float = 0.0) -> None:
        span, most = self.shares.accrued(self.at, now)
        self.units, self.at = min(self.units + self.limit * span + more, self.depth * most), now
