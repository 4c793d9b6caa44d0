"""Runs a gateway's session with the control plane on the event loop and over TCP, and logs its state changes.

Many sessions can share one `Hub`: apart from its connections a session costs one timer and no asyncio task.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from tansykeel.cluster.allotments import Allotments
from tansykeel.control.actions import ConnectToNode, DisconnectFromNode, EffectiveLease, GatewayAction, SendToControl
from tansykeel.control.session_client import SessionClient, SessionState
from tansykeel.edge.clock import WakeupTimer, clock
from tansykeel.edge.control_connection import ControlConnection
from tansykeel.protocol.codec import Event, Frame
from tansykeel.protocol.frames import (
    Error,
    Fields,
    Goodbye,
    Hello,
    LeaseRenewal,
    ProtocolError,
    SessionAccepted,
    SessionRejected,
)
from tansykeel.settings.control import control_of, session_client_of
from tansykeel.settings.records import Settings
from tansykeel.transport.link import Hub

ROLE = "gateway"  # role in the HELLO that is sent to control nodes
MICROSECONDS_PER_MS = 1_000
MILLISECONDS_PER_SECOND = 1_000
REJECTED_ADVICE = (
    "compare control(...), region(...) and the gateway's name and number with the settings of the control nodes"
)

# Arguments: time by `clock`, name of the gateway, its incarnation, the lease that it uses from then on
ClaimObserver = Callable[[int, str, int, EffectiveLease], None]
ConnectionObserver = Callable[[socket.socket], None]


class ControlSession:
    """One gateway's session: executes the actions that its `SessionClient` requests.

    `on_claim` is called with each change of the lease that the gateway uses, before any action that follows from the
    change; `on_connection_end` is called with the socket of each connection that ends, while the socket is still open.
    """

    def __init__(
        self,
        client: SessionClient,
        addresses: Mapping[str, str],
        hello: Hello,
        connect_timeout: float,
        hub: Hub,
        log: Any,
        on_claim: ClaimObserver | None = None,
        on_connection_end: ConnectionObserver | None = None,
    ) -> None:
        self.client, self.addresses, self.hello = client, addresses, hello
        self.connect_timeout, self.hub, self.log = connect_timeout, hub, log
        self.on_claim, self.on_connection_end = on_claim, on_connection_end
        self.connections: dict[str, ControlConnection] = {}  # by node; those that the client still uses
        self.ending: set[ControlConnection] = set()  # closing, but with frames still to send
        self.claim: EffectiveLease | None = None  # the last one that was observed
        self.closed = False
        # What was logged last: the node that holds the session, the reason of its rejection, the refused renewals
        self._node = ""
        self._rejected_reason = ""
        self._refusals = 0
        self._reminder = WakeupTimer(self._tick)

    @property
    def allotments(self) -> Allotments:
        """The gateway's share, over time, of the limits that all gateways divide among themselves."""
        return self.client.allotments

    @property
    def is_open(self) -> bool:
        """Whether the session is open at a control node, as far as the gateway knows."""
        return not self.closed and self.client.state is SessionState.OPEN

    @property
    def ended(self) -> bool:
        """Whether the session was closed and no connection is left: all frames were sent, or could not be sent."""
        return self.closed and not self.connections and not self.ending

    def open_sockets(self) -> list[socket.socket]:
        """Return the sockets of all established connections."""
        connections = (*self.connections.values(), *self.ending)
        return [connection.sock for connection in connections if connection.sock]

    def start(self) -> None:
        """Open the session. Without a lease the gateway uses its safe part, the share that needs none."""
        now = clock()
        self._execute(now, self.client.tick(now) if now >= self.client.due() else [])

    def close(self) -> None:
        """Close the session gracefully; from now on the gateway uses no lease."""
        if self.closed:
            return
        now = clock()
        self.closed = True
        self._execute(now, self.client.close(now))
        for connection in list(self.connections.values()):
            self._disconnect(connection)

    def abort(self, why: str) -> None:
        """Drop all connections at once, as the death of the process would: control nodes get no SESSION_CLOSE."""
        self.closed = True
        for connection in (*self.connections.values(), *self.ending):
            connection.abort(why)

    # Implementation

    def _tick(self, now: int) -> None:
        if not self.closed:
            self._execute(now, self.client.tick(now) if now >= self.client.due() else [])

    def _execute(self, now: int, actions: list[GatewayAction]) -> None:
        self._log_changes(now)
        for action in actions:
            match action:
                case ConnectToNode(node):
                    self._connect(node)
                case SendToControl(node, record):
                    self._send(node, record)
                case DisconnectFromNode(node, reason):
                    if connection := self.connections.get(node):
                        self.log.info("control connection closed", node=node, reason=reason)
                        self._disconnect(connection)
        if not self.closed:
            self._reminder.set(max(self.client.due(), now + 1))

    def _connect(self, node: str) -> None:
        if previous := self.connections.get(node):
            self._disconnect(previous)
        self.connections[node] = ControlConnection(
            node,
            self.addresses[node],
            self.connect_timeout,
            self.hub,
            self.hello,
            self._opened,
            self._received,
            self._lost,
        )

    def _send(self, node: str, record: Fields) -> None:
        if connection := self.connections.get(node):
            connection.send(record)

    def _disconnect(self, connection: ControlConnection) -> None:
        """Close a connection that the client no longer uses; its end is not reported to the client."""
        del self.connections[connection.node]
        self.ending.add(connection)
        connection.close()

    def _opened(self, connection: ControlConnection) -> None:
        now = clock()
        self._execute(now, self.client.connected(now, connection.node))

    def _received(self, connection: ControlConnection, event: Event) -> None:
        if connection is not self.connections.get(connection.node) or not isinstance(event, Frame):
            return
        now, record = clock(), event.record
        match record:
            case Hello():
                pass
            case SessionAccepted() | SessionRejected() | LeaseRenewal() | Goodbye():
                if isinstance(record, SessionRejected) and record.retry_after:
                    self._log_rejection(connection.node, record)
                self._execute(now, self.client.handle_record(now, connection.node, record))
            case Error(text):
                self.log.error("control node reported an error", node=connection.node, what=text)
            case _:
                raise ProtocolError(f"{type(record).__name__}: not legal from a control node to a gateway")

    def _lost(self, connection: ControlConnection, why: str) -> None:
        if self.on_connection_end and connection.sock:
            self.on_connection_end(connection.sock)
        self.ending.discard(connection)
        if connection is not self.connections.get(connection.node):
            return
        del self.connections[connection.node]
        if self.closed:
            return
        self.log.info("control connection lost", node=connection.node, reason=connection.fault or why)
        now = clock()
        self._execute(now, self.client.connection_lost(now, connection.node))

    def _log_rejection(self, node: str, rejected: SessionRejected) -> None:
        retry_after_ms = rejected.retry_after // MICROSECONDS_PER_MS
        self.log.info("session rejected", node=node, reason=rejected.reason, retry_after_ms=retry_after_ms)

    def _log_changes(self, now: int) -> None:
        """Log what has changed since the last call, and report a change of the lease that the gateway uses."""
        client = self.client
        if client.rejected_reason != self._rejected_reason:
            self._rejected_reason = client.rejected_reason
            if client.rejected_reason:
                self.log.error("session rejected for good", what=client.rejected_reason, do=REJECTED_ADVICE)
        if client.node != self._node:
            lost = "session closed" if self.closed else "session lost"
            self.log.info("session opened" if client.node else lost, node=client.node or self._node)
            self._node = client.node
        if (refusals := client.refusals.total()) != self._refusals:
            self._refusals = refusals
            counts = {refusal.value: count for refusal, count in client.refusals.items()}
            self.log.warning("lease renewals refused", counts=counts)
        self._observe_claim(now)

    def _observe_claim(self, now: int) -> None:
        claim, before = self.client.effective_lease(now), self.claim
        if claim == before:
            return
        self.claim = claim
        had, has = bool(before and before.node), bool(claim.node)
        if has and not had:
            self.log.info("lease gained", node=claim.node, session=claim.session, part=float(self.client.part(now)))
        elif had and not has:
            self.log.info("lease lost", part=float(self.client.part(now)))
        if self.on_claim:
            self.on_claim(now, self.hello.name, self.hello.boot, claim)


def create_control_session(
    settings: Settings,
    gateway_number: int,
    incarnation: int,
    seed: int,
    hub: Hub,
    log: Any,
    on_claim: ClaimObserver | None = None,
    on_connection_end: ConnectionObserver | None = None,
) -> ControlSession:
    """Create the session of the gateway with this number. Raises ControlSettingsError."""
    name = settings.gateway.named(gateway_number)
    rng = Random(f"{seed} {name} {incarnation}")
    return ControlSession(
        session_client_of(settings, gateway_number, rng, clock()),
        {node.name: node.address for node in settings.control_nodes},
        Hello(1, ROLE, name, incarnation, 0),
        control_of(settings).connect_timeout_ms / MILLISECONDS_PER_SECOND,
        hub,
        log,
        on_claim,
        on_connection_end,
    )
