"""Structured logging to standard error: JSON for machines, console for people.

A log that nobody reads neither holds a program up nor ends it: lines that can't be written at once are lost.
"""

from __future__ import annotations

import sys
from typing import TextIO, cast

import structlog

from tansykeel.transport.line_writer import LineStream


def set_up(form: str) -> None:
    last = structlog.dev.ConsoleRenderer() if form == "console" else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *([structlog.processors.dict_tracebacks] if form == "json" else []),
            last,
        ],
        logger_factory=structlog.PrintLoggerFactory(_standard_error()),
        cache_logger_on_first_use=True,
    )


def _standard_error() -> TextIO:
    """Return standard error, through a stream that never waits where it is a descriptor."""
    try:
        return cast(TextIO, LineStream(sys.stderr.fileno()))
    except (OSError, ValueError):
        return sys.stderr  # a test's own stream
