"""A gateway in simulated time: the edge's real core behind simulated connections, stalls and restarts."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from fractions import Fraction
from random import Random
from typing import Any

from tansykeel.audit.records import Counted, Listed, Said
from tansykeel.cluster.member import ClusterMember, ClusterMessage
from tansykeel.cluster.member import OutgoingMessage as FleetSent
from tansykeel.cluster.membership import Member
from tansykeel.cluster.messages import CODEC
from tansykeel.edge.core import Core
from tansykeel.edge.native import NativeProtocol, answer_frame, bounds_of, configured_stores, hand_off_frame
from tansykeel.edge.tasks import Attempt, FinalAnswer, HeldTask
from tansykeel.emulator.scene import Scene
from tansykeel.emulator.ways import Conn, GatewayEnd, Line, StoreEnd
from tansykeel.interface import OutcomeKind, PeerMessage
from tansykeel.protocol.frames import HEAD_BYTES, Hello, ListOf, Row, Share, TaskOf
from tansykeel.settings.cluster import cluster_member_of
from tansykeel.standin.behaviour import Work
from tansykeel.standin.book import Book

TENTH = 100  # microseconds
ENDS, GONE = 1_000_000, 20_000  # from being told to end to answering all, and from there to the end


class Gateway:
    """`fleet` holds all gateways of the day, by their index."""

    def __init__(self, scene: Scene, index: int, fleet: list[Gateway]) -> None:
        self.scene, self.index, self.name, self.fleet = scene, index, f"edge-{index}", fleet
        self.engine = scene.engine
        self.life = 0
        self.alive = self.stalled = self.ending = False
        self.fellow: ClusterMemberHost | None = None

    def start(self) -> None:
        """Start, or start again with nothing known but the settings and the list."""
        self.life += 1
        self.alive, self.stalled = True, False
        self.conns: dict[StoreEnd, Conn] = {}
        self.backlog: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.reminder, self.ticket = 0, 0
        self.from_list = Line()
        self.asked = False
        scene = self.scene
        facts = scene.facts[self.index]
        self.native = NativeProtocol(scene.settings, facts)
        self.fellow = ClusterMemberHost(self) if scene.settings.peers and scene.settings.peers.agree else None
        self.core = Core(
            facts,
            scene.seed * 1000 + self.index,
            self,
            self.clock(),
            bounds_of(scene.settings.gateway),
            self.native,
            configured_stores(scene.settings),
            scene.decide,
            self.fellow.cluster_member.allotments if self.fellow else None,
        )
        if self.asked or scene.day.fleet.list_mode == "push":
            self.request_store_list()

    def end(self) -> None:
        """Told to end: it takes no more, says so to the other gateways, answers what it holds and is gone."""
        self.ending = True
        self.alive = False  # clients that were told so go to others
        self.core.stop()
        if self.fellow:
            self.fellow.leave()
        self.engine.after(ENDS, self.tell, self.life, self._answer_all)

    def _answer_all(self) -> None:
        self.core.answer_all(self.clock())
        self.engine.after(GONE, self._gone, self.life)

    def _gone(self, life: int) -> None:
        if life == self.life:
            self.kill()

    def clock(self) -> int:
        return self.engine.now // TENTH

    def kill(self) -> None:
        """All it held is gone; stores and clients see their connections end."""
        self.alive = self.ending = False
        self.fellow = None
        self.life += 1
        for conn in self.conns.values():
            conn.lost = True
            self.engine.after(self.scene.ways.to_store(self, conn.store), conn.store.dropped, conn)
        self.scene.clients.edge_lost(self)

    # What comes in

    def tell(self, life: int, call: Callable[..., Any], *arguments: Any) -> None:
        """Something arrives. A process that stands still finds it later; one that was killed never."""
        if life != self.life:
            return
        if self.stalled:
            self.backlog.append((call, arguments))
        else:
            call(*arguments)

    def stall(self) -> None:
        self.stalled = True

    def go_on(self) -> None:
        """All that came meanwhile is read before held tasks are acted on, as the program does."""
        self.stalled = False
        backlog, self.backlog = self.backlog, []
        for call, arguments in backlog:
            call(*arguments)

    def task(self, client: str, id: int, request: TaskOf, body: bool) -> None:
        self.core.receive_task(self.clock(), client, id, request)
        if body and request.body:
            self.core.receive_body(self.clock(), client, id, self.scene.blank(request.body))

    def cancelled(self, client: str, id: int) -> None:
        self.core.cancel_task(self.clock(), client, id)

    def client_gone(self, client: str) -> None:
        self.core.client_disconnected(self.clock(), client)

    def listed(self, update: ListOf) -> None:
        self.core.apply_list_update(self.clock(), update)

    def list_lost(self) -> None:
        self.core.list_unavailable(self.clock())

    def word(self, sender: Member, word: ClusterMessage) -> None:
        if self.fellow:
            self.fellow.heard(sender, word)

    def share(self, share: Share) -> None:
        if word := self.native.message_from_share(share):
            self.core.receive_peer_message(self.clock(), share.sender, word)

    # GatewayIO: what the core wants done

    def answer(self, held: HeldTask, final: FinalAnswer, body: list[bytes], sent: Callable[[], None]) -> None:
        sent()
        self.scene.clients.answer_on_its_way(self, held.id, answer_frame(final, body))

    def set_wakeup(self, at: int) -> None:
        if self.reminder and at >= self.reminder:
            return
        self.reminder = at
        self.ticket += 1
        self.engine.at(at * TENTH, self._tick, self.life, self.ticket)

    def _tick(self, life: int, ticket: int) -> None:
        if life == self.life and ticket == self.ticket:
            if self.stalled:
                self.backlog.append((self._late, (ticket,)))
                return
            self.reminder = 0
            self.core.run_timers(self.clock())

    def _late(self, ticket: int) -> None:
        """A reminder that fell into a stall: carried out after all that came in was read."""
        self.engine.after(1_000, self._tick, self.life, ticket)

    def request_store_list(self) -> None:
        self.asked = True
        self.engine.after(self.scene.ways.to_list(), self.scene.list.ask, self, self.life)

    def send_to_peer(self, peer: int | None, word: PeerMessage) -> None:
        share = self.native.share_from_message(word)
        for other in self.fleet if peer is None else [self.fleet[peer]]:
            if other.alive and other is not self:
                self.engine.after(self.scene.ways.client(), other.tell, other.life, other.share, share)

    def log_event(self, event: str, **fields: Any) -> None:
        self.scene.notes.append(f"{self.name} {event} {fields}")

    def hand_off(self, attempt: Attempt) -> None:
        store = self.scene.store_at(self.core.addresses[attempt.store])
        conn = self.conns.get(store)
        if conn is None or conn.lost:
            conn = self.conns[store] = Conn(self, store, attempt.store)
            conn.waiting.append(attempt)
            way = self.scene.ways.to_store(self, store)
            self.engine.after(2 * way, store.reached, conn, way)
            timeout = int(self.scene.settings.gateway.connect_timeout_ms * 1000)
            self.engine.after(timeout, self.tell, self.life, self._connect_over, conn)
        elif not conn.up:
            conn.waiting.append(attempt)
        else:
            self._send(conn, attempt)

    def withdraw(self, attempt: Attempt) -> bool:
        conn = next((conn for conn in self.conns.values() if attempt in conn.waiting), None)
        if conn is None:
            return False
        conn.waiting.remove(attempt)
        self.engine.after(0, self.tell, self.life, self._outcome, attempt, OutcomeKind.CANCELLED)
        return True

    def cancel(self, attempt: Attempt) -> None:
        conn = attempt.connection
        if conn is None:
            self.withdraw(attempt)
        elif not conn.lost and attempt in conn.works:
            way = self.scene.ways.to_store(self, conn.store)
            self.engine.at(conn.there.arrival(self.engine.now + way), conn.store.cancel, conn, attempt)

    def _send(self, conn: Conn, attempt: Attempt) -> None:
        attempt.connection = conn
        request = hand_off_frame(attempt, self.clock())
        work = conn.works[attempt] = Work((conn, attempt), self.name, request)
        way = self.scene.ways.to_store(self, conn.store) + self.scene.ways.wire_time(request.body)
        self.engine.at(conn.there.arrival(self.engine.now + way), conn.store.arrive, conn, work)

    # What stores say

    def hello(self, conn: Conn, hello: Hello) -> None:
        if conn.lost:
            return
        conn.up = True
        unsent, conn.waiting = list(conn.waiting), deque()
        anew = self.core.store_connected(self.clock(), conn.known, hello.boot, hello.age)
        for attempt in unsent:
            if anew:  # granted without knowing of the start: as the program does, it is decided anew
                self._outcome(attempt, OutcomeKind.NOT_EXECUTED)
            elif not attempt.finished:
                self._send(conn, attempt)

    def not_reached(self, conn: Conn) -> None:
        if not conn.up and not conn.lost:
            conn.lost = True
            while conn.waiting:
                self._outcome(conn.waiting.popleft(), OutcomeKind.NO_CONNECTION)

    _connect_over = not_reached

    def reset(self, conn: Conn) -> None:
        """The store's end is gone: whatever was out may have run."""
        if conn.lost:
            return
        if not conn.up:
            return self.not_reached(conn)
        conn.lost = True
        for attempt in list(conn.works):
            self._outcome(attempt, OutcomeKind.RESET)
        conn.works.clear()

    def told(
        self, conn: Conn, attempt: Attempt, how: OutcomeKind, shard: int, report: tuple[float, ...], elsewhere: int
    ) -> None:
        if not conn.lost:
            conn.works.pop(attempt, None)
            self.core.record_outcome(self.clock(), attempt, how, shard=shard, report=report, elsewhere=elsewhere)

    def _outcome(self, attempt: Attempt, how: OutcomeKind) -> None:
        self.core.record_outcome(self.clock(), attempt, how)


class ClusterMemberHost:
    """The cluster member of a gateway's present incarnation, behind simulated ways."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway, self.scene, self.engine, self.life = gateway, gateway.scene, gateway.engine, gateway.life
        settings = self.scene.settings
        assert settings.peers is not None
        names = settings.names()
        self.numbers = {name: number for number, name in enumerate(names)}
        chance = Random(f"{self.scene.seed} {gateway.index} {gateway.life}")
        self.cluster_member: ClusterMember = cluster_member_of(
            settings.peers, names, gateway.index, self.engine.now, chance, gateway.clock()
        )
        self.told: tuple[int, Fraction, int] | None = None
        self._arm()

    def heard(self, sender: Member, word: ClusterMessage) -> None:
        self._say(self.cluster_member.handle_message(self.gateway.clock(), sender, word))
        self._arm()

    def leave(self) -> None:
        self._say(self.cluster_member.leave(self.gateway.clock()))

    def _arm(self) -> None:
        self.engine.at(max(self.cluster_member.due() * TENTH, self.engine.now + TENTH), self._tick)

    def _tick(self) -> None:
        if self.gateway.life != self.life:
            return
        if self.gateway.stalled:  # carried out after all that came in was read, as the program does
            self.gateway.backlog.append((self.engine.after, (1_000, self._tick)))
            return
        now = self.gateway.clock()
        if now >= self.cluster_member.due():
            self._say(self.cluster_member.tick(now, self.engine.now // 1_000))
            self._arm()

    def _say(self, sent: list[FleetSent]) -> None:
        me, now, scene = self.gateway, self.engine.now, self.scene
        if self.cluster_member.counted != self.told:
            self.told = number, part, until = self.cluster_member.counted
            scene.record(
                Counted(
                    now,
                    me.name,
                    self.cluster_member.me.incarnation,
                    number,
                    part.numerator,
                    part.denominator,
                    until * TENTH,
                )
            )
        for name, word in sent:
            to = self.numbers[name]
            what, data = CODEC.encode(word)
            out = scene.faults.passes(now, (me.index, to), HEAD_BYTES + len(data), scene.ways.client())
            for passed in out or [0]:
                scene.record(Said(now, passed, me.name, self.cluster_member.me.incarnation, name, what, data))
            other = me.fleet[to]
            for moment in out:
                self.engine.at(moment, other.tell, other.life, other.word, self.cluster_member.me, word)


class SimList:
    """The list's service: the stand-in's book, told over simulated connections."""

    def __init__(self, scene: Scene) -> None:
        self.scene, self.engine = scene, scene.engine
        self.book = Book(scene.day.fleet.list_late_s, scene.day.fleet.list_call_ms / 1000)
        self.watchers: dict[GatewayEnd, int] = {}

    def now(self) -> float:
        return self.engine.now / 1e6

    def ask(self, gateway: GatewayEnd, life: int) -> None:
        now, way = self.now(), self.scene.ways.to_list()
        ready = self.book.asked(now) if now >= self.book.gone_until else None
        if ready is None:
            self.engine.after(way, gateway.tell, life, gateway.list_lost)
        else:
            self.engine.at(int(ready * 1e6), self._answer, gateway, life)

    def _answer(self, gateway: GatewayEnd, life: int) -> None:
        if gateway.life == life and self.now() >= self.book.gone_until:
            self.watchers[gateway] = life
            self._send(gateway, True, self.book.all_rows(self.now()))

    def change(self, rows: list[dict[str, Any]]) -> None:
        now = self.now()
        self.engine.at(int(self.book.heard(now) * 1e6), self._change, rows, now)

    def _change(self, rows: list[dict[str, Any]], of: float) -> None:
        told = self.book.change(rows, of, self.now())
        for gateway in list(self.watchers):
            self._send(gateway, False, told)

    def _send(self, gateway: GatewayEnd, full: bool, rows: tuple[Row, ...]) -> None:
        life = self.watchers[gateway]
        if life != gateway.life:
            del self.watchers[gateway]
            return
        seen = tuple((row.name, row.state, row.boot) for row in rows)
        self.scene.record(Listed(self.engine.now, gateway.name, full, seen))
        update = ListOf(full, self.book.version, rows)
        moment = gateway.from_list.arrival(self.engine.now + self.scene.ways.to_list())
        self.engine.at(moment, gateway.tell, life, gateway.listed, update)

    def trouble(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        self.book.trouble(verb, self.now(), for_s, detail)
        if verb == "list_gone":
            for gateway, life in self.watchers.items():
                self.engine.after(self.scene.ways.to_list(), gateway.tell, life, gateway.list_lost)
            self.watchers.clear()
