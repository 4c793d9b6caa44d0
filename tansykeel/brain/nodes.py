"""Lines and slices: rounds that deal a store's token rate to the volumes that hold tasks for it (ReFlex)."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from heapq import heappop, heappush

from tansykeel.interface import Outcome, OutcomeKind, Runtime, Store, StoreState, Task, Volume, WakeReason

from .cold import DEMAND_SHARE, ROUND, SECOND, SlowStart
from .rates import SAMPLE_LIFETIME, TARGET_SHARE, QueueDelays, StoreMeasurements

RESET, FLOOR = SECOND, 0.1  # when the bucket is emptied; part of the rate that slices always share (design)
DEFICIT, DONATED = 50.0, 0.9  # what a reserve may sink below nothing; part of its surplus given away (paper)
READ_COST, WRITE_COST, MOST_OUT = 1.0, 1.5, 24  # tokens for a unit; hand-offs out at a node (design: 32)
RISE = 2_000  # the rate about doubles in this time while tasks are held and the lag is far under its target
FALL, DEEPEST = 0.2, 0.9  # part that it loses with the lag at twice its target, and at most in one fall
FORGET, QUICK = 600 * SECOND, 2  # lines sent nothing are let go; times a unit's time that tell no cold store
PATIENCE, LOSING, PAUSE = 4, 10 * SECOND, 2_000  # lags until one can be lost, while it tells of more; a rest


class Line:
    """One volume at one node. What it earns or owes while it holds no tasks is worked out when needed."""

    def __init__(self, node: Node, number: int, volume: Volume) -> None:
        self.node, self.number, self.volume = node, number, volume  # number: its place in the round
        self.held: deque[Task] = deque()
        self.reserve = volume.plan.reserve / SECOND  # read tokens a tenth, over all gateways and nodes
        self.earns = self.balance = self.tokens = 0.0  # earns: this gateway's and node's part of the reserve
        self.at, self.paid = node.accrued, 0.0  # up to when balance and tokens are worked out
        self.full_at, self.clear_at = 0, 0.0  # when its balance is full; after which slices it owes nothing
        self.asked_at, self.sized = 0, 0.0  # when a first try last came; units that the volume is sized for
        self.plans_rate = 0.0  # units a tenth that the volume is sized for here, as the last first try told

    def earn(self, earns: float) -> None:
        if self.node.lines.get(self.volume) is self:
            self.node.earn += earns - self.earns
            if self in self.node.full:
                self.node.full_earn += earns - self.earns
            elif not self.held:
                self.balance += self.earns * (self.node.accrued - self.at)
                self.at, self.earns = self.node.accrued, earns
                self.node.fill(self)
        self.earns = earns


def cost_of(task: Task) -> float:
    return task.units * (WRITE_COST if task.category.writes else READ_COST)


class Node(StoreMeasurements):
    """One store and the lines of its volumes here."""

    def __init__(
        self,
        store: Store,
        runtime: Runtime,
        rate: float,
        largest_task: float,
        usual: float,
        soft_limit: int,
        slow_start: SlowStart | None,
        delays: QueueDelays,
        gateways: int,
    ) -> None:
        super().__init__(store, runtime, rate, largest_task, usual, soft_limit, delays, gateways)
        self.slow_start, self.round_set, self.starved = (
            slow_start,
            False,
            False,
        )  # starved: tokens or bound held back
        self.lines, self.holding = dict[Volume, Line](), list[Line]()  # holding: with held tasks, in order
        # Of the others: those whose balance is full (`has` for a token earned), when more will be, those that
        # held a task lately, those in debt, and the slices after which they owe nothing.
        self.full, self.fills = dict[Line, None](), list[tuple[int, int, Line]]()
        self.late, self.owing = dict[Line, int](), dict[Line, None]()
        self.debts = list[tuple[float, int, Line]]()
        self.earn = self.full_earn = self.has = self.paid = 0.0  # paid: all slices so far, of one line
        self.count = self.notes = self.first = 0  # first: where the next round of slices starts
        self.bucket, self.out, self.tokens_out, self.held, self.held_tokens = 0.0, 0, 0.0, 0, 0.0
        self.accrued = self.reset_at = runtime.now

    def usable(self) -> bool:
        return self.store.state is StoreState.READY and self.runtime.now >= self.resting_until

    def fits(self, task: Task, cost: float) -> bool:
        if not self.usable() or self.out >= MOST_OUT:
            return False
        if self.out and self.tokens_out + cost > self.token_bound():
            self.starved = True
            return False
        return not self.slow_start or self.slow_start.admits(
            self.store, self.runtime.now, task.units, self.answered_sent
        )

    def asked(self, line: Line, units: float, rate: float) -> None:
        """A first try has come. For a young store it counts within what its volume was sized for, `rate`."""
        if self.slow_start:
            self.slow_start.budget.demand.add(self.runtime.now, units)
        if self.slow_start and (
            part := self.slow_start.cold_capacity(self.store, self.runtime.now, self.answered_sent)
        ):
            most = max(rate * self.slow_start.rule.span, self.slow_start.largest)
            sized = min(line.sized + rate * (self.runtime.now - line.asked_at), most)
            line.asked_at, line.sized, counts = self.runtime.now, max(sized - units, 0.0), min(units, sized)
            self.slow_start.budget.planned_rate += rate - line.plans_rate
            line.plans_rate = rate
            # With no queue there all send it less than its power, which is that much under what it bears. One
            # that answers at once whatever it gets shows no queue either: `earn` bounds this by its budget.
            clear = (
                bool(self.samples)
                and self.samples[-1][0] >= self.runtime.now - SAMPLE_LIFETIME
                and self.headroom() > 0
            )
            earned = DEMAND_SHARE * part * counts * (self.slow_start.rule.multiple if clear else 1)
            self.slow_start.add_credit(earned, self.runtime.now, part)

    def hold(self, line: Line, task: Task) -> None:
        if not line.held:
            self.rouse(line)
        (line.held.appendleft if task.hand_offs else line.held.append)(task)
        self.held, self.held_tokens = self.held + 1, self.held_tokens + cost_of(task)
        self.round()

    def drop(self, line: Line, task: Task) -> None:
        if task in line.held:
            line.held.remove(task)
            self.held, self.held_tokens = self.held - 1, self.held_tokens - cost_of(task)
            if not line.held:
                self.lull(line)

    def rouse(self, line: Line) -> None:
        insort(self.holding, line, key=lambda other: other.number)
        if line in self.full:
            del self.full[line]
            self.full_earn, line.balance = self.full_earn - line.earns, self.has * line.earns
        else:
            line.balance += line.earns * (self.accrued - line.at)
        if line in self.owing:
            del self.owing[line]
            line.tokens += self.paid - line.paid
        self.late.pop(line, None)
        line.full_at = 0

    def lull(self, line: Line) -> None:
        self.holding.remove(line)
        line.at, line.paid, self.late[line] = self.accrued, self.paid, self.runtime.now
        if line.tokens < 0:
            self.owing[line], line.clear_at = None, self.paid - line.tokens
            self.notes += 1
            heappush(self.debts, (line.clear_at, self.notes, line))
        else:
            self.bucket, line.tokens = self.bucket + line.tokens, 0.0
        self.fill(line)

    def fill(self, line: Line) -> None:
        missing = 3 * ROUND * line.earns - line.balance
        if line.earns and missing > 0:
            line.full_at = line.at + int(missing / line.earns) + 1
            self.notes += 1
            heappush(self.fills, (line.full_at, self.notes, line))
        else:
            self.settle(line)

    def settle(self, line: Line) -> None:
        """Its balance is full: it gives to the bucket as all such lines do. Those longest so are let go."""
        self.bucket += line.balance - self.has * line.earns
        self.full[line], line.at, line.full_at = None, self.accrued, 0
        self.full_earn += line.earns
        while (oldest := next(iter(self.full))).at < self.runtime.now - FORGET and oldest not in self.owing:
            del self.full[oldest], self.lines[oldest.volume]
            if self.slow_start:
                self.slow_start.budget.planned_rate -= oldest.plans_rate
            self.earn, self.full_earn = self.earn - oldest.earns, self.full_earn - oldest.earns

    def round(self) -> None:
        self.accrue()
        if self.held and self.usable():
            for line in list(self.holding):
                while line.earns and line.held and line.balance > -min(DEFICIT, line.earns * RESET):
                    cost = cost_of(line.held[0])
                    if not self.fits(line.held[0], cost):
                        break
                    line.balance -= cost
                    self.grant(line, cost)
            self.slices()
        if self.held and not self.round_set:
            self.round_set = True
            self.runtime.call_at(
                max(self.runtime.now + ROUND, self.slow_start.next_room_at if self.slow_start else 0),
                self.next_round,
            )

    def next_round(self) -> None:
        self.round_set = False
        self.round()

    def slices(self) -> None:
        start = bisect_left(self.holding, self.first, key=lambda line: line.number)
        for line in self.holding[start:] + self.holding[:start]:
            while line.held:
                cost = cost_of(line.held[0])
                if (short := cost - line.tokens) > self.bucket:
                    self.starved = True
                    # An idle node lends if the work is in time, to a line in debt only on a fresh sample.
                    if (
                        self.out
                        or self.headroom() < 1 - 1 / TARGET_SHARE
                        or (line.tokens < 0 and not self.shows_headroom())
                    ):
                        break
                if not self.fits(line.held[0], cost):
                    self.first = line.number
                    return
                drawn = min(max(short, 0.0), max(self.bucket, 0.0))
                self.bucket, line.tokens = self.bucket - drawn, line.tokens + drawn - cost
                self.grant(line, cost)
        self.first = (self.first + 1) % max(self.count, 1)

    def accrue(self) -> None:
        span, self.accrued, now = self.runtime.now - self.accrued, self.runtime.now, self.runtime.now
        if self.starved and (gap := self.headroom()) > 0:
            # By time and not by outcomes: where few tasks come by, a rate once low would stay low.
            rate = self.rate * (1 + gap * min(span, ROUND) / RISE)
            # What MOST_OUT hand-offs can be at the lag seen: a store far quicker than the target does more.
            lag = self.expected_latency(self.usual) if self.samples else self.soft_limit * TARGET_SHARE
            self.rate = min(rate, MOST_OUT * self.usual / max(lag, 1))
        self.starved = False
        if now >= self.reset_at:
            self.bucket, self.reset_at = 0.0, now + RESET
        if not span:
            return
        while self.fills and self.fills[0][0] <= now:
            moment, _, line = heappop(self.fills)
            if line.full_at == moment:
                line.balance += line.earns * (now - line.at)
                self.settle(line)
        most, surplus = 3 * ROUND, max(self.has + span - 3 * ROUND, 0.0) * DONATED
        self.has, self.bucket = self.has + span - surplus, self.bucket + surplus * self.full_earn
        while self.late and next(iter(self.late.values())) <= now - RESET:
            del self.late[next(iter(self.late))]
        active = len(self.holding) + len(self.late) + sum(line not in self.late for line in self.owing)
        if not active:
            return
        part, idle = max(self.rate - self.earn, self.rate * FLOOR) * span / active, active - len(self.holding)
        self.paid, self.bucket = self.paid + part, self.bucket + part * (idle - len(self.owing))
        while self.debts and self.debts[0][0] <= self.paid:
            debt, _, line = heappop(self.debts)
            if line in self.owing and line.clear_at == debt:
                del self.owing[line]
                self.bucket, line.tokens = self.bucket + self.paid - debt, 0.0
        for line in self.holding:
            line.tokens, line.balance = line.tokens + part, line.balance + line.earns * span
            surplus = max(line.balance - most * line.earns, 0.0) * DONATED
            line.balance, self.bucket = line.balance - surplus, self.bucket + surplus

    def grant(self, line: Line, cost: float) -> None:
        task = line.held.popleft()
        self.held, self.held_tokens, self.version = self.held - 1, self.held_tokens - cost, self.version + 1
        self.out, self.tokens_out, self.sent_at[task] = self.out + 1, self.tokens_out + cost, self.runtime.now
        self.grants.append((self.runtime.now, cost))
        if self.slow_start:
            self.slow_start.credit -= task.units
        if not line.held:
            self.lull(line)
        self.runtime.wake(task, WakeReason.GRANTED)

    def release(self, cost: float) -> None:
        self.out, self.tokens_out = self.out - 1, self.tokens_out - cost
        self.round()

    def recall(self, task: Task) -> None:
        del self.sent_at[task]
        self.version += 1
        self.release(cost_of(task))

    def learn(self, task: Task, outcome: Outcome) -> None:
        now, cost, sent = self.runtime.now, cost_of(task), self.sent_at.pop(task)
        long = outcome.kind is OutcomeKind.TIMED_OUT and outcome.latency >= PATIENCE * self.expected_latency(
            task.units
        )
        lost = (
            long and sent < self.answered_sent
        )  # guards against short patience and slow nodes, which look like it
        self.version, self.delays.losses_until = (
            self.version + 1,
            now + LOSING if lost else self.delays.losses_until,
        )
        if outcome.kind is OutcomeKind.TIMED_OUT and not lost:
            # Guards against work that goes on at the store after its client left: it stays on the books.
            self.runtime.call_at(now + self.soft_limit, lambda: self.release(cost))
        else:
            self.last_heard, self.out, self.tokens_out = now, self.out - 1, self.tokens_out - cost
        if outcome.kind not in (OutcomeKind.NOT_EXECUTED, OutcomeKind.CANCELLED):
            self.successes.append(outcome.kind is OutcomeKind.DELIVERED)
        if (
            outcome.kind is OutcomeKind.DELIVERED
            or outcome.kind is OutcomeKind.TIMED_OUT
            and now >= self.delays.losses_until
        ):
            self.answered_sent, self.failures_in_row = (
                max(self.answered_sent, sent if outcome.kind is OutcomeKind.DELIVERED else 0),
                0,
            )
            # A cold store takes several times as long: who answers as quickly as before was only cut off.
            if (
                self.slow_start
                and sent > self.slow_start.suspected_start
                and outcome.latency < QUICK * self.unit_time * task.units
            ):
                self.slow_start.suspected_start = 0
            self.add_sample(outcome.latency, task.units)
            self.delays.record(self.store, now, self.queueing_delay())
            if (gap := self.headroom()) < 0:
                self.decrease_rate(min(FALL * -gap, DEEPEST), min(outcome.latency, self.soft_limit) // 2)
        elif outcome.kind is OutcomeKind.QUEUE_FULL:
            self.failures_in_row += 1
            self.decrease_rate(FALL, ROUND)
            self.resting_until = now + ROUND * 5 * min(self.failures_in_row, 10)
        elif outcome.kind is OutcomeKind.NO_CONNECTION:
            # Guards against a restart that the list has not told: tried ever more seldom, it counts as cold.
            self.failures_in_row += 1
            if self.slow_start and self.failures_in_row > 1:
                self.slow_start.suspected_start, self.slow_start.credited_at, self.slow_start.credit = (
                    now,
                    now,
                    min(self.slow_start.credit, 0.0),
                )
            self.resting_until = now + PAUSE * min(self.failures_in_row, 5)
            self.runtime.call_at(self.resting_until, self.round)
