"""Scripted control nodes on loopback: each gives the answers that the test sets, and records what gateways sent."""

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
UNITS = WHOLE_UNITS // 100  # per lease
HEARTBEAT_MS = 100


class ScriptedNode:
    """A control node that accepts sessions and grants leases of `units`; `rejects` and `silent` change its answers."""

    def __init__(self, name, address, units=UNITS, cluster="ours"):
        self.name, self.address, self.units, self.cluster = name, address, units, cluster
        self.role = "control"
        self.rejects = None  # the SessionRejected to send instead of accepting a session, or None
        self.silent = False  # if set, heartbeats are not answered
        self.sessions, self.leases = 0, 0
        self.received = []  # (gateway, incarnation, record) of all records except HELLO
        self.links = set()
        self.started = False

    async def start(self):
        """Listen on the node's address, and return the node."""
        self.hub = Hub(Limits())
        self.listener = listening(self.address)
        self.accepting = asyncio.create_task(accept_all(self.listener, self._accept))
        self.started = True
        return self

    async def stop(self):
        """Abort all connections without a GOODBYE, like a killed process."""
        if self.started:
            self.started = False
            self.accepting.cancel()
            await self.hub.stop()
            self.listener.close()

    def of(self, kind):
        """Return the received records of this type."""
        return [record for _, _, record in self.received if isinstance(record, kind)]

    def gateways(self):
        """Return the names of the gateways that asked for a session."""
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
        """Reject all sessions that gateways ask for from now on."""
        self.rejects = SessionRejected(self.cluster, self.name, reason, retry_after)


def control_settings(addresses, gateways=20, extra="", lease_ms=LEASE_MS, heartbeat_ms=HEARTBEAT_MS):
    """Return the text of settings with one region, control nodes n0, n1 ... at these addresses, and a store.

    Unless `extra` defines stores, nothing listens at the address of the store.
    """
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
    """Return the settings that a text in the settings language defines."""
    collected = Script()
    script.run_text(text, Path("test.star"), collected.verbs())
    return collected.settings("test.star")
