"""Measurements of a store: latencies of its last answers, its queueing delay, the rate that it bears."""

from collections.abc import Iterable, Iterator
from itertools import takewhile
from typing import TypeVar

from tansykeel.interface import Runtime, Store, Task

from .cold import SECOND

TARGET_SHARE = 0.3  # latency target of a task at a node, as a fraction of the tightest soft limit
MIN_FLEET_RATE = 4  # least rate of all gateways together, in usual tasks within a tightest soft limit
# A falling rate starts from so many times its use; a queue once seen loses so much delay per unit of time.
RATE_OVER_USE, QUEUE_DRAIN_RATE = 4, 0.5
# How long samples tell of the present; how long those of an overload do, and rates count for new nodes.
SAMPLE_LIFETIME, OVERLOAD_LIFETIME = SECOND, 2 * SECOND
# Outcomes that a node's figures are computed from; those that give its present queueing delay.
SAMPLE_COUNT, LATEST_SAMPLES = 24, 4
MAX_SAMPLED_NODES = 200  # of more nodes than that, a sample of this size stands for all
T = TypeVar("T")


def remaining_delays(seen: Iterable[tuple[int, float]], now: int, limit: int) -> list[float]:
    """What remains now of queueing delays (when, how long) seen before, without those that are out of date.

    A queue within the limit is taken to drain. One past it is an overload: it counts in full, and for longer.
    """
    return [
        delay if delay > limit else max(delay - QUEUE_DRAIN_RATE * (now - at), 0.0)
        for at, delay in seen
        if now - at <= (OVERLOAD_LIFETIME if delay > limit else SAMPLE_LIFETIME)
    ]


class QueueDelays:
    """The queueing delay of each node when it last answered; shared by all nodes of a gateway."""

    def __init__(self) -> None:
        self.by_store: dict[Store, tuple[int, float]] = {}  # when, delay; the newest last
        # `version` counts changes; `_median` holds the last result and what it was computed for. Until
        # `losses_until` an answer that does not come may have been lost on its way.
        self.newest, self.version, self._median, self.losses_until = -OVERLOAD_LIFETIME, 0, (-1, -1, 0.0), 0

    def record(self, store: Store, now: int, delay: float) -> None:
        """Note a node's queueing delay, seen now."""
        self.by_store.pop(store, None)
        self.by_store[store], self.newest, self.version = (now, delay), now, self.version + 1

    def recently_seen(self, now: int) -> Iterator[Store]:
        """The stores that answered within OVERLOAD_LIFETIME, the newest answer first."""
        for store, (seen_at, _) in reversed(self.by_store.items()):
            if now - seen_at >= OVERLOAD_LIFETIME:
                return
            yield store

    def median(self, now: int, limit: int) -> float:
        """The lower median of the recent delays, so that one slow node does not speak for the others."""
        if self._median[:2] != (now, self.version):
            recent = takewhile(
                lambda sample: sample[0] >= now - OVERLOAD_LIFETIME, reversed(self.by_store.values())
            )
            delays = sorted(remaining_delays(recent, now, limit))
            self._median = now, self.version, delays[(len(delays) - 1) // 2] if len(delays) > 1 else 0.0
        return self._median[2]


class LatestItems(list[T]):
    """The last SAMPLE_COUNT items that were appended; an empty list takes less memory than a deque."""

    __slots__ = ()

    def append(self, item: T) -> None:
        """Add an item; the oldest one goes if there are too many."""
        super().append(item)
        if len(self) > SAMPLE_COUNT:
            del self[0]


class StoreMeasurements:
    """A store as its answers show it."""

    __slots__ = (
        "_delay",
        "_delay_inputs",
        "answered_sent",
        "delays",
        "failures_in_row",
        "grants",
        "largest_task",
        "last_heard",
        "min_rate",
        "next_decrease_at",
        "rate",
        "resting_until",
        "runtime",
        "samples",
        "sent_at",
        "soft_limit",
        "store",
        "successes",
        "unit_time",
        "usual",
        "version",
    )

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
        # `usual` and `largest_task` are units; `soft_limit` is the tightest of all categories.
        self.store, self.runtime, self.delays = store, runtime, delays
        self.rate, self.largest_task, self.usual, self.soft_limit = rate, largest_task, usual, soft_limit
        self.min_rate, self.last_heard = MIN_FLEET_RATE * usual / soft_limit / max(gateways, 1), runtime.now
        self.sent_at: dict[Task, int] = {}  # when each task in flight was handed off, in that order
        self.grants = LatestItems[tuple[int, float]]()  # the last hand-offs: when, tokens
        self.samples = LatestItems[tuple[int, int, float]]()  # when, latency, units
        self.successes = LatestItems[bool]()  # whether each outcome was a delivery
        # `version` counts changes; `_delay` is cached for the inputs beside it.
        self.version, self._delay_inputs, self._delay, self.unit_time = 0, (-1, -1, -1), 0.0, 0.0
        # `answered_sent`: when the newest hand-off was sent of those that were answered.
        self.resting_until = self.next_decrease_at = self.failures_in_row = self.answered_sent = 0

    def add_sample(self, latency: int, units: float) -> None:
        """Take in the latency of a hand-off."""
        self.samples.append((self.runtime.now, latency, units))
        self.version += 1
        times = sorted([latency / units for _, latency, units in self.samples])
        self.unit_time = times[len(times) // 4]  # time for one unit when nothing queues: the first quartile

    def queueing_delay(self) -> float:
        """How long the last hand-offs queued; without fresh samples the median of others (design: mean)."""
        now = self.runtime.now
        if self._delay_inputs != (inputs := (now, self.version, self.delays.version)):
            self._delay_inputs = inputs
            # A node from which nothing comes back may stand still. A hand-off that a later one overtook does
            # not count: its answer is lost.
            first = next((sent for sent in self.sent_at.values() if sent >= self.answered_sent), now)
            silence = now - max(self.last_heard, first)
            samples = [
                (at, latency - units * self.unit_time)
                for at, latency, units in self.samples[-LATEST_SAMPLES:]
            ]
            delays = remaining_delays(samples, now, self.soft_limit)
            delay = sum(delays) / len(delays) if delays else self.delays.median(now, self.soft_limit)
            self._delay = max(delay, silence - self.usual * self.unit_time)
        return self._delay

    def expected_latency(self, units: float) -> float:
        """The latency of a task of this size if it was handed off now."""
        return self.queueing_delay() + units * self.unit_time

    def headroom(self) -> float:
        """How far a usual task's latency is under its target, as a fraction of it; negative if it is over."""
        return 1 - self.expected_latency(self.usual) / (self.soft_limit * TARGET_SHARE)

    def shows_headroom(self) -> bool:
        """Whether a fresh sample, of this node or another, shows a latency under its target."""
        return self.delays.newest >= self.runtime.now - SAMPLE_LIFETIME and self.headroom() > 0

    def token_bound(self) -> float:
        """Tokens that may be in flight at the node.

        At least one largest task, except while the latency is over its target or the last hand-offs failed:
        the largest tasks of many gateways would keep its queue full.
        """
        least = self.largest_task if self.headroom() >= 0 and not self.failures_in_row else 0.0
        return max(self.rate * self.soft_limit * TARGET_SHARE, least)

    def decrease_rate(self, fraction: float, pause: int) -> None:
        """Lower the rate by a fraction, and then not again for `pause`, in which the effect can show.

        It falls from a few times what was used lately at most: a gateway that uses a small part of its rate
        would not slow down otherwise, and the sum over all gateways is the load.
        """
        if self.runtime.now >= self.next_decrease_at:
            used = sum(cost for at, cost in self.grants if at >= self.runtime.now - SECOND) / SECOND
            self.rate = max(min(self.rate, RATE_OVER_USE * used) * (1 - fraction), self.min_rate)
            self.next_decrease_at = self.runtime.now + pause
