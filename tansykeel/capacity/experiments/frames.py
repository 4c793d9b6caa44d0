"""Bytes of a task on the wire, by the size of its body: the frames themselves are packed and counted."""

from __future__ import annotations

from collections.abc import Iterator

from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment
from tansykeel.protocol.frames import HEAD_BYTES, MOST_CHUNK, Answer, HandOffOf, OutcomeOf, TaskOf, pack

BODY_BYTES = (0, 4_096, 16_384, 65_536, 262_144)
STREAM = 1_000_000
PATIENCE_US = 2_000_000
MARK = 1 << 40
KEY = 1 << 40
HOW = "frames of one read, packed and counted"


def _series(name: str, role: Role, quantity: str, times: str, figure: str) -> SeriesSpec:
    return SeriesSpec(
        name=name,
        role=role,
        aspect=Aspect.MESSAGES,
        quantity=quantity,
        unit="bytes/task",
        grows_by="task_bytes",
        mechanism="framed protocol",
        figure=figure,
        figure_unit="MB/s",
        factor=1e-6,
        times=times,
        how=HOW,
    )


GATEWAY_BYTES = _series(
    "gateway-bytes-task",
    Role.GATEWAY_DATA,
    "a read on the wire, both sides of the gateway, in and out",
    "tasks_per_second_per_gateway",
    "traffic of tasks, in and out",
)
CLIENT_BYTES = _series(
    "client-bytes-task",
    Role.CLIENT,
    "a read between client and gateway, in and out",
    "tasks_per_second_per_client",
    "traffic of one connection",
)
STORE_BYTES = _series(
    "store-bytes-task",
    Role.STORE,
    "a read between gateway and store, in and out",
    "tasks_per_second_per_store",
    "traffic of one store",
)


def _body_frames(size: int) -> int:
    """Bytes of a body with the headers of its frames."""
    return size + -(-size // MOST_CHUNK) * HEAD_BYTES


@experiment("frames", GATEWAY_BYTES, CLIENT_BYTES, STORE_BYTES)
def frames(scale: Scale) -> Iterator[Sample]:
    """One read of each size: a task and its answer, an attempt and its outcome."""
    for size in BODY_BYTES:
        task = TaskOf("volume-000123", "read", KEY, size, 485, PATIENCE_US, MARK)
        attempt = HandOffOf(
            STREAM, 0, task.volume, task.category, KEY, size, 1.0, 485, PATIENCE_US, MARK, False, "harmless"
        )
        client = len(pack(STREAM, task)) + len(pack(STREAM, Answer(0, 0, 485, body=size))) + _body_frames(size)
        outcome = OutcomeOf("delivered", 485, (0.5, 12.0, 3.0), body=size)
        store = len(pack(STREAM, attempt)) + len(pack(STREAM, outcome)) + _body_frames(size)
        yield Sample(CLIENT_BYTES.name, size, client)
        yield Sample(STORE_BYTES.name, size, store)
        yield Sample(GATEWAY_BYTES.name, size, client + store)
