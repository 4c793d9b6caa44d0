"""The edge program: sockets around the core. It accepts clients, keeps the clock, ends on SIGTERM."""

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
from tansykeel.edge.clock import Reminder, clock
from tansykeel.edge.cluster_agent import ClusterAgent, Counted
from tansykeel.edge.control_session import ClaimObserver, ControlSession, control_session_of
from tansykeel.edge.core import Core
from tansykeel.edge.listing import Listing
from tansykeel.edge.maintenance import LOOKS_EVERY, MaintenanceAgent
from tansykeel.edge.native import Native, answer_of, bounds_of, known_of
from tansykeel.edge.peers import Peers
from tansykeel.edge.stores import Stores
from tansykeel.edge.tasks import DELIVERED, Attempt, Decisions, Final, Held, StillHeld
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

LINGERS = 0.25  # seconds in which a gateway that ends still answers what its clients had sent
CLOSES = 0.5  # seconds in which a gateway that ends still tells its control node so
SWEEP = 1.0  # seconds between looks at idle connections
EXIT_FAILED = 70  # the module failed: everything held was answered, the process ends


class Edge:
    """One gateway. `serve` runs it until SIGTERM; `ready` is called with its port once it takes tasks."""

    def __init__(
        self,
        settings: Settings,
        facts: SchedulerConfig,
        seed: int,
        trace: Trace | None = None,
        sample: int = 100,
        decide: Callable[..., Decisions] = Scheduler,
        counted: Counted | None = None,
        claimed: ClaimObserver | None = None,
    ) -> None:
        self.settings, self.gateway = settings, settings.gateway
        self.log = structlog.get_logger().bind(gateway=self.gateway.named(facts.gateway_index))
        self.trace, self.sample, self._logged = trace, sample, 0
        self.incarnation = time.time_ns() & (2**62 - 1)
        self.hello = Hello(1, "edge", self.gateway.named(facts.gateway_index), self.incarnation, 0)
        self.hub = Hub(Limits(stall=settings.gateway.peer_stall_s))
        self.clients: set[Link] = set()
        self._reminder = Reminder(lambda now: self.core.tick(now))
        self._asked = False
        self.listing: Listing | None = None
        self.failed = False
        self.stopping = asyncio.Event()
        self.native = Native(settings, facts)
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
                    counted,
                    state,
                )
        self.control_session: ControlSession | None = None
        if settings.control:
            self.control_session = control_session_of(
                settings, facts.gateway_index, self.incarnation, seed, self.hub, self.log, claimed
            )
        self.core = Core(
            facts,
            seed,
            self,
            clock(),
            bounds_of(self.gateway),
            self.native,
            known_of(settings),
            decide,
            self._allotments(),
        )
        self.served: dict[str, list[int]] = {}  # by category: answered, and of those delivered in time
        self.maintenance_agent: MaintenanceAgent | None = None
        if self.cluster_agent and settings.accord and settings.peers and state:
            self.maintenance_agent = MaintenanceAgent(
                settings.accord,
                state,
                self.cluster_agent.cluster_member,
                self.core,
                dict(zip(settings.names(), settings.peers.addresses, strict=True)),
                self.served,
                self._tell_gateway,
                lambda sent: self.cluster_agent.say(sent) if self.cluster_agent else None,
                self.log,
            )
        self.stores = Stores(self.core, self.hub, self.gateway, self.hello, clock)

    async def serve(self, ready: Callable[[int], None] = lambda port: None) -> int:
        """Take tasks until SIGTERM, then answer what is held and return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.set_exception_handler(self._broken)
        listener = listening(self.settings.listens_at(self.core.facts.gateway_index))
        self.hub.start()
        accepting = loop.create_task(accept_all(listener, self._accept, self.stores.pressure))
        sweeping = loop.create_task(self._sweep())
        looking = loop.create_task(self._look())
        if self.settings.listing:
            self.listing = Listing(self.core, self.hub, self.settings.listing, self.hello, clock)
            if self._asked or self.settings.listing.mode == "push":
                self.listing.ask()
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
            # Guards against tasks that were on their way when their client was told: closed under them, the connection
            # takes them along unanswered.
            await asyncio.sleep(LINGERS)
        await self._wait_for(lambda: not self.core.held or self.failed, self.gateway.stop_within_s * 0.8)
        self.core.answer_all(clock())
        for link in list(self.clients):
            link.close()
        await self._wait_for(lambda: not self.clients, self.gateway.stop_within_s * 0.2)
        sweeping.cancel()
        looking.cancel()
        if self.listing:
            self.listing.end()
        if self.cluster_agent:
            self.cluster_agent.end()
        if self.peers:
            self.peers.end()
        if session := self.control_session:
            await self._wait_for(lambda: session.ended, CLOSES)
        await self.hub.stop()
        if self.trace:
            self.trace.end()
        self.log.info("stopped", left_unanswered=sum(not held.answered for held in self.core.held.values()))
        return EXIT_FAILED if self.failed else 0

    # Wire: what the core wants done

    def answer(self, held: Held, final: Final, body: list[bytes], sent: Callable[[], None]) -> None:
        link: Link = held.client
        self._count(held, final)
        link.send(held.id, answer_of(final, body))
        if body:
            link.send_body(held.id, body, sent)
        else:
            sent()
        if self.trace:
            self.trace.answered(held, final)
        self._logged += 1
        if self._logged % self.sample == 0:
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
        if self.trace:
            self.trace.handed_off(attempt)
        self.stores.hand_off(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.stores.cancel(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        self.stores.withdraw(attempt)

    def remind(self, at: int) -> None:
        self._reminder.set(at)

    def ask_list(self) -> None:
        self._asked = True  # the module may ask before the program runs
        if self.listing:
            self.listing.ask()

    def tell_peer(self, peer: int | None, word: PeerMessage) -> None:
        if self.peers:
            self.peers.tell(peer, Urgency.HINT, self.native.share_of(word))

    def note(self, event: str, **fields: Any) -> None:
        self.log.info(event, **fields)

    # Within

    def _allotments(self) -> ShareProvider | None:
        """Return what tells the gateway's part of the wholes that all gateways divide; none: each has an even part."""
        if self.cluster_agent:
            return self.cluster_agent.cluster_member.parts
        return self.control_session.allotments if self.control_session else None

    def _accept(self, sock: Any) -> None:
        link = Link(self.hub, sock, Codec("client", "peer"), self.hello, self._event, self._gone)
        self.clients.add(link)
        if self.core.stopping:
            link.send(0, Goodbye())

    def _event(self, link: Link, event: Event) -> None:
        if isinstance(event, Piece):
            self.core.piece(clock(), link, event.stream, event.data)
            return
        match event.record:
            case TaskOf() as request:
                try:
                    self.core.taken(clock(), link, event.stream, request)
                except StillHeld as error:
                    raise ProtocolError(f"TASK on stream {event.stream}: a task with this id is still held") from error
            case Cancel():
                link.drop_body(event.stream)
                self.core.left(clock(), link, event.stream)
            case Hello() as hello:
                if self.peers and hello.role == "peer":
                    self.peers.came(link, hello)
            case Share() | Watch() as word:
                self._peer_message(link, word)
            case Cut():
                self.core.left(clock(), link, event.stream)
            case Accord() as said:
                self._maintenance_message(link, event.stream, said)
            case FleetAsk() | FleetWithout() as told:
                if self.cluster_agent is None:
                    raise ProtocolError(
                        "FLEET_ASK: this gateway agrees with no others; legal: one whose settings have "
                        "peers(agree = True)"
                    )
                if isinstance(told, FleetWithout):
                    try:
                        self.cluster_agent.cluster_member.go_without(told.names)
                    except MemberStillAlive as error:
                        raise ProtocolError(f"FLEET_WITHOUT: {error}; {error.do}") from None
                    self.log.info("goes without", names=list(told.names))
                link.send(event.stream, self.cluster_agent.told_of())

    def _peer_message(self, link: Link, word: Any) -> None:
        """Another gateway says something, on whichever connection there is."""
        match word:
            case Share():
                if told := self.native.word_of(word):
                    self.core.heard(clock(), word.sender, told)
            case Watch():
                if self.cluster_agent and link.peer:
                    self.cluster_agent.heard(link.peer, word)
            case Accord():
                self._maintenance_message(link, 0, word)
            case Goodbye():
                link.close()  # it ends, and would not take what is said to it any more

    def _count(self, held: Held, final: Final) -> None:
        """For the comparison of versions: what a limit refuses tells of its volume, and of no version."""
        if held.task.volume.plan.limit:
            return
        counts = self.served.setdefault(held.task.category.name, [0, 0])
        lag, soft_limit = self.core.runner.now - held.task.arrived, held.task.category.soft_limit
        counts[0] += 1
        counts[1] += final.result == DELIVERED and lag <= soft_limit

    def _maintenance_message(self, link: Link, stream: int, said: Accord) -> None:
        if self.maintenance_agent is None:
            raise ProtocolError("ACCORD: this gateway gives no leave; legal: one whose settings have accord(...)")
        try:
            word = CODEC.decode(said.what, said.word)
        except MessageError as error:
            raise ProtocolError(f"ACCORD: {error}") from None
        if isinstance(word, Figures):
            if link.peer and link.peer.role != "client":
                self.maintenance_agent.told_by(link.peer.name, word)
            return
        self.maintenance_agent.heard(
            word, lambda answer: None if link.lost else link.send(stream, AccordTold(*CODEC.encode(answer)))
        )

    def _tell_gateway(self, name: str, word: MaintenanceMessage) -> None:
        if self.peers and name in self.peers.by_name:
            self.peers.by_name[name].tell(Urgency.HINT, Accord(*CODEC.encode(word)))

    def _gone(self, link: Link, why: str) -> None:
        self.clients.discard(link)
        self.core.client_gone(clock(), link)

    def _broken(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """The module or this program failed: answer what is held and end; a supervisor starts a new one."""
        error = context.get("exception")
        self.log.error("failed", message=context.get("message"), exc_info=error)
        self.failed = True
        self.core.stop()
        self.stopping.set()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP)
            self.stores.sweep(asyncio.get_running_loop().time())

    async def _look(self) -> None:
        while self.maintenance_agent:
            await asyncio.sleep(LOOKS_EVERY)
            self.maintenance_agent.look()

    async def _wait_for(self, done: Callable[[], bool], seconds: float) -> None:
        end = asyncio.get_running_loop().time() + seconds
        while not done() and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
