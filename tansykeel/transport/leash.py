"""Ends a program when whoever started it is gone: when its standard input ends."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable


def leash(end: Callable[[], None]) -> None:
    """Call `end` once, when standard input ends. What comes in before is let go."""
    loop = asyncio.get_running_loop()

    def look() -> None:
        if not os.read(0, 4096):
            loop.remove_reader(0)
            end()

    loop.add_reader(0, look)
