"""Commands of a stand-in process: JSON objects, one a line, on standard input; answers on standard output."""

from __future__ import annotations

import asyncio
import json
import os
import resource
from collections.abc import AsyncIterator
from typing import Any

READ_BYTES = 64 << 10


def say(**fields: Any) -> None:
    """Say one JSON object."""
    print(json.dumps(fields), flush=True)


def spent_seconds() -> float:
    """User and system time of this process so far."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def commands() -> AsyncIterator[dict[str, Any]]:
    """Each command that comes; ends with standard input."""
    loop = asyncio.get_running_loop()
    read: asyncio.Queue[bytes] = asyncio.Queue()
    loop.add_reader(0, lambda: read.put_nowait(os.read(0, READ_BYTES)))
    pending = b""
    try:
        while data := await read.get():
            pending += data
            while b"\n" in pending:
                line, _, pending = pending.partition(b"\n")
                yield json.loads(line)
    finally:
        loop.remove_reader(0)
