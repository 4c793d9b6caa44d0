"""Structured logging to standard error: JSON for machines, console for people."""

from __future__ import annotations

import sys

import structlog


def set_up(form: str) -> None:
    last = structlog.dev.ConsoleRenderer() if form == "console" else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *([structlog.processors.dict_tracebacks] if form == "json" else []),
            last,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
