"""Applies what discovery has sent in bounded parts, between which the event loop serves clients and stores."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

MAX_ENTRIES_PER_TURN = 128  # entries of lists that are applied in one turn of the event loop

Update = TypeVar("Update")


class UpdateQueue(Generic[Update]):
    """Updates of the list of stores in the order received; each is applied once those before it are.

    `apply(update)` applies an update step by step and yields the number of entries that each step took. If one fails,
    those behind it are dropped, since each is a change to the list before it. `drained` is called when updates had to
    wait and all have been applied, `failed` when one of those failed.
    """

    def __init__(
        self, apply: Callable[[Update], Iterator[int]], drained: Callable[[], None], failed: Callable[[], None]
    ) -> None:
        self._apply, self._drained, self._failed = apply, drained, failed
        self._waiting = deque[Update]()
        self._current: Iterator[int] | None = None  # the steps of the update that is being applied
        self._scheduled = False

    @property
    def pending(self) -> bool:
        """Whether an update was not applied whole yet."""
        return self._current is not None or bool(self._waiting)

    def add(self, update: Update) -> None:
        """Add an update; `run` applies it."""
        self._waiting.append(update)

    def run(self) -> None:
        """Apply updates, and go on in the next turn of the event loop if they are too many for one. An exception of one
        is raised here only if none had to wait before."""
        if not self._scheduled:
            self._run_turn()

    def _run_scheduled(self) -> None:
        self._scheduled = False
        try:
            self._run_turn()
        except Exception:
            self._failed()
            raise
        if not self.pending:
            self._drained()

    def _run_turn(self) -> None:
        """Apply up to MAX_ENTRIES_PER_TURN entries."""
        entries = 0
        try:
            while entries < MAX_ENTRIES_PER_TURN and (steps := self._next_steps()):
                taken = next(steps, None)
                if taken is None:
                    self._current = None
                else:
                    entries += taken
        except Exception:
            self._current = None
            self._waiting.clear()
            raise
        if self.pending:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run_scheduled)

    def _next_steps(self) -> Iterator[int] | None:
        """Return what is left of the update that is being applied, or the steps of the next one."""
        if self._current is None and self._waiting:
            self._current = self._apply(self._waiting.popleft())
        return self._current
