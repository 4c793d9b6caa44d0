"""Shares the event loop's time among connections on which long messages arrive. No I/O.

Reads of long requests and answers take turns within a bounded time of each turn of the event loop, so that short
requests, stores and discovery are served between them, whatever hundreds of clients send.
"""

from __future__ import annotations

from collections.abc import Callable

TURN_TIME = 0.004  # seconds of one turn of the event loop that the reads of one queue may take together


class ReadQueue:
    """Reads that wait for their turn, in the order in which they were asked for.

    `call_soon(call)` calls in the next turn of the event loop; `now()` returns its time in seconds.
    """

    def __init__(self, call_soon: Callable[[Callable[[], None]], object], now: Callable[[], float]) -> None:
        self._call_soon, self._now = call_soon, now
        self._reads: dict[Callable[[], None], None] = {}
        self._scheduled = False

    def add(self, read: Callable[[], None]) -> None:
        """Have `read` called in its turn. One that waits already keeps its place."""
        self._reads[read] = None
        self._schedule()

    def _schedule(self) -> None:
        if self._reads and not self._scheduled:
            self._scheduled = True
            self._call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Call the reads that are due: at least one, and as many as begin within TURN_TIME."""
        self._scheduled = False
        end = self._now() + TURN_TIME
        try:
            while self._reads:
                read = next(iter(self._reads))
                del self._reads[read]
                read()
                if self._now() >= end:
                    break
        finally:
            self._schedule()
