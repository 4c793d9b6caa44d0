"""What a gateway holds and owes, without I/O: the module's door, every task's memory, time-outs and one answer.

Told of whatever comes in by a program (or by an emulator), it tells the module, and acts through a `Wire`. What a
protocol says of a task is read by its `Intake`; the core knows no protocol. It decides nothing about routing, waiting
or refusing: tasks that can't be held (no memory, stopping, bad names) are answered as `Scheduler.final_answer` says.
Times are whole tenths of a millisecond of one monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from tansykeel.brain import Scheduler
from tansykeel.edge.tasks import (
    BROKEN_OFF,
    DELIVERED,
    MICROS,
    NACKED,
    Attempt,
    Bounds,
    Counts,
    Decisions,
    Final,
    Held,
    Intake,
    Memory,
    RowOf,
    StillHeld,
    UpdateOf,
    Wire,
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
    StoreState,
    Task,
    TaskAction,
)
from tansykeel.runner import Runner

LEAVING = {StoreState.READY: 0, StoreState.DRAINING: 1, StoreState.GONE: 2}  # a store's way out, in order
MOST_GONE = 1_000  # stores that are gone and still known by name, the newest ones


class Core:
    """`known` are the stores as they were last heard of, before a list confirms them."""

    def __init__(
        self,
        facts: SchedulerConfig,
        seed: int,
        wire: Wire,
        now: int,
        bounds: Bounds,
        intake: Intake,
        known: Iterable[RowOf] = (),
        decide: Callable[[SchedulerConfig, int, Runner], Decisions] = Scheduler,
        parts: ShareProvider | None = None,
    ) -> None:
        self.facts, self.wire, self.bounds, self.intake = facts, wire, bounds, intake
        self.runner = Runner(self, now, parts)
        self.stores: dict[str, Store] = {}
        self.addresses: dict[Store, str] = {}
        self.boots: dict[Store, int] = {}
        self.held: dict[tuple[Any, Any], Held] = {}
        self.coming: dict[int, deque[Held]] = {}  # by key, of ordered categories: not started, as they were taken
        self.memory = Memory(bounds.body_memory, bounds.client_memory)
        self.counts = Counts()
        self.stopping = False
        self.list_version = -1
        self.brain = decide(facts, seed, self.runner)
        self._rows(known)
        self.brain.list_changed(list(self.stores.values()), confirmed=False)
        self.runner.run_pending()

    # What clients say

    def taken(self, now: int, client: Any, id: Any, request: Any) -> None:
        """A task has come. Raises StillHeld where the client uses the id of a task that it still waits for."""
        self.runner.advance_clock(now)
        now = self.runner.now
        if (client, id) in self.held:
            raise StillHeld(f"task {id}: one with this id is still held")
        asked = self.intake.asked(now, request)
        held = Held(client, id, request, asked.task, 0, asked.body)
        asked.task.handle = held
        self.counts.taken += 1
        self.held[client, id] = held
        if asked.fault or self.stopping or len(self.held) > self.bounds.open_tasks:
            return self._give_up(held, asked.fault or ("stopping" if self.stopping else "too many open tasks"))
        if not self.memory.take(client, asked.memory):
            return self._give_up(held, "no memory for its body")
        held.memory = asked.memory
        if held.missing:  # guards against a body that never comes: the client is answered all the same
            self.runner.call_at(held.task.deadline, partial(self._body_late, held))
            self.runner.run_pending()
        if held.task.category.ordered and held.task.key:
            self.coming.setdefault(held.task.key, deque()).append(held)
        if not held.missing:
            self._whole(held)

    def piece(self, now: int, client: Any, id: Any, data: bytes) -> None:
        """Bytes of a task's body; those of a task that has its answer already are let go."""
        held = self.held.get((client, id))
        if held is None or held.answered or held.started:
            return
        held.body.append(data)
        held.missing -= len(data)
        if not held.missing:
            self.runner.advance_clock(now)
            self._whole(held)

    def left(self, now: int, client: Any, id: Any) -> None:
        """The client gave the task up, or its body."""
        held = self.held.get((client, id))
        if held is None or held.answered:
            return
        self.runner.advance_clock(now)
        held.answered = True
        self.counts.left += 1
        if held.started and not self.runner.client_left(held.task):
            for attempt in held.out:
                self._take_back(attempt)
        self._let_go(held)
        self.runner.run_pending()

    def client_gone(self, now: int, client: Any) -> None:
        for owner, id in [key for key in self.held if key[0] is client]:
            self.left(now, owner, id)

    # What stores and the list say

    def outcome(
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
        """What became of a hand-off. One whose outcome is known already is not told of again."""
        if attempt.over:
            return
        self.runner.advance_clock(now)
        attempt.over = True
        held, lag = attempt.held, self.runner.now - attempt.sent
        held.out.remove(attempt)
        held.last_outcome = how.value
        self.counts.outcomes[how.value] = self.counts.outcomes.get(how.value, 0) + 1
        if how is OutcomeKind.DELIVERED and not held.answered:
            self._answer(held, Final(DELIVERED, 0, shard if shard >= 0 else attempt.store.shard), body or [])
        told = Outcome(
            how,
            lag,
            held.answered,
            used if used >= 0 else None,
            elsewhere if self.facts.reports_use_elsewhere else None,
            report,
        )
        self.runner.outcome(held.task, told)
        self._let_go(held)

    def met(self, now: int, store: Store, boot: int, age: int) -> bool:
        """A store's own hello told its boot id and its age in microseconds: the list may be late with it.

        True if it started anew: what was granted for it and not sent was decided without knowing that.
        """
        self.runner.advance_clock(now)
        if not self._booted(store, boot, age):
            return False
        self.brain.list_changed(list(self.stores.values()), confirmed=False)
        self.runner.run_pending()
        return store.started > 0

    def listed(self, now: int, update: UpdateOf, anew: bool = False) -> None:
        """The list, or a change to it. One older than what is known is not believed, unless its versions count `anew`,
        from another beginning."""
        self.runner.advance_clock(now)
        if update.failed:
            return self.list_lost(now)
        if update.version < self.list_version and not anew:
            return
        self.list_version = update.version
        rows = {row.name: row for row in update.rows}
        self._rows(update.rows, anew)
        if update.full:
            for name, store in self.stores.items():
                if name not in rows:
                    store.state = StoreState.GONE
        self.brain.list_changed(list(self.stores.values()), confirmed=True)
        gone = [name for name, store in self.stores.items() if store.state is StoreState.GONE]
        for name in gone[:-MOST_GONE]:
            store = self.stores.pop(name)
            del self.addresses[store]
            self.boots.pop(store, None)
        self.runner.run_pending()

    def list_lost(self, now: int) -> None:
        """A call failed or the subscription dropped: the module says when to ask again."""
        self.runner.advance_clock(now)
        self.brain.list_failed()
        self.runner.run_pending()

    def heard(self, now: int, sender: int, word: PeerMessage) -> None:
        """Another gateway's word."""
        self.runner.advance_clock(now)
        self.brain.on_peer_message(sender, word)
        self.runner.run_pending()

    def tick(self, now: int) -> None:
        self.runner.advance_clock(now)
        self.runner.timer_fired()

    # The end

    def stop(self) -> None:
        """No new tasks from now on; what is held goes its way."""
        self.stopping = True

    def answer_all(self, now: int) -> None:
        """Answer whatever is still held, as the module says for a task given up on."""
        self.runner.advance_clock(now)
        for held in [held for held in self.held.values() if not held.answered]:
            self._give_up(held, "the gateway ends")

    def give_up(self, now: int, held: Held, reason: str) -> None:
        """Answer one task now, as the module says for a task given up on."""
        self.runner.advance_clock(now)
        if not held.answered:
            self._give_up(held, reason)
        self.runner.run_pending()

    # The module's door

    def hand_off(self, task: Task, store: Store, timeout: int) -> None:
        held: Held = task.handle
        now = self.runner.now
        until = min(now + timeout, task.deadline) if timeout > 0 else task.deadline
        attempt = Attempt(held, store, task.hand_offs - 1, now, until)
        held.out.append(attempt)
        self.counts.hand_offs += 1
        self.runner.call_at(until, partial(self._timed_out, attempt))
        self.wire.hand_off(attempt)

    def nack(self, task: Task, retry_after: int) -> None:
        self._final(task.handle, Nack(retry_after), "")

    def break_off(self, task: Task) -> None:
        self._final(task.handle, BreakOff(), "")

    def set_timer(self, at: int) -> None:
        self.wire.remind(at)

    def request_store_list(self) -> None:
        self.wire.ask_list()

    def send_to_peer(self, peer: int | None, word: PeerMessage) -> None:
        self.wire.tell_peer(peer, word)

    def log(self, text: str) -> None:
        self.wire.note("module", text=text)

    # Within

    def _rows(self, rows: Iterable[RowOf], anew: bool = False) -> None:
        for row in rows:
            known, state = self.stores.get(row.name), StoreState(row.state)
            if anew and known and row.boot == self.boots.get(known, 0) and LEAVING[known.state] > LEAVING[state]:
                # Guards against sends to a store that was heard to drain: whose versions count anew may be behind.
                state = known.state
            store = self.stores.setdefault(row.name, Store(row.name))
            store.zone, store.shard, store.state = row.zone, row.shard, state
            self.addresses[store] = row.address
            self._booted(store, row.boot, row.age)

    def _whole(self, held: Held) -> None:
        """All of a task is here. One of an ordered category waits for those of its key that were taken before it.

        Guards against a small body that overtakes a large one: the module orders tasks as they are started.
        """
        line = self.coming.get(held.task.key) if held.task.category.ordered else None
        if line is None:
            return self._start(held)
        while line and (line[0].answered or not line[0].missing):
            first = line.popleft()
            if not first.answered:
                self._start(first)
        if not line:
            self.coming.pop(held.task.key, None)

    def _start(self, held: Held) -> None:
        held.started = True
        self.runner.start(held.task, self.brain.serve(held.task))

    def _body_late(self, held: Held) -> None:
        if not held.started and not held.answered:
            self._give_up(held, "its body did not come in time")

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        self._take_back(attempt)
        self.outcome(self.runner.now, attempt, OutcomeKind.TIMED_OUT)

    def _take_back(self, attempt: Attempt) -> None:
        """Guards against an attempt that begins though nobody waits for it, also where none may be cancelled: one
        that waits for its connection has not begun."""
        if self.facts.allowed.cancel:
            self.wire.cancel(attempt)
        else:
            self.wire.withdraw(attempt)

    def _give_up(self, held: Held, reason: str) -> None:
        """Answer a task outside of its generator. What is out for it is cancelled; nothing more is sent."""
        # Guards against a nack for a one-shot task whose hand-off is out: no outcome says yet that it never ran.
        held.task.may_have_run += [(attempt.store, attempt.sent) for attempt in held.out]
        want = self.brain.final_answer(held.task)
        self._final(held, want, reason)
        if held.started and not self.runner.client_left(held.task):
            for attempt in held.out:
                self.wire.cancel(attempt)
        self._let_go(held)

    def _final(self, held: Held, want: TaskAction, reason: str) -> None:
        if held.answered:
            return
        if isinstance(want, Nack):
            self._answer(held, Final(NACKED, want.retry_after, reason=reason[:500]), [])
        else:
            self._answer(held, Final(BROKEN_OFF, reason=reason[:500]), [])
        self._let_go(held)

    def _answer(self, held: Held, final: Final, body: list[bytes]) -> None:
        held.answered = True
        count = ("delivered", "nacked", "broken_off")[final.result]
        setattr(self.counts, count, getattr(self.counts, count) + 1)
        memory, held.memory = held.memory, 0
        self.wire.answer(held, final, body, partial(self.memory.free, held.client, memory))

    def _let_go(self, held: Held) -> None:
        """Forget a task that has its answer and nothing out."""
        if held.answered and not held.out and (held.client, held.id) in self.held:
            del self.held[held.client, held.id]
            if not held.started and held.task.key in self.coming:
                self._whole(held)  # whoever waited for its body goes on
            held.body.clear()
            if held.memory:
                self.memory.free(held.client, held.memory)
                held.memory = 0

    def _booted(self, store: Store, boot: int, age: int) -> bool:
        """Take in when a store started. Of two starts the later is right: a late list must not undo a hello."""
        if not boot or self.boots.get(store) == boot:
            return False
        started = max(self.runner.now - age // MICROS, 1) if age else 0
        if store in self.boots and started <= store.started:
            return False
        self.boots[store], store.started = boot, started
        return True
