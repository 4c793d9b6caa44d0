"""One gateway on the platform: the core with sockets, signals and a log. SIGTERM stops it, SIGHUP reloads its file."""

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
from tansykeel.http1.messages import Malformed, Request
from tansykeel.interface import PeerMessage
from tansykeel.platform.client_connection import Client
from tansykeel.platform.clients import Clients
from tansykeel.platform.config import Config, Illegal, read, read_at_start
from tansykeel.platform.config_reload import ConfigReload
from tansykeel.platform.discovery import Discovery
from tansykeel.platform.event_counts import EventCounts
from tansykeel.platform.event_log import standard_output
from tansykeel.platform.intake import RequestParser, TaskRequest
from tansykeel.platform.member_rows import RowReader
from tansykeel.platform.periodic_checks import CHECK_INTERVAL, PeriodicChecks
from tansykeel.platform.request_rules import Invariant, Violations, answer_ends_connection
from tansykeel.platform.stall_detector import StallDetector
from tansykeel.platform.start_signals import StartSignals
from tansykeel.platform.stores import Stores
from tansykeel.platform.used_ids import UsedIds
from tansykeel.transport.sockets import accept_all, accept_waiting, listening, run, seconds_since_data
from tansykeel.transport.stream import Stream

LOG_ONE_IN = 500  # one answer of this many is logged
FIRST_LIST_TIMEOUT = 0.5  # seconds that a start waits for discovery's first list, which applies from its arrival on
KILL_DELAY = 0.7  # seconds after SIGTERM plus the longest deadline at which the platform kills a gateway
MAX_COUNTED_DEADLINE = 3.0  # seconds of the longest deadline that the platform counts at most
# Seconds before the kill: each answer ends its connection from then on, all tasks are answered, all connections closed.
DRAIN_BEFORE_KILL, ANSWER_BEFORE_KILL, CLOSE_BEFORE_KILL = 1.0, 0.3, 0.1
ACCEPT_PERIOD = 0.5  # seconds after SIGTERM for which new connections are accepted at least
# Of the process's descriptors: the fraction for stores, and the number kept for other uses. The rest is for clients.
STORE_SOCKET_FRACTION, RESERVED_DESCRIPTORS = 0.3, 32
BODY_MEMORY_FRACTION, ANSWER_MEMORY_FRACTION = 0.125, 0.25  # of the memory limit: for request bodies and for answers
EXIT_USAGE = 2  # exit code for an address that can't be listened on
TRACE_VARIABLE = "TANSYKEEL_TRACE"  # "1": each event of each request is logged
MAX_READ_TIME = 2.0  # seconds for which one request is read at most
MAX_TRACE_ENTRIES = 6  # last entries of a failure's traceback that are logged


log = standard_output()


class Gateway:
    """The core's I/O: takes requests from clients, gives the core's attempts to stores and sends its answers."""

    def __init__(self, path: str, config: Config) -> None:
        self.path, self.config = path, config
        loop = asyncio.get_running_loop()
        self.loop, limits = loop, config.file.limits
        self.violations = Violations(log)
        self.counts = EventCounts(log if os.environ.get(TRACE_VARIABLE) == "1" else None)
        self.stalls = StallDetector(CHECK_INTERVAL, loop.time())
        self.checks = PeriodicChecks(self, log)
        self.wakeup_timer = WakeupTimer(self._run_timers)
        self.stopping = asyncio.Event()
        self.stop_received_at = 0.0  # when SIGTERM came, 0 before it
        self.closing = False  # set once each answer ends its connection, as the gateway stops
        self.open_requests: dict[bytes, Client] = {}  # clients of requests that are not answered yet, by request id
        self.used_ids = UsedIds()
        self.answer_count = 0
        self.never_sent = Counter[str]()  # tasks that were not delivered and had no hand-off, by cause
        self._discovery: Discovery | None = None
        self._config_reload = ConfigReload(self._load_config, loop, log)
        self.request_parser = RequestParser(config.facts)
        bounds = Bounds(config.open_tasks, int(limits.memory_mb * 2**20 * BODY_MEMORY_FRACTION), codec.MOST_BODY)
        known = config.file.known
        rows = RowReader(config.zones)
        self.core = Core(
            config.facts,
            config.seed,
            self,
            clock(),
            bounds,
            self.request_parser,
            [rows.row(member, None) for member in known.members],
        )
        for_stores = int(limits.sockets * STORE_SOCKET_FRACTION)
        self.clients = Clients(
            self,
            limits.sockets - for_stores - RESERVED_DESCRIPTORS,
            bounds.body_memory,
            loop.time,
            loop.call_soon,
            self._received_at,
            self.counts,
        )
        self.stores = Stores(
            self.core,
            for_stores,
            int(limits.memory_mb * 2**20 * ANSWER_MEMORY_FRACTION),
            self.clients,
            config.connect_within,
            config.idle_close,
            config.longest_deadline,
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
            self.stores.free_descriptors,
            log,
        )

    @property
    def discovery(self) -> Discovery:
        """The client of the discovery service, which follows its list of stores."""
        assert self._discovery is not None
        return self._discovery

    async def serve(self, listener: socket, signals: StartSignals | None = None) -> int:
        """Take tasks until SIGTERM, answer those held, return the exit code. `signals`: received during the start."""
        loop, file = self.loop, self.config.file
        loop.set_exception_handler(
            lambda _, context: self.failed(str(context.get("message")), context.get("exception"))
        )
        handlers = {signal.SIGTERM: self.stop, signal.SIGINT: self.stop, signal.SIGHUP: self.reload_config}
        (signals or StartSignals()).hand_over(loop, handlers)
        self.discovery.ensure_watch()
        with suppress(TimeoutError):
            # Nothing is sent before: discovery may know of a drain that the configuration's `known` list lacks.
            await asyncio.wait_for(self.discovery.first_list.wait(), FIRST_LIST_TIMEOUT)
        accepting = loop.create_task(accept_all(listener, self.clients.accept, self.stores.free_descriptors))
        log(
            "ready",
            name=file.name,
            listen=file.listen,
            clients=self.clients.max_connections,
            stores=self.stores.max_connections,
            memory_mb=file.limits.memory_mb,
            cores=file.limits.cores,
            known=len(self.core.stores),
            open_tasks=self.core.bounds.open_tasks,
        )
        gc.freeze()
        checking = loop.create_task(self.checks.run())
        await self.stopping.wait()
        log("stopping", held=len(self.open_requests))
        # Counted from the signal, as the platform does: it may have come while the start waited for the first list.
        kill_at = self.stop_received_at + min(self.config.longest_deadline, MAX_COUNTED_DEADLINE) + KILL_DELAY
        await asyncio.sleep(kill_at - DRAIN_BEFORE_KILL - loop.time())
        await self._close_between_requests(kill_at)
        accepting.cancel()
        await asyncio.sleep(0)
        accept_waiting(listener, self.clients.accept)
        listener.close()
        await self._answer_remaining(kill_at)
        checking.cancel()
        self.discovery.stop()
        self.checks.report()
        log("stopped", left_unanswered=len(self.open_requests))
        return 0

    def stop(self, received_at: float | None = None) -> None:
        """Handle SIGTERM or SIGINT, received now or at that monotonic time. Further ones have no effect."""
        self.stop_received_at = self.stop_received_at or received_at or self.loop.time()
        self.stopping.set()

    async def _close_between_requests(self, kill_at: float) -> None:
        """Let each answer end its connection and close idle connections, until none is open: clients would otherwise
        send on open connections until the kill. New connections are accepted meanwhile: with short deadlines this
        begins while clients still open them, and they would be reset or refused."""
        self.closing = True
        # At least 0.05 s, in which waiting connections are accepted.
        accept_end = max(self.stop_received_at + ACCEPT_PERIOD, self.loop.time() + 0.05)
        while (self.clients.conns or self.loop.time() < accept_end) and self.loop.time() < kill_at - ANSWER_BEFORE_KILL:
            self.clients.close_idle()
            await asyncio.sleep(0.02)

    async def _answer_remaining(self, kill_at: float) -> None:
        """Answer all tasks held and all further requests without their stores, and wait until the answers are sent."""
        self.core.stop()
        self.core.answer_all(clock())
        self.clients.reject_partial_requests()
        while self.clients.conns and self.loop.time() < kill_at - CLOSE_BEFORE_KILL:
            self.clients.close_idle()
            await asyncio.sleep(0.02)
        self.clients.close_all()

    def reload_config(self, received_at: float | None = None) -> None:
        """Handle SIGHUP: take the address of discovery from the configuration file. Its other settings stay."""
        self._config_reload.run()

    def _load_config(self) -> None:
        """Read the configuration file and use its address of discovery. Raises Illegal."""
        config = read(self.path)
        if config.file.settings != self.config.file.settings:
            log("other settings are taken at the next start only")
        self.config = config
        self.discovery.change_address(config.file.discovery)

    # Handler: called by client connections

    def request(self, client: Client, request: Request) -> None:
        """Answer a health check, reject a request that is no task, or give its task to the core."""
        if request.target == b"/_health":
            last = self._ends_with_answer(client, request)
            return client.answer(codec.answer(200, b"ok\n", last=last), last)
        try:
            task_request = self.request_parser.parse_task(request)
            if task_request.id in self.open_requests or self.used_ids.may_have_run(task_request.id, self.loop.time()):
                raise Malformed("the id of a request that is still open or may have run", 409)
        except Malformed as error:
            return client.reject(error.status)
        self.counts.trace("taken", id=task_request.id, target=request.target, left_ms=task_request.time_left / 10)
        client.open_request = task_request.id
        self.open_requests[task_request.id] = client
        try:
            self.core.receive_task(clock(), client, task_request.id, task_request)
        except Exception as error:
            self.failed("the core failed to take a request", error)
            self._answer_failed(client, task_request)

    def client_disconnected(self, client: Client) -> None:
        """Cancel the task of the client's open request."""
        assert client.open_request is not None
        del self.open_requests[client.open_request]
        self.core.cancel_task(clock(), client, client.open_request)

    def _answer_failed(self, client: Client, task_request: TaskRequest) -> None:
        """Answer 500 to a request that the core failed to take, which would otherwise get no answer."""
        if client.open_request != task_request.id:
            return
        self.violations.report(Invariant.ANSWER_BEFORE_CLOSE, id=task_request.id)
        self.core.cancel_task(clock(), client, task_request.id)
        self.open_requests.pop(task_request.id, None)
        last = self._ends_with_answer(client, task_request.request)
        client.answer(codec.answer(500, last=last), last)

    # GatewayIO: called by the core

    def answer(self, held: HeldTask, final: FinalAnswer, body: list[bytes], sent: Callable[[], None]) -> None:
        """Send a task's final answer to its client, and count and log it. `sent` is called at once."""
        client: Client = held.client
        sent()
        if self.open_requests.pop(held.id, None) is None:
            return self.violations.report(Invariant.ONE_ANSWER, id=held.id, result=final.result)
        task_request: TaskRequest = held.request
        last = self._ends_with_answer(client, task_request.request)
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
        self.answer_count += 1
        if self.answer_count % LOG_ONE_IN == 0:
            log(
                "answered",
                id=held.id,
                result=final.result,
                reason=final.reason,
                hand_offs=held.task.hand_offs,
                lag_ms=(self.core.runner.now - held.task.arrived) / 10,
                one_in=LOG_ONE_IN,
            )

    def hand_off(self, attempt: Attempt) -> None:
        """Send the attempt to its store."""
        self.used_ids.attempt_begins(attempt, self.loop.time())
        self.stores.hand_off(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt, sent or not."""
        self.stores.cancel(attempt)

    def withdraw(self, attempt: Attempt) -> bool:
        """Cancel an attempt if its store can't have begun it; return whether it was cancelled."""
        return self.stores.withdraw(attempt)

    def set_wakeup(self, at: int) -> None:
        """Run the core's timers at that time of its clock."""
        self.wakeup_timer.set(at)

    def request_store_list(self) -> None:
        """Ask discovery for its list of stores."""
        if self._discovery:  # None while the core is constructed
            self._discovery.ensure_watch()

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        pass  # the platform's settings allow no connection between gateways

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log."""
        log(event, **fields)

    # Internal

    def _ends_with_answer(self, client: Client, request: Request) -> bool:
        """Whether the connection ends with the answer to this request."""
        return answer_ends_connection(
            client_wants_end=not request.keep_alive,
            gateway_ends=self.closing,
            has_sent_more=self.closing and client.has_sent_more,
        )

    def _received_at(self, stream: Stream, late: bool) -> int:
        """Return, by the core's clock, when the bytes arrived that were just read from the stream. `late`: they may
        have waited although the loop was not stalled, since the request took many short reads."""
        now = self.loop.time()
        if not self.stalls.max_unread_age(now):
            age = min(seconds_since_data(stream.sock) or 0.0, MAX_READ_TIME) if late else 0.0
            return clock() - int(age * TICKS_PER_SECOND)
        age = self.stalls.age_of_bytes(now, seconds_since_data(stream.sock))
        return clock() - int(age * TICKS_PER_SECOND)

    def _list_caught_up(self) -> bool:
        """Whether everything that discovery has sent was read. Checked only after a stall of the event loop."""
        if not self.stalls.max_unread_age(self.loop.time()):
            return True
        return self.discovery.caught_up()

    def _run_timers(self, now: int) -> None:
        """Run the core's timers that are due. After a failure the remaining ones still run later."""
        try:
            self.core.run_timers(now)
        except Exception as error:
            self.failed("a timer of the core failed", error)
            self.core.runner.run_pending()

    def failed(self, message: str, error: BaseException | None) -> None:
        """Log an internal failure with its traceback; the gateway keeps running."""
        trace = traceback.format_exception(error)[-MAX_TRACE_ENTRIES:] if error else None
        log("failed", message=message, trace=trace)


async def _serve(path: str, config: Config, listener: socket, signals: StartSignals | None) -> int:
    return await Gateway(path, config).serve(listener, signals)


def main(signals: StartSignals | None = None) -> int:
    """Run a gateway until it is stopped and return the exit code. `signals`: received while it was imported."""
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
        return EXIT_USAGE
    return run(lambda: _serve(path, config, listener, signals))
