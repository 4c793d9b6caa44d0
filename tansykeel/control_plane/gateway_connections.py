"""Maps connections from gateways to the connection numbers that the core uses in events and actions."""

from __future__ import annotations

from itertools import count

from tansykeel.control.actions import ConnectionId
from tansykeel.protocol.frames import Error, Fields
from tansykeel.transport.link import Link

MAX_REASON_LENGTH = 500  # characters; a longer reason is cut off in the ERROR frame


class GatewayConnections:
    """The open connections from gateways. Each gets a number that is never reused."""

    def __init__(self) -> None:
        self._numbers = count(1)
        self._links: dict[ConnectionId, Link] = {}
        self._ids: dict[Link, ConnectionId] = {}

    def __len__(self) -> int:
        """Return the number of open connections from gateways."""
        return len(self._links)

    def add(self, link: Link) -> None:
        """Assign a number to a connection after its HELLO has identified the peer as a gateway."""
        connection = next(self._numbers)
        self._links[connection] = link
        self._ids[link] = connection

    def id_of(self, link: Link) -> ConnectionId | None:
        """Return the connection's number; None if it is closed or does not come from a gateway."""
        return self._ids.get(link)

    def remove(self, link: Link) -> ConnectionId | None:
        """Remove a lost connection and return its number; None if `close` has removed it before."""
        connection = self._ids.pop(link, None)
        if connection is not None:
            del self._links[connection]
        return connection

    def send(self, connection: ConnectionId, record: Fields) -> None:
        """Send a record, or drop it if the connection has ended meanwhile."""
        if (link := self._links.get(connection)) is not None:
            link.send(0, record)

    def close(self, connection: ConnectionId, reason: str) -> None:
        """Send the reason as an ERROR frame after all queued records, then close the connection."""
        link = self._links.pop(connection, None)
        if link is None:
            return
        del self._ids[link]
        link.send(0, Error(reason[:MAX_REASON_LENGTH]))
        link.close()
