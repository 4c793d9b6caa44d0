"""Verdicts as tables."""

from __future__ import annotations

from collections.abc import Iterator

from rich.console import Console
from rich.table import Table

from tansykeel.audit.report import Verdict
from tansykeel.control.actions import WHOLE_UNITS
from tansykeel.maintenance.messages import Status
from tansykeel.protocol.frames import ControlStatus, FleetTold
from tansykeel.rehearse.day import load_day
from tansykeel.rehearse.play import folders
from tansykeel.settings.script import ScriptError

SHOWN = 10  # breaks named in a table


def listed_days() -> Iterator[str]:
    for folder in folders():
        for script in sorted(folder.glob("[!_]*.star")):
            try:
                yield f"{script.stem:24} {load_day(script).says}"
            except ScriptError as error:
                yield f"{script.stem:24} cannot be used: {error}"


def table(verdict: Verdict) -> None:
    console = Console()
    console.print(
        f"[bold]{verdict.day}[/bold], seed {verdict.seed}, {verdict.seconds:g} s, {verdict.tasks} tasks, "
        f"{verdict.hand_offs} hand-offs (stand-ins on loopback)"
    )
    rules = Table("rule", "breaks", title="rules")
    for rule, breaks in verdict.rules.items():
        rules.add_row(rule, f"[red]{breaks}[/red]" if breaks else "[green]0[/green]")
    answers = Table("answer", "tasks", "%", title="answers")
    for answer, number in verdict.answers.items():
        answers.add_row(answer, str(number), f"{100 * number / max(verdict.tasks, 1):.1f}")
    lags = Table("delivered, ms", *next(iter([list(verdict.lag_ms)]), []), title="lag")
    lags.add_row("all", *map(str, verdict.lag_ms.values()))
    for name, quantiles in verdict.lag_ms_by_category.items():
        lags.add_row(name, *map(str, quantiles.values()))
    service = Table("service", "", title="service")
    service.add_row("whole day", f"{verdict.service:.3f}")
    service.add_row("worst 10 s", f"{verdict.worst_10s:.3f}")
    for name, value in (verdict.service_by_plan | verdict.service_by_category).items():
        service.add_row(name, f"{value:.3f}")
    for part in (rules, answers, service, lags):
        console.print(part)
    console.print(f"most sent to a cold store: {verdict.cold_most:.2f} of what it bears")
    if verdict.release is not None:
        told = verdict.release
        console.print(
            f"release: {told.get('state', 'not planned')} in wave {told.get('wave', 0)}, went: "
            f"{', '.join(told.get('went', [])) or 'nobody'}{'; ' + told['why'] if told.get('why') else ''}",
            highlight=False,
        )
    if verdict.counted_mean is not None:
        console.print(f"gateways counted on {verdict.counted_mean:.3f} of any whole in the mean")
    for fault in verdict.breaks[:SHOWN]:
        console.print(f"[red]{fault['rule']}[/red]: {fault['what']} (task {fault['task']})", highlight=False)
    if verdict.service < verdict.least_service:
        console.print(
            f"[red]service {verdict.service:.3f} is under {verdict.least_service:.3f}[/red], which good looks like"
        )


def cluster_agent(told: FleetTold) -> None:
    """What one gateway believes of its fleet."""
    console = Console()
    lease = f"lease for {told.leased / 1e6:.1f} s more" if told.leased else "no lease: its safe part alone"
    view = f"view {told.number}{'' if told.active else ' (not active yet)'}" if told.number else "no view yet"
    console.print(
        f"[bold]{told.name}[/bold]: {view}, {lease}, part {told.part:.4f} of any whole, doubts itself: {told.doubt}",
        highlight=False,
    )
    rows = Table(
        "gateway", "zone", "in view", "seems", "for, s", "suspected by", "link", "waiting", "dropped", box=None
    )
    there = {name: life for name, life in told.members}
    for other in told.others:
        here = there.get(other.name)
        member = "no" if here is None else "voter" if other.name in told.voters else "yes"
        if here is not None and here != other.life:
            member += " (an earlier life)"
        rows.add_row(
            other.name,
            str(other.zone),
            member,
            other.seems,
            f"{other.since / 1e6:.1f}",
            ", ".join(other.suspected_by),
            other.link,
            str(other.waiting),
            str(other.dropped),
        )
    console.print(rows)


def control_node(status: ControlStatus) -> None:
    """Print what one control node believes of its region; parts are of the whole beside the safe part."""
    console = Console()
    lease = f"lease for {status.leased / 1e6:.1f} s more" if status.leased else "no lease: it grants nothing"
    view = f"view {status.view}{'' if status.active else ' (not active yet)'}" if status.view else "no view yet"
    leader = "it leads" if status.leads else f"{status.leader} leads" if status.leader else "no leader known"
    console.print(
        f"[bold]{status.node}[/bold] of region {status.region}, cluster {status.cluster}: {view}, {lease}, {leader}, "
        f"{status.entries} entries",
        highlight=False,
    )
    console.print(
        f"{status.sessions} sessions ({status.admitted} admitted, {status.rejected} rejected since its start), "
        f"{_part(status.units_granted)} granted of a budget of {_part(status.budget)}",
        highlight=False,
    )
    rows = Table("node", "seems", "sessions", "budget", "incarnation", box=None)
    for node in status.nodes:
        rows.add_row(node.node, node.seems, str(node.sessions), _part(node.units), str(node.incarnation))
    console.print(rows)


def _part(units: int) -> str:
    return f"{units / WHOLE_UNITS:.4f}"


def leave(told: Status) -> None:
    """Who is out, and the releases, as whoever leads holds it true."""
    console, kept = Console(), told.state
    if not kept.known:
        console.print("[red]what is out is not known[/red]: accord recover; below is what was last", highlight=False)
    console.print(
        f"[bold]{told.leader}[/bold] leads, view {told.view}, {told.entries} entries, {len(kept.places)} known",
        highlight=False,
    )
    rows = Table("out", "why", "by", "release", "leave", box=None)
    for name, out in sorted(kept.out.items()):
        rows.add_row(name, out.why, out.by or "nobody: it went unasked", out.release, str(out.number))
    console.print(rows if kept.out else "nobody is out")
    for release in kept.releases.values():
        console.print(
            f"release {release.name} ({release.before} to {release.version}): {release.state}, wave "
            f"{release.wave + 1} of {len(release.waves)}, {len(release.went)} went"
            + (f", {len(release.returned)} back" if release.returned else "")
            + (f"; {release.why}" if release.why else ""),
            highlight=False,
        )
    for why in told.against:
        console.print(f"the next step waits: {why}", highlight=False)
    for refused in kept.refused[-SHOWN:]:
        console.print(f"refused ({refused.number}): {refused.what}: {'; '.join(refused.why)}", highlight=False)
