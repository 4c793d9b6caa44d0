"""Words that wait for a connection to another gateway: the urgent first, the late not at all. Without I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any


class Urgency(IntEnum):
    """What goes first where not all can go at once."""

    LIVENESS = 0
    PROMISE = 1
    HINT = 2


@dataclass(frozen=True, slots=True)
class QueueLimit:
    """`most` words wait, each for `lasts` tenths of a millisecond at most."""

    most: int
    lasts: int


class SendQueue:
    """The words to one gateway. Each of them may be lost by what it says, so it may be dropped here too."""

    def __init__(self, bounds: Mapping[Urgency, QueueLimit]) -> None:
        self.bounds = bounds
        self.waiting: dict[Urgency, deque[tuple[int, Any]]] = {urgency: deque() for urgency in sorted(bounds)}
        self.dropped = dict.fromkeys(sorted(bounds), 0)  # for want of room, or too late

    def __len__(self) -> int:
        return sum(map(len, self.waiting.values()))

    def put(self, now: int, urgency: Urgency, word: Any) -> None:
        line, bound = self.waiting[urgency], self.bounds[urgency]
        if len(line) >= bound.most:  # the newest tells most, so the oldest makes room
            line.popleft()
            self.dropped[urgency] += 1
        line.append((now + bound.lasts, word))

    def take(self, now: int) -> Any:
        """The next word to send, None where nothing waits that is still in time."""
        for urgency, line in self.waiting.items():
            while line:
                until, word = line.popleft()
                if now < until:
                    return word
                # Guards against a connection that was cut for long: what it would tell now is past.
                self.dropped[urgency] += 1
        return None

    def drop(self, urgency: Urgency, moot: Callable[[Any], bool]) -> None:
        """Let go of the waiting words that became moot, by a view that was followed since."""
        line = self.waiting[urgency]
        kept = [(until, word) for until, word in line if not moot(word)]
        self.dropped[urgency] += len(line) - len(kept)
        line.clear()
        line.extend(kept)
