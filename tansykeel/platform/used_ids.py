"""Ids of requests that may have run and must not run again. No I/O.

The id of a request is fresh with every request, a client's retry included. Stores of the platform run what they get, so
a request that comes again with its id, after its answer or after its client has left, would have its effect twice.
"""

from __future__ import annotations

from tansykeel.edge.tasks import Attempt
from tansykeel.interface import RepeatSafety

LIFETIME = 30.0  # seconds for which an id is kept at least
MAX_IDS = 16_384  # of one generation; two are kept


class UsedIds:
    """The ids of requests that were sent to a store, in two generations: the older one is dropped as a whole.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._recent, self._older = set[bytes](), set[bytes]()
        self._recent_since = 0.0

    def attempt_begins(self, attempt: Attempt, now: float) -> None:
        """Record the id of an attempt's request, unless the request may run any number of times."""
        if attempt.held.task.category.repeat is RepeatSafety.IDEMPOTENT:
            return
        self._drop_old(now)
        self._recent.add(attempt.held.id)

    def may_have_run(self, id: bytes, now: float) -> bool:
        """Whether a request with this id was sent to a store within LIFETIME."""
        self._drop_old(now)
        return id in self._recent or id in self._older

    def _drop_old(self, now: float) -> None:
        """Begin a new generation once the recent one has lasted for LIFETIME or is full."""
        age = now - self._recent_since
        if age < LIFETIME and len(self._recent) < MAX_IDS:
            return
        self._older = self._recent if age < 2 * LIFETIME else set()
        self._recent = set()
        self._recent_since = now
