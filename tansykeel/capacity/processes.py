"""Child processes of experiments: started, asked over pipes, measured through /proc, and ended by their id.

Each child says one JSON object a line on standard output and ends when its standard input ends, so that none outlives
the process that started it.
"""

from __future__ import annotations

import json
import os
import select
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from tansykeel.capacity.errors import ExperimentError

NANOSECONDS = 1e9
KIB = 1024
READ_BYTES = 64 * KIB
STOP_WITHIN_S = 20.0
QUOTED_CHARACTERS = 500  # of what a failed process wrote


def processor_seconds(pid: int) -> float:
    """Time that a process ran on a processor so far, user and system, all its threads, by the kernel's account."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / NANOSECONDS


def resident_bytes(pid: int) -> int:
    """Resident memory of a process. Memory of the kernel for its sockets is not in it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * KIB
    return 0


def proportional_bytes(pid: int) -> int:
    """Resident memory with shared pages divided among those that share them."""
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1]) * KIB
    return 0


def open_descriptors(pid: int) -> int:
    """Descriptors that a process holds."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class ChildProcess:
    """One process of an experiment, with its standard input and output as pipes and its errors in a file."""

    def __init__(self, *words: object) -> None:
        self.words = tuple(map(str, words))
        self._errors = tempfile.TemporaryFile()  # noqa: SIM115, it lives as long as the process
        self._read = b""
        self._process = subprocess.Popen(
            [sys.executable, "-m", *self.words],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self._errors,
        )

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    def answer(self, within_s: float) -> dict[str, Any]:
        """The next JSON object that it says. Raises ExperimentError where none comes in time."""
        assert self._process.stdout
        end = time.monotonic() + within_s
        while b"\n" not in self._read:
            left = end - time.monotonic()
            if left <= 0 or not select.select([self._process.stdout], [], [], left)[0]:
                raise self._failure(f"it said nothing for {within_s:g} s")
            data = os.read(self._process.stdout.fileno(), READ_BYTES)
            if not data:
                raise self._failure("it ended early")
            self._read += data
        line, _, self._read = self._read.partition(b"\n")
        try:
            said: dict[str, Any] = json.loads(line)
        except ValueError:
            raise self._failure(f"it said {line[:QUOTED_CHARACTERS]!r}, which is no JSON") from None
        return said

    def ask(self, within_s: float, **command: Any) -> dict[str, Any]:
        """Send it a command and wait for its answer. Raises ExperimentError."""
        self.send(**command)
        return self.answer(within_s)

    def send(self, **command: Any) -> None:
        """Send it a command; its answer is taken later. Raises ExperimentError."""
        assert self._process.stdin
        try:
            self._process.stdin.write(json.dumps(command).encode() + b"\n")
            self._process.stdin.flush()
        except OSError as error:
            raise self._failure(f"it takes no command: {error.strerror}") from None

    def stop(self) -> None:
        """End it: its standard input ends, and it is killed where that is not enough."""
        if self._process.stdin:
            self._process.stdin.close()
        try:
            self._process.wait(STOP_WITHIN_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        if self._process.stdout:
            self._process.stdout.close()
        self._errors.close()

    def _failure(self, what: str) -> ExperimentError:
        self._errors.seek(0)
        wrote = self._errors.read().decode(errors="replace")[-QUOTED_CHARACTERS:]
        return ExperimentError(f"{what}; its errors: {wrote.strip() or 'none'}", " ".join(self.words))


@contextmanager
def running(*words: object) -> Iterator[ChildProcess]:
    """A process `python -m WORDS` for the length of a block."""
    child = ChildProcess(*words)
    try:
        yield child
    finally:
        child.stop()
