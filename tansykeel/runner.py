"""Drives the module's generators: resumes them, keeps their timers and the clock. No I/O, no decisions."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Generator
from functools import partial

from tansykeel.interface import (
    BreakOff,
    EffectHandler,
    EvenShares,
    HandOff,
    Nack,
    Outcome,
    PeerMessage,
    ShareProvider,
    Task,
    TaskAction,
    Wait,
    WakeReason,
)

TaskGenerator = Generator[TaskAction, "WakeReason | Outcome | None", None]


class Runner:
    """One instance's desk. The clock moves only when `advance_clock` is called with a batch's time."""

    def __init__(self, effects: EffectHandler, now: int, shares: ShareProvider | None = None) -> None:
        self.now, self.shares = now, shares or EvenShares()
        self._effects = effects
        self._runs: dict[Task, TaskGenerator] = {}
        self._waits: dict[Task, int] = {}
        self._woken: deque[tuple[Task, WakeReason]] = deque()
        self._alarms: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._reminder: int | None = None

    def advance_clock(self, now: int) -> None:
        self.now = max(self.now, now)

    def start(self, task: Task, run: TaskGenerator) -> None:
        self._runs[task] = run
        self._resume(task, None)
        self.run_pending()

    def outcome(self, task: Task, outcome: Outcome) -> None:
        if task in self._runs and task not in self._waits:
            self._resume(task, outcome)
        self.run_pending()

    def client_left(self, task: Task) -> bool:
        """The client has gone: a held task ends now, one that is out ends with its outcome (False)."""
        held = self._waits.pop(task, None) is not None
        if held:
            self._runs.pop(task).close()
        self.run_pending()
        return held

    def timer_fired(self) -> None:
        if self._reminder is not None and self._reminder <= self.now:
            self._reminder = None
        while self._alarms and self._alarms[0][0] <= self.now:
            heapq.heappop(self._alarms)[2]()
            self._resume_woken()
        self._arm()

    def run_pending(self) -> None:
        """Resume whatever the last event woke and see to the next reminder."""
        self._resume_woken()
        self._arm()

    def wake(self, task: Task, signal: WakeReason) -> None:
        """Resume a task once the one running now has yielded; it may still be about to wait."""
        self._woken.append((task, signal))

    def call_at(self, at: int, call: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._alarms, (at, self._count, call))

    def request_store_list(self) -> None:
        self._effects.request_store_list()

    def send_to_peer(self, peer: int | None, word: PeerMessage) -> None:
        self._effects.send_to_peer(peer, word)

    def log(self, text: str) -> None:
        self._effects.log(text)

    def _resume_woken(self) -> None:
        while self._woken:
            task, signal = self._woken.popleft()
            if self._waits.pop(task, None) is not None:
                self._resume(task, signal)

    def _arm(self) -> None:
        if self._alarms and (self._reminder is None or self._alarms[0][0] < self._reminder):
            self._reminder = self._alarms[0][0]
            self._effects.set_timer(self._reminder)

    def _time_up(self, task: Task, ticket: int) -> None:
        if self._waits.get(task) == ticket:
            del self._waits[task]
            self._resume(task, WakeReason.TIMER)

    def _resume(self, task: Task, value: WakeReason | Outcome | None) -> None:
        run = self._runs[task]
        try:
            want = run.send(value)
        except StopIteration:
            del self._runs[task]
            return
        match want:
            case HandOff():
                self._effects.hand_off(task, want.store, want.timeout)
            case Wait():
                self._count += 1
                self._waits[task] = self._count
                self.call_at(want.until, partial(self._time_up, task, self._count))
            case Nack() | BreakOff():
                if isinstance(want, Nack):
                    self._effects.nack(task, want.retry_after)
                else:
                    self._effects.break_off(task)
                del self._runs[task]
                run.close()
