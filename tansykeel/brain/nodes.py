"""Lines and slices: rounds that deal a store's token rate to the volumes that hold tasks for it (ReFlex)."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from heapq import heappop, heappush

from tansykeel.interface import Outcome, OutcomeKind, Runtime, Store, StoreState, Task, Volume, WakeReason

from .cold import DEMAND_SHARE, ROUND, SECOND, SlowStart
from .rates import SAMPLE_LIFETIME, TARGET_SHARE, QueueDelays, StoreMeasurements

BUCKET_LIFETIME, MIN_SLICE_SHARE = (
    SECOND,
    0.1,
)  # when the bucket is emptied; part of the rate that slices always share (design)
DEFICIT_LIMIT, DONATED_SHARE = (
    50.0,
    0.9,
)  # what a reserve may sink below nothing; part of its surplus given away (paper)
READ_COST, WRITE_COST, MAX_IN_FLIGHT = 1.0, 1.5, 24  # tokens for a unit; hand-offs out at a node (design: 32)
RATE_DOUBLING_TIME = (
    2_000  # the rate about doubles in this time while tasks are held and the lag is far under its target
)
RATE_DECREASE, MAX_RATE_DECREASE = (
    0.2,
    0.9,
)  # part that it loses with the lag at twice its target, and at most in one fall
IDLE_QUEUE_LIFETIME, WARM_LATENCY_FACTOR = (
    600 * SECOND,
    2,
)  # lines sent nothing are let go; times a unit's time that tell no cold store
LOST_AFTER_LATENCIES, LOSSES_EXPECTED_FOR, RECONNECT_DELAY = (
    4,
    10 * SECOND,
    2_000,
)  # lags until one can be lost, while it tells of more; a rest


class VolumeQueue:
    """One volume at one node. What it reserve or owes while it holds no tasks is worked out when needed."""

    def __init__(self, node: Node, number: int, volume: Volume) -> None:
        self.node, self.number, self.volume = node, number, volume  # number: its place in the round
        self.held: deque[Task] = deque()
        self.total_reserve = volume.plan.reserve / SECOND  # read tokens a tenth, over all gateways and nodes
        self.reserve = self.balance = self.tokens = (
            0.0  # reserve: this gateway's and node's part of the reserve
        )
        self.accrued_at, self.slice_at = node.accrued_at, 0.0  # up to when balance and tokens are worked out
        self.full_at, self.debt_free_at = (
            0,
            0.0,
        )  # when its balance is full; after which slices it owes nothing
        self.demand_at, self.demand_allowance = (
            0,
            0.0,
        )  # when a first try last came; units that the volume is sized for
        self.planned_rate = 0.0  # units a tenth that the volume is sized for here, as the last first try told

    def set_reserve(self, reserve: float) -> None:
        if self.node.queues.get(self.volume) is self:
            self.node.reserve += reserve - self.reserve
            if self in self.node.full:
                self.node.full_rate += reserve - self.reserve
            elif not self.held:
                self.balance += self.reserve * (self.node.accrued_at - self.accrued_at)
                self.accrued_at, self.reserve = self.node.accrued_at, reserve
                self.node.schedule_full(self)
        self.reserve = reserve


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
        self.slow_start, self.round_scheduled, self.starved = (
            slow_start,
            False,
            False,
        )  # starved: tokens or bound held back
        self.queues, self.backlogged = (
            dict[Volume, VolumeQueue](),
            list[VolumeQueue](),
        )  # holding: with held tasks, in order
        # Of the others: those whose balance is full (`has` for a token earned), when more will be, those that
        # held a task lately, those in debt, and the slices after which they owe nothing.
        self.full, self.full_heap = dict[VolumeQueue, None](), list[tuple[int, int, VolumeQueue]]()
        self.recent, self.in_debt = dict[VolumeQueue, int](), dict[VolumeQueue, None]()
        self.debt_heap = list[tuple[float, int, VolumeQueue]]()
        self.reserve = self.full_rate = self.full_span = self.slice_sum = (
            0.0  # paid: all slices so far, of one line
        )
        self.queue_count = self.heap_count = self.round_start = (
            0  # first: where the next round of slices starts
        )
        self.bucket, self.in_flight, self.tokens_out, self.held_count, self.held_tokens = 0.0, 0, 0.0, 0, 0.0
        self.accrued_at = self.bucket_ends = runtime.now

    def usable(self) -> bool:
        return self.store.state is StoreState.READY and self.runtime.now >= self.resting_until

    def can_send(self, task: Task, cost: float) -> bool:
        if not self.usable() or self.in_flight >= MAX_IN_FLIGHT:
            return False
        if self.in_flight and self.tokens_out + cost > self.token_bound():
            self.starved = True
            return False
        return not self.slow_start or self.slow_start.admits(
            self.store, self.runtime.now, task.units, self.answered_sent
        )

    def record_demand(self, queue: VolumeQueue, units: float, rate: float) -> None:
        """A first try has come. For a young store it counts within what its volume was sized for, `rate`."""
        if self.slow_start:
            self.slow_start.budget.demand.add(self.runtime.now, units)
        if self.slow_start and (
            part := self.slow_start.cold_capacity(self.store, self.runtime.now, self.answered_sent)
        ):
            most = max(rate * self.slow_start.rule.span, self.slow_start.largest)
            sized = min(queue.demand_allowance + rate * (self.runtime.now - queue.demand_at), most)
            queue.demand_at, queue.demand_allowance, counts = (
                self.runtime.now,
                max(sized - units, 0.0),
                min(units, sized),
            )
            self.slow_start.budget.planned_rate += rate - queue.planned_rate
            queue.planned_rate = rate
            # With no queue there all send it less than its power, which is that much under what it bears. One
            # that answers at once whatever it gets shows no queue either: `earn` bounds this by its budget.
            clear = (
                bool(self.samples)
                and self.samples[-1][0] >= self.runtime.now - SAMPLE_LIFETIME
                and self.headroom() > 0
            )
            earned = DEMAND_SHARE * part * counts * (self.slow_start.rule.multiple if clear else 1)
            self.slow_start.add_credit(earned, self.runtime.now, part)

    def enqueue(self, queue: VolumeQueue, task: Task) -> None:
        if not queue.held:
            self.activate(queue)
        (queue.held.appendleft if task.hand_offs else queue.held.append)(task)
        self.held_count, self.held_tokens = self.held_count + 1, self.held_tokens + cost_of(task)
        self.run_round()

    def remove(self, queue: VolumeQueue, task: Task) -> None:
        if task in queue.held:
            queue.held.remove(task)
            self.held_count, self.held_tokens = self.held_count - 1, self.held_tokens - cost_of(task)
            if not queue.held:
                self.deactivate(queue)

    def activate(self, queue: VolumeQueue) -> None:
        insort(self.backlogged, queue, key=lambda other: other.number)
        if queue in self.full:
            del self.full[queue]
            self.full_rate, queue.balance = self.full_rate - queue.reserve, self.full_span * queue.reserve
        else:
            queue.balance += queue.reserve * (self.accrued_at - queue.accrued_at)
        if queue in self.in_debt:
            del self.in_debt[queue]
            queue.tokens += self.slice_sum - queue.slice_at
        self.recent.pop(queue, None)
        queue.full_at = 0

    def deactivate(self, queue: VolumeQueue) -> None:
        self.backlogged.remove(queue)
        queue.accrued_at, queue.slice_at, self.recent[queue] = (
            self.accrued_at,
            self.slice_sum,
            self.runtime.now,
        )
        if queue.tokens < 0:
            self.in_debt[queue], queue.debt_free_at = None, self.slice_sum - queue.tokens
            self.heap_count += 1
            heappush(self.debt_heap, (queue.debt_free_at, self.heap_count, queue))
        else:
            self.bucket, queue.tokens = self.bucket + queue.tokens, 0.0
        self.schedule_full(queue)

    def schedule_full(self, queue: VolumeQueue) -> None:
        missing = 3 * ROUND * queue.reserve - queue.balance
        if queue.reserve and missing > 0:
            queue.full_at = queue.accrued_at + int(missing / queue.reserve) + 1
            self.heap_count += 1
            heappush(self.full_heap, (queue.full_at, self.heap_count, queue))
        else:
            self.mark_full(queue)

    def mark_full(self, queue: VolumeQueue) -> None:
        """Its balance is full: it gives to the bucket as all such lines do. Those longest so are let go."""
        self.bucket += queue.balance - self.full_span * queue.reserve
        self.full[queue], queue.accrued_at, queue.full_at = None, self.accrued_at, 0
        self.full_rate += queue.reserve
        while (
            oldest := next(iter(self.full))
        ).accrued_at < self.runtime.now - IDLE_QUEUE_LIFETIME and oldest not in self.in_debt:
            del self.full[oldest], self.queues[oldest.volume]
            if self.slow_start:
                self.slow_start.budget.planned_rate -= oldest.planned_rate
            self.reserve, self.full_rate = self.reserve - oldest.reserve, self.full_rate - oldest.reserve

    def run_round(self) -> None:
        self.accrue()
        if self.held_count and self.usable():
            for queue in list(self.backlogged):
                while (
                    queue.reserve
                    and queue.held
                    and queue.balance > -min(DEFICIT_LIMIT, queue.reserve * BUCKET_LIFETIME)
                ):
                    cost = cost_of(queue.held[0])
                    if not self.can_send(queue.held[0], cost):
                        break
                    queue.balance -= cost
                    self.grant(queue, cost)
            self.serve_slices()
        if self.held_count and not self.round_scheduled:
            self.round_scheduled = True
            self.runtime.call_at(
                max(self.runtime.now + ROUND, self.slow_start.next_room_at if self.slow_start else 0),
                self.run_scheduled_round,
            )

    def run_scheduled_round(self) -> None:
        self.round_scheduled = False
        self.run_round()

    def serve_slices(self) -> None:
        start = bisect_left(self.backlogged, self.round_start, key=lambda queue: queue.number)
        for queue in self.backlogged[start:] + self.backlogged[:start]:
            while queue.held:
                cost = cost_of(queue.held[0])
                if (short := cost - queue.tokens) > self.bucket:
                    self.starved = True
                    # An idle node lends if the work is in time, to a line in debt only on a fresh sample.
                    if (
                        self.in_flight
                        or self.headroom() < 1 - 1 / TARGET_SHARE
                        or (queue.tokens < 0 and not self.shows_headroom())
                    ):
                        break
                if not self.can_send(queue.held[0], cost):
                    self.round_start = queue.number
                    return
                drawn = min(max(short, 0.0), max(self.bucket, 0.0))
                self.bucket, queue.tokens = self.bucket - drawn, queue.tokens + drawn - cost
                self.grant(queue, cost)
        self.round_start = (self.round_start + 1) % max(self.queue_count, 1)

    def accrue(self) -> None:
        span, self.accrued_at, now = self.runtime.now - self.accrued_at, self.runtime.now, self.runtime.now
        if self.starved and (gap := self.headroom()) > 0:
            # By time and not by outcomes: where few tasks come by, a rate once low would stay low.
            rate = self.rate * (1 + gap * min(span, ROUND) / RATE_DOUBLING_TIME)
            # What MAX_IN_FLIGHT hand-offs can be at the lag seen: a store far quicker than the target does more.
            lag = self.expected_latency(self.usual) if self.samples else self.soft_limit * TARGET_SHARE
            self.rate = min(rate, MAX_IN_FLIGHT * self.usual / max(lag, 1))
        self.starved = False
        if now >= self.bucket_ends:
            self.bucket, self.bucket_ends = 0.0, now + BUCKET_LIFETIME
        if not span:
            return
        while self.full_heap and self.full_heap[0][0] <= now:
            moment, _, queue = heappop(self.full_heap)
            if queue.full_at == moment:
                queue.balance += queue.reserve * (now - queue.accrued_at)
                self.mark_full(queue)
        most, surplus = 3 * ROUND, max(self.full_span + span - 3 * ROUND, 0.0) * DONATED_SHARE
        self.full_span, self.bucket = self.full_span + span - surplus, self.bucket + surplus * self.full_rate
        while self.recent and next(iter(self.recent.values())) <= now - BUCKET_LIFETIME:
            del self.recent[next(iter(self.recent))]
        active = (
            len(self.backlogged) + len(self.recent) + sum(queue not in self.recent for queue in self.in_debt)
        )
        if not active:
            return
        part, idle = (
            max(self.rate - self.reserve, self.rate * MIN_SLICE_SHARE) * span / active,
            active - len(self.backlogged),
        )
        self.slice_sum, self.bucket = self.slice_sum + part, self.bucket + part * (idle - len(self.in_debt))
        while self.debt_heap and self.debt_heap[0][0] <= self.slice_sum:
            debt, _, queue = heappop(self.debt_heap)
            if queue in self.in_debt and queue.debt_free_at == debt:
                del self.in_debt[queue]
                self.bucket, queue.tokens = self.bucket + self.slice_sum - debt, 0.0
        for queue in self.backlogged:
            queue.tokens, queue.balance = queue.tokens + part, queue.balance + queue.reserve * span
            surplus = max(queue.balance - most * queue.reserve, 0.0) * DONATED_SHARE
            queue.balance, self.bucket = queue.balance - surplus, self.bucket + surplus

    def grant(self, queue: VolumeQueue, cost: float) -> None:
        task = queue.held.popleft()
        self.held_count, self.held_tokens, self.version = (
            self.held_count - 1,
            self.held_tokens - cost,
            self.version + 1,
        )
        self.in_flight, self.tokens_out, self.sent_at[task] = (
            self.in_flight + 1,
            self.tokens_out + cost,
            self.runtime.now,
        )
        self.grants.append((self.runtime.now, cost))
        if self.slow_start:
            self.slow_start.credit -= task.units
        if not queue.held:
            self.deactivate(queue)
        self.runtime.wake(task, WakeReason.GRANTED)

    def release(self, cost: float) -> None:
        self.in_flight, self.tokens_out = self.in_flight - 1, self.tokens_out - cost
        self.run_round()

    def take_back(self, task: Task) -> None:
        del self.sent_at[task]
        self.version += 1
        self.release(cost_of(task))

    def record_outcome(self, task: Task, outcome: Outcome) -> None:
        now, cost, sent = self.runtime.now, cost_of(task), self.sent_at.pop(task)
        long = (
            outcome.kind is OutcomeKind.TIMED_OUT
            and outcome.latency >= LOST_AFTER_LATENCIES * self.expected_latency(task.units)
        )
        lost = (
            long and sent < self.answered_sent
        )  # guards against short patience and slow nodes, which look like it
        self.version, self.delays.losses_until = (
            self.version + 1,
            now + LOSSES_EXPECTED_FOR if lost else self.delays.losses_until,
        )
        if outcome.kind is OutcomeKind.TIMED_OUT and not lost:
            # Guards against work that goes on at the store after its client left: it stays on the books.
            self.runtime.call_at(now + self.soft_limit, lambda: self.release(cost))
        else:
            self.last_heard, self.in_flight, self.tokens_out = now, self.in_flight - 1, self.tokens_out - cost
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
                and outcome.latency < WARM_LATENCY_FACTOR * self.unit_time * task.units
            ):
                self.slow_start.suspected_start = 0
            self.add_sample(outcome.latency, task.units)
            self.delays.record(self.store, now, self.queueing_delay())
            if (gap := self.headroom()) < 0:
                self.decrease_rate(
                    min(RATE_DECREASE * -gap, MAX_RATE_DECREASE), min(outcome.latency, self.soft_limit) // 2
                )
        elif outcome.kind is OutcomeKind.QUEUE_FULL:
            self.failures_in_row += 1
            self.decrease_rate(RATE_DECREASE, ROUND)
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
            self.resting_until = now + RECONNECT_DELAY * min(self.failures_in_row, 5)
            self.runtime.call_at(self.resting_until, self.run_round)
