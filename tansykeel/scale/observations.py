"""What a play leaves beside the proxy's record: its plan, when each phase began and ended, what was sampled."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from tansykeel.errors import Problem
from tansykeel.scale.plan import ScalePlan
from tansykeel.scale.usage import UsageSample

OBSERVATIONS = "observations.json"
RECORDS = "records"
PROXY_RECORD = "proxy.rec"


class ObservationsError(Problem, ValueError):
    """A folder holds no scale test that was played to its end."""

    advice = "give a folder that `tansykeel scale play --folder` wrote"


class StatusSample(Struct, frozen=True, kw_only=True):
    """What a control node said of itself when it was asked directly, not through the proxy."""

    at: int
    node: str
    region: str
    view: int
    active: bool
    leads: bool
    leader: str
    sessions: int
    units_granted: int
    budget: int
    admitted: int
    rejected: int


class HollowGatewaySample(Struct, frozen=True, array_like=True):
    """One hollow gateway's totals: bytes of its TCP streams, the same with headers, time without a lease."""

    name: str
    stream_bytes: int
    bytes_with_headers: int
    without_lease_s: float


class HollowSample(Struct, frozen=True, kw_only=True):
    """What a process of hollow gateways said at the border before the phase of this index, or behind the last one."""

    border: int
    process: str
    seconds: float  # since the process was ready
    gateways: tuple[HollowGatewaySample, ...]


class PhaseMark(Struct, frozen=True, kw_only=True):
    """When a phase's fault began, when it was undone and by when all that it struck was back, when the phase ended.

    `struck`: processes or gateways that the fault killed or stopped. All times are microseconds.
    """

    name: str
    fault: str
    begin: int
    undo: int
    back: int
    end: int
    struck: tuple[str, ...] = ()


class Observations(Struct, frozen=True, kw_only=True):
    """All that a play observed by itself. `proportional`: by process its memory with shared pages divided, in bytes."""

    plan: ScalePlan
    seed: int
    played_on: str  # date
    machine_memory: int
    most_memory: int  # of all its processes together, the most of any sample
    most_processes: int
    settled_s: float  # from the first gateway process's start until each gateway had a session
    phases: tuple[PhaseMark, ...]
    usage: tuple[UsageSample, ...]
    statuses: tuple[StatusSample, ...]
    hollow: tuple[HollowSample, ...]
    proportional: dict[str, int]

    def write(self, folder: Path) -> None:
        """Write them into a play's folder."""
        (folder / OBSERVATIONS).write_bytes(msgspec.json.encode(self))


def read_observations(folder: Path) -> Observations:
    """Return what a play left in a folder. Raises ObservationsError."""
    path = folder / OBSERVATIONS
    try:
        return msgspec.json.decode(path.read_bytes(), type=Observations)
    except OSError as error:
        raise ObservationsError(f"{error.strerror}; legal: a folder of a play that ended", str(path)) from None
    except msgspec.DecodeError as error:
        raise ObservationsError(str(error), str(path)) from None
