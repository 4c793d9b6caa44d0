"""Checks records from other control nodes before they reach the core.

A peer must have a configured name and must belong to the same cluster and region.
"""

from __future__ import annotations

from typing import Any
from weakref import WeakSet

from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import Member
from tansykeel.edge.cluster_connections import ClusterConnections
from tansykeel.protocol.frames import Error, Fields, Goodbye, Hello, NodeOpen, ProtocolError, Watch
from tansykeel.transport.link import Link

ReceivedMessage = tuple[Member, ClusterMessage]


class NodeConnections:
    """Handles records from other control nodes, on connections that either side opened."""

    def __init__(self, members: ClusterConnections, own: NodeOpen, log: Any) -> None:
        self.members, self.own, self.log = members, own, log
        self._verified: WeakSet[Link] = WeakSet()  # connections to peers of the same cluster and region
        self._last_error: dict[str, str] = {}  # by node; avoids the same log line for each reconnection

    def accept(self, link: Link, hello: Hello) -> None:
        """Accept a connection that another control node opened.

        Raises ProtocolError if the settings have no other control node of this name in the region.
        """
        peers = self.members.peers
        if hello.name not in peers.by_name:
            raise ProtocolError(
                f"HELLO: control node {hello.name!r} is no other one of region {self.own.region!r} here; "
                f"legal: {', '.join(peers.by_name) or 'none'}"
            )
        peers.accept(link, hello)

    def handle_record(self, link: Link, record: Fields) -> ReceivedMessage | None:
        """Handle a record; if it carries a cluster message, return the sender and the message, otherwise None.

        Raises ProtocolError for a record that is not allowed between control nodes, and for a NODE_OPEN of another
        cluster or region.
        """
        match record:
            case NodeOpen():
                self._check_membership(record)
                self._verified.add(link)
            case Watch():
                if link not in self._verified:
                    raise ProtocolError("WATCH before NODE_OPEN: legal: a control node's cluster and region first")
                assert link.peer is not None
                return self.members.received(link.peer, record)
            case Goodbye():
                link.close()
            case Error(text):
                self._log_error(link, text)
            case _:
                raise ProtocolError(f"{type(record).__name__}: not legal between control nodes")
        return None

    # Implementation

    def _check_membership(self, other: NodeOpen) -> None:
        for field, theirs, ours in (
            ("cluster", other.cluster, self.own.cluster),
            ("region", other.region, self.own.region),
        ):
            if theirs != ours:
                raise ProtocolError(f"NODE_OPEN: {field} {theirs!r}; legal: {ours!r}: settings or addresses differ")

    def _log_error(self, link: Link, text: str) -> None:
        name = link.peer.name if link.peer else "unknown"
        if self._last_error.get(name) != text:
            self._last_error[name] = text
            self.log.warning("rejected by a control node", other=name, reason=text)
