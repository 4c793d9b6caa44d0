"""The store of a shard changes: how long after the list's word a real gateway still makes attempts at the old one."""

from __future__ import annotations

import time
from collections.abc import Iterator

from tansykeel.capacity.errors import ExperimentError
from tansykeel.capacity.gateway import (
    READY_WITHIN_S,
    STAND_INS,
    clients_of,
    gateway,
    settings_text,
    wait_until_followed,
)
from tansykeel.capacity.processes import running
from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment

STORES = (10, 100, 300, 600, 970)
MOVES = 10
REPETITIONS = 3  # gateways that are started, each for so many moves
RATE = 500  # tasks/s, all to the shard that moves
CLIENTS, TASK_BYTES = 50, 4_096
WARM_S, SETTLE_S = 3.0, 0.5
WITHIN_S = 60.0
MILLISECONDS = 1e3

LAST_ATTEMPT = SeriesSpec(
    name="shard-moved-last-attempt",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.STATE,
    quantity="from the list's word that a shard's store changed to the last attempt at the old one, the longest of 30",
    unit="ms",
    grows_by="stores_known",
    mechanism="list of stores, pushed to each gateway",
    figure="a gateway leaves the old store",
    figure_unit="s",
    factor=1e-3,
    bound="store-change",
    how="real gateway process, 500 tasks/s to that shard; wall time on a busy machine, at the old store",
)


@experiment("moved-shard", LAST_ATTEMPT)
def moved_shard(scale: Scale) -> Iterator[Sample]:
    """Move a shard to and fro under load; the longest of all moves counts, since most take no time at all."""
    for size in scale.sizes(STORES, least=1):
        longest = max(_longest_move(size, scale) for _ in scale.repetitions(REPETITIONS))
        yield Sample(LAST_ATTEMPT.name, size, longest * MILLISECONDS)


def _longest_move(stores_known: int, scale: Scale) -> float:
    """Seconds. Raises ExperimentError where one of the two stores was never asked."""
    with running(STAND_INS, "moving-shard", stores_known) as stores:
        port = stores.answer(READY_WITHIN_S)["port"]
        with gateway(settings_text(1, [], port)) as (_, gateway_port), clients_of(gateway_port) as clients:
            wait_until_followed(stores)
            clients.ask(WITHIN_S, verb="open", count=CLIENTS, hello=True)
            moves = scale.count(MOVES)
            seconds = scale.seconds(WARM_S) + (moves + 1) * SETTLE_S
            count = int(seconds * RATE)
            clients.send(verb="load", count=count, rate=RATE, stores=1, volumes=1, first=0, size=TASK_BYTES)
            time.sleep(scale.seconds(WARM_S))
            told = [stores.ask(WITHIN_S, verb="move", settle_s=SETTLE_S) for _ in range(moves)]
            answered = clients.answer(WITHIN_S)
    if not all(told[-1]["attempts"]) or not answered["delivered"]:
        raise ExperimentError(f"attempts {told[-1]['attempts']}, {answered}", "moved-shard")
    return max(move["took_s"] for move in told)
