"""The operator's `tansykeel fleet status` by the size of the fleet: bytes of the answer, processor time, memory."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass

from tansykeel.capacity.errors import ExperimentError
from tansykeel.capacity.gateway import READY_WITHIN_S, STAND_INS
from tansykeel.capacity.processes import KIB, running
from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment

GATEWAYS = (50, 100, 200, 400, 620)
REPETITIONS = 5
MECHANISM = "one gateway is asked and tells all that it knows of the others"
HOW = "the real command against a stand-in gateway that tells of a fleet of that size"


def _series(name: str, aspect: Aspect, quantity: str, unit: str, figure: str) -> SeriesSpec:
    return SeriesSpec(
        name=name,
        role=Role.OPERATOR,
        aspect=aspect,
        quantity=quantity,
        unit=unit,
        grows_by="gateways",
        mechanism=MECHANISM,
        figure=figure,
        figure_unit=unit,
        how=HOW,
    )


STATUS_BYTES = _series("status-bytes", Aspect.MESSAGES, "answer to `fleet status`", "bytes", "one `fleet status`")
STATUS_PROCESSOR = _series(
    "status-processor", Aspect.PROCESSOR, "processor time of `fleet status`, start of Python included", "s", "one call"
)
STATUS_MEMORY = _series("status-memory", Aspect.MEMORY, "most resident memory of `fleet status`", "bytes", "one call")


@dataclass(frozen=True, slots=True)
class Usage:
    """What a command that ended has used."""

    processor_s: float
    memory_bytes: int


def usage_of(words: list[str]) -> Usage:
    """Run a command to its end. Raises ExperimentError where it fails."""
    process = subprocess.Popen(words, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise ExperimentError(f"it ended with {process.returncode}", " ".join(words))
    return Usage(usage.ru_utime + usage.ru_stime, usage.ru_maxrss * KIB)


@experiment("status-command", STATUS_BYTES, STATUS_PROCESSOR, STATUS_MEMORY)
def status_command(scale: Scale) -> Iterator[Sample]:
    """Ask for the status of fleets of growing size."""
    for size in scale.sizes(GATEWAYS, least=1):
        with running(STAND_INS, "fleet", size) as fleet:
            told = fleet.answer(READY_WITHIN_S)
            address = f"127.0.0.1:{told['port']}"
            for _ in scale.repetitions(REPETITIONS):
                usage = usage_of([sys.executable, "-m", "tansykeel", "fleet", "status", address, "--json"])
                yield Sample(STATUS_BYTES.name, size, told["bytes"])
                yield Sample(STATUS_PROCESSOR.name, size, usage.processor_s)
                yield Sample(STATUS_MEMORY.name, size, usage.memory_bytes)
