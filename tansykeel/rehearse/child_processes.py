"""Child processes of a scenario on sockets: started, waited for until they are ready, and ended."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tansykeel.errors import NOT_PLAYED, Problem

START_WITHIN = 20.0  # seconds for a process to say that it is ready
END_WITHIN = 15.0  # seconds for a process to end by itself
MOST_LOG = 600  # characters of a process's log in the error that names it
PROGRAM = (sys.executable, "-m", "tansykeel")


class RehearsalError(Problem):
    """A day could not be played to its end."""

    advice = "read the log that is named; play the day again with nothing else on the machine"
    code = NOT_PLAYED


@dataclass(eq=False)
class Child:
    """A process that was started here. It says what it has to say as JSON lines on its standard output."""

    name: str
    process: asyncio.subprocess.Process
    lines: asyncio.Queue[dict[str, Any]] = field(default_factory=asyncio.Queue)
    reading: asyncio.Task[None] | None = None

    @property
    def runs(self) -> bool:
        """Whether it has not ended."""
        return self.process.returncode is None

    def tell(self, **command: Any) -> None:
        """Send it a command, as a JSON line on its standard input."""
        if self.runs and self.process.stdin:
            self.process.stdin.write(json.dumps(command).encode() + b"\n")


class ChildProcesses:
    """All child processes, their logs and records in one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.children: list[Child] = []

    def record_path(self, name: str) -> Path:
        """Return the file in which a process of this name records what passed."""
        return self.folder / "records" / f"{name}.rec"

    def log_tail(self, child: Child, most: int = MOST_LOG) -> str:
        """Return the end of what a process wrote to its standard error."""
        return (self.folder / f"{child.name}.log").read_text()[-most:]

    def started(self, name: str) -> int:
        """Return how many processes of this name were started."""
        return sum(child.name == name for child in self.children)

    async def spawn(self, name: str, *arguments: object) -> Child:
        """Start a process; its standard error goes to its log, after that of earlier ones of its name."""
        log = (self.folder / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            *map(str, arguments), stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=log
        )
        log.close()
        child = Child(name, process)
        child.reading = asyncio.create_task(self._read(child))
        self.children.append(child)
        return child

    async def ready(self, child: Child) -> dict[str, Any]:
        """Wait until a process says that it is ready, and return what it says. Raises RehearsalError."""
        try:
            async with asyncio.timeout(START_WITHIN):
                if told := await child.lines.get():
                    return told
                why = "ended before it was ready"
        except TimeoutError:
            why = f"did not start within {START_WITHIN:g} s"
        raise RehearsalError(f"{child.name} {why}: {self.log_tail(child)}")

    async def wait(self, children: Iterable[Child]) -> None:
        """Wait until processes that were told to end have ended; one that takes too long is killed."""
        for child in children:
            try:
                async with asyncio.timeout(END_WITHIN):
                    await child.process.wait()
            except TimeoutError:
                child.process.kill()

    async def end_all(self, first: list[Child]) -> None:
        """End all processes: those of `first` are terminated before the others' standard input is closed."""
        for child in first:
            if child.runs:
                child.process.terminate()
        await self.wait(first)
        others = [child for child in self.children if child not in first]
        for child in others:
            if child.process.stdin and child.runs:
                child.process.stdin.close()  # a simulated service ends with its input, clients have ended
        await self.wait(others)
        for child in self.children:
            if child.runs:
                child.process.kill()
                await child.process.wait()
            if child.reading:
                child.reading.cancel()

    async def _read(self, child: Child) -> None:
        assert child.process.stdout
        while line := await child.process.stdout.readline():
            if line.startswith(b"{"):
                child.lines.put_nowait(json.loads(line))
        child.lines.put_nowait({})  # it has ended
