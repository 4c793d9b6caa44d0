"""What is measured of a store: the lags of its last answers, its queue, and the rate that it bears."""

from collections import deque
from collections.abc import Iterable
from itertools import takewhile

from tansykeel.interface import Runtime, Store, Task

from .cold import SECOND

TARGET_SHARE = 0.3  # part of the tightest soft limit that work may spend at a node
MIN_FLEET_RATE = 4  # the least rates of all gateways together, in usual tasks within a tightest soft limit
RATE_OVER_USE, QUEUE_DRAIN_RATE = (
    4,
    0.5,
)  # times its use that a falling rate starts from; time that a queue loses in a time
SAMPLE_LIFETIME, OVERLOAD_LIFETIME = (
    SECOND,
    2 * SECOND,
)  # samples that tell of now; of an overload, and rates for new nodes
SAMPLE_COUNT, LATEST_SAMPLES = (
    24,
    4,
)  # outcomes that a node's figures are worked out from; those that tell of its queue


def remaining_delays(seen: Iterable[tuple[int, float]], now: int, limit: int) -> list[float]:
    """What is left of queues seen some time ago: a short one drains, one past the tightest limit stays."""
    return [
        wait if wait > limit else max(wait - QUEUE_DRAIN_RATE * (now - at), 0.0)
        for at, wait in seen
        if now - at <= (OVERLOAD_LIFETIME if wait > limit else SAMPLE_LIFETIME)
    ]


class QueueDelays:
    """When each node was last heard of, and its queueing then."""

    def __init__(self) -> None:
        self.by_store: dict[Store, tuple[int, float]] = {}  # the newest last
        self.newest, self.version, self._median, self.losses_until = (
            -OVERLOAD_LIFETIME,
            0,
            (-1, -1, 0.0),
            0,
        )  # lost: until when

    def record(self, store: Store, now: int, delay: float) -> None:
        self.by_store.pop(store, None)
        self.by_store[store], self.newest, self.version = (now, delay), now, self.version + 1

    def median(self, now: int, limit: int) -> float:
        """The lower middle of what was heard lately, so that one sick node does not speak for the others."""
        if self._median[:2] != (now, self.version):
            seen = takewhile(
                lambda sample: sample[0] >= now - OVERLOAD_LIFETIME, reversed(self.by_store.values())
            )
            delays = sorted(remaining_delays(seen, now, limit))
            self._median = now, self.version, delays[(len(delays) - 1) // 2] if len(delays) > 1 else 0.0
        return self._median[2]


class StoreMeasurements:
    """A store as its answers show it."""

    def __init__(
        self,
        store: Store,
        runtime: Runtime,
        rate: float,
        largest_task: float,
        usual: float,
        soft_limit: int,
        delays: QueueDelays,
        gateways: int,
    ) -> None:
        self.store, self.runtime, self.delays = store, runtime, delays
        self.rate, self.largest_task, self.usual, self.soft_limit = rate, largest_task, usual, soft_limit
        self.min_rate, self.last_heard = MIN_FLEET_RATE * usual / soft_limit / max(gateways, 1), runtime.now
        self.sent_at: dict[Task, int] = {}  # hand-offs out, in order, with their times
        self.grants: deque[tuple[int, float]] = deque(maxlen=SAMPLE_COUNT)  # the last hand-offs: when, tokens
        self.samples: deque[tuple[int, int, float]] = deque(maxlen=SAMPLE_COUNT)  # when, lag, units
        self.successes: deque[bool] = deque(maxlen=SAMPLE_COUNT)  # whether each outcome was a good one
        self.version, self._delay_inputs, self._delay, self.unit_time = (
            0,
            (-1, -1, -1),
            0.0,
            0.0,
        )  # what is worked out once
        self.resting_until = self.next_decrease_at = self.failures_in_row = self.answered_sent = (
            0  # proof: when the last answered was sent
        )

    def add_sample(self, lag: int, units: float) -> None:
        self.samples.append((self.runtime.now, lag, units))
        self.version += 1
        times = sorted([lag / units for _, lag, units in self.samples])
        self.unit_time = times[len(times) // 4]  # tenths that a unit takes here when nothing waits

    def queueing_delay(self) -> float:
        """Time that the last hand-offs waited; without fresh ones the middle of others (design: average)."""
        now = self.runtime.now
        if self._delay_inputs != (seen := (now, self.version, self.delays.version)):
            self._delay_inputs = seen
            # Silence tells of a node that stands still; where a later answer came, the one missing is lost.
            first = next((sent for sent in self.sent_at.values() if sent >= self.answered_sent), now)
            silence = now - max(self.last_heard, first)
            samples = [
                (at, lag - units * self.unit_time) for at, lag, units in list(self.samples)[-LATEST_SAMPLES:]
            ]
            delays = remaining_delays(samples, now, self.soft_limit)
            delay = sum(delays) / len(delays) if delays else self.delays.median(now, self.soft_limit)
            self._delay = max(delay, silence - self.usual * self.unit_time)
        return self._delay

    def expected_latency(self, units: float) -> float:
        return self.queueing_delay() + units * self.unit_time

    def headroom(self) -> float:
        """How far the lag of a usual task stays under its target, as a part of it."""
        return 1 - self.expected_latency(self.usual) / (self.soft_limit * TARGET_SHARE)

    def shows_headroom(self) -> bool:
        """Whether a fresh sample, of this node or another, shows a lag under its target."""
        return self.delays.newest >= self.runtime.now - SAMPLE_LIFETIME and self.headroom() > 0

    def token_bound(self) -> float:
        """Tokens that may be out; one largest task, but not where many gateways' would keep a queue full."""
        largest_task = self.largest_task if self.headroom() >= 0 and not self.failures_in_row else 0.0
        return max(self.rate * self.soft_limit * TARGET_SHARE, largest_task)

    def decrease_rate(self, part: float, rest: int) -> None:
        """Lower the rate, once in the time that a step shows, from a few times its use: all must feel it."""
        if self.runtime.now >= self.next_decrease_at:
            used = sum(cost for at, cost in self.grants if at >= self.runtime.now - SECOND) / SECOND
            self.rate = max(min(self.rate, RATE_OVER_USE * used) * (1 - part), self.min_rate)
            self.next_decrease_at = self.runtime.now + rest
