"""The program of a process of hollow gateways: starts them, executes commands, closes them on SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable
from typing import Any

import structlog

from tansykeel.edge.control_session import ClaimObserver
from tansykeel.edge.hollow.commands import execute
from tansykeel.edge.hollow.gateways import HollowError, HollowGateways
from tansykeel.edge.hollow.report import Meter
from tansykeel.settings.records import Settings

SAMPLE_INTERVAL_S = 1.0  # between samples of the time series in the report
CLOSE_TIMEOUT_S = 2.0  # for closed sessions to send what is queued
CLOSE_POLL_S = 0.02  # between checks whether they have
READ_BYTES = 64 << 10
STANDARD_INPUT = 0

EventWriter = Callable[..., None]


class HollowProgram:
    """Runs until `stopping` is set.

    `write_event` writes one JSON line with its keyword arguments to standard output, for the process that started this
    one. With `leashed` the program ends at the end of standard input, so that it does not outlive its parent process.
    """

    def __init__(
        self,
        settings: Settings,
        first: int,
        count: int,
        seed: int,
        write_event: EventWriter,
        on_claim: ClaimObserver | None = None,
        leashed: bool = False,
    ) -> None:
        """Raises HollowError for gateway numbers that the settings do not have, ControlSettingsError if they have no
        control plane."""
        self.log = structlog.get_logger()
        self.gateways = HollowGateways(settings, first, count, seed, self.log, on_claim)
        self.write_event, self.leashed = write_event, leashed
        self.stopping = asyncio.Event()
        self.failed = False
        self.meter = Meter(self.gateways)
        self._unread = bytearray()

    async def serve(self, seconds: float = 0.0) -> Meter:
        """Run until SIGTERM or SIGINT, or for so many seconds if not 0, and return the meter.

        Sessions are closed by `close` only, so that the meter can be read before that.
        """
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
        self.write_event(event="ready", gateways=len(self.gateways.by_number))
        await self.stopping.wait()
        sampling.cancel()
        return self.meter

    async def close(self) -> None:
        """Close all sessions gracefully, then all connections."""
        for gateway in self.gateways:
            gateway.close()
        loop = asyncio.get_running_loop()
        until = loop.time() + CLOSE_TIMEOUT_S
        while loop.time() < until and any(g.session and not g.session.ended for g in self.gateways):
            await asyncio.sleep(CLOSE_POLL_S)
        await self.gateways.hub.stop()

    def _read_commands(self, loop: asyncio.AbstractEventLoop) -> None:
        with contextlib.suppress(OSError):  # standard input is a file or closed, so there are no commands
            loop.add_reader(STANDARD_INPUT, self._read_available, loop)

    def _read_available(self, loop: asyncio.AbstractEventLoop) -> None:
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
                self._execute(line)

    def _execute(self, line: bytes) -> None:
        try:
            answer = execute(line, self.gateways, self.meter)
        except HollowError as error:
            self.write_event(event="failed", what=error.what, do=error.do)
        else:
            self.write_event(event="done", **answer)

    def _handler_failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.log.error("failed", message=context.get("message"), exc_info=context.get("exception"))
        self.failed = True
        self.stopping.set()

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.meter.sample()
