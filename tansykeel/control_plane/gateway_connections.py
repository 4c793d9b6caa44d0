"""The connections of gateways to a control node, by the numbers under which the core knows them."""

from __future__ import annotations

from itertools import count

from tansykeel.control.actions import ConnectionId
from tansykeel.protocol.frames import Error, Fields
from tansykeel.transport.link import Link

MOST_REASON = 500  # characters of a reason that go into one ERROR frame


class GatewayConnections:
    """Gives each connection a number, which is never used twice, and sends what the core wants sent on it."""

    def __init__(self) -> None:
        self._numbers = count(1)
        self._links: dict[ConnectionId, Link] = {}
        self._ids: dict[Link, ConnectionId] = {}

    def __len__(self) -> int:
        return len(self._links)

    def opened(self, link: Link) -> None:
        """Take a connection in whose hello came from a gateway."""
        connection = next(self._numbers)
        self._links[connection] = link
        self._ids[link] = connection

    def id_of(self, link: Link) -> ConnectionId | None:
        """Return the connection's number; None where it was closed, or is of no gateway."""
        return self._ids.get(link)

    def lost(self, link: Link) -> ConnectionId | None:
        """Forget a connection that ended; its number, or None where it was closed here before."""
        connection = self._ids.pop(link, None)
        if connection is not None:
            del self._links[connection]
        return connection

    def send(self, connection: ConnectionId, record: Fields) -> None:
        """Send a record; nothing where the connection ended meanwhile."""
        if (link := self._links.get(connection)) is not None:
            link.send(0, record)

    def close(self, connection: ConnectionId, reason: str) -> None:
        """Close a connection once all that waits is sent, and last the reason as an ERROR."""
        link = self._links.pop(connection, None)
        if link is None:
            return
        del self._ids[link]
        link.send(0, Error(reason[:MOST_REASON]))
        link.close()
