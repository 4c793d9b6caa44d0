"""Spans over a task's way: taken, held, handed off, answered. Off unless asked for; then written as JSON lines.

Without a Trace the program pays one comparison for each step of a task.
"""

from __future__ import annotations

import time
from pathlib import Path

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import Span, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased

from tansykeel.edge.tasks import Attempt, FinalAnswer, HeldTask

MOST_OPEN = 50_000  # spans of tasks under way; beyond it new ones are not traced


class Trace:
    """`share` of the tasks are traced into `path`."""

    def __init__(self, gateway: str, path: Path, share: float) -> None:
        self._out = path.open("a")
        self._provider = TracerProvider(
            sampler=TraceIdRatioBased(share), resource=Resource.create({"service.name": gateway})
        )
        exporter = ConsoleSpanExporter(out=self._out, formatter=lambda span: span.to_json(indent=None) + "\n")
        self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("tansykeel.edge")
        self._open: dict[HeldTask, trace.Span] = {}

    def handed_off(self, attempt: Attempt) -> None:
        """The task's span begins where it was taken, known once it is first handed off; each hand-off is an event."""
        held = attempt.held
        span = self._open.get(held) or self._begin(held, attempt.sent_at)
        span.add_event("handed off", {"store": str(attempt.store.handle), "number": attempt.number})

    def answered(self, held: HeldTask, final: FinalAnswer) -> None:
        span = self._open.pop(held, None) or self._begin(held, held.task.arrived)
        self._open.pop(held, None)
        span.set_attribute("result", ("delivered", "nacked", "broken off")[final.result])
        span.end()

    def end(self) -> None:
        self._provider.shutdown()
        self._out.close()

    def _begin(self, held: HeldTask, now: int) -> trace.Span:
        request = held.request
        age = max(now - held.task.arrived, 0) * 100_000
        span = self._tracer.start_span(
            "task",
            start_time=time.time_ns() - age,
            attributes={
                "task": held.id,
                "volume": request.volume,
                "category": request.category,
                "size": request.size,
                "held_ms": age / 1e6,
            },
        )
        if len(self._open) < MOST_OPEN and isinstance(span, Span):
            self._open[held] = span
        return span
