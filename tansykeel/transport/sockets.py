"""Sockets: addresses, connecting, listening, accepting within what descriptors there are; the loop they run on."""

from __future__ import annotations

import asyncio
import errno
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from tansykeel.errors import Problem
from tansykeel.transport.epoll_selector import RetryingEpollSelector

PRESSURE_REST = 0.05  # seconds before the next accept when no descriptor was left
MADE_WITHIN = 2.0  # seconds for which a program that starts waits for what the system lacks
FAILURE_REST = 0.005  # seconds before the next accept when the system lacked something for a moment
AT_ONCE = 16  # connections accepted in one turn of the loop
MOST_FAILURES = 4  # accepts in a row that may fail in one turn of the loop
MOST_FAILURES_AT_END = 100  # accepts in a row that may fail before a queue that is to be emptied is given up
LAST_DATA_RECEIVED = 52  # offset of tcpi_last_data_recv, milliseconds, in Linux's struct tcp_info (tcp(7))
MILLISECONDS = 1000  # in a second
T = TypeVar("T")
# The system lacks something for a moment. Only EMFILE is of this process's own making, and closing what idles mends it.
OUT_OF_FILES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class AddressError(Problem, ValueError):
    """An address that is none."""

    advice = "give it as host:port, with a port of 65535 at most"


def address_of(text: str) -> tuple[str, int]:
    """host:port. Raises AddressError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise AddressError(f"address {text!r}; legal: host:port")
    return host.strip("[]"), int(port)


def open_socket(address: tuple[str, int]) -> socket.socket:
    """A socket fit for the address. Raises OSError where no descriptor is left."""
    return socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)


def send_without_delay(sock: socket.socket) -> bool:
    """Let small writes leave at once; return False where the system could not set that for a moment.

    Guards against an end of the connection over it: setsockopt(2) may lack memory, and the option only saves time.
    """
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        return False
    return True


def seconds_since_data(sock: socket.socket) -> float | None:
    """Return for how long nothing has come on the connection; None where the kernel does not say."""
    try:
        information = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4)
    except OSError:
        return None
    if len(information) < LAST_DATA_RECEIVED + 4:
        return None
    return int.from_bytes(information[LAST_DATA_RECEIVED:], sys.byteorder) / MILLISECONDS


async def connect(address: str, timeout: float) -> socket.socket:
    """A connected socket. Raises OSError (also when no descriptor is left) or TimeoutError."""
    host, port = address_of(address)
    sock = open_socket((host, port))
    try:
        sock.setblocking(False)
        async with asyncio.timeout(timeout):
            await asyncio.get_running_loop().sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    return sock


def listening(address: str, backlog: int = 1024) -> socket.socket:
    """A listening socket; port 0 takes a free one. Raises OSError.

    What the system lacks for a moment is waited for.
    """
    host_and_port = address_of(address)
    return _made_at_start(lambda: _listen(host_and_port, backlog))


def _made_at_start(make: Callable[[], T]) -> T:
    """Guards against a program that ends at its start because the system lacks something for a moment."""
    last_try = time.monotonic() + MADE_WITHIN
    while True:
        try:
            return make()
        except OSError as error:
            if error.errno not in OUT_OF_FILES or time.monotonic() >= last_try:
                raise
            time.sleep(PRESSURE_REST)


def _listen(address: tuple[str, int], backlog: int) -> socket.socket:
    sock = open_socket(address)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def lacks_descriptor(error: OSError) -> bool:
    """Whether this process holds all descriptors that it may, so that closing one of its own helps."""
    return error.errno == errno.EMFILE


async def accept_all(
    listener: socket.socket, take: Callable[[socket.socket], None], pressure: Callable[[], None] = lambda: None
) -> None:
    """Hand over each connection that comes, until cancelled.

    Each is handed over in the call that accepts it: guards against one that a waiting task has accepted and not yet
    taken when it is cancelled, which would be reset. Out of descriptors it calls `pressure`, which may close what
    idles, and rests: guards against a loop that spins on a listening socket which stays readable. Any other failure is
    the system's or the peer's: it is tried again and costs no connection.
    """
    loop = asyncio.get_running_loop()
    resting: asyncio.TimerHandle | None = None

    def rest(seconds: float) -> None:
        nonlocal resting
        loop.remove_reader(listener)
        resting = loop.call_later(seconds, loop.add_reader, listener, ready)

    def ready() -> None:
        failures = 0
        relieved = False  # once a turn: what was closed for one failure makes room for the next accept
        for _ in range(AT_ONCE):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                failures += 1
                if lacks_descriptor(error) and not relieved:
                    relieved = True
                    pressure()
                if failures >= MOST_FAILURES:
                    return rest(PRESSURE_REST if lacks_descriptor(error) else FAILURE_REST)
            else:
                failures = 0
                take(sock)

    loop.add_reader(listener, ready)
    try:
        await loop.create_future()
    finally:
        if resting:
            resting.cancel()
        if listener.fileno() >= 0:
            loop.remove_reader(listener)


def accept_waiting(listener: socket.socket, take: Callable[[socket.socket], None]) -> None:
    """Hand over the connections that came and wait. Guards against their reset as the listener closes, also where
    accepting fails for a moment."""
    failures = 0
    while failures < MOST_FAILURES_AT_END:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError:
            failures += 1
        else:
            failures = 0
            take(sock)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return the event loop that all programs run on: it outlives `epoll_ctl` failing for a moment.

    Guards against libuv, which ends the process there, with every request that it holds.
    """
    return _made_at_start(lambda: asyncio.SelectorEventLoop(RetryingEpollSelector()))


def run(main: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run a program's coroutine; return what it returns."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main())
