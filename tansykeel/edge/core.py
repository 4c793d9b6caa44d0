"""A gateway's state without I/O: the tasks it holds, their memory, their time-outs and their final answers.

A program (or the emulator) reports every event to the core, which passes it on to the decision module and acts through
a `GatewayIO`. The core knows no protocol: a `RequestParser` reads what clients send. It decides nothing about routing,
waiting or refusing; a task that can't be held (no memory, the gateway is stopping, unknown names) is answered as
`Scheduler.final` says. Times are whole ticks, of 0.1 ms each, of one monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from tansykeel.brain import Scheduler
from tansykeel.brain.repeats import repeat_until
from tansykeel.edge.store_directory import StoreDirectory
from tansykeel.edge.tasks import (
    BROKEN_OFF,
    DELIVERED,
    NACKED,
    Attempt,
    Bounds,
    Counts,
    DecisionModule,
    FinalAnswer,
    GatewayIO,
    HeldTask,
    ListUpdate,
    MemoryBudget,
    RequestParser,
    StillHeld,
    StoreRow,
)
from tansykeel.interface import (
    BreakOff,
    Nack,
    Outcome,
    OutcomeKind,
    PeerMessage,
    SchedulerConfig,
    ShareProvider,
    Store,
    Task,
    TaskAction,
)
from tansykeel.runner import Runner
from tansykeel.transport.pieces import add_piece


class Core:
    """Holds a gateway's tasks and implements the `EffectHandler` through which the runner carries out actions.

    `known_stores` are the stores as they were last reported, used until a list confirms them. `make_module` creates
    the decision module. `parts` tells this gateway's part of the totals that all gateways divide; None: equal parts.
    """

    def __init__(
        self,
        facts: SchedulerConfig,
        seed: int,
        io: GatewayIO,
        now: int,
        bounds: Bounds,
        request_parser: RequestParser,
        known_stores: Iterable[StoreRow] = (),
        make_module: Callable[[SchedulerConfig, int, Runner], DecisionModule] = Scheduler,
        parts: ShareProvider | None = None,
    ) -> None:
        self.facts, self.io, self.bounds, self.request_parser = facts, io, bounds, request_parser
        self.runner = Runner(self, now, parts)
        self.directory = StoreDirectory()
        self.stores, self.addresses = self.directory.stores, self.directory.addresses
        self.held: dict[tuple[Any, Any], HeldTask] = {}  # by client and task id
        self.unstarted: dict[int, deque[HeldTask]] = {}  # tasks of ordered categories, by key, in the order received
        self.memory = MemoryBudget(bounds.body_memory, bounds.client_memory)
        self.counts = Counts()
        self.stopping = False
        self.list_version = -1
        self._unreported: dict[Store, None] = {}  # changed stores that the decision module does not know yet
        self.decision_module = make_module(facts, seed, self.runner)
        self.decision_module.list_changed(self.directory.apply_rows(known_stores, self.runner.now), confirmed=False)
        self.runner.run_pending()

    # Events from clients

    def receive_task(self, now: int, client: Any, id: Any, request: Any) -> None:
        """Take a task. Raises StillHeld where the client still waits for another task with this id."""
        self.runner.advance_clock(now)
        now = self.runner.now
        if (client, id) in self.held:
            raise StillHeld(f"task {id}: one with this id is still held")
        parsed = self.request_parser.parse(now, request)
        held = HeldTask(client, id, request, parsed.task, 0, parsed.body)
        parsed.task.handle = held
        self.counts.taken += 1
        self.held[client, id] = held
        if parsed.fault or self.stopping or len(self.held) > self.bounds.open_tasks:
            return self._give_up(held, parsed.fault or ("stopping" if self.stopping else "too many open tasks"))
        if not self.memory.reserve(client, parsed.memory):
            return self._give_up(held, "no memory for its body")
        held.memory = parsed.memory
        if held.body_missing:  # the client gets its answer even if the body never comes
            self.runner.call_at(held.task.deadline, partial(self._body_timed_out, held))
            self.runner.run_pending()
        if held.task.category.ordered and held.task.key:
            self.unstarted.setdefault(held.task.key, deque()).append(held)
        if not held.body_missing:
            self._body_complete(held)

    def receive_body(self, now: int, client: Any, id: Any, data: bytes) -> None:
        """Take bytes of a task's body. Bytes for a task that already has its answer are dropped."""
        held = self.held.get((client, id))
        if held is None or held.answered or held.started:
            return
        add_piece(held.body, data)
        held.body_missing -= len(data)
        if not held.body_missing:
            self.runner.advance_clock(now)
            self._body_complete(held)

    def cancel_task(self, now: int, client: Any, id: Any) -> None:
        """Drop a task that its client cancelled or whose body it cut short. No answer is sent."""
        held = self.held.get((client, id))
        if held is None or held.answered:
            return
        self.runner.advance_clock(now)
        held.answered = True
        self.counts.left += 1
        if held.started and not self.runner.client_left(held.task):
            for attempt in held.open_attempts:
                self._cancel_attempt(attempt)
        self._forget_if_done(held)
        self.runner.run_pending()

    def client_disconnected(self, now: int, client: Any) -> None:
        """Drop all tasks of a client whose connection ended."""
        for owner, id in [key for key in self.held if key[0] is client]:
            self.cancel_task(now, owner, id)

    # Events from stores, the list service and other gateways

    def record_outcome(
        self,
        now: int,
        attempt: Attempt,
        how: OutcomeKind,
        *,
        shard: int = -1,
        body: list[bytes] | None = None,
        report: tuple[float, ...] = (),
        used: int = -1,
        elsewhere: int = 0,
    ) -> None:
        """Record the outcome of a hand-off, answer the task if it was delivered, and tell the decision module.

        Only the first outcome of an attempt counts.
        """
        if attempt.finished:
            return
        self.runner.advance_clock(now)
        attempt.finished, attempt.connection = True, None
        held, lag = attempt.held, self.runner.now - attempt.sent_at
        held.open_attempts.remove(attempt)
        held.last_outcome = how.value
        self.counts.outcomes[how.value] = self.counts.outcomes.get(how.value, 0) + 1
        if how is OutcomeKind.DELIVERED and not held.answered:
            self._send_answer(held, FinalAnswer(DELIVERED, 0, shard if shard >= 0 else attempt.store.shard), body or [])
        outcome = Outcome(
            how,
            lag,
            held.answered,
            used if used >= 0 else None,
            elsewhere if self.facts.reports_use_elsewhere else None,
            report,
        )
        self.runner.outcome(held.task, outcome)
        self._forget_if_done(held)

    def store_connected(self, now: int, store: Store, boot: int, age: int) -> bool:
        """Record the boot id and the age in microseconds from a store's hello; the list may report a restart later.

        Returns whether the store has restarted: hand-offs that were granted and are not sent yet were then decided
        without this knowledge.
        """
        self.runner.advance_clock(now)
        if not self.directory.record_boot(store, boot, age, self.runner.now):
            return False
        self.decision_module.list_changed([store], confirmed=False)
        self.runner.run_pending()
        return store.started > 0

    def apply_list_update(self, now: int, update: ListUpdate, versions_restarted: bool = False) -> list[Store]:
        """Apply the list of stores, or a change to it; return the stores that it has changed.

        An update older than the known list is ignored, unless `versions_restarted` says that its versions are counted
        from a new start.
        """
        self.runner.advance_clock(now)
        if update.failed:
            self.list_unavailable(now)
            return []
        if update.version < self.list_version and not versions_restarted:
            return []
        self.list_version = update.version
        changed = self.directory.apply_rows(update.rows, self.runner.now, versions_restarted)
        if update.full:
            unlisted = self.directory.unlisted({row.name for row in update.rows})
            self.directory.mark_gone(unlisted)
            changed += unlisted
        return self._report_changed(changed)

    def remove_stores(self, now: int, stores: list[Store]) -> None:
        """Mark stores as gone that a full list does not name, as the list service says."""
        self.runner.advance_clock(now)
        self.directory.mark_gone(stores)
        self._report_changed(stores)

    def list_unavailable(self, now: int) -> None:
        """Record that the list service failed or can't be reached; the decision module says when to ask again."""
        self.runner.advance_clock(now)
        self.decision_module.list_failed()
        self.runner.run_pending()

    def receive_peer_message(self, now: int, sender: int, message: PeerMessage) -> None:
        """Pass a message of another gateway on to the decision module."""
        self.runner.advance_clock(now)
        self.decision_module.on_peer_message(sender, message)
        self.runner.run_pending()

    def run_timers(self, now: int) -> None:
        """Run all timers that are due; to be called at the time given to `GatewayIO.set_wakeup`."""
        self.runner.advance_clock(now)
        self.runner.timer_fired()

    # Shutdown

    def stop(self) -> None:
        """Refuse new tasks from now on. Tasks that are held go on."""
        self.stopping = True

    def answer_all(self, now: int) -> None:
        """Answer all tasks that are still held, as the module says for a task given up on."""
        self.runner.advance_clock(now)
        for held in [held for held in self.held.values() if not held.answered]:
            self._give_up(held, "the gateway ends")

    def give_up(self, now: int, held: HeldTask, reason: str) -> None:
        """Answer one task now, as the module says for a task given up on."""
        self.runner.advance_clock(now)
        if not held.answered:
            self._give_up(held, reason)
        self.runner.run_pending()

    # EffectHandler: actions of the decision module, called by the runner

    def hand_off(self, task: Task, store: Store, timeout: int) -> None:
        """Send a task to a store. The attempt times out after `timeout` ticks, at the task's deadline at the latest;
        0: only at the deadline. A repeat that is not sent while stores remember the first attempt is withdrawn."""
        held: HeldTask = task.handle
        now = self.runner.now
        deadline = min(now + timeout, task.deadline) if timeout > 0 else task.deadline
        send_by = min(deadline, repeat_until(task))
        attempt = Attempt(held, store, task.hand_offs - 1, now, deadline, send_by)
        held.open_attempts.append(attempt)
        self.counts.hand_offs += 1
        self.runner.call_at(deadline, partial(self._attempt_timed_out, attempt))
        if send_by < deadline:
            self.runner.call_at(int(send_by), partial(self._withdraw_unsent, attempt))
        self.io.hand_off(attempt)

    def nack(self, task: Task, retry_after: int) -> None:
        """Answer a task with a nack. `retry_after`: ticks after which the client may try again, 0: not said."""
        self._answer_unserved(task.handle, Nack(retry_after), "")

    def break_off(self, task: Task) -> None:
        """Answer a task as broken off."""
        self._answer_unserved(task.handle, BreakOff(), "")

    def set_timer(self, at: int) -> None:
        """Have `run_timers` called at that time."""
        self.io.set_wakeup(at)

    def request_store_list(self) -> None:
        """Ask the list service for the list of stores and its changes."""
        self.io.request_store_list()

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        """Send a message to another gateway, or to all others where `peer` is None."""
        self.io.send_to_peer(peer, message)

    def log(self, text: str) -> None:
        """Write a log line of the decision module."""
        self.io.log_event("module", text=text)

    # Internal

    def _report_changed(self, changed: list[Store]) -> list[Store]:
        """Report stores that a list has changed to the decision module, with those of a report that failed."""
        self._unreported.update(dict.fromkeys(changed))
        reported = list(self._unreported)
        self.decision_module.list_changed(reported, confirmed=True)
        self._unreported.clear()
        self.directory.forget_oldest_gone()
        self.runner.run_pending()
        return reported

    def _body_complete(self, held: HeldTask) -> None:
        """Start a task whose body is complete. One of an ordered category waits for earlier tasks of its key.

        The module orders tasks as they are started: without the wait, a small body would overtake a large one.
        """
        queue = self.unstarted.get(held.task.key) if held.task.category.ordered else None
        if queue is None:
            return self._start(held)
        while queue and (queue[0].answered or not queue[0].body_missing):
            first = queue.popleft()
            if not first.answered:
                self._start(first)
        if not queue:
            self.unstarted.pop(held.task.key, None)

    def _start(self, held: HeldTask) -> None:
        held.started = True
        self.runner.start(held.task, self.decision_module.serve(held.task))

    def _body_timed_out(self, held: HeldTask) -> None:
        if not held.started and not held.answered:
            self._give_up(held, "its body did not come in time")

    def _attempt_timed_out(self, attempt: Attempt) -> None:
        if attempt.finished:
            return
        self._cancel_attempt(attempt)
        self.record_outcome(self.runner.now, attempt, OutcomeKind.TIMED_OUT)

    def _withdraw_unsent(self, attempt: Attempt) -> None:
        """Withdraw an attempt that was not sent in time, so that the decision module decides about its task again."""
        if not attempt.finished and self.io.withdraw(attempt):
            self.record_outcome(self.runner.now, attempt, OutcomeKind.NOT_EXECUTED)

    def _cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt that nobody waits for any more. Where stores allow no cancelling, an attempt that still
        waits for its connection is withdrawn all the same, as it has not begun."""
        if self.facts.allowed.cancel:
            self.io.cancel(attempt)
        else:
            self.io.withdraw(attempt)

    def _give_up(self, held: HeldTask, reason: str) -> None:
        """Answer a task independently of its generator, cancel its open attempts and send nothing more for it."""
        # An open hand-off may have run. Without this, a one-shot task would be nacked as if it never had.
        held.task.may_have_run += [(attempt.store, attempt.sent_at) for attempt in held.open_attempts]
        want = self.decision_module.final_answer(held.task)
        self._answer_unserved(held, want, reason)
        if held.started and not self.runner.client_left(held.task):
            for attempt in held.open_attempts:
                self.io.cancel(attempt)
        self._forget_if_done(held)

    def _answer_unserved(self, held: HeldTask, want: TaskAction, reason: str) -> None:
        """Answer a task that was not delivered: with a nack, or as broken off."""
        if held.answered:
            return
        if isinstance(want, Nack):
            self._send_answer(held, FinalAnswer(NACKED, want.retry_after, reason=reason[:500]), [])
        else:
            self._send_answer(held, FinalAnswer(BROKEN_OFF, reason=reason[:500]), [])
        self._forget_if_done(held)

    def _send_answer(self, held: HeldTask, final: FinalAnswer, body: list[bytes]) -> None:
        """Count and send a final answer. The task's memory is released once the answer has been sent."""
        held.answered = True
        count = ("delivered", "nacked", "broken_off")[final.result]
        setattr(self.counts, count, getattr(self.counts, count) + 1)
        memory, held.memory = held.memory, 0
        self.io.answer(held, final, body, partial(self.memory.release, held.client, memory))

    def _forget_if_done(self, held: HeldTask) -> None:
        """Forget a task that has its answer and no open attempts."""
        if held.answered and not held.open_attempts and (held.client, held.id) in self.held:
            del self.held[held.client, held.id]
            if not held.started and held.task.key in self.unstarted:
                self._body_complete(held)  # start the tasks of its key that waited for its body
            held.drop_contents()
            if held.memory:
                self.memory.release(held.client, held.memory)
                held.memory = 0
