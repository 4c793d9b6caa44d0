"""Queues and rounds: how a store's token rate is divided among the volumes that hold tasks for it.

It follows ReFlex (ASPLOS 2017), with volumes as tenants and stores ("nodes") as devices. Volumes with a
reserve are served first, from a balance that may run a deficit. The others get equal slices of the remaining
rate, round-robin, and draw on a bucket of donated tokens. docs/design.md tells what was changed and why.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from heapq import heappop, heappush

from tansykeel.interface import Outcome, OutcomeKind, Runtime, Store, StoreState, Task, Volume, WakeReason

from .cold import DEMAND_PART, ROUND, SECOND, SlowStart
from .queues import VolumeQueue, cost_of
from .rates import SAMPLE_LIFETIME, TARGET_SHARE, QueueDelays, StoreMeasurements

# How often the bucket is emptied; least fraction of the rate that slices share (design).
BUCKET_LIFETIME, MIN_SLICE_SHARE = SECOND, 0.1
DEFICIT_LIMIT, DONATED_SHARE = 50.0, 0.9  # tokens; fraction of a reserve's surplus that is donated (paper)
MAX_IN_FLIGHT = 24  # hand-offs at a node (design: 32)
RATE_DOUBLING_TIME = 2_000  # of a rate that holds tasks back while the latency is far under its target
RATE_DECREASE, MAX_RATE_DECREASE = 0.2, 0.9  # fraction lost at twice the target latency; the most at once
WARM_LATENCY_FACTOR = 2  # a store is not cold that answers within so many times a unit's usual time
# Expected latencies until an answer can be lost; how long one loss makes others likely; step of reconnects.
LOST_AFTER_LATENCIES, LOSSES_EXPECTED_FOR, RECONNECT_DELAY = 4, 10 * SECOND, 2_000


class Node(StoreMeasurements):
    """One store, and the queues of its volumes at this gateway."""

    __slots__ = (
        "accrued_at",
        "backlogged",
        "bucket",
        "bucket_ends",
        "debt_heap",
        "full",
        "full_heap",
        "full_rate",
        "full_span",
        "heap_count",
        "held_count",
        "held_tokens",
        "in_debt",
        "in_flight",
        "queue_count",
        "queues",
        "recent",
        "reserve",
        "round_scheduled",
        "round_start",
        "slice_sum",
        "slow_start",
        "starved",
        "tokens_out",
    )

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
        # starved: in the last round the lack of tokens, or the bound of those in flight, held tasks back
        self.slow_start, self.round_scheduled, self.starved = slow_start, False, False
        # `backlogged`: queues with held tasks, by number. Of the empty ones: those with a full balance (it is
        # `full_span` times their reserve) and a heap of when others get there; those that held a task lately,
        # and when; those in debt, and a heap of the sums of slices at which debts are paid.
        self.queues, self.backlogged = dict[Volume, VolumeQueue](), list[VolumeQueue]()
        self.full, self.full_heap = dict[VolumeQueue, None](), list[tuple[int, int, VolumeQueue]]()
        self.recent, self.in_debt = dict[VolumeQueue, int](), dict[VolumeQueue, None]()
        self.debt_heap = list[tuple[float, int, VolumeQueue]]()
        # Reserves of all queues and of the full ones; the sum of all slices that one queue could have got.
        self.reserve = self.full_rate = self.full_span = self.slice_sum = 0.0
        # heap_count: breaks ties in heaps; round_start: number of the queue where the next round starts
        self.queue_count = self.heap_count = self.round_start = 0
        self.bucket, self.in_flight, self.tokens_out, self.held_count, self.held_tokens = 0.0, 0, 0.0, 0, 0.0
        self.accrued_at = self.bucket_ends = runtime.now

    def set_reserve(self, queue: VolumeQueue, reserve: float) -> None:
        """Change the rate at which a queue's balance grows from now on."""
        if self.queues.get(queue.volume) is queue:
            self.reserve += reserve - queue.reserve
            if queue in self.full:
                self.full_rate += reserve - queue.reserve
            elif not queue.held:
                queue.balance += queue.reserve * (self.accrued_at - queue.accrued_at)
                queue.accrued_at, queue.reserve = self.accrued_at, reserve
                self.schedule_full(queue)
        queue.reserve = reserve

    def usable(self) -> bool:
        """Whether tasks may be sent to the store now."""
        return self.store.state is StoreState.READY and self.runtime.now >= self.resting_until

    def can_send(self, task: Task, cost: float) -> bool:
        """Whether the store has room for a task, whatever tokens its queue has."""
        if not self.usable() or self.in_flight >= MAX_IN_FLIGHT:
            return False
        if self.in_flight and self.tokens_out + cost > self.token_bound():
            self.starved = True
            return False
        return not self.slow_start or self.slow_start.admits(
            self.store, self.runtime.now, task.units, self.answered_sent
        )

    def record_demand(self, queue: VolumeQueue, units: float, rate: float) -> None:
        """Count a first try. At a cold store it brings credit, within the `rate` its volume is sized for."""
        if self.slow_start:
            self.slow_start.budget.demand.add(self.runtime.now, units)
        if self.slow_start and (
            capacity := self.slow_start.cold_capacity(self.store, self.runtime.now, self.answered_sent)
        ):
            most = max(rate * self.slow_start.rule.span, self.slow_start.largest)
            allowance = min(queue.demand_allowance + rate * (self.runtime.now - queue.demand_at), most)
            counted = min(units, allowance)
            queue.demand_at = self.runtime.now
            queue.demand_allowance = max(allowance - units, 0.0)
            self.slow_start.budget.planned_rate += rate - queue.planned_rate
            queue.planned_rate = rate
            # While nothing queues at the store, all gateways send it less than its power, of which it bears a
            # multiple. One that always answers at once shows no queue either: `add_credit` applies a budget.
            no_queue = (
                bool(self.samples)
                and self.samples[-1][0] >= self.runtime.now - SAMPLE_LIFETIME
                and self.headroom() > 0
            )
            credit = DEMAND_PART * capacity * counted * (self.slow_start.rule.multiple if no_queue else 1)
            self.slow_start.add_credit(credit, self.runtime.now, capacity)

    def enqueue(self, queue: VolumeQueue, task: Task) -> None:
        """Hold a task: behind those of its volume, or in front of them if it was handed off before."""
        if not queue.held:
            self.activate(queue)
        (queue.held.appendleft if task.hand_offs else queue.held.append)(task)
        self.held_count, self.held_tokens = self.held_count + 1, self.held_tokens + cost_of(task)
        self.run_round()

    def remove(self, queue: VolumeQueue, task: Task) -> None:
        """Take a task out of its queue if it is held there."""
        if task in queue.held:
            queue.held.remove(task)
            self.held_count, self.held_tokens = self.held_count - 1, self.held_tokens - cost_of(task)
            if not queue.held:
                self.deactivate(queue)

    def activate(self, queue: VolumeQueue) -> None:
        """An empty queue gets a task: compute its balance and tokens up to now."""
        insort(self.backlogged, queue, key=lambda other: other.number)
        if queue in self.full:
            del self.full[queue]
            self.full_rate, queue.balance = (self.full_rate - queue.reserve, self.full_span * queue.reserve)
        else:
            queue.balance += queue.reserve * (self.accrued_at - queue.accrued_at)
        if queue in self.in_debt:
            del self.in_debt[queue]
            queue.tokens += self.slice_sum - queue.slice_at
        self.recent.pop(queue, None)
        queue.full_at = 0

    def deactivate(self, queue: VolumeQueue) -> None:
        """A queue is empty now: it gives its tokens to the bucket, or keeps its debt."""
        self.backlogged.remove(queue)
        queue.accrued_at, queue.slice_at = self.accrued_at, self.slice_sum
        self.recent[queue] = self.runtime.now
        if queue.tokens < 0:
            self.in_debt[queue], queue.debt_free_at = None, self.slice_sum - queue.tokens
            self.heap_count += 1
            heappush(self.debt_heap, (queue.debt_free_at, self.heap_count, queue))
        else:
            self.bucket, queue.tokens = self.bucket + queue.tokens, 0.0
        self.schedule_full(queue)

    def schedule_full(self, queue: VolumeQueue) -> None:
        """Note when an empty queue's balance will be full, of three rounds' earnings."""
        missing = 3 * ROUND * queue.reserve - queue.balance
        if queue.reserve and missing > 0:
            queue.full_at = queue.accrued_at + int(missing / queue.reserve) + 1
            self.heap_count += 1
            heappush(self.full_heap, (queue.full_at, self.heap_count, queue))
        else:
            self.mark_full(queue)

    def mark_full(self, queue: VolumeQueue) -> None:
        """A queue's balance is full: it donates as all such queues do."""
        self.bucket += queue.balance - self.full_span * queue.reserve
        self.full[queue], queue.accrued_at, queue.full_at = None, self.accrued_at, 0
        self.full_rate += queue.reserve

    def let_go(self, queue: VolumeQueue) -> bool:
        """Remove a queue that neither earns nor owes anything; returns whether it is removed."""
        is_recent = self.recent.get(queue, -BUCKET_LIFETIME) > self.runtime.now - BUCKET_LIFETIME
        if queue not in self.full or queue in self.in_debt or is_recent:
            return False
        del self.full[queue], self.queues[queue.volume]
        self.recent.pop(queue, None)
        if self.slow_start:
            self.slow_start.budget.planned_rate -= queue.planned_rate
        self.reserve -= queue.reserve
        self.full_rate -= queue.reserve
        return True

    def run_round(self) -> None:
        """Serve reserves, then slices; while tasks are held, schedule the next round."""
        self.accrue()
        if self.held_count and self.usable():
            for queue in list(self.backlogged):
                # A second's earnings bound it too: 50 tokens on each of thousands of queues are no bound.
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
        """The round for which a call was scheduled."""
        self.round_scheduled = False
        self.run_round()

    def serve_slices(self) -> None:
        """One round-robin pass over the backlogged queues, from where the last one stopped."""
        start = bisect_left(self.backlogged, self.round_start, key=lambda queue: queue.number)
        for queue in self.backlogged[start:] + self.backlogged[:start]:
            while queue.held:
                cost = cost_of(queue.held[0])
                if (missing := cost - queue.tokens) > self.bucket:
                    self.starved = True
                    # An idle node lends tokens if the task is in time; to one in debt only on a fresh sample.
                    if (
                        self.in_flight
                        or self.headroom() < 1 - 1 / TARGET_SHARE
                        or (queue.tokens < 0 and not self.shows_headroom())
                    ):
                        break
                if not self.can_send(queue.held[0], cost):
                    self.round_start = queue.number
                    return
                drawn = min(max(missing, 0.0), max(self.bucket, 0.0))
                self.bucket, queue.tokens = self.bucket - drawn, queue.tokens + drawn - cost
                self.grant(queue, cost)
        self.round_start = (self.round_start + 1) % max(self.queue_count, 1)

    def accrue(self) -> None:
        """Give out what the time since the last call is worth, and adjust the rate."""
        span, self.accrued_at, now = self.runtime.now - self.accrued_at, self.runtime.now, self.runtime.now
        if self.starved and (headroom := self.headroom()) > 0:
            # The rate rises by time and not by outcomes: with few tasks, a rate once low would stay low.
            rate = self.rate * (1 + headroom * min(span, ROUND) / RATE_DOUBLING_TIME)
            # At most what MAX_IN_FLIGHT tasks make at the latency seen: capped by the target latency, a store
            # far faster than that would be held back.
            latency = self.expected_latency(self.usual) if self.samples else self.soft_limit * TARGET_SHARE
            self.rate = min(rate, MAX_IN_FLIGHT * self.usual / max(latency, 1))
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
        # Of a balance beyond three rounds' earnings, most is donated: here by all full queues at once.
        most, surplus = 3 * ROUND, max(self.full_span + span - 3 * ROUND, 0.0) * DONATED_SHARE
        self.full_span, self.bucket = self.full_span + span - surplus, self.bucket + surplus * self.full_rate
        while self.recent and next(iter(self.recent.values())) <= now - BUCKET_LIFETIME:
            del self.recent[next(iter(self.recent))]
        active = (
            len(self.backlogged) + len(self.recent) + sum(queue not in self.recent for queue in self.in_debt)
        )
        if not active:
            return
        # An empty queue gives its slice to the bucket, unless it pays a debt with it.
        part, idle = (
            max(self.rate - self.reserve, self.rate * MIN_SLICE_SHARE) * span / active,
            active - len(self.backlogged),
        )
        self.slice_sum, self.bucket = (self.slice_sum + part, self.bucket + part * (idle - len(self.in_debt)))
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
        """Let the first task of a queue be handed off."""
        task = queue.held.popleft()
        self.held_count -= 1
        self.held_tokens -= cost
        self.in_flight += 1
        self.tokens_out += cost
        self.sent_at[task] = self.runtime.now
        self.version += 1
        self.grants.append((self.runtime.now, cost))
        if self.slow_start:
            self.slow_start.credit -= task.units
        if not queue.held:
            self.deactivate(queue)
        self.runtime.wake(task, WakeReason.GRANTED)

    def release(self, cost: float) -> None:
        """A hand-off no longer counts as in flight."""
        self.in_flight, self.tokens_out = self.in_flight - 1, self.tokens_out - cost
        self.run_round()

    def take_back(self, task: Task) -> None:
        """A granted task is not handed off after all."""
        del self.sent_at[task]
        self.version += 1
        self.release(cost_of(task))

    def record_outcome(self, task: Task, outcome: Outcome) -> None:
        """Learn from the end of a hand-off: latency and rate, lost answers, failures, a suspected restart."""
        now, cost, sent = self.runtime.now, cost_of(task), self.sent_at.pop(task)
        overdue = (
            outcome.kind is OutcomeKind.TIMED_OUT
            and outcome.latency >= LOST_AFTER_LATENCIES * self.expected_latency(task.units)
        )
        # Only if a later hand-off was answered: short timeouts and slow nodes look like a lost answer.
        lost = overdue and sent < self.answered_sent
        self.version, self.delays.losses_until = (
            self.version + 1,
            now + LOSSES_EXPECTED_FOR if lost else self.delays.losses_until,
        )
        if outcome.kind is OutcomeKind.TIMED_OUT and not lost:
            # The store may go on with the work after its client has left: it counts as in flight for a while.
            self.runtime.call_at(now + self.soft_limit, lambda: self.release(cost))
        else:
            self.last_heard = now
            self.in_flight -= 1
            self.tokens_out -= cost
        if outcome.kind not in (OutcomeKind.NOT_EXECUTED, OutcomeKind.CANCELLED):
            self.successes.append(outcome.kind is OutcomeKind.DELIVERED)
        if (
            outcome.kind is OutcomeKind.DELIVERED
            or outcome.kind is OutcomeKind.TIMED_OUT
            and now >= self.delays.losses_until
        ):
            self.failures_in_row = 0
            if outcome.kind is OutcomeKind.DELIVERED:
                self.answered_sent = max(self.answered_sent, sent)
            # A cold store takes several times as long. One as fast as before was cut off and did not restart.
            if (
                self.slow_start
                and sent > self.slow_start.suspected_start
                and outcome.latency < WARM_LATENCY_FACTOR * self.unit_time * task.units
            ):
                self.slow_start.suspected_start = 0
            self.add_sample(outcome.latency, task.units)
            self.delays.record(self.store, now, self.queueing_delay())
            if (headroom := self.headroom()) < 0:
                self.decrease_rate(
                    min(RATE_DECREASE * -headroom, MAX_RATE_DECREASE),
                    min(outcome.latency, self.soft_limit) // 2,
                )
        elif outcome.kind is OutcomeKind.QUEUE_FULL:
            self.failures_in_row += 1
            self.decrease_rate(RATE_DECREASE, ROUND)
            self.resting_until = now + ROUND * 5 * min(self.failures_in_row, 10)
        elif outcome.kind is OutcomeKind.NO_CONNECTION:
            # The store may have restarted, which the list reports late: from the second failure in a row it
            # counts as cold, and it is tried less and less often.
            self.failures_in_row += 1
            if self.slow_start and self.failures_in_row > 1:
                self.slow_start.suspected_start = self.slow_start.credited_at = now
                self.slow_start.credit = min(self.slow_start.credit, 0.0)
            self.resting_until = now + RECONNECT_DELAY * min(self.failures_in_row, 5)
            self.runtime.call_at(self.resting_until, self.run_round)
