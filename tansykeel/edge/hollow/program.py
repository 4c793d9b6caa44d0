"""The program of a process of hollow gateways: starts them, takes commands, closes them on SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable
from typing import Any

import structlog

from tansykeel.edge.control_session import ClaimObserver
from tansykeel.edge.hollow.commands import carry_out
from tansykeel.edge.hollow.gateways import HollowError, HollowGateways
from tansykeel.edge.hollow.report import Meter
from tansykeel.settings.records import Settings

SAMPLE_EVERY = 1.0  # seconds between samples of the series
CLOSE_WITHIN = 2.0  # seconds in which closed sessions still send what waits
CLOSE_LOOK = 0.02  # seconds between looks whether they have
READ_BYTES = 64 << 10
STANDARD_INPUT = 0

Say = Callable[..., None]


class HollowProgram:
    """Runs until `stopping` is set; `say` writes one JSON line for whoever started the process."""

    def __init__(
        self,
        settings: Settings,
        first: int,
        count: int,
        seed: int,
        say: Say,
        on_claim: ClaimObserver | None = None,
        leashed: bool = False,
    ) -> None:
        """Raises HollowError for numbers that the settings do not have, ControlSettingsError without control."""
        self.log = structlog.get_logger()
        self.gateways = HollowGateways(settings, first, count, seed, self.log, on_claim)
        self.say, self.leashed = say, leashed
        self.stopping = asyncio.Event()
        self.failed = False
        self.meter = Meter(self.gateways)
        self._unread = bytearray()

    async def serve(self, seconds: float = 0.0) -> Meter:
        """Run until SIGTERM, or for so many seconds; return the meter, read before the sessions were closed."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.set_exception_handler(self._handler_failed)
        self.gateways.hub.start()
        self.meter = Meter(self.gateways)
        for gateway in self.gateways:
            gateway.start()
        self._read_commands(loop)
        sampling = loop.create_task(self._sample())
        if seconds:
            loop.call_later(seconds, self.stopping.set)
        self.say(event="ready", gateways=len(self.gateways.by_number))
        await self.stopping.wait()
        sampling.cancel()
        return self.meter

    async def end(self) -> None:
        """Close all sessions in order."""
        for gateway in self.gateways:
            gateway.close()
        loop = asyncio.get_running_loop()
        until = loop.time() + CLOSE_WITHIN
        while loop.time() < until and any(g.session and not g.session.ended for g in self.gateways):
            await asyncio.sleep(CLOSE_LOOK)
        await self.gateways.hub.stop()

    def _read_commands(self, loop: asyncio.AbstractEventLoop) -> None:
        with contextlib.suppress(OSError):  # standard input is a file or closed: no commands come
            loop.add_reader(STANDARD_INPUT, self._readable, loop)

    def _readable(self, loop: asyncio.AbstractEventLoop) -> None:
        data = os.read(STANDARD_INPUT, READ_BYTES)
        if not data:
            loop.remove_reader(STANDARD_INPUT)
            if self.leashed:
                self.stopping.set()
            return
        self._unread += data
        while (end := self._unread.find(b"\n")) >= 0:
            line = bytes(self._unread[:end])
            del self._unread[: end + 1]
            if line.strip():
                self._command(line)

    def _command(self, line: bytes) -> None:
        try:
            answer = carry_out(line, self.gateways, self.meter)
        except HollowError as error:
            self.say(event="failed", what=error.what, do=error.do)
        else:
            self.say(event="done", **answer)

    def _handler_failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.log.error("failed", message=context.get("message"), exc_info=context.get("exception"))
        self.failed = True
        self.stopping.set()

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_EVERY)
            self.meter.sample()
