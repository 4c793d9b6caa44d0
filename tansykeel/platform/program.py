"""One gateway on the platform: sockets around the core, signals, the log. Ends on SIGTERM, reads anew on SIGHUP."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import traceback
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from socket import socket
from typing import Any

from tansykeel.edge.clock import TICKS_PER_SECOND, WakeupTimer, clock
from tansykeel.edge.core import Core
from tansykeel.edge.tasks import DELIVERED, NACKED, Attempt, Bounds, FinalAnswer, HeldTask
from tansykeel.http1 import codec
from tansykeel.http1.codec import Malformed, Request
from tansykeel.interface import Word
from tansykeel.platform.clients import Client, Clients
from tansykeel.platform.config import READ_AGAIN_AFTER, READ_WITHIN, Config, Illegal, Unreadable, read, read_at_start
from tansykeel.platform.discovery import Discovery, RowReader
from tansykeel.platform.event_counts import EventCounts
from tansykeel.platform.event_log import standard_output
from tansykeel.platform.intake import Reader, TaskRequest
from tansykeel.platform.periodic_checks import LOOK, PeriodicChecks
from tansykeel.platform.request_rules import Invariant, Violations, answer_ends_connection
from tansykeel.platform.stall_detector import StallDetector
from tansykeel.platform.start_signals import StartSignals
from tansykeel.platform.stores import Stores
from tansykeel.transport.sockets import accept_all, accept_waiting, listening, run, seconds_since_data
from tansykeel.transport.stream import Stream

SAMPLE = 500  # one answer of so many is logged
FIRST_LIST = 0.5  # seconds that a start waits for discovery's first word; what that holds counts as told from then on
KILLS_AFTER = 0.7  # seconds after SIGTERM and the longest deadline (3 s at most) at which the platform kills
LONGEST = 3.0
SERVES_UNTIL, ENDS_BEFORE, FLUSHES_BEFORE = 1.0, 0.3, 0.1  # seconds before it: answers are last, all are given, gone
COME_ON = 0.5  # seconds after SIGTERM for which new connections still come
STORE_PART, OTHERS = 0.3, 32  # of the descriptors that a process may hold; what is left is for clients
BODY_PART, ANSWER_PART = 0.125, 0.25  # of the memory, for requests' bodies and for answers
USAGE = 2
TRACE_VARIABLE = "TANSYKEEL_TRACE"  # "1": a line of the log for each event of each request
MOST_READ_FOR = 2.0  # seconds for which one request is read at most
MOST_TRACE = 6  # lines of a failure's trace that are logged


log = standard_output()


class Gateway:
    """The core's I/O, and what clients' requests come to."""

    def __init__(self, path: str, config: Config) -> None:
        self.path, self.config = path, config
        loop = asyncio.get_running_loop()
        self.loop, limits = loop, config.file.limits
        self.violations = Violations(log)
        self.counts = EventCounts(log if os.environ.get(TRACE_VARIABLE) == "1" else None)
        self.stalls = StallDetector(LOOK, loop.time())
        self.checks = PeriodicChecks(self, log)
        self.reminder = WakeupTimer(self._tick)
        self.stopping = asyncio.Event()
        self.told_to_stop = 0.0  # when SIGTERM came
        self.closing = False  # each answer is its connection's last
        self.open: dict[bytes, Client] = {}  # requests that are not answered, by id
        self.answers = 0
        self.never_sent = Counter[str]()  # tasks answered otherwise than delivered with no hand-off, by cause
        self._discovery: Discovery | None = None
        self._reading_again: asyncio.TimerHandle | None = None  # of a configuration that could not be read
        self.reader = Reader(config.facts)
        bounds = Bounds(config.open_tasks, int(limits.memory_mb * 2**20 * BODY_PART), codec.MOST_BODY)
        known = config.file.known
        rows = RowReader(config.zones)
        self.core = Core(
            config.facts,
            config.seed,
            self,
            clock(),
            bounds,
            self.reader,
            [rows.row(member, None) for member in known.members],
        )
        for_stores = int(limits.sockets * STORE_PART)
        self.clients = Clients(
            self,
            limits.sockets - for_stores - OTHERS,
            bounds.body_memory,
            loop.time,
            loop.call_soon,
            self._received_at,
            self.counts,
        )
        self.stores = Stores(
            self.core,
            for_stores,
            int(limits.memory_mb * 2**20 * ANSWER_PART),
            self.clients,
            config.connect_within,
            config.idle_close,
            config.longest,
            clock,
            loop.time,
            loop.call_later,
            log,
            self._list_caught_up,
            self.violations,
            self.counts,
        )
        self._discovery = Discovery(
            self.core,
            config.file.discovery,
            rows,
            known.revision,
            clock,
            loop.time,
            self.stores.list_changed,
            self.stores.pressure,
            log,
        )

    @property
    def discovery(self) -> Discovery:
        """What follows discovery's list."""
        assert self._discovery is not None
        return self._discovery

    async def serve(self, listener: socket, signals: StartSignals | None = None) -> int:
        """Take tasks until SIGTERM, answer what is held, return the exit code. `signals`: what came so far."""
        loop, file = self.loop, self.config.file
        loop.set_exception_handler(
            lambda _, context: self.failed(str(context.get("message")), context.get("exception"))
        )
        handlers = {signal.SIGTERM: self.stop, signal.SIGINT: self.stop, signal.SIGHUP: self.reload_config}
        (signals or StartSignals()).hand_over(loop, handlers)
        self.discovery.ask()
        with suppress(TimeoutError):
            # Guards against a send on the word of `known`: the agent may hold a drain that it has not.
            await asyncio.wait_for(self.discovery.first.wait(), FIRST_LIST)
        accepting = loop.create_task(accept_all(listener, self.clients.accept, self.stores.pressure))
        log(
            "ready",
            name=file.name,
            listen=file.listen,
            clients=self.clients.max_connections,
            stores=self.stores.most,
            memory_mb=file.limits.memory_mb,
            cores=file.limits.cores,
            known=len(self.core.stores),
            open_tasks=self.core.bounds.open_tasks,
        )
        gc.freeze()
        looking = loop.create_task(self.checks.run())
        await self.stopping.wait()
        log("stopping", held=len(self.open))
        # From the signal on: guards against one that came while the first list was waited for.
        killed = self.told_to_stop + min(self.config.longest, LONGEST) + KILLS_AFTER
        await asyncio.sleep(killed - SERVES_UNTIL - loop.time())
        await self._close_between_requests(killed)
        accepting.cancel()
        await asyncio.sleep(0)
        accept_waiting(listener, self.clients.accept)
        listener.close()
        await self._end(killed)
        looking.cancel()
        self.discovery.end()
        self.checks.report()
        log("stopped", left_unanswered=len(self.open))
        return 0

    def stop(self, received_at: float | None = None) -> None:
        """SIGTERM, received at that time of the monotonic clock, or now; a second one changes nothing."""
        self.told_to_stop = self.told_to_stop or received_at or self.loop.time()
        self.stopping.set()

    async def _close_between_requests(self, killed: float) -> None:
        """Clients send on connections that stay open, until it is killed. New ones are still taken: guards against
        their reset or refusal where deadlines are so short that it ends while they come."""
        self.closing = True
        come = max(self.told_to_stop + COME_ON, self.loop.time() + 0.05)  # who waits to be accepted is seen by then
        while (self.clients.conns or self.loop.time() < come) and self.loop.time() < killed - ENDS_BEFORE:
            self.clients.close_idle()
            await asyncio.sleep(0.02)

    async def _end(self, killed: float) -> None:
        """Answer all that is held and whatever still comes, send nothing on, and let the answers leave."""
        self.core.stop()
        self.core.answer_all(clock())
        self.clients.reject_partial_requests()
        while self.clients.conns and self.loop.time() < killed - FLUSHES_BEFORE:
            self.clients.close_idle()
            await asyncio.sleep(0.02)
        self.clients.close_all()

    def reload_config(self, received_at: float | None = None) -> None:
        """SIGHUP: discovery may have moved. All else is taken at the start only."""
        if self._reading_again:
            self._reading_again.cancel()
        try:
            self._take_configuration()
        except Illegal as error:
            log("configuration not taken", **error.fields)
            if isinstance(error, Unreadable):
                self._read_again_later(self.loop.time() + READ_WITHIN)

    def _read_again_later(self, last_try: float) -> None:
        """Guards against a file that can't be read for a moment: the old discovery goes, and no drain would be heard
        until the next SIGHUP."""

        def read_again() -> None:
            try:
                self._take_configuration()
            except Unreadable:
                if self.loop.time() < last_try:
                    self._read_again_later(last_try)
            except Illegal as error:
                log("configuration not taken", **error.fields)

        self._reading_again = self.loop.call_later(READ_AGAIN_AFTER, read_again)

    def _take_configuration(self) -> None:
        """Raises Illegal."""
        config = read(self.path)
        if config.file.settings != self.config.file.settings:
            log("other settings are taken at the next start only")
        self.config = config
        self.discovery.move(config.file.discovery)

    # What clients say

    def request(self, client: Client, request: Request) -> None:
        if request.target == b"/_health":
            last = self._ends_with_answer(client, request)
            return client.answer(codec.answer(200, b"ok\n", last=last), last)
        try:
            wanted = self.reader.wanted(request)
            if wanted.id in self.open:
                raise Malformed("the id of a request that is still open", 409)
        except Malformed as error:
            return client.reject(error.status)
        self.counts.trace("taken", id=wanted.id, target=request.target, left_ms=wanted.patience / 10)
        client.open_request = wanted.id
        self.open[wanted.id] = client
        try:
            self.core.receive_task(clock(), client, wanted.id, wanted)
        except Exception as error:
            self.failed("a request was not taken", error)
            self._answer_failed(client, wanted)

    def client_disconnected(self, client: Client) -> None:
        assert client.open_request is not None
        del self.open[client.open_request]
        self.core.cancel_task(clock(), client, client.open_request)

    def _answer_failed(self, client: Client, wanted: TaskRequest) -> None:
        """Guards against a fault of our own that would leave a request without its answer."""
        if client.open_request != wanted.id:
            return
        self.violations.report(Invariant.ANSWER_BEFORE_CLOSE, id=wanted.id)
        self.core.cancel_task(clock(), client, wanted.id)
        self.open.pop(wanted.id, None)
        last = self._ends_with_answer(client, wanted.request)
        client.answer(codec.answer(500, last=last), last)

    # GatewayIO: what the core wants done

    def answer(self, held: HeldTask, final: FinalAnswer, body: list[bytes], sent: Callable[[], None]) -> None:
        client: Client = held.client
        sent()
        if self.open.pop(held.id, None) is None:
            return self.violations.report(Invariant.ONE_ANSWER, id=held.id, result=final.result)
        wanted: TaskRequest = held.request
        last = self._ends_with_answer(client, wanted.request)
        if final.result == DELIVERED:
            data = codec.answer(200, body[0], last=last)
        elif final.result == NACKED:
            after = b"%.3f" % (final.come_back / 10_000) if final.come_back else b""
            data = codec.answer(503, last=last, retry_after=after)
        else:
            data = codec.answer(500, last=last)
        client.answer(data, last)
        self.counts.trace("answered", id=held.id, result=final.result, last=last)
        if final.result != DELIVERED:
            self.counts.rejected(held.id, final.reason or held.last_outcome or "its time or turn did not come")
        if final.result != DELIVERED and not held.task.hand_offs:
            task, now = held.task, self.core.runner.now
            late = now - task.arrived > (task.deadline - task.arrived) // 2
            self.never_sent[(final.reason or "given up") + (", late" if late else "")] += 1
        self.answers += 1
        if self.answers % SAMPLE == 0:
            log(
                "answered",
                id=held.id,
                result=final.result,
                reason=final.reason,
                hand_offs=held.task.hand_offs,
                lag_ms=(self.core.runner.now - held.task.arrived) / 10,
                one_in=SAMPLE,
            )

    def hand_off(self, attempt: Attempt) -> None:
        self.stores.hand_off(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.stores.cancel(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        self.stores.withdraw(attempt)

    def set_wakeup(self, at: int) -> None:
        self.reminder.set(at)

    def request_store_list(self) -> None:
        if self._discovery:  # not yet there while the core is made
            self._discovery.ask()

    def send_to_peer(self, peer: int | None, word: Word) -> None:
        pass  # the platform has no way between gateways that its settings allow

    def log_event(self, event: str, **fields: Any) -> None:
        log(event, **fields)

    # Within

    def _ends_with_answer(self, client: Client, request: Request) -> bool:
        """Whether the connection ends with the answer to this request."""
        return answer_ends_connection(
            client_wants_end=not request.lasts,
            gateway_ends=self.closing,
            has_sent_more=self.closing and client.has_sent_more,
        )

    def _received_at(self, stream: Stream, late: bool) -> int:
        """Return when the bytes came that were read from the stream just now, by the core's clock. `late`: they may
        have waited although the loop runs as it should, for reads were short."""
        now = self.loop.time()
        if not self.stalls.max_unread_age(now):
            age = min(seconds_since_data(stream.sock) or 0.0, MOST_READ_FOR) if late else 0.0
            return clock() - int(age * TICKS_PER_SECOND)
        age = self.stalls.age_of_bytes(now, seconds_since_data(stream.sock))
        return clock() - int(age * TICKS_PER_SECOND)

    def _list_caught_up(self) -> bool:
        """Whether all that discovery has said was read; looked at only where the loop has stood still."""
        if not self.stalls.max_unread_age(self.loop.time()):
            return True
        return self.discovery.caught_up()

    def _tick(self, now: int) -> None:
        """A time has come that the core asked for. Guards against a failure at one that loses those after it."""
        try:
            self.core.run_timers(now)
        except Exception as error:
            self.failed("a reminder failed", error)
            self.core.runner.settle()

    def failed(self, message: str, error: BaseException | None) -> None:
        """Log a failure within the gateway with its cause; the gateway goes on."""
        trace = traceback.format_exception(error)[-MOST_TRACE:] if error else None
        log("failed", message=message, trace=trace)


async def _serve(path: str, config: Config, listener: socket, signals: StartSignals | None) -> int:
    return await Gateway(path, config).serve(listener, signals)


def main(signals: StartSignals | None = None) -> int:
    """Run a gateway until it is told to stop; return the exit code. `signals`: those that came so far."""
    path = os.environ.get("EDGE_CONFIG", "")
    try:
        config = read_at_start(path)
        listener = listening(config.file.listen)
    except Illegal as error:
        print(f"tansykeel: {error}\n  {error.do}", file=sys.stderr)
        return error.code
    except OSError as error:
        print(
            f"tansykeel: {path}: listen: {config.file.listen}: {error.strerror}; legal: a free address here",
            file=sys.stderr,
        )
        return USAGE
    return run(lambda: _serve(path, config, listener, signals))
