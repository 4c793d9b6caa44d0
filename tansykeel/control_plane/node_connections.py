"""What other control nodes of the region say, checked before the core takes it: who they are and of which cluster."""

from __future__ import annotations

from typing import Any
from weakref import WeakSet

from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import Member
from tansykeel.edge.cluster_connections import ClusterConnections
from tansykeel.protocol.frames import Error, Fields, Goodbye, Hello, NodeOpen, ProtocolError, Watch
from tansykeel.transport.link import Link

Received = tuple[Member, ClusterMessage]


class NodeConnections:
    """Takes records of other control nodes in, on connections that either end opened."""

    def __init__(self, members: ClusterConnections, own: NodeOpen, log: Any) -> None:
        self.members, self.own, self.log = members, own, log
        self._opened: WeakSet[Link] = WeakSet()  # connections whose other end is of the same cluster and region
        self._last_error: dict[str, str] = {}  # by node: guards the log against a line for each new connection

    def accept(self, link: Link, hello: Hello) -> None:
        """Take in a connection that another control node opened. Raises ProtocolError for one that is no other."""
        peers = self.members.peers
        if hello.name not in peers.by_name:
            raise ProtocolError(
                f"HELLO: control node {hello.name!r} is no other one of region {self.own.region!r} here; "
                f"legal: {', '.join(peers.by_name) or 'none'}"
            )
        peers.accept(link, hello)

    def received(self, link: Link, record: Fields) -> Received | None:
        """Return the message that a record carries and who sent it, None for one that carries none.

        Raises ProtocolError for what a control node must not say.
        """
        match record:
            case NodeOpen():
                self._check(record)
                self._opened.add(link)
            case Watch():
                if link not in self._opened:
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

    # Within

    def _check(self, other: NodeOpen) -> None:
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
