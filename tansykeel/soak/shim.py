"""Runs a gateway with system calls that fail or fall short, and a wall clock that is stepped, as a file says.

Standard library only, and started by its path, so that any version of the gateway can be run under it. The file holds
the fields of `Steering`, which another process may change at any time.
"""

from __future__ import annotations

import mmap
import os
import runpy
import select
import socket
import struct
import sys
import time
from dataclasses import astuple, dataclass
from pathlib import Path
from typing import Any

LAYOUT = struct.Struct("<d7q")


@dataclass
class Steering:
    """What is done to the calls of one process; 0 leaves them alone."""

    wall_offset: float = 0.0  # seconds that the wall clock is ahead
    accept_error: int = 0  # of every second accept
    connect_error: int = 0  # of every third connect
    socket_error: int = 0  # of every third socket for a connection
    most_sent: int = 0  # bytes that one send takes
    most_received: int = 0  # bytes that one recv gives
    option_error: int = 0  # of every second setsockopt
    epoll_error: int = 0  # of every seventh change of what epoll watches

    def save(self, path: Path) -> None:
        """Write the fields over the file, in one call."""
        data = LAYOUT.pack(*astuple(self))
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT)
        try:
            os.pwrite(descriptor, data, 0)
        finally:
            os.close(descriptor)


def system_call_error(number: int) -> OSError:
    """Return what Python raises where a system call fails with that number."""
    return OSError(number, os.strerror(number))


class Shim:
    """The patched calls of this process."""

    def __init__(self, path: str) -> None:
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), LAYOUT.size)
        self.calls = {"accept": 0, "connect": 0, "socket": 0, "setsockopt": 0, "epoll_ctl": 0}

    def steering(self) -> Steering:
        """Return what holds now."""
        return Steering(*LAYOUT.unpack_from(self._map))

    def fails(self, call: str, every: int, error: int) -> None:
        """Raise the error at every so many calls."""
        self.calls[call] += 1
        if error and not self.calls[call] % every:
            raise system_call_error(error)

    def install(self) -> None:
        """Patch this process."""
        shim, real_time, real_socket, real_epoll = self, time.time, socket.socket, select.epoll

        def stepped_time() -> float:
            return real_time() + shim.steering().wall_offset

        class ShimSocket(real_socket):  # type: ignore[valid-type,misc]
            """A socket whose calls may fail or fall short."""

            def __init__(self, *arguments: Any, **named: Any) -> None:
                if not named.get("fileno"):
                    shim.fails("socket", 3, shim.steering().socket_error)
                super().__init__(*arguments, **named)

            def accept(self) -> Any:
                shim.fails("accept", 2, shim.steering().accept_error)
                return super().accept()

            def connect(self, address: Any) -> None:
                shim.fails("connect", 3, shim.steering().connect_error)
                super().connect(address)

            def setsockopt(self, *arguments: Any) -> None:
                shim.fails("setsockopt", 2, shim.steering().option_error)
                super().setsockopt(*arguments)

            def send(self, data: Any, *arguments: Any) -> int:
                most = shim.steering().most_sent
                return super().send(memoryview(data)[:most] if most else data, *arguments)

            def recv(self, size: int, *arguments: Any) -> bytes:
                most = shim.steering().most_received
                return super().recv(min(size, most) if most else size, *arguments)

        class ShimEpoll:
            """Epoll whose changes may fail."""

            def __init__(self) -> None:
                self._epoll = real_epoll()
                self.poll, self.close, self.unregister = self._epoll.poll, self._epoll.close, self._epoll.unregister

            def register(self, descriptor: int, mask: int) -> None:
                shim.fails("epoll_ctl", 7, shim.steering().epoll_error)
                self._epoll.register(descriptor, mask)

            def modify(self, descriptor: int, mask: int) -> None:
                shim.fails("epoll_ctl", 7, shim.steering().epoll_error)
                self._epoll.modify(descriptor, mask)

        time.time = stepped_time
        select.epoll = ShimEpoll  # type: ignore[misc,assignment]
        socket.socket = ShimSocket  # type: ignore[misc]


if __name__ == "__main__":
    Shim(sys.argv[1]).install()
    sys.argv = ["tansykeel.platform"]
    del sys.path[0]  # this file's folder
    runpy.run_module("tansykeel.platform", run_name="__main__", alter_sys=True)
