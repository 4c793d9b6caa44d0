"""Commands to a stand-in: JSON lines on standard input, until its end."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from typing import Any


async def commands(carry_out: Callable[[dict[str, Any]], None]) -> None:
    """Carry out each line; at the end of the input an `end` is carried out, so that no stand-in is left behind."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        carry_out(json.loads(line))
    carry_out({"verb": "end"})
