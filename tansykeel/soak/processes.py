"""The processes of a soak test: stand-ins that read commands on their input, and gateways under their shim."""

from __future__ import annotations

import asyncio
import ctypes
import fcntl
import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from tansykeel.soak.deployment import SOCKETS, Deployment, NotStarted
from tansykeel.soak.records import Process, Recorder, now
from tansykeel.soak.shim import Steering

PR_SET_PDEATHSIG = 1  # prctl(2): the signal that a process gets when its parent dies
ONE_PAGE = 4096  # bytes
NOT_READY_AFTER = 12.0  # seconds after which a gateway that does not answer is ended
SHIM = Path(__file__).with_name("shim.py")


def die_with_parent() -> None:
    """Run in a child before its program: it ends with its parent. Guards against processes left behind."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class StandIn:
    """A process of this package that says `ready` and then takes lines of JSON."""

    def __init__(self, module: str, *arguments: str) -> None:
        self.module, self.arguments = module, arguments
        self.child = subprocess.Popen(
            [sys.executable, "-m", f"tansykeel.soak.{module}", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            preexec_fn=die_with_parent,
        )

    async def ready(self) -> None:
        """Wait until it serves. Raises NotStarted."""
        assert self.child.stdout is not None
        if not await asyncio.get_running_loop().run_in_executor(None, self.child.stdout.readline):
            raise NotStarted(f"{self.module} {' '.join(self.arguments)}: it ended before it was ready")

    def tell(self, words: Any) -> None:
        """Send a line."""
        assert self.child.stdin is not None
        with suppress(OSError):
            self.child.stdin.write(json.dumps(words).encode() + b"\n")
            self.child.stdin.flush()

    async def end(self, seconds: float = 8.0) -> None:
        """Close its input and wait for its end."""
        assert self.child.stdin is not None
        with suppress(OSError):
            self.child.stdin.close()
        end = now() + seconds
        while self.child.poll() is None and now() < end:
            await asyncio.sleep(0.02)
        self.kill()

    def kill(self) -> None:
        """End it at once."""
        self.child.kill()
        self.child.wait()


class GatewayProcess:
    """A gateway's place: one process after another under its name."""

    def __init__(self, number: int, deployment: Deployment, recorder: Recorder, root: Path) -> None:
        self.number, self.deployment, self.recorder, self.root = number, deployment, recorder, root
        self.name = f"g{number}"
        self.steering = Steering()
        self.generation = 0
        self.busy = asyncio.Lock()  # held by whoever starts or ends it
        self.is_ready = False
        self.child: subprocess.Popen[bytes] | None = None
        self._watch: asyncio.Task[None] | None = None

    def steer(self, **changes: float) -> None:
        """Change what is done to its system calls."""
        for name, value in changes.items():
            setattr(self.steering, name, value)
        self.steering.save(self.deployment.shim_path(self.number))

    def start(self, unread_log: str = "") -> None:
        """Start a process. `unread_log`: "gone" or "stalled", what has become of its log's reader."""
        self.generation += 1
        self.steer()
        log: Any
        if unread_log:
            read_end, log = os.pipe()
            self._spoil(read_end, log, unread_log)
        else:
            log = (self.deployment.folder / f"{self.name}.{self.generation}.log").open("wb")
        command = [sys.executable, str(SHIM), str(self.deployment.shim_path(self.number))]
        environment = os.environ | {
            "EDGE_CONFIG": str(self.deployment.configuration_path(self.number)),
            "PYTHONPATH": str(self.root),
        }
        self.child = subprocess.Popen(
            command, stdout=log, stderr=subprocess.DEVNULL, env=environment, cwd=self.root, preexec_fn=self._prepare
        )
        self._record("start")
        os.close(log) if unread_log else log.close()
        self._watch = asyncio.create_task(self._until_exit(self.child))

    @staticmethod
    def _prepare() -> None:
        """Run in the child before its program: limits its descriptors, and ignores SIGHUP until the program handles it,
        as the shell of the deploy file's `run` does."""
        import resource

        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
        die_with_parent()

    @staticmethod
    def _spoil(read_end: int, write_end: int, kind: str) -> None:
        if kind == "gone":
            os.close(read_end)
            return
        fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, ONE_PAGE)
        os.set_blocking(write_end, False)
        with suppress(BlockingIOError):
            while os.write(write_end, b"\n" * ONE_PAGE):
                pass
        os.set_blocking(write_end, True)

    async def until_ready(self) -> None:
        """Wait until it answers on its health path; one that does not in time is ended."""
        port = self.deployment.gateway_port(self.number)
        child = self.child
        end = now() + NOT_READY_AFTER
        while now() < end and child is self.child and child is not None and child.poll() is None:
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    line = await reader.readline()
                    writer.close()
                    if b" 200 " in line:
                        self.is_ready = True
                        return self._record("ready")
            await asyncio.sleep(0.05)
        if child is self.child and child is not None and child.poll() is None:
            self._record("not ready")
            child.kill()

    def signal(self, number: signal.Signals, event: str) -> None:
        """Send a signal, if it runs."""
        if self.child and self.child.poll() is None:
            if event:
                self._record(event)
            self.child.send_signal(number)

    async def until_ended(self, seconds: float) -> None:
        """Wait for its end; it is killed if that does not come in time."""
        end = now() + seconds
        while self.child and self.child.poll() is None and now() < end:
            await asyncio.sleep(0.01)
        self.signal(signal.SIGKILL, "kill")
        if self._watch:
            await self._watch
        self.is_ready = False

    async def _until_exit(self, child: subprocess.Popen[bytes]) -> None:
        while child.poll() is None:
            await asyncio.sleep(0.01)
        self.recorder.write(Process(now(), self.name, "exit", child.returncode))

    def _record(self, event: str) -> None:
        self.recorder.write(Process(now(), self.name, event))
