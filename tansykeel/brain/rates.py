"""What is measured of a store: the lags of its last answers, its queue, and the rate that it bears."""

from collections import deque
from collections.abc import Iterable
from itertools import takewhile

from tansykeel.interface import Runtime, Store, Task

from .cold import SECOND

AIM_PART = 0.3  # part of the tightest soft limit that work may spend at a node
LEAST_RATE = 4  # the least rates of all gateways together, in usual tasks within a tightest soft limit
USE, DRAIN = 4, 0.5  # times its use that a falling rate starts from; time that a queue loses in a time
FRESH, STALE = SECOND, 2 * SECOND  # samples that tell of now; of an overload, and rates for new nodes
SAMPLES, LATEST = 24, 4  # outcomes that a node's figures are worked out from; those that tell of its queue


def left(seen: Iterable[tuple[int, float]], now: int, limit: int) -> list[float]:
    """What is left of queues seen some time ago: a short one drains, one past the tightest limit stays."""
    return [
        wait if wait > limit else max(wait - DRAIN * (now - at), 0.0)
        for at, wait in seen
        if now - at <= (STALE if wait > limit else FRESH)
    ]


class Waits:
    """When each node was last heard of, and its queueing then."""

    def __init__(self) -> None:
        self.seen: dict[Store, tuple[int, float]] = {}  # the newest last
        self.newest, self.changes, self.known, self.lost = -STALE, 0, (-1, -1, 0.0), 0  # lost: until when

    def put(self, store: Store, now: int, wait: float) -> None:
        self.seen.pop(store, None)
        self.seen[store], self.newest, self.changes = (now, wait), now, self.changes + 1

    def middle(self, now: int, limit: int) -> float:
        """The lower middle of what was heard lately, so that one sick node does not speak for the others."""
        if self.known[:2] != (now, self.changes):
            seen = takewhile(lambda sample: sample[0] >= now - STALE, reversed(self.seen.values()))
            waits = sorted(left(seen, now, limit))
            self.known = now, self.changes, waits[(len(waits) - 1) // 2] if len(waits) > 1 else 0.0
        return self.known[2]


class Measured:
    """A store as its answers show it."""

    def __init__(
        self,
        store: Store,
        runtime: Runtime,
        rate: float,
        least: float,
        usual: float,
        tightest: int,
        waits: Waits,
        gateways: int,
    ) -> None:
        self.store, self.runtime, self.waits = store, runtime, waits
        self.rate, self.least, self.usual, self.tightest = rate, least, usual, tightest
        self.floor, self.heard = LEAST_RATE * usual / tightest / max(gateways, 1), runtime.now
        self.sent: dict[Task, int] = {}  # hand-offs out, in order, with their times
        self.grants: deque[tuple[int, float]] = deque(maxlen=SAMPLES)  # the last hand-offs: when, tokens
        self.lags: deque[tuple[int, int, float]] = deque(maxlen=SAMPLES)  # when, lag, units
        self.ends: deque[bool] = deque(maxlen=SAMPLES)  # whether each outcome was a good one
        self.changes, self.seen, self.waited, self.unit = 0, (-1, -1, -1), 0.0, 0.0  # what is worked out once
        self.resting = self.fell = self.troubles = self.proof = 0  # proof: when the last answered was sent

    def sample(self, lag: int, units: float) -> None:
        self.lags.append((self.runtime.now, lag, units))
        self.changes += 1
        times = sorted([lag / units for _, lag, units in self.lags])
        self.unit = times[len(times) // 4]  # tenths that a unit takes here when nothing waits

    def queueing(self) -> float:
        """Time that the last hand-offs waited; without fresh ones the middle of others (design: average)."""
        now = self.runtime.now
        if self.seen != (seen := (now, self.changes, self.waits.changes)):
            self.seen = seen
            # Silence tells of a node that stands still; where a later answer came, the one missing is lost.
            first = next((sent for sent in self.sent.values() if sent >= self.proof), now)
            silence = now - max(self.heard, first)
            samples = [(at, lag - units * self.unit) for at, lag, units in list(self.lags)[-LATEST:]]
            waits = left(samples, now, self.tightest)
            wait = sum(waits) / len(waits) if waits else self.waits.middle(now, self.tightest)
            self.waited = max(wait, silence - self.usual * self.unit)
        return self.waited

    def lag(self, units: float) -> float:
        return self.queueing() + units * self.unit

    def gap(self) -> float:
        """How far the lag of a usual task stays under its target, as a part of it."""
        return 1 - self.lag(self.usual) / (self.tightest * AIM_PART)

    def free(self) -> bool:
        """Whether a fresh sample, of this node or another, shows a lag under its target."""
        return self.waits.newest >= self.runtime.now - FRESH and self.gap() > 0

    def bound(self) -> float:
        """Tokens that may be out; one largest task, but not where many gateways' would keep a queue full."""
        least = self.least if self.gap() >= 0 and not self.troubles else 0.0
        return max(self.rate * self.tightest * AIM_PART, least)

    def fall(self, part: float, rest: int) -> None:
        """Lower the rate, once in the time that a step shows, from a few times its use: all must feel it."""
        if self.runtime.now >= self.fell:
            used = sum(cost for at, cost in self.grants if at >= self.runtime.now - SECOND) / SECOND
            self.rate = max(min(self.rate, USE * used) * (1 - part), self.floor)
            self.fell = self.runtime.now + rest
