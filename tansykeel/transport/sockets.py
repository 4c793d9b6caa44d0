"""Sockets: addresses, connecting, listening, accepting within what descriptors there are; the loop they run on."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from tansykeel.errors import Problem

PRESSURE_REST = 0.05  # seconds before the next accept when no descriptor was left
AT_ONCE = 16  # connections accepted in one turn of the loop
T = TypeVar("T")
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
    """A listening socket; port 0 takes a free one. Raises OSError."""
    host, port = address_of(address)
    sock = open_socket((host, port))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


async def accept_all(
    listener: socket.socket, take: Callable[[socket.socket], None], pressure: Callable[[], None] = lambda: None
) -> None:
    """Hand over each connection that comes, until cancelled.

    Each is handed over in the call that accepts it: guards against one that a waiting task has accepted and not yet
    taken when it is cancelled, which would be reset. Out of descriptors it calls `pressure`, which may close what
    idles, and rests: guards against a loop that spins on a listening socket which stays readable.
    """
    loop = asyncio.get_running_loop()
    resting: asyncio.TimerHandle | None = None

    def ready() -> None:
        nonlocal resting
        for _ in range(AT_ONCE):
            try:
                sock, _ = listener.accept()
            except OSError as error:
                if error.errno in OUT_OF_FILES:
                    pressure()
                    loop.remove_reader(listener)
                    resting = loop.call_later(PRESSURE_REST, loop.add_reader, listener, ready)
                return
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
    """Hand over the connections that came and wait. Guards against their reset as the listener closes."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        take(sock)


def run(main: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run a program's coroutine on uvloop; what it returns."""
    import uvloop

    result: T = uvloop.run(main())
    return result
