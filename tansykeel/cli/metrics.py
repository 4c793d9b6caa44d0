"""Plain metrics of a running gateway, read when asked."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from tansykeel.edge.clock import clock
from tansykeel.edge.program import Edge


class Collector:
    def __init__(self, edge: Edge) -> None:
        self.edge = edge

    def collect(self) -> Iterator[Metric]:
        core = self.edge.core
        counts = core.counts
        yield CounterMetricFamily("tansykeel_tasks_taken", "tasks taken", counts.taken)
        answers = CounterMetricFamily("tansykeel_answers", "final answers", labels=["answer"])
        for name in ("delivered", "nacked", "broken_off"):
            answers.add_metric([name], getattr(counts, name))
        yield answers
        yield CounterMetricFamily("tansykeel_clients_left", "tasks that their client left", counts.left)
        yield CounterMetricFamily("tansykeel_hand_offs", "hand-offs", counts.hand_offs)
        outcomes = CounterMetricFamily("tansykeel_outcomes", "outcomes of hand-offs", labels=["how"])
        for how, number in sorted(counts.outcomes.copy().items()):
            outcomes.add_metric([how], number)
        yield outcomes
        yield GaugeMetricFamily("tansykeel_tasks_held", "tasks without their answer", len(core.held))
        yield GaugeMetricFamily("tansykeel_body_bytes", "bytes promised to bodies", core.memory.used)
        yield GaugeMetricFamily("tansykeel_connections", "open connections", len(self.edge.hub.links))
        if session := self.edge.control_session:
            part = float(session.client.part(clock()))
            yield GaugeMetricFamily("tansykeel_control_session_open", "1 with a session", float(session.is_open))
            yield GaugeMetricFamily("tansykeel_control_part", "part of any limit that it may count as its own", part)


def serve(edge: Edge, port: int) -> None:
    """Answer GET on loopback. Raises OSError where the port is taken."""
    registry = CollectorRegistry()
    registry.register(Collector(edge))
    start_http_server(port, "127.0.0.1", registry)
