"""One connection on which discovery sends the list of stores and its changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Protocol

import msgspec

from tansykeel.errors import Problem
from tansykeel.http1 import codec
from tansykeel.http1.messages import Malformed
from tansykeel.platform.config import Members
from tansykeel.platform.objects import ObjectSplitter
from tansykeel.transport.sockets import address_of, open_socket
from tansykeel.transport.stream import Stream

GATHER_TIME = 0.01  # seconds after an update in which further ones gather, unless more has come already
MAX_OBJECT_BYTES = 4 << 20
_LINE_END = b"}\n"  # of an object that is a line
_decoder = msgspec.json.Decoder(Members)


class WatchOwner(Protocol):
    """What a watch needs of `Discovery`, and the events that it reports to it."""

    now: Callable[[], float]  # the time of the event loop, in seconds

    def updates_received(self, watch: Watch, updates: list[Members]) -> None:
        """Take the updates that the watch has received at once."""

    def updates_pending(self) -> bool:
        """Whether updates that were received are not applied yet."""
        ...

    def message_received(self, watch: Watch) -> None:
        """Record a message of the watch: an update or an empty line."""

    def watch_ended(self, watch: Watch, why: str, do: str = "") -> None:
        """Handle the end of the watch; `do` is what an operator can do about it."""


class Watch:
    """One connection on which discovery sends changes to the list, from version `index` on."""

    def __init__(self, discovery: WatchOwner, address: str, index: int) -> None:
        self.discovery, self.index = discovery, index
        self.reader = codec.StreamReader()
        self.splitter = ObjectSplitter(MAX_OBJECT_BYTES)
        self.address, self.opened_at = address, discovery.now()
        self.got_data = self.got_message = False  # whether a byte, and a message, has arrived
        host = address_of(address)
        self.stream = Stream(open_socket(host), self._on_data, self._on_end)
        try:
            self.stream.connect(host, self._on_connected)
        except OSError:
            self.stream.close()
            raise
        self.host = address.encode()
        self._loop = asyncio.get_running_loop()

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()
        self.reader.close()

    def _on_connected(self) -> None:
        """Send the request for the stream of changes."""
        target = b"/catalog/members?stream=1&index=%d" % self.index
        self.stream.write(codec.request(b"GET", target, self.host))

    def _on_data(self, data: bytes) -> None:
        """Pass complete objects and other messages on; anything that can't be parsed ends the watch."""
        self.got_data = True
        self.reader.feed(data)
        try:
            part = self.reader.take()
            if part is None:
                return
            if part[0] != 200:
                raise Malformed(f"status {part[0]}")
            received: list[Members] = []
            try:
                received.extend(self._decoded(part[1]))
            finally:
                self.discovery.updates_received(self, received)
            if part[1] and not self.splitter.open and not self.stream.closed:
                self.discovery.message_received(self)
        except (msgspec.MsgspecError, ValueError) as error:
            self.close()
            return self._on_end(str(error), error.do if isinstance(error, Problem) else "")
        if self.reader.ended:
            self.close()
            self._on_end("the watch ended")
        elif self.discovery.updates_pending():
            self.stream.read(False)  # until they are applied; `Discovery` continues it then
        elif received and len(data) < self.stream.read_size:
            self.stream.read(False)
            self._loop.call_later(GATHER_TIME, self.continue_reading)

    def _decoded(self, data: bytes) -> Iterator[Members]:
        """Return the updates that the data completes, one after the other. Raises Unfit or MsgspecError."""
        end = data.rfind(_LINE_END) + len(_LINE_END)
        if end >= len(_LINE_END) and not self.splitter.open:
            # Most updates are a line each: the ends of these need not be searched.
            with suppress(msgspec.MsgspecError):
                updates = _decoder.decode_lines(data[:end])
                data = data[end:]
                yield from updates
        yield from map(_decoder.decode, self.splitter.feed(data))

    def continue_reading(self) -> None:
        """Read on, if what was read before has been applied."""
        if self.got_data and not self.discovery.updates_pending():
            self.stream.read()

    def _on_end(self, why: str, do: str = "") -> None:
        self.discovery.watch_ended(self, why, do)
