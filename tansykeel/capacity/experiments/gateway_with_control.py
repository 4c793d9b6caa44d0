"""A real gateway process that holds a session, beside one of the same settings without control: what it spends more.

Neither has clients. The share of the code that both load is in neither figure.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

from tansykeel.capacity.control_plane import control_plane, gateway_process, wait_until
from tansykeel.capacity.gateway import NOBODY_PORT, settings_text
from tansykeel.capacity.processes import ChildProcess, processor_seconds, resident_bytes
from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment

GATEWAYS = (62, 124, 310, 620, 1240)  # of the deployment, by its settings
REPETITIONS = 2
SETTLE_S = 5.0
MEASURED_S = 15.0
MICROSECONDS = 1e6
HOW = "real gateway process without clients, with control and without, before 3 control node processes on loopback"


def _series(
    name: str, aspect: Aspect, quantity: str, unit: str, figure_unit: str, factor: float, bound: str
) -> SeriesSpec:
    return SeriesSpec(
        name=name,
        role=Role.GATEWAY_CONTROL,
        aspect=aspect,
        quantity=quantity,
        unit=unit,
        grows_by="gateways",
        mechanism="sessions with control nodes, in a real gateway",
        figure="each gateway",
        figure_unit=figure_unit,
        factor=factor,
        bound=bound,
        how=HOW,
    )


MORE_PROCESSOR = _series(
    "gateway-with-control-processor",
    Aspect.PROCESSOR,
    "processor time of an idle gateway with control, beyond one without",
    "us/s",
    "% of a core",
    1e-4,
    "gateway-control-processor",
)
MORE_MEMORY = _series(
    "gateway-with-control-memory",
    Aspect.MEMORY,
    "resident memory of an idle gateway with control, beyond one without",
    "bytes",
    "bytes",
    1.0,
    "gateway-control-memory",
)


@experiment("gateway-with-control", MORE_PROCESSOR, MORE_MEMORY)
def gateway_with_control(scale: Scale) -> Iterator[Sample]:
    """Both gateways run side by side, so that what else the machine does strikes both."""
    seconds = scale.seconds(MEASURED_S)
    for _ in scale.repetitions(REPETITIONS):
        for size in scale.sizes(GATEWAYS, least=1):
            with control_plane(size) as plane:
                plain = plane.settings.with_name("plain.star")
                plain.write_text(settings_text(1, [NOBODY_PORT]))
                with gateway_process(plane.settings, size) as held, gateway_process(plain, size) as without:
                    wait_until(plane.has_sessions, "the gateway opened no session")
                    time.sleep(scale.seconds(SETTLE_S))
                    more = _spent((held, without), seconds)
                    yield Sample(MORE_PROCESSOR.name, size, (more[0] - more[1]) / seconds * MICROSECONDS)
                    yield Sample(MORE_MEMORY.name, size, resident_bytes(held.pid) - resident_bytes(without.pid))


def _spent(processes: tuple[ChildProcess, ...], seconds: float) -> list[float]:
    """Processor seconds of each process in the next `seconds`."""
    before = [processor_seconds(process.pid) for process in processes]
    time.sleep(seconds)
    return [processor_seconds(process.pid) - spent for process, spent in zip(processes, before, strict=True)]
