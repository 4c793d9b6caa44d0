"""Messages that wait for a connection to another gateway, by urgency, each up to a maximum age. Does no I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any


class Urgency(IntEnum):
    """Kinds of messages, the most urgent first."""

    LIVENESS = 0  # of the failure detector
    PROMISE = 1  # of the view agreement and the replicated log
    HINT = 2  # of the exchange of units of a limit, and of maintenance


@dataclass(frozen=True, slots=True)
class QueueLimit:
    """Limits for the messages of one urgency; the age is in tenths of a millisecond."""

    max_messages: int
    max_age: int


class SendQueue:
    """Messages to one gateway. Their protocols tolerate the loss of any message, so the queue may drop them too."""

    def __init__(self, limits: Mapping[Urgency, QueueLimit]) -> None:
        self.limits = limits
        self.waiting: dict[Urgency, deque[tuple[int, Any]]] = {urgency: deque() for urgency in sorted(limits)}
        self.dropped = dict.fromkeys(sorted(limits), 0)  # number of messages that were never sent

    def __len__(self) -> int:
        return sum(map(len, self.waiting.values()))

    def put(self, now: int, urgency: Urgency, message: Any) -> None:
        """Queue a message; if there are too many of its urgency, the oldest of them is dropped."""
        queue, limit = self.waiting[urgency], self.limits[urgency]
        if len(queue) >= limit.max_messages:  # the newest message carries the most recent information
            queue.popleft()
            self.dropped[urgency] += 1
        queue.append((now + limit.max_age, message))

    def take(self, now: int) -> Any:
        """Return the next message to send, or None if none waits that has not expired."""
        for urgency, queue in self.waiting.items():
            while queue:
                expires, message = queue.popleft()
                if now < expires:
                    return message
                # After a long loss of the connection, what the message says is out of date.
                self.dropped[urgency] += 1
        return None

    def drop(self, urgency: Urgency, is_obsolete: Callable[[Any], bool]) -> None:
        """Drop the messages that became obsolete, such as those about a view that was succeeded by another."""
        queue = self.waiting[urgency]
        kept = [(expires, message) for expires, message in queue if not is_obsolete(message)]
        self.dropped[urgency] += len(queue) - len(kept)
        queue.clear()
        queue.extend(kept)
