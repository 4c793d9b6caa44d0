"""Starts the processes of a scale test, and ends those and no others, each by its process id."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from tansykeel.errors import NOT_PLAYED, Problem
from tansykeel.rehearse.child_processes import Child

START_WITHIN = 30.0  # seconds for a process to say that it is ready
END_WITHIN = 10.0  # seconds for a process to end by itself
ANSWER_WITHIN = 10.0  # seconds for the answer to a command
LOG_TAIL = 600  # bytes of a log that an error shows
PROGRAM = (sys.executable, "-m", "tansykeel")


class ScaleError(Problem):
    """A scale test could not be played to its end."""

    advice = "read the log that is named; play it again with nothing else on the machine"
    code = NOT_PLAYED


class Running(Child):
    """A process that was started, with the lines that it says; it can be sent signals."""

    @property
    def pid(self) -> int:
        """Return its process id."""
        return self.process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal, unless it has ended."""
        if self.runs:
            with suppress(ProcessLookupError):  # it has ended, and the event loop has not been told yet
                os.kill(self.pid, number)


class ProcessGroup:
    """All processes of one test. Their logs lie in `folder`, one for each name."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.started: list[Running] = []

    @property
    def running(self) -> list[Running]:
        """Return the processes that have not ended."""
        return [process for process in self.started if process.runs]

    async def start(self, name: str, *arguments: object) -> tuple[Running, dict[str, Any]]:
        """Start a command of this program and wait until it is ready; what it said then. Raises ScaleError."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *PROGRAM,
                *map(str, arguments),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        running = Running(name, process)
        running.reading = asyncio.create_task(_read_lines(running))
        self.started.append(running)
        return running, await self.next_line(running, START_WITHIN)

    async def next_line(self, running: Running, within: float = ANSWER_WITHIN) -> dict[str, Any]:
        """Return the next thing that a process says. Raises ScaleError where it ends or says nothing in time."""
        try:
            async with asyncio.timeout(within):
                line = await running.lines.get()
        except TimeoutError:
            raise self._error(running, f"said nothing within {within:g} s") from None
        if not line:
            raise self._error(running, f"ended with {await running.process.wait()}")
        return line

    async def kill(self, running: Running) -> None:
        """Kill one process and wait for its end."""
        if running.runs:
            running.process.kill()
        await running.process.wait()

    async def end(self, last: Running | None = None) -> None:
        """End all of them: with SIGTERM and the end of their standard input, then killed. Stopped ones go on before.

        `last` is ended when all others are gone, by the end of its standard input alone: it writes down what it has
        still seen of them.
        """
        others = [running for running in self.started if running is not last]
        for running in others:
            running.send_signal(signal.SIGTERM)
        await asyncio.gather(*(self._ended(running) for running in others))
        if last:
            await self._ended(last)

    async def _ended(self, running: Running) -> None:
        running.send_signal(signal.SIGCONT)
        if running.process.stdin:
            running.process.stdin.close()
        try:
            async with asyncio.timeout(END_WITHIN):
                await running.process.wait()
        except TimeoutError:
            await self.kill(running)
        if running.reading:
            running.reading.cancel()

    def _error(self, running: Running, why: str) -> ScaleError:
        log = (self.folder / f"{running.name}.log").read_text()[-LOG_TAIL:]
        return ScaleError(f"{why}: {log}", running.name)


async def _read_lines(running: Running) -> None:
    assert running.process.stdout
    while line := await running.process.stdout.readline():
        if line.startswith(b"{"):
            running.lines.put_nowait(json.loads(line))
    running.lines.put_nowait({})
