"""What stores, volumes and queues cost a gateway in memory, and what connections to stores cost both ends."""

from __future__ import annotations

import time
from collections.abc import Iterator

from tansykeel.capacity.gateway import NOBODY_PORT, clients_of, gateway, instant_stores, settings_text
from tansykeel.capacity.processes import ChildProcess, open_descriptors, processor_seconds, resident_bytes
from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment

STORES = (10, 100, 300, 600, 970)
VOLUMES = (100, 1_000, 2_500, 5_000, 10_000)
QUEUES = (2_000, 5_000, 10_000, 20_000, 30_000)
QUEUE_STORES = 100
RATE = 1_200
REPETITIONS = 3
MEETINGS, SLOW_RATE = 10, 50  # rounds of one task to each store, tasks/s
PASSES = 3  # tasks to each new store: the first ones may be refused while nothing is known of it
CLIENTS = 100
TASK_BYTES = 4_096
SETTLE_S = 1.0
WITHIN_S = 120.0
MECHANISM = "gateway process, one event loop"

STORE_MEMORY = SeriesSpec(
    name="gateway-memory-stores-known",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.MEMORY,
    quantity="resident memory with stores known, none of them used",
    unit="bytes",
    grows_by="stores_known",
    mechanism=MECHANISM,
    figure="memory of stores known",
    figure_unit="bytes",
    bound="gateway-memory",
    counts_fixed=False,
    how="real gateway process, stores in its settings",
)
VOLUME_MEMORY = SeriesSpec(
    name="gateway-memory-volumes",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.MEMORY,
    quantity="resident memory with volumes known",
    unit="bytes",
    grows_by="volumes",
    mechanism=MECHANISM,
    figure="memory of volumes known",
    figure_unit="bytes",
    bound="gateway-memory",
    counts_fixed=False,
    how="real gateway process, volumes in its settings",
)
QUEUE_MEMORY = SeriesSpec(
    name="gateway-memory-volume-queues",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.MEMORY,
    quantity="resident memory with queues of volumes at stores, a task through each",
    unit="bytes",
    grows_by="volume_queues_per_gateway",
    mechanism=MECHANISM,
    figure="memory of volume queues (pairs of store and volume, kept 600 s)",
    figure_unit="bytes",
    bound="gateway-memory",
    counts_fixed=False,
    how="real gateway process, 100 stores, 1,200 tasks/s, each task to a pair of store and volume not seen before",
)
STORE_CONNECTION_MEMORY = SeriesSpec(
    name="gateway-memory-store-connections",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.MEMORY,
    quantity="resident memory with one connection to each of so many stores, a task through each",
    unit="bytes",
    grows_by="store_connections_per_gateway",
    mechanism=MECHANISM,
    figure="memory of connections to stores",
    figure_unit="bytes",
    bound="gateway-memory",
    counts_fixed=False,
    how="real gateway process that knows 970 stores from the start",
)
STORE_CONNECTION_DESCRIPTORS = SeriesSpec(
    name="gateway-descriptors-store-connections",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.STATE,
    quantity="descriptors with one connection to each of so many stores",
    unit="descriptors",
    grows_by="store_connections_per_gateway",
    mechanism=MECHANISM,
    figure="descriptors for stores",
    figure_unit="descriptors",
    bound="gateway-descriptors",
    counts_fixed=False,
    how="real gateway process that knows 970 stores from the start",
)
STORE_SIDE_MEMORY = SeriesSpec(
    name="store-memory-connections",
    role=Role.STORE,
    aspect=Aspect.MEMORY,
    quantity="resident memory of the stand-in stores with connections of gateways",
    unit="bytes",
    grows_by="connections_per_store",
    mechanism="store stand-in: answers at once, keeps nothing",
    figure="connections of all gateways at one store",
    figure_unit="bytes",
    counts_fixed=False,
    how="one stand-in process holds all stores",
)


MEETING_PROCESSOR = SeriesSpec(
    name="gateway-processor-stores-met",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.PROCESSOR,
    quantity="processor time to connect to all stores for the first time, a task to each",
    unit="s",
    grows_by="stores_known",
    mechanism=MECHANISM,
    figure="a gateway that has just started meets its stores",
    figure_unit="s of a core",
    how="real gateway process, stores in its settings, so that each hello tells of a start not known before",
)


@experiment("stores-met", MEETING_PROCESSOR)
def stores_met(scale: Scale) -> Iterator[Sample]:
    """Processor time of a fresh gateway until each store is connected, tasks sent slowly."""
    for _ in scale.repetitions(REPETITIONS):
        for size in scale.sizes(STORES, least=1):
            with (
                instant_stores(size) as (stores, ports),
                gateway(settings_text(1, ports)) as (process, port),
                clients_of(port) as clients,
            ):
                clients.ask(WITHIN_S, verb="open", count=CLIENTS, hello=True)
                before = processor_seconds(process.pid)
                for _ in range(MEETINGS):
                    _load(clients, size, size, 1, 0, SLOW_RATE)
                    if stores.ask(WITHIN_S, verb="look")["connections"] >= size:
                        break
                yield Sample(MEETING_PROCESSOR.name, size, processor_seconds(process.pid) - before)


@experiment("stores-known", STORE_MEMORY)
def stores_known(scale: Scale) -> Iterator[Sample]:
    """Memory of a fresh gateway that knows so many stores."""
    for _ in scale.repetitions(REPETITIONS):
        for size in scale.sizes(STORES, least=1):
            yield Sample(STORE_MEMORY.name, size, _memory_at_rest(settings_text(1, [NOBODY_PORT] * size), scale))


@experiment("volumes-known", VOLUME_MEMORY)
def volumes_known(scale: Scale) -> Iterator[Sample]:
    """Memory of a fresh gateway that knows so many volumes."""
    for _ in scale.repetitions(REPETITIONS):
        for size in scale.sizes(VOLUMES, least=1):
            yield Sample(VOLUME_MEMORY.name, size, _memory_at_rest(settings_text(size, [NOBODY_PORT]), scale))


def _memory_at_rest(settings: str, scale: Scale) -> int:
    with gateway(settings) as (process, _):
        time.sleep(scale.seconds(SETTLE_S))
        return resident_bytes(process.pid)


@experiment("volume-queues", QUEUE_MEMORY)
def volume_queues(scale: Scale) -> Iterator[Sample]:
    """Memory of one gateway as tasks come for ever more pairs of a store and a volume."""
    sizes = scale.sizes(QUEUES, least=1)
    stores = scale.count(QUEUE_STORES)
    volumes = sizes[-1] // stores + 1
    for _ in scale.repetitions(REPETITIONS):
        with (
            instant_stores(stores) as (_, ports),
            gateway(settings_text(volumes, ports)) as (process, port),
            clients_of(port) as clients,
        ):
            clients.ask(WITHIN_S, verb="open", count=CLIENTS, hello=True)
            seen = 0
            for size in sizes:
                _load(clients, size - seen, stores, volumes, seen)
                seen = size
                yield Sample(QUEUE_MEMORY.name, size, resident_bytes(process.pid))


@experiment("store-connections", STORE_CONNECTION_MEMORY, STORE_CONNECTION_DESCRIPTORS, STORE_SIDE_MEMORY)
def store_connections(scale: Scale) -> Iterator[Sample]:
    """Memory and descriptors as a gateway that knows all stores connects to ever more of them."""
    sizes = scale.sizes(STORES, least=1)
    for _ in scale.repetitions(REPETITIONS):
        with (
            instant_stores(sizes[-1]) as (stores, ports),
            gateway(settings_text(1, ports)) as (process, port),
            clients_of(port) as clients,
        ):
            clients.ask(WITHIN_S, verb="open", count=CLIENTS, hello=True)
            seen = 0
            for size in sizes:
                for _ in range(PASSES):
                    _load(clients, size - seen, sizes[-1], 1, seen)
                seen = size
                yield Sample(STORE_CONNECTION_MEMORY.name, size, resident_bytes(process.pid))
                yield Sample(STORE_CONNECTION_DESCRIPTORS.name, size, open_descriptors(process.pid))
                yield Sample(STORE_SIDE_MEMORY.name, size, resident_bytes(stores.pid))


def _load(clients: ChildProcess, count: int, stores: int, volumes: int, first: int, rate: int = RATE) -> None:
    clients.ask(
        WITHIN_S, verb="load", count=count, rate=rate, stores=stores, volumes=volumes, first=first, size=TASK_BYTES
    )
