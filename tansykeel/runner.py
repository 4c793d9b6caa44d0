"""Drives the scheduler's generators, one for each task: resumes them, keeps their timers and the clock.

No I/O and no decisions.
"""

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
    """One scheduler's runtime. The clock moves only when `advance_clock` is called with the time of a batch."""

    def __init__(self, effects: EffectHandler, now: int, shares: ShareProvider | None = None) -> None:
        self.now, self.shares = now, shares or EvenShares()
        self._effects = effects
        self._generators: dict[Task, TaskGenerator] = {}
        self._waits: dict[Task, int] = {}  # the number of each waiting task's present wait
        self._woken: deque[tuple[Task, WakeReason]] = deque()
        self._calls: list[tuple[int, int, Callable[[], None]]] = []  # a heap: when, number, what
        self._count = 0  # numbers waits, and calls in the order in which they were asked for
        self._timer_at: int | None = None  # for when the timer was last set; None once it has fired

    def advance_clock(self, now: int) -> None:
        """Move the clock forward; it never goes back."""
        self.now = max(self.now, now)

    def start(self, task: Task, generator: TaskGenerator) -> None:
        """Run a new task's generator up to its first action."""
        self._generators[task] = generator
        self._resume(task, None)
        self.run_pending()

    def outcome(self, task: Task, outcome: Outcome) -> None:
        """Resume a task with the outcome of its hand-off, unless it is held or has ended."""
        if task in self._generators and task not in self._waits:
            self._resume(task, outcome)
        self.run_pending()

    def client_left(self, task: Task) -> bool:
        """The client has gone. A held task ends now (True); one that is out ends with its outcome (False)."""
        held = self._waits.pop(task, None) is not None
        if held:
            self._generators.pop(task).close()
        self.run_pending()
        return held

    def timer_fired(self) -> None:
        """Make the calls that are due. It may come early: the timer is then set again."""
        if self._timer_at is not None and self._timer_at <= self.now:
            self._timer_at = None
        while self._calls and self._calls[0][0] <= self.now:
            heapq.heappop(self._calls)[2]()
            self._resume_woken()
        self._set_timer()

    def run_pending(self) -> None:
        """Resume the tasks that the last event woke and set the timer for the next call."""
        self._resume_woken()
        self._set_timer()

    def wake(self, task: Task, reason: WakeReason) -> None:
        """Resume a task once the one running now has yielded; it may still be about to wait."""
        self._woken.append((task, reason))

    def call_at(self, at: int, call: Callable[[], None]) -> None:
        """Call a function at a time; calls for one time are made in the order in which they were asked for."""
        self._count += 1
        heapq.heappush(self._calls, (at, self._count, call))

    def request_store_list(self) -> None:
        """Ask for the list of stores, or subscribe to it."""
        self._effects.request_store_list()

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        """Send a message to another gateway; None: to all others."""
        self._effects.send_to_peer(peer, message)

    def log(self, text: str) -> None:
        """Write a line to the gateway's log."""
        self._effects.log(text)

    def _resume_woken(self) -> None:
        while self._woken:
            task, reason = self._woken.popleft()
            if self._waits.pop(task, None) is not None:
                self._resume(task, reason)

    def _set_timer(self) -> None:
        if self._calls and (self._timer_at is None or self._calls[0][0] < self._timer_at):
            self._timer_at = self._calls[0][0]
            self._effects.set_timer(self._timer_at)

    def _wait_expired(self, task: Task, wait: int) -> None:
        # A task that was woken and waits again has a wait with another number.
        if self._waits.get(task) == wait:
            del self._waits[task]
            self._resume(task, WakeReason.TIMER)

    def _resume(self, task: Task, value: WakeReason | Outcome | None) -> None:
        generator = self._generators[task]
        try:
            action = generator.send(value)
        except StopIteration:
            del self._generators[task]
            return
        match action:
            case HandOff():
                self._effects.hand_off(task, action.store, action.timeout)
            case Wait():
                self._count += 1
                self._waits[task] = self._count
                self.call_at(action.until, partial(self._wait_expired, task, self._count))
            case Nack() | BreakOff():
                if isinstance(action, Nack):
                    self._effects.nack(task, action.retry_after)
                else:
                    self._effects.break_off(task)
                del self._generators[task]
                generator.close()
