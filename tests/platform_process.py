"""A gateway in a process of its own, as the platform starts it, with a limit of descriptors and its log in a file."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import subprocess
import sys
import time
from contextlib import asynccontextmanager
from pathlib import Path

from platform_stage import configuration

from tansykeel.http1 import codec

HEALTH = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
TICKS = os.sysconf("SC_CLK_TCK")


def free_port():
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Process:
    """A gateway's process."""

    def __init__(self, tmp_path, discovery, stores, sockets, stdout=-1, **changes):
        """Start the process. `stdout`: a descriptor, None for a closed one, -1 for the file that `said` reads."""
        self.port, self.log = free_port(), (tmp_path / "log").open("w+")
        configuration(
            tmp_path,
            discovery,
            [store.row() for store in stores],
            listen=f"127.0.0.1:{self.port}",
            limits={"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            **changes,
        )
        self.begun = time.monotonic()
        self.child = subprocess.Popen(
            [sys.executable, "-m", "tansykeel.platform"],
            stdout=self.log if stdout in (-1, None) else stdout,
            stderr=self.log,
            env=os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json")},
            preexec_fn=lambda: self._prepare(sockets, stdout is None),
        )

    @staticmethod
    def _prepare(sockets, close_stdout):
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
        if close_stdout:
            os.close(1)

    async def ask(self, data, seconds=10.0):
        """Send `data` on a new connection and return the answer; on failures, try again for `seconds`."""
        loop, end = asyncio.get_running_loop(), time.monotonic() + seconds
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, ("127.0.0.1", self.port))
                await loop.sock_sendall(sock, data)
                answers = codec.AnswerReader()
                while (answer := answers.next()) is None:
                    if not (part := await loop.sock_recv(sock, 65536)):
                        break
                    answers.feed(part)
                if answer:
                    return answer
            except OSError:
                pass
            finally:
                sock.close()
            assert time.monotonic() < end and self.child.poll() is None
            await asyncio.sleep(0.02)

    def processor_s(self):
        """Return the processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def descriptors(self):
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def said(self):
        """Return what the process has written to its log and to standard error."""
        self.log.seek(0)
        return self.log.read()


@asynccontextmanager
async def process(tmp_path, discovery, stores=(), sockets=128, **changes):
    """Run a gateway's process for the body."""
    made = Process(tmp_path, discovery, stores, sockets, **changes)
    try:
        yield made
    finally:
        made.child.kill()
        made.child.wait()
        made.log.close()
