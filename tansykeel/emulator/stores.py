"""A store in simulated time: the stand-in's behaviour behind simulated connections."""

from __future__ import annotations

import math
from typing import Any

from tansykeel.edge.tasks import Attempt
from tansykeel.emulator.scene import Scene
from tansykeel.emulator.ways import Conn
from tansykeel.interface import OutcomeKind
from tansykeel.protocol.frames import Hello
from tansykeel.standin.behaviour import Behaviour, Work
from tansykeel.standin.model import NEVER

HOWS = {how.value: how for how in OutcomeKind}


class SimStore:
    def __init__(self, scene: Scene, name: str, index: int, cold: bool) -> None:
        self.scene, self.engine, self.name, self.index = scene, scene.engine, name, index
        self.zone = scene.day.fleet.zone_of(index)
        self.address = f"{name}:1"
        self.alive, self.listening = True, True
        self.refuse_until = self.silent_until = 0
        self.conns: dict[Conn, None] = {}
        self.due, self.ticket = NEVER, 0
        draw = scene.stream_of_store(index)
        self.behaviour = Behaviour(
            name,
            index,
            self.zone,
            scene.day.fleet.shape,
            draw.random,
            draw.standard_normal,
            scene.marks,
            lambda: self.engine.now,
            scene.record,
            self._tell,
        )
        self.boot(cold)

    def boot(self, cold: bool) -> None:
        self.listening = True
        self.behaviour.boot(self.scene.new_boot(), cold)
        self.started = self.engine.now if cold else 0

    def down(self) -> None:
        """Every connection is reset and nothing listens; work in hand is lost."""
        self.listening = False
        self.due, self.ticket = NEVER, self.ticket + 1
        self.cut()

    def cut(self) -> None:
        for conn in list(self.conns):
            self._drop(conn)
            way = self.scene.ways.to_store(conn.gateway, self)
            self.engine.at(
                conn.back.arrival(self.engine.now + way), conn.gateway.tell, conn.life, conn.gateway.reset, conn
            )

    def dropped(self, conn: Conn) -> None:
        """The gateway's end is gone."""
        if conn in self.conns:
            self._drop(conn)

    def _drop(self, conn: Conn) -> None:
        del self.conns[conn]
        conn.dropped = True
        for work in list(conn.works.values()):
            if work.job is not None and work.job.state != "done":
                self.behaviour.lose(work)

    # Connections

    def reached(self, conn: Conn, way: int) -> None:
        now = self.engine.now
        if not self.listening or now < self.refuse_until or len(self.conns) >= self.behaviour.shape.connections:
            self.engine.after(way, conn.gateway.tell, conn.life, conn.gateway.not_reached, conn)
        elif conn.life != conn.gateway.life:
            return
        else:
            self.conns[conn] = None
            if now >= self.silent_until:
                hello = Hello(1, "store", self.name, self.behaviour.boot_id, self.behaviour.age())
                self.engine.at(
                    conn.back.arrival(now + way), conn.gateway.tell, conn.life, conn.gateway.hello, conn, hello
                )

    def arrive(self, conn: Conn, work: Work) -> None:
        if conn.dropped or self.engine.now < self.silent_until:
            return
        self.behaviour.take(work)
        self.arm()

    def cancel(self, conn: Conn, attempt: Attempt) -> None:
        work = conn.works.get(attempt)
        if work is None or conn.dropped or self.engine.now < self.silent_until:
            return
        if work.job is not None and work.job.state in ("waiting", "working"):
            self.behaviour.cancel(work)
            self.arm()

    def _tell(self, work: Work, how: str, elsewhere: int) -> None:
        conn, attempt = work.seat
        if conn.dropped:
            return
        request = work.request
        size = 0 if request.writes or how != "delivered" else request.size
        way = self.scene.ways.to_store(conn.gateway, self) + self.scene.ways.wire_time(size)
        self.engine.at(
            conn.back.arrival(self.engine.now + way),
            conn.gateway.tell,
            conn.life,
            conn.gateway.told,
            conn,
            attempt,
            HOWS[how],
            self.index,
            self.behaviour.model.load(),
            elsewhere,
        )

    # Its own time

    def arm(self) -> None:
        """See to it that the model is advanced when something is due there."""
        due = self.behaviour.model.due()
        if due != self.due:
            self.due = due
            self.ticket += 1
            if due < NEVER:
                self.engine.at(max(math.ceil(due * 1000), self.engine.now + 1), self._due, self.ticket)

    def _due(self, ticket: int) -> None:
        if ticket == self.ticket:
            self.due = NEVER
            self.behaviour.advance()
            self.arm()

    def verb(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        until = self.engine.now + int(for_s * 1e6)
        if self.behaviour.trouble(verb, for_s, detail):
            self.arm()
        elif verb == "refuse":
            self.refuse_until = until
        elif verb == "silent":
            self.silent_until = until
        else:  # reset, cut
            if verb == "reset":
                self.refuse_until = until
            self.cut()
