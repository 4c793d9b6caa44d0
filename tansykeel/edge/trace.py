"""OpenTelemetry spans of tasks, with an event for each hand-off, written as JSON lines. Off unless asked for.

Without a Trace, each step of a task costs the program one comparison.
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

MAX_OPEN_SPANS = 50_000  # spans of unanswered tasks that are kept; while there are so many, no further ones are


class Trace:
    """Writes the spans of a `share` of the tasks to `path`."""

    def __init__(self, gateway: str, path: Path, share: float) -> None:
        self._out = path.open("a")
        self._provider = TracerProvider(
            sampler=TraceIdRatioBased(share), resource=Resource.create({"service.name": gateway})
        )
        exporter = ConsoleSpanExporter(out=self._out, formatter=lambda span: span.to_json(indent=None) + "\n")
        self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("tansykeel.edge")
        self._open_spans: dict[HeldTask, trace.Span] = {}

    def handed_off(self, attempt: Attempt) -> None:
        """Add an event to the task's span. The first hand-off creates the span, begun at the task's arrival."""
        held = attempt.held
        span = self._open_spans.get(held) or self._start_span(held, attempt.sent_at)
        span.add_event("handed off", {"store": str(attempt.store.handle), "number": attempt.number})

    def answered(self, held: HeldTask, final: FinalAnswer) -> None:
        """End the task's span with the result."""
        span = self._open_spans.pop(held, None) or self._start_span(held, held.task.arrived)
        self._open_spans.pop(held, None)
        span.set_attribute("result", ("delivered", "nacked", "broken off")[final.result])
        span.end()

    def end(self) -> None:
        """Write the spans that are left and close the file."""
        self._provider.shutdown()
        self._out.close()

    def _start_span(self, held: HeldTask, now: int) -> trace.Span:
        """Start a span that begins at the task's arrival; `now` is the current time."""
        request = held.request
        age = max(now - held.task.arrived, 0) * 100_000  # nanoseconds
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
        if len(self._open_spans) < MAX_OPEN_SPANS and isinstance(span, Span):
            self._open_spans[held] = span
        return span
