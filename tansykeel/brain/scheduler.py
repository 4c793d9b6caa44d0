"""The path of a task, where it may go, and how the list of stores and other gateways are followed."""

import random
from collections import deque
from collections.abc import Generator
from functools import partial

from tansykeel.interface import (
    BreakOff,
    Category,
    DeduplicationScope,
    EvenShares,
    HandOff,
    Nack,
    Outcome,
    OutcomeKind,
    PeerMessage,
    RepeatSafety,
    Runtime,
    SchedulerConfig,
    Store,
    Task,
    TaskAction,
    Volume,
    Wait,
    WakeReason,
)

from .cold import SECOND, START_REPORTED_WITHIN, SlowStart
from .node_table import NodeTable
from .nodes import LOST_AFTER_LATENCIES, Node
from .queue_table import QueueTable
from .queues import VolumeQueue
from .ranking import Ranking
from .rates import SAMPLE_COUNT, TARGET_SHARE, QueueDelays
from .repeats import repeat_until
from .volumes import KeyQueue, RetryBudget, VolumeState

# A held task must have so many expected latencies left to its soft deadline, at most this part of its time.
LATENCY_MARGIN, MAX_MARGIN_SHARE = 1.5, 0.75
NEW_FLEET_WINDOW = 2 * SECOND  # gateways that all started within this time are a new fleet
# When peers that were asked for units have replied or will not; the pause until a pushed list is tried again.
PEER_REPLY_TIME, PUSH_RETRY_DELAY = 800, 500
PEERS_PER_ASK, BROADCAST_INTERVAL = 6, 6 * SECOND  # asked at once; least time between asks of all gateways


class Scheduler:
    """Decides for one gateway: `serve` makes the generator of a task; the other methods take in events."""

    def __init__(self, config: SchedulerConfig, seed: int, runtime: Runtime) -> None:
        self.config, self.runtime, self.rng, self.started_at = (
            config,
            runtime,
            random.Random(seed),
            runtime.now,
        )
        # Whether all gateways have just started; None until another one has said so or not.
        self.fleet_is_new: bool | None = None
        if config.allowed.peers:
            runtime.call_at(runtime.now, lambda: runtime.send_to_peer(None, PeerMessage(None, 0.0, False)))
        self.soft_limit = min(category.soft_limit for category in config.categories)  # the tightest
        self.largest_task, self.usual = max(config.sizes.largest, 1.0), max(config.sizes.usual, 1.0)
        self.delays, self.keys, self.list_failures = QueueDelays(), dict[int, KeyQueue](), 0
        # Until any rate was measured, a node's rate allows one largest task.
        first_rate = self.largest_task / (self.soft_limit * TARGET_SHARE)
        self.queues = QueueTable()
        self.node_table = NodeTable(runtime, self.delays, first_rate, self.make_node, self.queues.forget)
        self.nodes, self.by_shard = self.node_table.by_store, self.node_table.index.by_shard
        self.ranking = Ranking(self.node_table.index, self.rng, self.usual, self.soft_limit)
        self.retry_budget = RetryBudget(config.retry_budget, runtime.now) if config.retry_budget else None
        self.time_left: dict[Category, deque[int]] = {}  # the last tasks' times to their deadlines
        if config.listing.must_poll:
            runtime.request_store_list()

    def list_changed(self, stores: list[Store], confirmed: bool) -> None:
        """Take in the stores that are new or have changed.

        `confirmed`: by the list itself, not only by a store or from memory.
        """
        self.list_failures = 0 if confirmed else self.list_failures
        for node in self.node_table.update(stores):
            if self.node_table.index.serves(node):
                node.run_round()
                continue
            for task in [task for queue in node.backlogged for task in queue.held]:
                self.runtime.wake(task, WakeReason.RECHECK)

    def make_node(self, store: Store, rate: float) -> Node:
        """The node of a store that is new on the list."""
        rule, gateways = self.config.slow_start, self.config.gateways
        slow_start = SlowStart(rule, gateways, self.config.gateway_index, self.largest_task) if rule else None
        return Node(
            store,
            self.runtime,
            rate,
            self.largest_task,
            self.usual,
            self.soft_limit,
            slow_start,
            self.delays,
            gateways,
        )

    def list_failed(self) -> None:
        """The list could not be had: ask again later."""
        # What the sender of a pushed list holds counts as known here, and calls there cost nothing: ask soon.
        wait = (
            min(SECOND * 2**self.list_failures, START_REPORTED_WITHIN // 3)
            if self.config.listing.must_poll
            else PUSH_RETRY_DELAY
        )
        self.list_failures += 1
        self.runtime.call_at(
            self.runtime.now + int(self.rng.uniform(0.5, 1.5) * wait), self.runtime.request_store_list
        )

    def node_for(self, task: Task) -> Node | None:
        """The node of the task's shard, or one for a new object by rank."""
        if task.shard is not None:
            return self.by_shard.get(task.shard)
        return self.ranking.node_for(task, self.runtime.now)

    def serve(self, task: Task) -> Generator[TaskAction, WakeReason | Outcome | None, None]:
        """The path of a task: find its node, wait until it is granted, hand it off, look at the outcome."""
        now, state, due = self.runtime.now, self.volume_state(task.volume), self.soft_deadline(task)
        if late := due <= now:  # its answer is worth little now: it is sent only where nothing queues
            due = min(now + task.category.soft_limit, task.deadline)
        if self.retry_budget:
            self.retry_budget.tasks.append(now)
        node, queue, first_try = None, None, not task.resent and task.shard is not None
        try:
            has_key = not (task.category.ordered and task.key) or (yield from self.wait_for_key(task, due))
            while has_key and self.may_hand_off(task):
                node = self.node_for(task)
                if node is None or not self.may_go_to(task, node.store) or late and not node.shows_headroom():
                    break
                queue = self.queue_of(node, task.volume)
                if first_try:
                    first_try, state.shards[node.store.shard] = False, None
                    rate = task.volume.plan.rate / SECOND * state.use_share(self.usual) / len(state.shards)
                    node.record_demand(queue, task.units, rate)
                latest = due - int(
                    min(node.expected_latency(task.units) * LATENCY_MARGIN, (due - now) * MAX_MARGIN_SHARE)
                )
                wait = self.limit_wait(task, state)
                if self.runtime.now + wait >= latest:
                    break
                if wait:
                    state.waiting[task] = None
                    yield Wait(self.runtime.now + wait)
                    state.waiting.pop(task, None)
                    continue
                node.enqueue(queue, task)
                if (reason := (yield Wait(latest))) is not WakeReason.GRANTED:
                    node.remove(queue, task)
                    if reason is WakeReason.RECHECK:
                        continue
                    break
                legal = self.may_hand_off(task) and self.may_go_to(task, node.store)
                if not legal or self.limit_wait(task, state):
                    # The limit is charged only now: charging held tasks let them leave in one burst.
                    node.take_back(task)
                    continue
                self.spend(task, queue, state)
                sent, outcome = self.runtime.now, (yield HandOff(node.store, self.timeout(task, node, due)))
                assert isinstance(outcome, Outcome)
                node.record_outcome(task, outcome)
                if outcome.kind is OutcomeKind.DELIVERED and (
                    outcome.used_elsewhere,
                    outcome.plan_use_percent,
                ) != (None, None):
                    state.record_use(task.units, outcome, task.volume.plan, self.runtime.now)
                if not outcome.never_ran:
                    task.may_have_run.append((node.store, sent))
                    if (
                        outcome.kind in (OutcomeKind.TIMED_OUT, OutcomeKind.RESET, OutcomeKind.CANCELLED)
                        and task.key in self.keys
                    ):
                        self.keys[task.key].rests_until = self.runtime.now + self.config.key_rest
                node.run_round()
                if outcome.task_answered or outcome.kind is OutcomeKind.DELIVERED:
                    return
            yield self.final_answer(task)
        finally:
            if node and queue:
                node.remove(queue, task)
            state.waiting.pop(task, None)
            self.leave_key(task)

    def timeout(self, task: Task, node: Node, due: int) -> int:
        """When to send an idempotent task again, if answers get lost and a second can be in time; else 0."""
        now, allowed, idempotent = (
            self.runtime.now,
            self.config.allowed,
            task.category.repeat is RepeatSafety.IDEMPOTENT,
        )
        if (
            task.hand_offs != 1
            or not (idempotent and (allowed.cancel or allowed.copies))
            or now >= self.delays.losses_until
        ):
            return 0
        timeout = max(
            LOST_AFTER_LATENCIES * (latency := int(node.expected_latency(task.units))), self.soft_limit // 2
        )
        return timeout if now + timeout + latency * LATENCY_MARGIN < due else 0

    def soft_deadline(self, task: Task) -> int:
        """When the soft limit ends, counted from the client's first try.

        A task with less time left than others of its category is taken for a later try. With less left than
        the soft limit nothing can be told.
        """
        times = self.time_left.setdefault(task.category, deque(maxlen=SAMPLE_COUNT))
        times.append(task.deadline - self.runtime.now)
        age = max(times) - times[-1] if times[-1] >= task.category.soft_limit else 0
        return min(self.runtime.now + task.category.soft_limit - age, task.deadline)

    def queue_of(self, node: Node, volume: Volume) -> VolumeQueue:
        """The volume's queue at a node; made when it is first needed, with an even part of the reserve."""
        queue = node.queues.get(volume)
        if queue is None:
            queue = node.queues[volume] = VolumeQueue(node, node.queue_count, volume)
            node.queue_count += 1
            gateways = self.volume_state(volume).gateways
            queue.set_reserve(queue.total_reserve / gateways / max(len(self.by_shard), 1))
        self.queues.use(node, queue, self.runtime.now)
        return queue

    def volume_state(self, volume: Volume) -> VolumeState:
        """The volume's state over all nodes; made when it is first needed."""
        if volume.state is None:
            plan, gateways = volume.plan, volume.gateways if volume.gateways >= 1 else self.config.gateways
            # Agreed shares divide among all gateways: a volume that only some serve is divided evenly.
            shares = self.runtime.shares if gateways == self.config.gateways else EvenShares()
            limit, depth = plan.limit / SECOND / gateways, plan.limit_depth / gateways
            volume.state = VolumeState(gateways, limit, depth, self.started_at, shares)
        return volume.state

    def spend(self, task: Task, queue: VolumeQueue, state: VolumeState) -> None:
        """Charge a hand-off to the limit or the retry budget; divide the reserve by where it is used."""
        if not task.hand_offs:
            state.units -= task.units
        elif self.retry_budget:
            self.retry_budget.retries.append(self.runtime.now)
        task.hand_offs += 1
        state.record_send(queue, task.units)
        total = state.recent_units / state.use_share(self.usual)
        for other, units in state.units_by_queue.items() if queue.total_reserve else ():
            other.set_reserve(other.total_reserve * units / total)

    def limit_wait(self, task: Task, state: VolumeState) -> int:
        """Time until the limit has the units of a first hand-off, or until others may have granted them.

        The bucket starts empty, since an earlier process may have spent it, and full in a new fleet.
        """
        now = self.runtime.now
        if not state.started and self.fleet_is_new is not None and now >= self.started_at + PEER_REPLY_TIME:
            state.started = True
            state.fill(now, state.depth if self.fleet_is_new else 0.0)
        if task.hand_offs or not state.limit:
            return 0
        state.fill(now)
        wait = 0 if state.units >= task.units else int((task.units - state.units) / state.limit) + 1
        return min(wait, self.ask_peers(task.volume, state) or wait) if wait else 0

    def ask_peers(self, volume: Volume, state: VolumeState) -> int:
        """Ask gateways of the volume for units of its limit; returns how long their replies may take.

        Some are asked, or all gateways while some of the volume's are unknown. The time between asks doubles
        while little is granted.
        """
        now = self.runtime.now
        if not self.config.allowed.peers or state.gateways <= 1:
            return 0
        if now >= state.next_ask_at:
            state.ask_interval = (
                PEER_REPLY_TIME if 2 * state.received >= state.wanted else min(2 * state.ask_interval, SECOND)
            )
            state.asked_at, state.next_ask_at = now, now + state.ask_interval
            state.received, state.wanted = 0.0, state.depth - state.units
            peers: list[int | None] = [*self.rng.sample([*state.peers], min(PEERS_PER_ASK, len(state.peers)))]
            if len(state.peers) < state.gateways - 1 and now >= state.next_broadcast_at:
                peers, state.next_broadcast_at = [None], now + BROADCAST_INTERVAL
            for peer in peers:
                each = state.wanted / (state.gateways - 1 if peer is None else len(peers))
                self.runtime.send_to_peer(peer, PeerMessage(volume, each, False))
        return max(state.asked_at + PEER_REPLY_TIME - now, 0)

    def on_peer_message(self, peer: int, message: PeerMessage) -> None:
        """Another gateway grants units, asks for some, or greets.

        It gets at most half of the units here, and none of a volume of which no task has come here. Units are
        taken from the bucket before they are sent: a lost message loses them, none are granted twice.
        """
        if message.volume is None:
            if not (long_up := self.runtime.now >= self.started_at + NEW_FLEET_WINDOW):
                self.fleet_is_new = self.fleet_is_new is not False and not message.units
            if not message.is_grant:
                self.runtime.send_to_peer(peer, PeerMessage(None, float(long_up), True))
        elif (state := message.volume.state) is not None:
            state.fill(self.runtime.now, message.units if message.is_grant else 0.0)
            grant = min(message.units, max(state.units, 0.0) / 2)
            if message.is_grant:
                state.received += message.units
                for task in state.waiting:
                    self.runtime.wake(task, WakeReason.RECHECK)
            elif grant >= 1 or peer not in state.peers:
                state.units -= grant
                self.runtime.send_to_peer(peer, PeerMessage(message.volume, grant, True))
            state.peers[peer] = None

    def may_hand_off(self, task: Task) -> bool:
        """Whether a hand-off, or a further one, is allowed now, whatever store it goes to."""
        may = task.hand_offs < self.config.allowed.hand_offs and self.runtime.now < task.deadline
        may = may and (
            not task.hand_offs or not self.retry_budget or self.retry_budget.allows(self.runtime.now)
        )
        return may and not (task.may_have_run and task.category.repeat is RepeatSafety.AT_MOST_ONCE)

    def may_go_to(self, task: Task, store: Store) -> bool:
        """Whether a task may go to a store: if it may have run, only one that would drop the repeat."""
        if not task.may_have_run or task.category.repeat is RepeatSafety.IDEMPOTENT:
            return True
        (first, _), scope = task.may_have_run[0], task.category.scope
        near = store.zone == first.zone if scope is DeduplicationScope.ZONE else store.shard == first.shard
        return (scope is DeduplicationScope.ALL or near) and self.runtime.now < repeat_until(task)

    def final_answer(self, task: Task) -> TaskAction:
        """The answer of a task that is given up: a nack where the client may safely send it again."""
        allowed, category = self.config.allowed, task.category
        repeat_is_safe = category.repeat is RepeatSafety.IDEMPOTENT or (
            category.repeat is RepeatSafety.DEDUPLICATED and category.scope is DeduplicationScope.ALL
        )
        retry_after = min(self.soft_limit, allowed.longest_retry_after) if allowed.retry_after else 0
        return BreakOff() if task.may_have_run and not repeat_is_safe else Nack(retry_after)

    def wait_for_key(self, task: Task, due: int) -> Generator[TaskAction, WakeReason | Outcome | None, bool]:
        """Wait until the task is first on its key and the key has rested; False if that comes too late."""
        # At first every key rests: an earlier process may have sent a task on it.
        queue = self.keys.setdefault(task.key, KeyQueue(self.started_at + self.config.key_rest))
        queue.tasks.append(task)
        while queue.tasks[0] is not task or self.runtime.now < queue.rests_until:
            if self.runtime.now >= due:
                return False
            yield Wait(min(queue.rests_until, due) if queue.tasks[0] is task else due)
        return True

    def leave_key(self, task: Task) -> None:
        """A task has ended: the next one on its key may go."""
        if task.category.ordered and (queue := self.keys.get(task.key)) and task in queue.tasks:
            queue.tasks.remove(task)
            if queue.tasks:
                self.runtime.wake(queue.tasks[0], WakeReason.RECHECK)
            else:
                self.forget_key(task.key)

    def forget_key(self, key: int) -> None:
        """Let go of a key without tasks: now, or once it has rested."""
        queue = self.keys.get(key)
        if queue is None or queue.tasks:
            return
        if self.runtime.now >= queue.rests_until:
            del self.keys[key]
        else:
            self.runtime.call_at(queue.rests_until, partial(self.forget_key, key))
