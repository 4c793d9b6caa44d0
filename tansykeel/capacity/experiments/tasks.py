"""Processor time of tasks: at a real gateway by the stores it knows and by their rate, and at the stand-ins."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from tansykeel.capacity.errors import ExperimentError
from tansykeel.capacity.gateway import clients_of, gateway, instant_stores, settings_text
from tansykeel.capacity.processes import ChildProcess, processor_seconds
from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment

STORES_KNOWN = (10, 100, 300, 600, 970)
RATES = (150, 300, 600, 900, 1_200)
REPETITIONS = 3
RATE = 900
CONNECTIONS, VOLUMES, TASK_BYTES = 300, 20, 4_096
RATE_STORES = 100
WARM_S, MEASURED_S = 2.0, 10.0
WARM_ROUNDS = 20
LEAST_TASKS = 20
TRIES = 4
LEAST_DELIVERED = 0.99  # of the tasks; with fewer the figure would be of something else
WITHIN_S = 120.0
MICROSECONDS = 1e6
MECHANISM = "gateway process, one event loop"
HOW = "real gateway process on loopback, 300 client connections, reads of 4 KiB, stores that answer at once"

TASK_PROCESSOR = SeriesSpec(
    name="gateway-processor-task-by-stores",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.PROCESSOR,
    quantity="processor time a task at 900 tasks/s",
    unit="us/task",
    grows_by="stores_known",
    mechanism=MECHANISM,
    figure="tasks",
    figure_unit="% of a core",
    factor=1e-4,
    times="tasks_per_second_per_gateway",
    bound="gateway-processor",
    how=HOW,
)
RATE_PROCESSOR = SeriesSpec(
    name="gateway-processor-by-rate",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.PROCESSOR,
    quantity="processor time with 100 stores known",
    unit="us/s",
    grows_by="tasks_per_second_per_gateway",
    mechanism=MECHANISM,
    figure="tasks, were there 100 stores",
    figure_unit="% of a core",
    factor=1e-4,
    how=HOW,
)
STORE_PROCESSOR = SeriesSpec(
    name="store-processor-tasks",
    role=Role.STORE,
    aspect=Aspect.PROCESSOR,
    quantity="processor time of the stand-in stores at a rate of tasks",
    unit="us/s",
    grows_by="tasks_per_second_per_store",
    mechanism="store stand-in: answers at once, keeps nothing",
    figure="tasks of one store",
    figure_unit="% of a core",
    factor=1e-4,
    how=HOW,
)
CLIENT_PROCESSOR = SeriesSpec(
    name="client-processor-tasks",
    role=Role.CLIENT,
    aspect=Aspect.PROCESSOR,
    quantity="processor time of the stand-in client process at a rate of tasks",
    unit="us/s",
    grows_by="tasks_per_second_per_client",
    mechanism="client stand-in: one process for all connections",
    figure="tasks of one connection",
    figure_unit="% of a core",
    factor=1e-4,
    counts_fixed=False,
    how=HOW,
)


@dataclass(frozen=True, slots=True)
class Spent:
    """Processor seconds of each process over a stretch of steady load, and the tasks of it."""

    gateway_s: float
    stores_s: float
    clients_s: float
    tasks: int


def steady_load(stores: int, rate: int, scale: Scale) -> Spent:
    """Play steady load on a fresh gateway. Raises ExperimentError where it does not come to deliver all tasks."""
    with (
        instant_stores(stores) as (store_process, ports),
        gateway(settings_text(VOLUMES, ports)) as (process, port),
        clients_of(port) as clients,
    ):
        clients.ask(WITHIN_S, verb="open", count=CONNECTIONS, hello=True)
        warm = _warm_up(clients, rate, stores, max(int(rate * scale.seconds(WARM_S)), stores))
        count = max(int(rate * scale.seconds(MEASURED_S)), LEAST_TASKS)
        for attempt in range(TRIES):
            gateway_before, stores_before = processor_seconds(process.pid), processor_seconds(store_process.pid)
            played = _load(clients, count, rate, stores, warm + attempt * count)
            if played.delivered >= count * LEAST_DELIVERED:
                return Spent(
                    processor_seconds(process.pid) - gateway_before,
                    processor_seconds(store_process.pid) - stores_before,
                    played.spent_s,
                    count,
                )
    raise ExperimentError(f"{played.delivered} of {count} tasks were delivered at {rate} tasks/s and {stores} stores")


def _warm_up(clients: ChildProcess, rate: int, stores: int, count: int) -> int:
    """Play until nearly all tasks are delivered, so that each store is connected; the number of tasks played."""
    for rounds in range(1, WARM_ROUNDS + 1):
        if _load(clients, count, rate, stores, (rounds - 1) * count).delivered >= count * LEAST_DELIVERED:
            break
    return rounds * count


@dataclass(frozen=True, slots=True)
class Played:
    """What became of some tasks, and processor seconds of the clients for them."""

    delivered: int
    spent_s: float


def _load(clients: ChildProcess, count: int, rate: int, stores: int, first: int) -> Played:
    before = clients.ask(WITHIN_S, verb="look")["delivered"]
    told = clients.ask(
        WITHIN_S, verb="load", count=count, rate=rate, stores=stores, volumes=VOLUMES, first=first, size=TASK_BYTES
    )
    return Played(told["delivered"] - before, told["spent"])


@experiment("tasks-by-stores", TASK_PROCESSOR)
def tasks_by_stores(scale: Scale) -> Iterator[Sample]:
    """Processor time a task with more and more stores known, each of them used."""
    for _ in scale.repetitions(REPETITIONS):
        for size in scale.sizes(STORES_KNOWN, least=1):
            spent = steady_load(size, RATE, scale)
            yield Sample(TASK_PROCESSOR.name, size, spent.gateway_s / spent.tasks * MICROSECONDS)


@experiment("tasks-by-rate", RATE_PROCESSOR, STORE_PROCESSOR, CLIENT_PROCESSOR)
def tasks_by_rate(scale: Scale) -> Iterator[Sample]:
    """Processor time a second with more and more tasks a second, 100 stores known."""
    stores = scale.count(RATE_STORES)
    for _ in scale.repetitions(REPETITIONS):
        for rate in scale.sizes(RATES, least=1):
            spent = steady_load(stores, rate, scale)
            per_second = rate / spent.tasks * MICROSECONDS
            yield Sample(RATE_PROCESSOR.name, rate, spent.gateway_s * per_second)
            yield Sample(STORE_PROCESSOR.name, rate, spent.stores_s * per_second)
            yield Sample(CLIENT_PROCESSOR.name, rate, spent.clients_s * per_second)
