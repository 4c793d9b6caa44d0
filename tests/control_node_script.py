"""Scripted control nodes on loopback: each answers as the test says, and notes what gateways sent."""

from __future__ import annotations

import asyncio
from pathlib import Path

from stage import BASE, DEFAULTS, free_address

from tansykeel.control.actions import WHOLE_UNITS
from tansykeel.protocol.codec import Codec, Frame
from tansykeel.protocol.frames import (
    Heartbeat,
    Hello,
    LeaseRenewal,
    SessionAccepted,
    SessionOpen,
    SessionRejected,
)
from tansykeel.settings.build import Script, script
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, listening

LEASE_MS = 1_500
UNITS = WHOLE_UNITS // 100  # of each lease
HEARTBEAT_MS = 100


class ScriptedNode:
    """A control node that accepts sessions and grants `units`, or does as its fields say."""

    def __init__(self, name, address, units=UNITS, cluster="ours"):
        self.name, self.address, self.units, self.cluster = name, address, units, cluster
        self.role = "control"
        self.rejects = None  # a SessionRejected in place of an acceptance
        self.silent = False  # answers no heartbeat
        self.sessions, self.leases = 0, 0
        self.received = []  # (gateway, incarnation, record), without hellos
        self.links = set()
        self.started = False

    async def start(self):
        self.hub = Hub(Limits())
        self.listener = listening(self.address)
        self.accepting = asyncio.create_task(accept_all(self.listener, self._accept))
        self.started = True
        return self

    async def stop(self):
        """End without a word, as a process that is killed."""
        if self.started:
            self.started = False
            self.accepting.cancel()
            await self.hub.stop()
            self.listener.close()

    def of(self, kind):
        return [record for _, _, record in self.received if isinstance(record, kind)]

    def gateways(self):
        return {name for name, _, record in self.received if isinstance(record, SessionOpen)}

    def _accept(self, sock):
        hello = Hello(1, self.role, self.name, 1, 0)
        self.links.add(Link(self.hub, sock, Codec("gateway"), hello, self._event, lambda link, why: self._lost(link)))

    def _lost(self, link):
        self.links.discard(link)

    def _event(self, link, event):
        assert isinstance(event, Frame)
        if isinstance(event.record, Hello):
            return
        self.received.append((link.peer.name, link.peer.boot, event.record))
        match event.record:
            case SessionOpen() if self.rejects:
                link.send(0, self.rejects)
            case SessionOpen():
                self.sessions += 1
                link.send(0, SessionAccepted(self.cluster, self.name, self.sessions, HEARTBEAT_MS * 1_000))
            case Heartbeat(session, asked_at) if not self.silent:
                self.leases += 1
                link.send(0, LeaseRenewal(session, asked_at, self.leases, self.units, LEASE_MS * 1_000))

    def reject(self, reason, retry_after):
        self.rejects = SessionRejected(self.cluster, self.name, reason, retry_after)


def control_settings(addresses, gateways=20, extra="", lease_ms=LEASE_MS, heartbeat_ms=HEARTBEAT_MS):
    """Settings of one region with control nodes n0, n1 ... at these addresses, and a store that is never there."""
    text = BASE.format(**DEFAULTS) + extra
    text += f'store("s0", address = "{free_address()}", shard = 0)\n' if "store(" not in extra else ""
    text += (
        f'control(cluster = "ours", lease_ms = {lease_ms}, heartbeat_ms = {heartbeat_ms}, ping_ms = 100)\n'
        f'region("north", share = 1.0, gateways = {gateways})\n'
    )
    for number, address in enumerate(addresses):
        text += f'control_node("n{number}", region = "north", address = "{address}", zone = {number})\n'
    return text


def settings_of(text):
    collected = Script()
    script.run_text(text, Path("test.star"), collected.verbs())
    return collected.settings("test.star")
