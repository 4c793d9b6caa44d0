"""The checks that a gateway runs several times a second (idle or stalled connections, silent discovery, overdue
tasks), and the figures that it logs."""

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

CHECK_INTERVAL = 0.25  # seconds between rounds of checks
READ_DELAY = 0.001  # seconds in which the event loop reads pending input after a stall
REPORT_INTERVAL = 10.0  # seconds between log lines with figures
COLLECT_INTERVAL = 5.0  # seconds between garbage collections


class CheckedGateway(Protocol):
    """The parts of a gateway that are checked or reported on."""

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
        """What follows discovery's list of stores."""

    def failed(self, message: str, error: BaseException | None) -> None:
        """Log an internal failure of the gateway with its cause."""


class PeriodicChecks:
    """The periodic checks of one gateway. A check that fails is logged; all others still run."""

    def __init__(self, gateway: CheckedGateway, log: Callable[..., None]) -> None:
        self.gateway, self.log = gateway, log

    def now(self) -> float:
        """Return the time of the event loop's clock, in seconds."""
        return self.gateway.loop.time()

    async def run(self) -> None:
        """Run the checks until cancelled."""
        gateway, now = self.gateway, self.now()
        report_at, collect_at, max_lateness = now + REPORT_INTERVAL, now + COLLECT_INTERVAL, 0.0
        while True:
            due = self.now() + CHECK_INTERVAL
            await asyncio.sleep(CHECK_INTERVAL)
            max_lateness = max(max_lateness, self.now() - due)
            if self.now() - due > BEAT_TOLERANCE:
                # The process was stalled: let the event loop read what arrived meanwhile before anything times out.
                await asyncio.sleep(READ_DELAY)
            self.gateway.stalls.beat(self.now())
            for check in (
                gateway.clients.check_timeouts,
                gateway.stores.check_timeouts,
                gateway.discovery.check_timeouts,
                self._answer_overdue,
            ):
                self._run_check(check)
            if self.now() >= collect_at:
                # Ended tasks and connections may refer to each other. The interpreter collects old objects only once
                # they make up a quarter of all objects, which would be about ten megabytes.
                gc.collect()
                collect_at = self.now() + COLLECT_INTERVAL
            if self.now() >= report_at:
                self.report(max_lateness)
                report_at, max_lateness = self.now() + REPORT_INTERVAL, 0.0

    def _run_check(self, check: Callable[[], None]) -> None:
        """Run a check; if it fails, log that, so that the other checks and the next round still run."""
        try:
            check()
        except Exception as error:
            self.gateway.failed("a periodic check failed", error)

    def _answer_overdue(self) -> None:
        """Give up tasks that should have been answered by now, which answers them, and count each as a violation."""
        now = clock()
        for held in [held for held in self.gateway.core.held.values() if is_overdue(held, now)]:
            self.gateway.violations.report(Invariant.ANSWER_IN_TIME, id=held.id, attempts=held.task.hand_offs)
            self.gateway.core.give_up(now, held, "overdue")

    def report(self, max_lateness: float = 0.0) -> None:
        """Log the figures so far; `max_lateness` is the most, in seconds, that the event loop was late since the last
        report."""
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
            stores={
                str(pool.store.handle): [len(pool.connections), len(pool.waiting)]
                for pool in gateway.stores.pools.values()
            },
            loop_late_ms=round(max_lateness * 1000, 1),
            stalls=gateway.stalls.stalls,
            violations=gateway.violations.counts,
            client_ends=gateway.counts.client_ends,
            store_connection_ends=gateway.counts.store_connection_ends,
            retries=gateway.counts.retries,
            rejections=gateway.counts.rejections,
            cpu_s=round(use.ru_utime + use.ru_stime, 2),
            most_memory_mb=use.ru_maxrss // 1024,
        )
