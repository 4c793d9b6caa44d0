"""Real control node processes with hollow gateways before them, for experiments; on loopback, one region."""

from __future__ import annotations

import asyncio
import socket
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec

from tansykeel.capacity.errors import ExperimentError
from tansykeel.capacity.gateway import NOBODY_PORT, READY_WITHIN_S, settings_text
from tansykeel.capacity.processes import ChildProcess, running
from tansykeel.control.actions import WHOLE_UNITS
from tansykeel.edge.ask import NotTold, request
from tansykeel.edge.hollow.report import FullReport, GatewayReport, HollowReport
from tansykeel.protocol.frames import ControlStatus, ControlStatusRequest
from tansykeel.settings.build import load

CONTROL_NODES = 3
HOLLOW_PER_PROCESS = 125  # gateways of one hollow process where it does not matter how many
ANSWER_WITHIN_S = 30.0
WITHIN_S = 90.0  # in which control nodes and gateways come to what is waited for
LOOK_PAUSE_S = 0.1
NEARLY_ALL = 0.98  # of a region's units that are counted once all of them are leased again: each node rounds down
NO_ANSWER_LOGGED = 10**9
HOLLOW_EVENTS = ("event", "do")  # fields of an answer beside the report's


@dataclass(frozen=True, slots=True)
class ControlPlane:
    """Running control nodes, and where each of them listens."""

    settings: Path
    gateways: int
    nodes: tuple[ChildProcess, ...]
    addresses: tuple[str, ...]

    def status(self, number: int) -> ControlStatus:
        """Ask a control node for its status. Raises ExperimentError."""
        try:
            answer = asyncio.run(
                request(self.addresses[number], ControlStatusRequest(), ControlStatus, ANSWER_WITHIN_S)
            )
        except NotTold as error:
            raise ExperimentError(f"a control node gave no status: {error.what}") from None
        assert isinstance(answer, ControlStatus)
        return answer

    def leader(self) -> int:
        """Return the number of the control node that leads. Raises ExperimentError where none does."""
        for number in range(len(self.nodes)):
            if self.status(number).leads:
                return number
        raise ExperimentError("no control node leads")

    def has_sessions(self) -> bool:
        """Whether any gateway has a session."""
        return any(self.status(number).sessions for number in range(len(self.nodes)))

    def may_grant(self) -> bool:
        """Whether each control node has units that it may grant."""
        return all(node.units for node in self.status(0).nodes)


class HollowGateways:
    """Hollow gateways 0 to `gateways - 1`, in as many processes as that takes."""

    def __init__(self, processes: list[ChildProcess], folder: Path) -> None:
        self.processes, self.folder = processes, folder

    def reports(self) -> list[HollowReport]:
        """Ask each process what it spent up to now. Raises ExperimentError."""
        reports = []
        for process in self.processes:
            answer = process.ask(ANSWER_WITHIN_S, do="report")
            reports.append(HollowReport(**{name: answer[name] for name in answer if name not in HOLLOW_EVENTS}))
        return reports

    def gateway_reports(self) -> list[GatewayReport]:
        """Ask each process for the report of each of its gateways. Raises ExperimentError."""
        path = self.folder / "report.json"
        reports: list[GatewayReport] = []
        for process in self.processes:
            process.ask(ANSWER_WITHIN_S, do="report", file=str(path))
            reports += msgspec.json.decode(path.read_bytes(), type=FullReport).gateways
        return reports

    def all_units_counted(self) -> bool:
        """Whether all units of the region are counted, but for what rounding takes."""
        return _units_are_all(self.reports())

    def all_leased(self) -> bool:
        """Whether each gateway has a session and a lease, and all units of the region are counted."""
        reports = self.reports()
        return _units_are_all(reports) and all(
            report.sessions == report.leased == report.gateways for report in reports
        )


def _units_are_all(reports: list[HollowReport]) -> bool:
    return sum(report.units for report in reports) >= NEARLY_ALL * WHOLE_UNITS


def settings_with_control(gateways: int, addresses: tuple[str, ...]) -> str:
    """A settings script of one region with control nodes at these addresses, and terms as they are by default."""
    lines = [
        settings_text(1, [NOBODY_PORT]),
        'control(cluster = "capacity")',
        f'region("north", share = 1.0, gateways = {gateways})',
    ]
    lines += [
        f'control_node("n{number}", region = "north", address = "{address}", zone = {number})'
        for number, address in enumerate(addresses)
    ]
    return "\n".join(lines) + "\n"


@contextmanager
def control_plane(gateways: int) -> Iterator[ControlPlane]:
    """Control nodes of a region with so many gateways, each of them with units to grant. Raises ExperimentError."""
    addresses = _free_addresses(CONTROL_NODES)
    with ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="capacity-"))
        settings = Path(folder) / "control.star"
        settings.write_text(settings_with_control(gateways, addresses))
        load(settings)  # a fault in it is told here, and not by a process that does not start
        nodes = [
            stack.enter_context(running("tansykeel", "control", settings, "--number", number, "--leashed"))
            for number in range(CONTROL_NODES)
        ]
        for node in nodes:
            node.answer(READY_WITHIN_S)
        plane = ControlPlane(settings, gateways, tuple(nodes), addresses)
        wait_until(plane.may_grant, "the control nodes had nothing to grant")
        yield plane


@contextmanager
def hollow_gateways(plane: ControlPlane, per_process: int = HOLLOW_PER_PROCESS) -> Iterator[HollowGateways]:
    """All gateways of the settings as hollow ones, each of them leased. Raises ExperimentError."""
    with ExitStack() as stack:
        processes = []
        for first in range(0, plane.gateways, per_process):
            count = min(per_process, plane.gateways - first)
            words = ("hollow", plane.settings, "--first", first, "--count", count, "--leashed")
            process = stack.enter_context(running("tansykeel", *words))
            process.answer(READY_WITHIN_S)
            processes.append(process)
        gateways = HollowGateways(processes, plane.settings.parent)
        wait_until(gateways.all_leased, "not all gateways were leased")
        yield gateways


@contextmanager
def gateway_process(settings: Path, gateways: int) -> Iterator[ChildProcess]:
    """A real gateway process, number 0 of so many. Raises ExperimentError."""
    words = ("--number", 0, "--count", gateways, "--leashed", "--sample", NO_ANSWER_LOGGED)
    with running("tansykeel", "edge", settings, *words) as process:
        process.answer(READY_WITHIN_S)
        yield process


def wait_until(reached: Callable[[], bool], failure: str, pause_s: float = LOOK_PAUSE_S) -> None:
    """Wait until something is so. Raises ExperimentError after `WITHIN_S`."""
    end = time.monotonic() + WITHIN_S
    while not reached():
        if time.monotonic() > end:
            raise ExperimentError(f"{failure} within {WITHIN_S:g} s")
        time.sleep(pause_s)


def _free_addresses(count: int) -> tuple[str, ...]:
    """Loopback addresses with ports that were free a moment ago."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return tuple(f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets)
