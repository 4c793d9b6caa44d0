"""The section of a page that shows scale tests: tables made of reports, and where they stand in the page's text."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tansykeel.errors import Problem
from tansykeel.scale.costs import MEBIBYTE
from tansykeel.scale.phase_report import PhaseReport
from tansykeel.scale.report import Bound, ScaleReport
from tansykeel.scale.statistics import Line

HEADING = "## Measured on sockets: plan "
NONE = "-"


class PageError(Problem, ValueError):
    """Reports can't be shown together."""

    advice = "give reports of one plan"


def put_into(page: str, section: str) -> str:
    """Return a page with its section of the same heading replaced, or the section added at its end."""
    heading = section.partition("\n")[0]
    before, found, behind = page.partition(heading + "\n")
    if not found:
        return page.rstrip("\n") + "\n\n" + section
    following = behind.find("\n## ")
    rest = "" if following < 0 else behind[following:]
    return before + section + rest


def section_of(reports: Sequence[ScaleReport]) -> str:
    """Return the section on plays of one plan. Raises PageError where there are none, or of several plans."""
    if not reports or len({report.plan for report in reports}) > 1:
        raise PageError(f"{len(reports)} reports of {len({report.plan for report in reports})} plans; legal: one plan")
    parts = [
        f"{HEADING}{reports[0].plan}\n",
        _introduction(reports),
        _phases(reports),
        _returns(reports),
        _costs(reports),
    ]
    return "\n".join([*parts, _bounds(reports)])


def _introduction(reports: Sequence[ScaleReport]) -> str:
    one = reports[0]
    seeds = ", ".join(str(report.seed) for report in reports)
    dates = ", ".join(sorted({report.played_on for report in reports}))
    findings = sum(sum(report.rules.values()) for report in reports)
    processes = max(report.most_processes for report in reports)
    memory = max(report.most_memory_share for report in reports)
    records = sum(report.records for report in reports)
    return (
        f"Written by `tansykeel scale report` from plays of the plan `{one.plan}` (`make scale`): {one.gateways} "
        f"gateways, {one.hollow} of them hollow, {one.control_nodes} control nodes, all frames through the fault proxy "
        f"on loopback. Seeds {seeds}; played on {dates}. At most {processes} processes and {memory:.1%} of the "
        f"machine's memory. The checker judged {records:,} records{_incomplete(reports)} and found {findings} breaks. "
        "Where several plays are shown together, each figure is the worst of them. No gateway has clients, and no "
        "store runs. Where the proxy was late, the machine was too busy with other work to run it within 50 ms: that "
        "strikes gateways as a stall of the network would.\n"
    )


def _incomplete(reports: Sequence[ScaleReport]) -> str:
    return "" if all(report.complete for report in reports) else " (**not all: a record reached its bound**)"


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def _each_phase(reports: Sequence[ScaleReport]) -> list[list[PhaseReport]]:
    """Return by phase its reports of all plays."""
    return [list(phases) for phases in zip(*(report.phases for report in reports), strict=True)]


def _worst(phases: Sequence[PhaseReport], figure: Callable[[PhaseReport], float | None], digits: int = 0) -> str:
    """Return the largest figure; a dash where no phase has it."""
    figures = [value for phase in phases if (value := figure(phase)) is not None]
    return f"{max(figures):.{digits}f}" if figures else NONE


def _phases(reports: Sequence[ScaleReport]) -> str:
    head = (
        "phase",
        "s",
        "bytes/s of frames, median",
        "busiest",
        "with TCP/IP headers, median",
        "busiest",
        "without a lease, s: p50",
        "p99",
        "most",
        "gateways",
        "under half an even part, s: p99",
        "most",
        "proxy late, times",
    )
    rows = [
        (
            phases[0].name,
            _worst(phases, lambda phase: phase.seconds),
            _worst(phases, lambda phase: phase.bytes_a_second.p50),
            _worst(phases, lambda phase: phase.bytes_a_second.most),
            _worst(phases, lambda phase: phase.wire_bytes_a_second.p50),
            _worst(phases, lambda phase: phase.wire_bytes_a_second.most),
            _worst(phases, lambda phase: phase.without_lease_s.p50, 2),
            _worst(phases, lambda phase: phase.without_lease_s.p99, 2),
            _worst(phases, lambda phase: phase.without_lease_s.most, 2),
            _worst(phases, lambda phase: phase.gateways_without_lease),
            _worst(phases, lambda phase: phase.under_half_s.p99, 2),
            _worst(phases, lambda phase: phase.under_half_s.most, 2),
            _worst(phases, lambda phase: phase.proxy_late),
        )
        for phases in _each_phase(reports)
    ]
    return _table(head, rows)


def _returns(reports: Sequence[ScaleReport]) -> str:
    head = (
        "phase",
        "another leader, s",
        "leases moved, s",
        "first lease after the return, s: p50",
        "p99",
        "most",
        "sessions accepted",
        "by a node in a second, most",
        "rejected",
        "retry after, s: p50",
        "most",
    )
    rows = []
    for phases in _each_phase(reports):
        moved = "not by the end" if any(phase.units_restored_s is None for phase in phases) else ""
        rows.append(
            (
                phases[0].name,
                _worst(phases, lambda phase: phase.leader_change_s, 1),
                moved or _worst(phases, lambda phase: phase.units_restored_s, 1),
                _worst(phases, lambda phase: phase.first_lease_s.p50 if phase.first_lease_s else None, 2),
                _worst(phases, lambda phase: phase.first_lease_s.p99 if phase.first_lease_s else None, 2),
                _worst(phases, lambda phase: phase.first_lease_s.most if phase.first_lease_s else None, 2),
                _worst(phases, lambda phase: phase.admissions.accepted),
                _worst(phases, lambda phase: phase.admissions.most_a_second),
                _rejections(phases),
                _worst(phases, lambda phase: phase.admissions.retry_after_s.p50, 2),
                _worst(phases, lambda phase: phase.admissions.retry_after_s.most, 2),
            )
        )
    return _table(head, rows)


def _rejections(phases: Sequence[PhaseReport]) -> str:
    """Return by reason how many sessions were rejected, in the play with the most of that reason."""
    reasons = sorted({reason for phase in phases for reason in phase.admissions.rejected})
    most = {reason: max(phase.admissions.rejected.get(reason, 0) for phase in phases) for reason in reasons}
    return "; ".join(f"{count}: {reason}" for reason, count in most.items()) or "0"


def _costs(reports: Sequence[ScaleReport]) -> str:
    head = ("cost", *(f"seed {report.seed}" for report in reports))
    costs = [report.gateway_costs for report in reports]
    rows: list[tuple[str, ...]] = []
    for phase in reports[0].cores_lines:
        lines = [report.cores_lines[phase] for report in reports]
        sizes = ", ".join(f"{size:g}" for size in lines[0].sizes)
        rows += [
            (
                f"hollow gateway, processor in {phase}: slope over {sizes} a process; the largest against that line; "
                "a process's whole time by its gateways, most",
                *(f"{line.slope:.3%} of a core; {line.largest_off:+.1%}; {_dearest(line):.3%}" for line in lines),
            )
        ]
    if all(cost.memory_line for cost in costs):
        memory = [cost.memory_line for cost in costs if cost.memory_line]
        rows += [
            ("hollow gateway, memory (slope)", *(f"{m.slope / 1024:.1f} KB" for m in memory)),
            ("the largest process against that line", *(f"{m.largest_off:+.1%}" for m in memory)),
        ]
    if all(cost.real_memory and cost.plain_memory for cost in costs):
        rows += [
            ("real gateway, idle: with a control plane, median", *(f"{c.real_cores:.2%} of a core" for c in costs)),
            ("busiest", *(f"{c.busiest_real_cores:.2%}" for c in costs)),
            ("without a control plane, median", *(f"{c.plain_cores:.2%}" for c in costs)),
            ("memory that control adds, median", *(f"{c.real_control_memory / MEBIBYTE:.1f} MB" for c in costs)),
        ]
    for phase in [phase.name for phase in reports[0].phases]:
        nodes = [report.node_costs[phase] for report in reports]
        what = f"control node in {phase}: leader, follower, busiest"
        figures = [f"{n.leader_cores:.1%}, {n.follower_cores:.1%}, {n.busiest_cores:.1%} of a core" for n in nodes]
        rows.append((what, *figures))
    last = [report.node_costs[reports[0].phases[0].name] for report in reports]
    rows.append(
        ("control node, memory: leader, follower", *(f"{n.leader_mb:.0f}, {n.follower_mb:.0f} MB" for n in last))
    )
    rows.append(("sessions by node at the end of the first phase", *(_sessions(report) for report in reports)))
    return _table(head, rows)


def _dearest(line: Line) -> float:
    """Return the largest cost of a process by its gateways: a bound on a gateway's cost that needs no fit."""
    return max(cost / size for size, cost in zip(line.sizes, line.costs, strict=True))


def _sessions(report: ScaleReport) -> str:
    return ", ".join(str(count) for count in report.phases[0].sessions.values())


def _bounds(reports: Sequence[ScaleReport]) -> str:
    head = ("against its bound", "phase", "measured", "bound", "")
    worst: dict[tuple[str, str], Bound] = {}
    for report in reports:
        for bound in report.bounds:
            key = bound.what, bound.phase
            if key not in worst or bound.measured > worst[key].measured:
                worst[key] = bound
    rows = [
        (
            bound.what,
            bound.phase,
            _figure(bound.measured, bound.unit),
            _figure(bound.bound, bound.unit),
            "kept" if bound.kept else "**over**",
        )
        for bound in worst.values()
    ]
    return _table(head, rows)


def _figure(value: float, unit: str) -> str:
    match unit:
        case "cores":
            return f"{value:.2%} of a core"
        case "bytes":
            return f"{value / MEBIBYTE:.2f} MB"
        case "s":
            return f"{value:.1f} s"
        case _:
            return f"{value:,.0f} {unit}"
