"""Events in simulated time. Of two in the same microsecond the one that was asked for first goes first."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from tansykeel.errors import NOT_PLAYED, Problem

START = 10**10  # microseconds: the day's first moment, so that no time that matters is 0


class NoEnd(Problem, RuntimeError):
    """A simulated day did not end within its bound of events."""

    advice = "play a shorter day or a smaller fleet; if that does not help, something in it begins again for ever"
    code = NOT_PLAYED


class Engine:
    def __init__(self) -> None:
        self.now = START
        self.events = 0  # carried out so far
        self._heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, moment: int, call: Callable[..., Any], *arguments: Any) -> None:
        """Call at a moment; one that lies in the past is due now."""
        self._count += 1
        heapq.heappush(self._heap, (max(moment, self.now), self._count, call, arguments))

    def after(self, microseconds: int, call: Callable[..., Any], *arguments: Any) -> None:
        self.at(self.now + microseconds, call, *arguments)

    def run(self, until: int, most: int) -> bool:
        """Carry out events up to a moment, `most` of them in all; False if that bound ended it."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until:
            if self.events >= most:
                return False
            self.now, _, call, arguments = pop(heap)
            self.events += 1
            call(*arguments)
        self.now = max(self.now, until)
        return True
