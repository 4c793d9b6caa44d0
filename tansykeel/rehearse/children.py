"""Processes that a rehearsal started."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any


@dataclass(eq=False)
class Child:
    """A process that this conductor started."""

    name: str
    process: asyncio.subprocess.Process
    lines: asyncio.Queue[dict[str, Any]] = field(default_factory=asyncio.Queue)
    reading: asyncio.Task[None] | None = None

    def tell(self, **command: Any) -> None:
        if self.process.returncode is None and self.process.stdin:
            self.process.stdin.write(json.dumps(command).encode() + b"\n")


@dataclass(eq=False)
class StoreChild:
    child: Child
    name: str
    index: int
    zone: int
    address: str = ""
    boot: int = 0
    started: float = 0.0  # loop time of a start that was cold
    alive: bool = True
