"""The gateway's program: the sockets, clock and signals around the core. It accepts clients and ends on SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from tansykeel.brain import Scheduler
from tansykeel.cluster.member import MemberStillAlive
from tansykeel.cluster.send_queue import Urgency
from tansykeel.edge.clock import WakeupTimer, clock
from tansykeel.edge.cluster_agent import ClusterAgent, PartObserver
from tansykeel.edge.control_session import ClaimObserver, ControlSession, create_control_session
from tansykeel.edge.core import Core
from tansykeel.edge.listing import StoreListClient
from tansykeel.edge.maintenance import UPDATE_INTERVAL_S, MaintenanceAgent
from tansykeel.edge.native import NativeProtocol, answer_frame, bounds_of, configured_stores
from tansykeel.edge.peers import Peers
from tansykeel.edge.stores import Stores
from tansykeel.edge.tasks import DELIVERED, Attempt, DecisionModule, FinalAnswer, HeldTask, StillHeld
from tansykeel.edge.trace import Trace
from tansykeel.interface import PeerMessage, SchedulerConfig, ShareProvider
from tansykeel.maintenance.messages import CODEC, Figures, MaintenanceMessage, MessageError
from tansykeel.maintenance.state import State
from tansykeel.protocol.codec import Codec, Event, Piece
from tansykeel.protocol.frames import (
    Accord,
    AccordTold,
    Cancel,
    Cut,
    FleetAsk,
    FleetWithout,
    Goodbye,
    Hello,
    ProtocolError,
    Share,
    TaskOf,
    Watch,
)
from tansykeel.settings.records import Settings
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, accept_waiting, listening

LAST_TASKS_WAIT = 0.25  # seconds for which a gateway that ends still takes what its clients have sent, to answer it
CONTROL_CLOSE_WAIT = 0.5  # seconds for which a gateway that ends waits until its control session is closed
IDLE_CHECK_INTERVAL = 1.0  # seconds between checks for idle connections
EXIT_FAILED = 70  # exit code after a failure of the module or the program; held tasks are answered before


class Edge:
    """One gateway. `serve` runs it until SIGTERM.

    One of `sample` answers is logged. `make_module` creates the decision module. `allotment_observer` and
    `claim_observer` are called with each change of what this gateway counts as its own: with agreed views and with
    control sessions respectively.
    """

    def __init__(
        self,
        settings: Settings,
        facts: SchedulerConfig,
        seed: int,
        trace: Trace | None = None,
        sample: int = 100,
        make_module: Callable[..., DecisionModule] = Scheduler,
        allotment_observer: PartObserver | None = None,
        claim_observer: ClaimObserver | None = None,
    ) -> None:
        self.settings, self.gateway = settings, settings.gateway
        self.log = structlog.get_logger().bind(gateway=self.gateway.named(facts.gateway_index))
        self.trace, self.sample, self._answers = trace, sample, 0
        self.incarnation = time.time_ns() & (2**62 - 1)
        self.hello = Hello(1, "edge", self.gateway.named(facts.gateway_index), self.incarnation, 0)
        self.hub = Hub(Limits(stall=settings.gateway.peer_stall_s))
        self.clients: set[Link] = set()
        self._wakeup = WakeupTimer(lambda now: self.core.run_timers(now))
        self._list_requested = False
        self.list_client: StoreListClient | None = None
        self.failed = False
        self.stopping = asyncio.Event()
        self.native = NativeProtocol(settings, facts)
        self.peers: Peers | None = None
        state: State | None = None
        self.cluster_agent: ClusterAgent | None = None
        if settings.peers:
            names = settings.names()
            self.peers = Peers(
                settings.peers.addresses,
                names,
                facts.gateway_index,
                self.hub,
                msgspec.structs.replace(self.hello, role="peer"),
                settings.peers.connect_timeout_ms / 1000,
                self._peer_message,
            )
            if settings.peers.agree:
                state = State() if settings.accord else None
                self.cluster_agent = ClusterAgent(
                    settings.peers,
                    names,
                    facts.gateway_index,
                    self.hello,
                    seed,
                    self.peers,
                    self.log,
                    lambda: time.time_ns() // 1_000_000,
                    allotment_observer,
                    state,
                )
        self.control_session: ControlSession | None = None
        if settings.control:
            self.control_session = create_control_session(
                settings, facts.gateway_index, self.incarnation, seed, self.hub, self.log, claim_observer
            )
        self.core = Core(
            facts,
            seed,
            self,
            clock(),
            bounds_of(self.gateway),
            self.native,
            configured_stores(settings),
            make_module,
            self._parts(),
        )
        self.served: dict[str, list[int]] = {}  # by category: tasks answered, and of those delivered in time
        self.maintenance_agent: MaintenanceAgent | None = None
        if self.cluster_agent and settings.accord and settings.peers and state:
            self.maintenance_agent = MaintenanceAgent(
                settings.accord,
                state,
                self.cluster_agent.cluster_member,
                self.core,
                dict(zip(settings.names(), settings.peers.addresses, strict=True)),
                self.served,
                self._send_to_gateway,
                lambda sent: self.cluster_agent.send(sent) if self.cluster_agent else None,
                self.log,
            )
        self.stores = Stores(self.core, self.hub, self.gateway, self.hello, clock)

    async def serve(self, ready: Callable[[int], None] = lambda port: None) -> int:
        """Take tasks until SIGTERM, then answer what is held and return the exit code. `ready` is called with the port
        once tasks are taken."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.set_exception_handler(self._on_exception)
        listener = listening(self.settings.listens_at(self.core.facts.gateway_index))
        self.hub.start()
        accepting = loop.create_task(accept_all(listener, self._accept, self.stores.free_descriptors))
        closing_idle = loop.create_task(self._close_idle())
        maintaining = loop.create_task(self._run_maintenance())
        if self.settings.listing:
            self.list_client = StoreListClient(self.core, self.hub, self.settings.listing, self.hello, clock)
            if self._list_requested or self.settings.listing.mode == "push":
                self.list_client.request()
        port = listener.getsockname()[1]
        if self.cluster_agent:
            self.cluster_agent.start()
        if self.control_session:
            self.control_session.start()
        self.log.info("ready", port=port)
        ready(port)
        await self.stopping.wait()
        self.log.info("stopping", held=len(self.core.held))
        accepting.cancel()
        self.core.stop()
        if self.cluster_agent:
            self.cluster_agent.leave()
        if self.control_session:
            self.control_session.close()
        await asyncio.sleep(0)
        accept_waiting(listener, self._accept)
        listener.close()
        for link in list(self.clients):
            link.send(0, Goodbye())
        if self.clients:
            # Tasks may have been on their way when their clients were told that the gateway ends. If the connections
            # were closed at once, these tasks would get no answer.
            await asyncio.sleep(LAST_TASKS_WAIT)
        await self._wait_for(lambda: not self.core.held or self.failed, self.gateway.stop_within_s * 0.8)
        self.core.answer_all(clock())
        for link in list(self.clients):
            link.close()
        await self._wait_for(lambda: not self.clients, self.gateway.stop_within_s * 0.2)
        closing_idle.cancel()
        maintaining.cancel()
        if self.list_client:
            self.list_client.end()
        if self.cluster_agent:
            self.cluster_agent.stop()
        if self.peers:
            self.peers.close()
        if session := self.control_session:
            await self._wait_for(lambda: session.ended, CONTROL_CLOSE_WAIT)
        await self.hub.stop()
        if self.trace:
            self.trace.end()
        self.log.info("stopped", left_unanswered=sum(not held.answered for held in self.core.held.values()))
        return EXIT_FAILED if self.failed else 0

    # GatewayIO: called by the core

    def answer(self, held: HeldTask, final: FinalAnswer, body: list[bytes], sent: Callable[[], None]) -> None:
        """Send a final answer, and log one of `sample`."""
        link: Link = held.client
        self._count_served(held, final)
        link.send(held.id, answer_frame(final, body))
        if body:
            link.send_body(held.id, body, sent)
        else:
            sent()
        if self.trace:
            self.trace.answered(held, final)
        self._answers += 1
        if self._answers % self.sample == 0:
            self.log.info(
                "answered",
                task=held.id,
                volume=held.request.volume,
                category=held.request.category,
                result=final.result,
                reason=final.reason or None,
                hand_offs=held.task.hand_offs,
                lag_ms=(self.core.runner.now - held.task.arrived) / 10,
                one_in=self.sample,
            )

    def hand_off(self, attempt: Attempt) -> None:
        """Send an attempt to its store."""
        if self.trace:
            self.trace.handed_off(attempt)
        self.stores.hand_off(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Take back an attempt, or tell its store to cancel it if it was sent."""
        self.stores.cancel(attempt)

    def withdraw(self, attempt: Attempt) -> bool:
        """Take back an attempt if it was not sent yet; return whether it was taken back."""
        return self.stores.withdraw(attempt)

    def set_wakeup(self, at: int) -> None:
        """Have the core run its timers at that time."""
        self._wakeup.set(at)

    def request_store_list(self) -> None:
        """Request the list of stores and its changes, now or once the program runs."""
        self._list_requested = True  # the module may ask before the program runs
        if self.list_client:
            self.list_client.request()

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        """Send a message to another gateway, or to all others where `peer` is None."""
        if self.peers:
            self.peers.send(peer, Urgency.HINT, self.native.share_from_message(message))

    def log_event(self, event: str, **fields: Any) -> None:
        """Write a line of the log."""
        self.log.info(event, **fields)

    # Internal

    def _parts(self) -> ShareProvider | None:
        """Return what tells this gateway's part of what all gateways divide; None: each has an equal part."""
        if self.cluster_agent:
            return self.cluster_agent.cluster_member.allotments
        return self.control_session.allotments if self.control_session else None

    def _accept(self, sock: Any) -> None:
        link = Link(self.hub, sock, Codec("client", "peer"), self.hello, self._on_event, self._on_lost)
        self.clients.add(link)
        if self.core.stopping:
            link.send(0, Goodbye())

    def _on_event(self, link: Link, event: Event) -> None:
        if isinstance(event, Piece):
            self.core.receive_body(clock(), link, event.stream, event.data)
            return
        match event.record:
            case TaskOf() as request:
                try:
                    self.core.receive_task(clock(), link, event.stream, request)
                except StillHeld as error:
                    raise ProtocolError(f"TASK on stream {event.stream}: a task with this id is still held") from error
            case Cancel():
                link.drop_body(event.stream)
                self.core.cancel_task(clock(), link, event.stream)
            case Hello() as hello:
                if self.peers and hello.role == "peer":
                    self.peers.accept(link, hello)
            case Share() | Watch() as message:
                self._peer_message(link, message)
            case Cut():
                self.core.cancel_task(clock(), link, event.stream)
            case Accord() as frame:
                self._maintenance_message(link, event.stream, frame)
            case FleetAsk() | FleetWithout() as fleet_request:
                if self.cluster_agent is None:
                    raise ProtocolError(
                        "FLEET_ASK: this gateway agrees with no others; legal: one whose settings have "
                        "peers(agree = True)"
                    )
                if isinstance(fleet_request, FleetWithout):
                    try:
                        self.cluster_agent.cluster_member.go_without(fleet_request.names)
                    except MemberStillAlive as error:
                        raise ProtocolError(f"FLEET_WITHOUT: {error}; {error.do}") from None
                    self.log.info("goes without", names=list(fleet_request.names))
                link.send(event.stream, self.cluster_agent.status())

    def _peer_message(self, link: Link, message: Any) -> None:
        """Handle a message of another gateway, on whichever connection it came."""
        match message:
            case Share():
                if peer_message := self.native.message_from_share(message):
                    self.core.receive_peer_message(clock(), message.sender, peer_message)
            case Watch():
                if self.cluster_agent and link.peer:
                    self.cluster_agent.received(link.peer, message)
            case Accord():
                self._maintenance_message(link, 0, message)
            case Goodbye():
                link.close()  # the peer ends and would not read further messages

    def _count_served(self, held: HeldTask, final: FinalAnswer) -> None:
        """Count an answer for the comparison of program versions. Volumes with a limit are left out: what their limit
        refuses tells nothing about the version."""
        if held.task.volume.plan.limit:
            return
        counts = self.served.setdefault(held.task.category.name, [0, 0])
        lag, soft_limit = self.core.runner.now - held.task.arrived, held.task.category.soft_limit
        counts[0] += 1
        counts[1] += final.result == DELIVERED and lag <= soft_limit

    def _maintenance_message(self, link: Link, stream: int, frame: Accord) -> None:
        if self.maintenance_agent is None:
            raise ProtocolError("ACCORD: this gateway gives no leave; legal: one whose settings have accord(...)")
        try:
            message = CODEC.decode(frame.what, frame.word)
        except MessageError as error:
            raise ProtocolError(f"ACCORD: {error}") from None
        if isinstance(message, Figures):
            if link.peer and link.peer.role != "client":
                self.maintenance_agent.figures_received(link.peer.name, message)
            return
        self.maintenance_agent.received(
            message, lambda answer: None if link.lost else link.send(stream, AccordTold(*CODEC.encode(answer)))
        )

    def _send_to_gateway(self, name: str, message: MaintenanceMessage) -> None:
        if self.peers and name in self.peers.by_name:
            self.peers.by_name[name].send(Urgency.HINT, Accord(*CODEC.encode(message)))

    def _on_lost(self, link: Link, why: str) -> None:
        self.clients.discard(link)
        self.core.client_disconnected(clock(), link)

    def _on_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Handle a failure of the module or the program: answer what is held and end. A supervisor restarts it."""
        error = context.get("exception")
        self.log.error("failed", message=context.get("message"), exc_info=error)
        self.failed = True
        self.core.stop()
        self.stopping.set()

    async def _close_idle(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL)
            self.stores.close_idle(asyncio.get_running_loop().time())

    async def _run_maintenance(self) -> None:
        while self.maintenance_agent:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            self.maintenance_agent.update()

    async def _wait_for(self, done: Callable[[], bool], seconds: float) -> None:
        end = asyncio.get_running_loop().time() + seconds
        while not done() and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
