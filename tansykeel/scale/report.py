"""The report on a play: its phases, its costs, what the checker found, and how all stands against the bounds."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import msgspec
from msgspec import Struct

from tansykeel.audit.control import ControlRule, check_folder, facts_of
from tansykeel.errors import Problem
from tansykeel.scale.costs import GatewayCosts, NodeCosts, gateway_costs, node_costs
from tansykeel.scale.frames_seen import Observed, observe_file
from tansykeel.scale.layout import layout_of
from tansykeel.scale.observations import PROXY_RECORD, RECORDS, Observations, read_observations
from tansykeel.scale.phase_report import PhaseReport, phase_report
from tansykeel.scale.settings_files import gateway_settings
from tansykeel.scale.statistics import Line

MOST_BYTES_A_SECOND = 3_000.0  # in and out of one gateway for control
MOST_CORES = 0.042  # of one gateway for control
MOST_MEMORY = 32 << 20  # bytes of one gateway for control
MOST_LEADER_CHANGE = 12.0  # seconds from a leader's death until leases move again
MOST_FINDINGS = 20  # that a report names


class SummaryError(Problem, ValueError):
    """A file is no report on a scale test."""

    advice = "give a file that `tansykeel scale report FOLDER --summary FILE` wrote"


class Bound(Struct, frozen=True, kw_only=True):
    """A figure against its bound."""

    what: str
    phase: str
    measured: float
    bound: float
    unit: str

    @property
    def kept(self) -> bool:
        """Return whether the figure is within its bound."""
        return self.measured <= self.bound


class ScaleReport(Struct, frozen=True, kw_only=True):
    """One play. `rules` counts what the checker found broken, by rule."""

    plan: str
    seed: int
    played_on: str
    gateways: int
    hollow: int
    control_nodes: int
    most_processes: int
    most_memory_share: float  # of the machine's
    settled_s: float
    records: int  # that the checker judged
    complete: bool  # whether these are all: no record reached its bound
    rules: dict[str, int]
    findings: tuple[str, ...]
    phases: tuple[PhaseReport, ...]
    gateway_costs: GatewayCosts  # in the quiet phase
    cores_lines: dict[str, Line]  # by phase in which no gateway was killed
    node_costs: dict[str, NodeCosts]  # by phase
    bounds: tuple[Bound, ...]

    @property
    def rules_kept(self) -> bool:
        """Return whether the checker found nothing broken in all that passed."""
        return self.complete and not any(self.rules.values())

    @property
    def kept(self) -> bool:
        """Return whether no rule was broken and each figure is within its bound."""
        return self.rules_kept and all(bound.kept for bound in self.bounds)

    def write(self, path: Path) -> None:
        """Write the report as JSON."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self)) + b"\n")


def read_report(path: Path) -> ScaleReport:
    """Return a report that was written. Raises SummaryError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=ScaleReport)
    except (OSError, msgspec.DecodeError) as error:
        raise SummaryError(str(error), str(path)) from None


def report_on(folder: Path) -> ScaleReport:
    """Judge and measure the play that a folder holds. Raises ObservationsError or RecordsError."""
    observations = read_observations(folder)
    observed = observe_file(folder / RECORDS / PROXY_RECORD)
    return _report(folder, observations, observed)


def _report(folder: Path, observations: Observations, observed: Observed) -> ScaleReport:
    plan = observations.plan
    layout = layout_of(plan)
    settings = gateway_settings(plan, layout, {node.name: f"127.0.0.1:{node.number + 1}" for node in layout.nodes})
    checker = check_folder(folder / RECORDS, facts_of(settings))
    broken = Counter(finding.rule for finding in checker.findings)
    phases = tuple(phase_report(observations, layout, observed, index) for index in range(len(observations.phases)))
    quiet = next((mark for mark in observations.phases if mark.fault == "none"), observations.phases[0])
    costs = gateway_costs(observations, layout, quiet)
    by_phase = {mark.name: gateway_costs(observations, layout, mark) for mark in observations.phases}
    lines = {
        mark.name: line
        for mark in observations.phases
        if mark.fault != "zone_killed" and (line := by_phase[mark.name].cores_line) is not None
    }
    return ScaleReport(
        plan=plan.name,
        seed=observations.seed,
        played_on=observations.played_on,
        gateways=plan.gateways,
        hollow=plan.hollow,
        control_nodes=len(layout.nodes),
        most_processes=observations.most_processes,
        most_memory_share=round(observations.most_memory / observations.machine_memory, 3),
        settled_s=round(observations.settled_s, 1),
        records=checker.observed,
        complete=checker.judged_until is None,
        rules={rule.value: broken[rule] for rule in ControlRule},
        findings=tuple(f"{finding.rule.value}: {finding.who}: {finding.what}" for finding in checker.findings)[
            :MOST_FINDINGS
        ],
        phases=phases,
        gateway_costs=costs,
        cores_lines=lines,
        node_costs={mark.name: node_costs(observations, layout, mark) for mark in observations.phases},
        bounds=tuple(
            [
                *traffic_bounds(phases),
                *leader_bounds(phases),
                *cost_bounds(costs, quiet.name),
                *slope_bounds(lines),
                *real_bounds(by_phase),
            ]
        ),
    )


def traffic_bounds(phases: tuple[PhaseReport, ...]) -> list[Bound]:
    """Return each phase's median and busiest gateway against the bound on traffic, with headers where known."""
    bounds = []
    for phase in phases:
        rates = phase.wire_bytes_a_second if phase.wire_bytes_a_second.count else phase.bytes_a_second
        for what, measured in (("median gateway", rates.p50), ("busiest gateway", rates.most)):
            bounds.append(
                Bound(what=what, phase=phase.name, measured=measured, bound=MOST_BYTES_A_SECOND, unit="bytes/s")
            )
    return bounds


def leader_bounds(phases: tuple[PhaseReport, ...]) -> list[Bound]:
    """Return how long leases did not move after a leader's death, against the bound; without an end: all the phase."""
    bounds = []
    for phase in phases:
        if phase.fault != "leader_killed":
            continue
        change = phase.seconds if phase.leader_change_s is None else phase.leader_change_s
        restored = phase.seconds if phase.units_restored_s is None else phase.units_restored_s
        for what, measured in (("another leader", change), ("leases moved", restored)):
            bounds.append(Bound(what=what, phase=phase.name, measured=measured, bound=MOST_LEADER_CHANGE, unit="s"))
    return bounds


def cost_bounds(costs: GatewayCosts, phase: str) -> list[Bound]:
    """Return what control costs a gateway in memory against the bound."""
    figures: list[tuple[str, float, float, str]] = []
    if costs.memory_line:
        figures.append(("memory, by slope", costs.memory_line.slope, MOST_MEMORY, "bytes"))
    if costs.real_memory and costs.plain_memory:
        figures.append(("memory, real gateway over plain", costs.real_control_memory, MOST_MEMORY, "bytes"))
    return [
        Bound(what=what, phase=phase, measured=measured, bound=bound, unit=unit)
        for what, measured, bound, unit in figures
    ]


def slope_bounds(lines: dict[str, Line]) -> list[Bound]:
    """Return what control costs a hollow gateway by slope, by phase, against the bound on processor time."""
    return [
        Bound(what="processor, by slope", phase=phase, measured=line.slope, bound=MOST_CORES, unit="cores")
        for phase, line in lines.items()
    ]


def real_bounds(costs_by_phase: dict[str, GatewayCosts]) -> list[Bound]:
    """Return what control adds to the busiest real gateway process, by phase, against the bound on processor time."""
    return [
        Bound(
            what="processor, busiest real gateway over plain",
            phase=phase,
            measured=costs.real_control_cores,
            bound=MOST_CORES,
            unit="cores",
        )
        for phase, costs in costs_by_phase.items()
        if costs.real_cores and costs.plain_cores
    ]
