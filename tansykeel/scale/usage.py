"""What processes use, read from /proc: processor time (user and system) and memory."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

from msgspec import Struct

from tansykeel.audit.records import now_us

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_FIELD, SYSTEM_FIELD = 11, 12  # of /proc/PID/stat, counted behind the program's name
RESIDENT_FIELD = 1  # of /proc/PID/statm
PROC = Path("/proc")


class UsageSample(Struct, frozen=True, array_like=True):
    """What one process had used at a moment: processor seconds since its start, resident bytes."""

    at: int
    process: str
    pid: int
    cpu_s: float
    resident: int


def read_sample(name: str, pid: int, proc: Path = PROC) -> UsageSample | None:
    """Return what a process has used, None where it is gone."""
    try:
        stat = (proc / str(pid) / "stat").read_text()
        statm = (proc / str(pid) / "statm").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return None
    behind_name = stat.rpartition(")")[2].split()
    ticks = int(behind_name[USER_FIELD]) + int(behind_name[SYSTEM_FIELD])
    resident = int(statm.split()[RESIDENT_FIELD]) * PAGE_BYTES
    return UsageSample(now_us(), name, pid, ticks / TICKS_PER_SECOND, resident)


def proportional_bytes(pid: int, proc: Path = PROC) -> int | None:
    """Return a process's memory with each shared page divided among those that share it, None where it is gone."""
    try:
        lines = (proc / str(pid) / "smaps_rollup").read_text().splitlines()
    except (FileNotFoundError, ProcessLookupError):
        return None
    for line in lines:
        if line.startswith("Pss:"):
            return int(line.split()[1]) * 1024
    return None


def machine_memory(proc: Path = PROC) -> int:
    """Return the machine's memory in bytes."""
    first = (proc / "meminfo").read_text().splitlines()[0]
    return int(first.split()[1]) * 1024


def cores_used(samples: Iterable[UsageSample], begin: int, end: int) -> dict[str, float]:
    """Return by process how many cores it used on average between two moments.

    A process that was started again counts by its longest run within the time.
    """
    runs: dict[tuple[str, int], list[UsageSample]] = {}
    for sample in samples:
        if begin <= sample.at <= end:
            runs.setdefault((sample.process, sample.pid), []).append(sample)
    longest: dict[str, tuple[int, float]] = {}
    for (name, _), run in runs.items():
        duration = run[-1].at - run[0].at
        if duration > longest.get(name, (0, 0.0))[0]:
            longest[name] = duration, (run[-1].cpu_s - run[0].cpu_s) / (duration / 1e6)
    return {name: cores for name, (_, cores) in longest.items()}
