"""What client connections cost a real gateway: memory, descriptors, and processor time while they idle and come."""

from __future__ import annotations

import time
from collections.abc import Iterator

from tansykeel.capacity.gateway import NOBODY_PORT, clients_of, gateway, instant_stores, settings_text
from tansykeel.capacity.processes import ChildProcess, open_descriptors, processor_seconds, resident_bytes
from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment

SIZES = (0, 1_000, 2_000, 3_000, 4_000, 6_000)
WRITING_SIZES = (0, 250, 500, 1_000, 2_000)  # each takes far more memory
REPETITIONS = 3
STORES, VOLUMES, TASK_BYTES = 4, 20, 4_096
SETTLE_S = 1.0
IDLE_S = 4.0
TASK_RATE = 900
OPEN_WITHIN_S = 120.0
LOAD_WITHIN_S = 120.0
MICROSECONDS = 1e6
MECHANISM = "gateway process, one event loop"
HOW = "real gateway process on loopback, clients in one stand-in process"

SILENT_MEMORY = SeriesSpec(
    name="gateway-memory-silent-connections",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.MEMORY,
    quantity="resident memory with connections that never said hello",
    unit="bytes",
    grows_by="connections_per_gateway",
    mechanism=MECHANISM,
    figure="memory if none said hello",
    figure_unit="bytes",
    how=HOW,
)
IDLE_MEMORY = SeriesSpec(
    name="gateway-memory-idle-connections",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.MEMORY,
    quantity="resident memory with connections idle after hello",
    unit="bytes",
    grows_by="connections_per_gateway",
    mechanism=MECHANISM,
    figure="memory if all idle",
    figure_unit="bytes",
    how=HOW,
)
USED_MEMORY = SeriesSpec(
    name="gateway-memory-used-connections",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.MEMORY,
    quantity="resident memory after a read of 4 KiB on each connection, 900 tasks/s",
    unit="bytes",
    grows_by="connections_per_gateway",
    mechanism=MECHANISM,
    figure="memory if each connection's last task was a read",
    figure_unit="bytes",
    how=HOW,
)
DESCRIPTORS = SeriesSpec(
    name="gateway-descriptors-connections",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.STATE,
    quantity="descriptors with client connections",
    unit="descriptors",
    grows_by="connections_per_gateway",
    mechanism=MECHANISM,
    figure="descriptors for clients, with the process at rest",
    figure_unit="descriptors",
    bound="gateway-descriptors",
    how=HOW,
)
IDLE_PROCESSOR = SeriesSpec(
    name="gateway-processor-idle-connections",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.PROCESSOR,
    quantity="processor time with idle connections",
    unit="us/s",
    grows_by="connections_per_gateway",
    mechanism=MECHANISM,
    figure="idle connections",
    figure_unit="% of a core",
    factor=1e-4,
    bound="gateway-processor",
    how=HOW,
)
ARRIVAL_PROCESSOR = SeriesSpec(
    name="gateway-processor-arrivals",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.PROCESSOR,
    quantity="processor time to take connections with their hello",
    unit="s",
    grows_by="arriving_connections_per_gateway",
    mechanism=MECHANISM,
    figure="seconds of a core to take the clients that come at once",
    figure_unit="s of a core",
    bound="at-once",
    counts_fixed=False,
    how=HOW,
)
CLIENT_MEMORY = SeriesSpec(
    name="client-memory-connections",
    role=Role.CLIENT,
    aspect=Aspect.MEMORY,
    quantity="resident memory of the stand-in client process with idle connections",
    unit="bytes",
    grows_by="one",
    mechanism="client stand-in",
    figure="one connection",
    figure_unit="bytes",
    counts_fixed=False,
    how="one stand-in process holds all connections",
)


WRITING_MEMORY = SeriesSpec(
    name="gateway-memory-writing-connections",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.MEMORY,
    quantity="resident memory after a write of 4 KiB on each connection, 900 tasks/s",
    unit="bytes",
    grows_by="connections_per_gateway",
    mechanism=MECHANISM,
    figure="process at rest, and connections whose last task was a write",
    figure_unit="bytes",
    bound="gateway-memory",
    how=HOW,
)


@experiment("silent-connections", SILENT_MEMORY)
def silent_connections(scale: Scale) -> Iterator[Sample]:
    """Memory of connections that were accepted and never said hello; the gateway's hello is sent to them."""
    for _ in scale.repetitions(REPETITIONS):
        with gateway(settings_text(VOLUMES, [NOBODY_PORT] * STORES)) as (process, port), clients_of(port) as clients:
            held = 0
            for size in scale.sizes(SIZES):
                clients.ask(OPEN_WITHIN_S, verb="open", count=size - held, hello=False)
                held = size
                time.sleep(scale.seconds(SETTLE_S))
                yield Sample(SILENT_MEMORY.name, size, resident_bytes(process.pid))


@experiment("connections", IDLE_MEMORY, USED_MEMORY, DESCRIPTORS, IDLE_PROCESSOR, ARRIVAL_PROCESSOR, CLIENT_MEMORY)
def connections(scale: Scale) -> Iterator[Sample]:
    """Connections with hello: first idle, a fresh process for each repetition; then one task on each."""
    for _ in scale.repetitions(REPETITIONS):
        yield from _idle(scale)
        yield from _used(scale, SIZES, USED_MEMORY, writes=False)


@experiment("writing-connections", WRITING_MEMORY)
def writing_connections(scale: Scale) -> Iterator[Sample]:
    """The same where the last task of each connection was a write."""
    for _ in scale.repetitions(REPETITIONS):
        yield from _used(scale, WRITING_SIZES, WRITING_MEMORY, writes=True)


def _idle(scale: Scale) -> Iterator[Sample]:
    with gateway(settings_text(VOLUMES, [NOBODY_PORT] * STORES)) as (process, port), clients_of(port) as clients:
        held, arrivals_s = 0, 0.0
        for size in scale.sizes(SIZES):
            before = processor_seconds(process.pid)
            clients.ask(OPEN_WITHIN_S, verb="open", count=size - held, hello=True)
            held = size
            time.sleep(scale.seconds(SETTLE_S))
            arrivals_s += processor_seconds(process.pid) - before
            yield Sample(ARRIVAL_PROCESSOR.name, size, arrivals_s)
            yield Sample(IDLE_MEMORY.name, size, resident_bytes(process.pid))
            yield Sample(DESCRIPTORS.name, size, open_descriptors(process.pid))
            yield Sample(CLIENT_MEMORY.name, size, resident_bytes(clients.pid))
            yield Sample(IDLE_PROCESSOR.name, size, _idle_processor(process, scale.seconds(IDLE_S)))


def _idle_processor(process: ChildProcess, seconds: float) -> float:
    """Processor microseconds a second while nothing happens."""
    before, begun = processor_seconds(process.pid), time.monotonic()
    time.sleep(seconds)
    return (processor_seconds(process.pid) - before) / (time.monotonic() - begun) * MICROSECONDS


def _used(scale: Scale, sizes: tuple[int, ...], series: SeriesSpec, writes: bool) -> Iterator[Sample]:
    with (
        instant_stores(STORES) as (_, ports),
        gateway(settings_text(VOLUMES, ports)) as (process, port),
        clients_of(port) as clients,
    ):
        held = 0
        for size in scale.sizes(sizes):
            clients.ask(OPEN_WITHIN_S, verb="open", count=size - held, hello=True)
            held = size
            if size:
                clients.ask(
                    LOAD_WITHIN_S,
                    verb="load",
                    count=size,
                    rate=TASK_RATE,
                    stores=STORES,
                    volumes=VOLUMES,
                    first=0,
                    size=TASK_BYTES,
                    writes=writes,
                )
            yield Sample(series.name, size, resident_bytes(process.pid))
