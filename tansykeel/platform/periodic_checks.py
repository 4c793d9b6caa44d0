"""What a gateway looks at several times a second: what idles, stalls, is overdue; figures for the log."""

from __future__ import annotations

import asyncio
import gc
import resource
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from tansykeel.edge.clock import clock
from tansykeel.edge.core import Core
from tansykeel.platform.clients import Clients
from tansykeel.platform.discovery import Discovery
from tansykeel.platform.event_counts import EventCounts
from tansykeel.platform.request_rules import Invariant, Violations, is_overdue
from tansykeel.platform.stall_detector import BEAT_TOLERANCE, StallDetector
from tansykeel.platform.stores import Stores

LOOK = 0.25  # seconds between looks at what idles, stalls or fell silent
READ_FIRST = 0.001  # seconds in which the loop reads what has come
REPORT = 10.0  # seconds between lines of figures in the log
TIDY = 5.0  # seconds between collections of cycles


class CheckedGateway(Protocol):
    """What is looked at of a gateway."""

    loop: asyncio.AbstractEventLoop
    core: Core
    clients: Clients
    stores: Stores
    stalls: StallDetector
    violations: Violations
    counts: EventCounts
    never_sent: Counter[str]

    @property
    def discovery(self) -> Discovery:
        """What follows discovery's list."""

    def failed(self, message: str, error: BaseException | None) -> None:
        """Log a failure within the gateway with its cause."""


class PeriodicChecks:
    """The looks of one gateway. A look that fails is logged, and the others and the next ones go on."""

    def __init__(self, gateway: CheckedGateway, log: Callable[..., None]) -> None:
        self.gateway, self.log = gateway, log

    def now(self) -> float:
        """Return the time in seconds of the event loop's clock."""
        return self.gateway.loop.time()

    async def run(self) -> None:
        """Check until cancelled."""
        gateway, now = self.gateway, self.now()
        report, tidy, late = now + REPORT, now + TIDY, 0.0
        while True:
            due = self.now() + LOOK
            await asyncio.sleep(LOOK)
            late = max(late, self.now() - due)
            if self.now() - due > BEAT_TOLERANCE:
                # Guards against a process that stood still: what came meanwhile is read before time is up for anyone.
                await asyncio.sleep(READ_FIRST)
            self.gateway.stalls.beat(self.now())
            for look in (
                gateway.clients.look,
                gateway.stores.look,
                gateway.discovery.look,
                self._answer_overdue,
            ):
                self._guarded(look)
            if self.now() >= tidy:
                # Guards against tasks and connections that ended and hold each other: the interpreter collects old
                # ones only once they make up a quarter of all objects, which are some ten megabytes.
                gc.collect()
                tidy = self.now() + TIDY
            if self.now() >= report:
                self.report(late)
                report, late = self.now() + REPORT, 0.0

    def _guarded(self, look: Callable[[], None]) -> None:
        """Guards against a look that fails: the others, and the next one, go on."""
        try:
            look()
        except Exception as error:
            self.gateway.failed("a look failed", error)

    def _answer_overdue(self) -> None:
        """Answer what should have had its answer by now, and count it."""
        now = clock()
        for held in [held for held in self.gateway.core.held.values() if is_overdue(held, now)]:
            self.gateway.violations.report(Invariant.ANSWER_IN_TIME, id=held.id, attempts=held.task.hand_offs)
            self.gateway.core.give_up(now, held, "overdue")

    def report(self, late: float = 0.0) -> None:
        """Log the figures so far; `late`: the longest time in seconds that the loop was late since the last ones."""
        gateway = self.gateway
        counts, use = gateway.core.counts, resource.getrusage(resource.RUSAGE_SELF)
        self.log(
            "figures",
            taken=counts.taken,
            delivered=counts.delivered,
            nacked=counts.nacked,
            broken_off=counts.broken_off,
            left=counts.left,
            outcomes=counts.outcomes,
            held=len(gateway.core.held),
            clients=len(gateway.clients.conns),
            errors=gateway.clients.errors,
            unanswered=gateway.clients.unanswered,
            never_sent=gateway.never_sent,
            stores={str(p.store.handle): [len(p.connections), len(p.waiting)] for p in gateway.stores.pools.values()},
            loop_late_ms=round(late * 1000, 1),
            stalls=gateway.stalls.stalls,
            violations=gateway.violations.counts,
            client_ends=gateway.counts.client_ends,
            store_connection_ends=gateway.counts.store_connection_ends,
            retries=gateway.counts.retries,
            rejections=gateway.counts.rejections,
            cpu_s=round(use.ru_utime + use.ru_stime, 2),
            most_memory_mb=use.ru_maxrss // 1024,
        )
