"""A gateway's connection to a control node: it is opened once, carries frames in both directions and ends once."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tansykeel.protocol.codec import Codec, Event
from tansykeel.protocol.frames import Fields, Hello
from tansykeel.transport.link import Hub, Link
from tansykeel.transport.sockets import connect


class ControlConnection:
    """Starts to connect to `address` when it is created.

    It calls `on_open(connection)` when the connection is established, `on_event(connection, event)` for each event that
    arrives from the node, and `on_lost(connection, why)` exactly once: when the connection cannot be opened, is lost,
    or has ended after `close` or `abort`. `connect_timeout` is in seconds.
    """

    def __init__(
        self,
        node: str,
        address: str,
        connect_timeout: float,
        hub: Hub,
        hello: Hello,
        on_open: Callable[[ControlConnection], None],
        on_event: Callable[[ControlConnection, Event], None],
        on_lost: Callable[[ControlConnection, str], None],
    ) -> None:
        self.node, self.address, self.connect_timeout = node, address, connect_timeout
        self.hub, self.hello = hub, hello
        self.on_open, self.on_event, self.on_lost = on_open, on_event, on_lost
        self.link: Link | None = None
        self._opening: asyncio.Task[None] | None = asyncio.get_running_loop().create_task(self._open())
        self._opening.add_done_callback(self._report_exception)

    @property
    def sock(self) -> socket.socket | None:
        """The connected socket; None before the connection is established."""
        return self.link.sock if self.link else None

    @property
    def fault(self) -> str:
        """How the node violated the protocol; empty if it did not."""
        return (self.link.codec.fault or "") if self.link else ""

    def send(self, record: Fields) -> None:
        """Send a frame; it is discarded if the connection is not established."""
        if self.link:
            self.link.send(0, record)

    def close(self) -> None:
        """Close the connection after all queued frames have been sent."""
        if self.link:
            self.link.close()
        else:
            self._cancel_opening("closed before it was established")

    def abort(self, why: str) -> None:
        """Close the connection at once and discard queued frames."""
        if self.link:
            self.link.abort(why)
        else:
            self._cancel_opening(why)

    def _cancel_opening(self, why: str) -> None:
        if self._opening:
            self._opening.cancel()
            self._opening = None
            self.on_lost(self, why)

    def _report_exception(self, task: asyncio.Task[None]) -> None:
        """Pass an exception of `on_open` or `on_lost` to the loop's exception handler; nobody awaits the task."""
        if not task.cancelled() and (error := task.exception()):
            context = {"message": "a handler of a control connection failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)

    async def _open(self) -> None:
        try:
            sock = await connect(self.address, self.connect_timeout)
        except TimeoutError:
            self._opening = None
            return self.on_lost(self, f"no connection within {self.connect_timeout:g} s")
        except (OSError, ValueError) as error:
            self._opening = None
            return self.on_lost(self, getattr(error, "strerror", None) or str(error) or type(error).__name__)
        self._opening = None
        self.link = Link(
            self.hub,
            sock,
            Codec("control"),
            self.hello,
            lambda link, event: self.on_event(self, event),
            lambda link, why: self.on_lost(self, why),
        )
        self.on_open(self)
