"""The list of stores: its bytes and what a gateway spends to take it whole, or a change of one row."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

from tansykeel.capacity.gateway import READY_WITHIN_S, STAND_INS, gateway, settings_text, wait_until_followed
from tansykeel.capacity.processes import ChildProcess, processor_seconds, running
from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment

STORES = (10, 100, 300, 600, 970)
REPETITIONS = 3
WHOLES, CHANGES = 40, 200  # pushed at each size
PAUSE_S = 0.02  # longer than a push takes, so that each is taken alone and all are by the end
SETTLE_S = 1.0
WITHIN_S = 120.0
MICROSECONDS = 1e6
MECHANISM = "list of stores, pushed to each gateway"
HOW = "real gateway process that follows a stand-in list on loopback"


def _series(name: str, aspect: Aspect, quantity: str, unit: str, figure: str) -> SeriesSpec:
    return SeriesSpec(
        name=name,
        role=Role.GATEWAY_DATA,
        aspect=aspect,
        quantity=quantity,
        unit=unit,
        grows_by="stores_known",
        mechanism=MECHANISM,
        figure=figure,
        figure_unit=unit,
        how=HOW,
    )


WHOLE_BYTES = _series("list-bytes-whole", Aspect.MESSAGES, "the whole list on the wire", "bytes", "the whole list")
CHANGE_BYTES = _series(
    "list-bytes-change", Aspect.MESSAGES, "a change of one store on the wire", "bytes", "a change of one store"
)
WHOLE_PROCESSOR = _series(
    "list-processor-whole", Aspect.PROCESSOR, "processor time to take the whole list", "us", "taking the whole list"
)
CHANGE_PROCESSOR = SeriesSpec(
    name="list-processor-change",
    role=Role.GATEWAY_DATA,
    aspect=Aspect.PROCESSOR,
    quantity="processor time to take a change of one store",
    unit="us",
    grows_by="stores_known",
    mechanism=MECHANISM,
    figure="taking the changes that come at once (in the quiet hour one)",
    figure_unit="s of a core",
    factor=1e-6,
    times="list_changes_at_once",
    bound="at-once",
    how=HOW,
)


@contextmanager
def _followed_list(stores: int) -> Iterator[tuple[ChildProcess, ChildProcess]]:
    """A gateway that follows a list of so many stores, and the list."""
    with running(STAND_INS, "list", stores) as source:
        port = source.answer(READY_WITHIN_S)["port"]
        with gateway(settings_text(1, [], port)) as (process, _):
            wait_until_followed(source)
            yield process, source


@experiment("store-list", WHOLE_BYTES, CHANGE_BYTES, WHOLE_PROCESSOR, CHANGE_PROCESSOR)
def store_list(scale: Scale) -> Iterator[Sample]:
    """Push the list many times, whole and by changes, and divide what it took the gateway."""
    for _ in scale.repetitions(REPETITIONS):
        for size in scale.sizes(STORES, least=1):
            with _followed_list(size) as (process, source):
                time.sleep(scale.seconds(SETTLE_S))
                whole_bytes, whole_us = _pushed(process, source, "whole", scale.count(WHOLES))
                change_bytes, change_us = _pushed(process, source, "change", scale.count(CHANGES))
            yield Sample(WHOLE_BYTES.name, size, whole_bytes)
            yield Sample(WHOLE_PROCESSOR.name, size, whole_us)
            yield Sample(CHANGE_BYTES.name, size, change_bytes)
            yield Sample(CHANGE_PROCESSOR.name, size, change_us)


def _pushed(process: ChildProcess, source: ChildProcess, verb: str, times: int) -> tuple[float, float]:
    """Bytes and processor microseconds of one push, in the mean of so many."""
    before = processor_seconds(process.pid)
    told = source.ask(WITHIN_S, verb=verb, times=times, pause_s=PAUSE_S)
    time.sleep(0.2)  # the last one is taken by then
    return told["bytes"] / times, (processor_seconds(process.pid) - before) / times * MICROSECONDS
