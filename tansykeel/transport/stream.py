"""One connection as a stream of bytes, for protocols without hello and frames: read and written as the socket is ready.

No tasks and no buffers of its own while it idles. What is handed to `write` leaves at once where the socket takes it;
`unsent` tells what has not left yet, for whoever must know whether a last byte was written.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

from tansykeel.transport.sockets import send_without_delay

READ = 64 << 10  # bytes read at once, unless `Stream.read_size` says otherwise
MOST_SENDS = 256  # calls for one write in one turn of the loop, where the socket takes a little each time


def _ignored(_: object) -> None:
    """Stands for the callbacks of a stream that is closed."""


def _never() -> bool:
    """Stands for `Stream.defers_read` where no read is deferred."""
    return False


class Stream:
    """`on_data(bytes)` for what comes; `on_end(why)` once, when the peer ends it or it breaks, not after `close`."""

    def __init__(self, sock: socket.socket, on_data: Callable[[bytes], None], on_end: Callable[[str], None]) -> None:
        self.sock, self.on_data, self.on_end = sock, on_data, on_end
        self.closed = False
        self.finished = False  # the peer ended its direction in order, which a reset does not
        self.unsent = bytearray()
        self.read_size = READ  # bytes read at once
        # Called when bytes have come; if it returns True, they are left for a call of `read_now`.
        self.defers_read: Callable[[], bool] = _never
        self._loop = asyncio.get_running_loop()
        self._on_open: Callable[[], None] | None = None
        self._reading = False
        sock.setblocking(False)
        self._sends_without_delay = send_without_delay(sock)

    def connect(self, address: tuple[str, int], on_open: Callable[[], None]) -> None:
        """Begin to connect; `on_open` once it is up, `on_end` where it fails. Raises OSError where it can't begin."""
        self._on_open = on_open
        with contextlib.suppress(BlockingIOError):
            self.sock.connect(address)
        self._loop.add_writer(self.sock, self._guarded, self._connected)

    def read(self, on: bool = True) -> None:
        if on != self._reading and not self.closed:
            self._reading = on
            if on:
                self._loop.add_reader(self.sock, self._guarded, self._readable)
            else:
                self._loop.remove_reader(self.sock)

    def write(self, data: bytes) -> None:
        """Send; what the socket does not take now follows as it can. A break shows in `on_end`, later."""
        if self.closed:
            return
        if not self._sends_without_delay:
            self._sends_without_delay = send_without_delay(self.sock)
        if self.unsent:
            self.unsent += data
            return
        try:
            sent = self._send(data)
        except OSError as error:
            self.unsent += data  # it was not written
            self._loop.call_soon(self._end, error.strerror or type(error).__name__)
            return
        if sent < len(data):
            self.unsent += data[sent:]
            self._loop.add_writer(self.sock, self._guarded, self._writable)

    def _send(self, data: bytes | bytearray) -> int:
        """Send what the socket takes now, return how much; short writes are followed up at once. Raises OSError."""
        sent = self._send_once(data)
        sends = 1
        while 0 < sent < len(data) and sends < MOST_SENDS:
            more = self._send_once(memoryview(data)[sent:])
            if not more:
                break
            sent += more
            sends += 1
        return sent

    def _send_once(self, data: bytes | bytearray | memoryview) -> int:
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    def quiet(self) -> bool:
        """Whether nothing has come that was not read, not even an end."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def discard(self) -> None:
        """Read what has come and let it go. Guards against a close over unread bytes, which resets the connection."""
        with contextlib.suppress(OSError):
            while not self.closed and self.sock.recv(READ):
                pass

    def half_close(self) -> None:
        """Say that nothing more will be sent."""
        if not self.closed:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError as error:
                self._loop.call_soon(self._end, error.strerror or type(error).__name__)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._loop.remove_reader(self.sock)
        self._loop.remove_writer(self.sock)
        with contextlib.suppress(OSError):  # close(2) frees the descriptor also where it fails
            self.sock.close()
        # They refer to the owner, which refers to this stream: without the circle both go at once.
        self.on_data, self.on_end, self._on_open = _ignored, _ignored, None
        self.defers_read = _never

    def forget_unsent(self) -> None:
        """Let go of what was not sent, once nobody asks for it any more."""
        self.unsent = bytearray()

    def _guarded(self, step: Callable[[], None]) -> None:
        """Guards the program against a handler that fails: this connection ends, all others go on."""
        try:
            step()
        except Exception as error:
            context: dict[str, Any] = {"message": "a connection's handler failed", "exception": error}
            self._loop.call_exception_handler(context)
            self._end("a handler failed")

    def _end(self, why: str) -> None:
        if not self.closed:
            on_end = self.on_end
            self.close()
            on_end(why)

    def _connected(self) -> None:
        self._loop.remove_writer(self.sock)
        if error := self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return self._end(f"error {error} on connecting")
        assert self._on_open is not None
        self.read()
        self._on_open()

    def read_now(self) -> None:
        """Read what has come, after `defers_read` has left it."""
        if self._reading and not self.closed:
            self._guarded(self._receive)

    def _readable(self) -> None:
        if not self.defers_read():
            self._receive()

    def _receive(self) -> None:
        try:
            data = self.sock.recv(self.read_size)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            return self._end(error.strerror or type(error).__name__)
        if not data:
            self.finished = True
            return self._end("closed by the peer")
        self.on_data(data)

    def _writable(self) -> None:
        try:
            sent = self._send(bytes(self.unsent))
        except OSError as error:
            return self._end(error.strerror or type(error).__name__)
        del self.unsent[:sent]
        if not self.unsent:
            self._loop.remove_writer(self.sock)
