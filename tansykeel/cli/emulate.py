"""`tansykeel emulate`: experiments in simulated time, kept in a project file."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Annotated, Any

import typer

app = typer.Typer(no_args_is_help=True, help="Experiments in simulated time, kept in one file a project.")
Script = Annotated[str, typer.Argument(help="a rehearsal's name or a script's file")]
ProjectFile = Annotated[Path, typer.Option("--project", help="duckdb file of the experiments")]
Seeds = Annotated[str, typer.Option("--seeds", help="as 1-8 or 1,3,5")]
BAD_INPUT, WORSE = 2, 1


def fail(text: object) -> typer.Exit:
    typer.echo(f"tansykeel: {text}", err=True)
    return typer.Exit(BAD_INPUT)


def seeds_of(text: str) -> list[int]:
    """1-8 or 1,3,5. Raises Exit with one clear error."""
    try:
        first, dash, last = text.partition("-")
        seeds = list(range(int(first), int(last) + 1)) if dash else [int(part) for part in text.split(",")]
    except ValueError:
        seeds = []
    if not seeds:
        raise fail(f"--seeds {text}: legal: as 1-8 or 1,3,5")
    return seeds


def axes_of(texts: list[str]) -> dict[str, list[Any]]:
    """NAME=V1,V2,… for each axis of a grid. Raises Exit with one clear error."""
    axes: dict[str, list[Any]] = {}
    for text in texts:
        name, sign, values = text.partition("=")
        try:
            axes[name] = json.loads(f"[{values}]")
        except ValueError:
            axes[name] = values.split(",")
        if not sign or not axes[name]:
            raise fail(f"--over {text}: legal: NAME=V1,V2")
    return axes


@app.command()
def sweep(
    script: Script,
    project: ProjectFile,
    over: Annotated[list[str] | None, typer.Option(help="NAME=V1,V2 for a param of the script; again for more")] = None,
    seeds: Seeds = "1-4",
    versions: Annotated[str, typer.Option(help="module, baselines or files of a module, by commas")] = "module",
    seconds: Annotated[float | None, typer.Option(help="play each day in this length")] = None,
    cores: Annotated[int, typer.Option(help="0: all")] = 0,
) -> None:
    """Play a grid of days over all cores. Days that the project has are not played again."""
    from rich.console import Console
    from rich.progress import Progress

    from tansykeel.emulator.experiments import Differs, Project, jobs_of
    from tansykeel.emulator.experiments import sweep as play_all
    from tansykeel.emulator.versions import UnknownVersion
    from tansykeel.rehearse.play import day_of
    from tansykeel.settings.script import ScriptError

    axes = axes_of(over or [])
    try:
        day_of(script, seconds, {name: values[0] for name, values in axes.items()})
        jobs = jobs_of(script, axes, seeds_of(seeds), versions.split(","), seconds)
        kept = Project(project)
        with Progress(console=Console(stderr=True), transient=True) as bar:
            task = bar.add_task("days", total=len(jobs))
            played = play_all(kept, jobs, cores or os.cpu_count() or 1, lambda day: bar.advance(task))
        typer.echo(f"{len(jobs)} days, {played} played now")
        show(kept, script)
        kept.close()
    except (ScriptError, UnknownVersion, Differs) as error:
        raise fail(error) from None


def show(kept: Any, script: str | None) -> None:
    """A table of the project's days: medians over seeds."""
    from statistics import median

    from rich.console import Console
    from rich.table import Table

    groups: dict[tuple[str, str, str], list[dict[str, Any]]] = {}
    for row in kept.rows(script):
        groups.setdefault((row["script"], row["version"], row["params"]), []).append(row)
    table = Table("script", "version", "params", "days", "service", "least", "most", "worst 10 s", "p99 ms", "cold",
                  "rules kept")
    for (name, version, params), rows in groups.items():
        services = [row["service"] for row in rows]
        table.add_row(name, version, params, str(len(rows)), f"{median(services):.3f}", f"{min(services):.3f}",
                      f"{max(services):.3f}", f"{median(row['worst_10s'] for row in rows):.3f}",
                      f"{median(row['p99'] or 0 for row in rows):.0f}", f"{max(row['cold_most'] for row in rows):.2f}",
                      f"{sum(row['kept'] for row in rows)} of {len(rows)}")
    Console(width=160).print(table)


@app.command()
def days(project: ProjectFile, script: Annotated[str | None, typer.Option(help="only of this script")] = None) -> None:
    """What a project holds."""
    from tansykeel.emulator.experiments import Project

    if not project.is_file():
        raise fail(f"--project {project}: no such file; legal: one that a sweep made")
    kept = Project(project)
    show(kept, script)
    kept.close()


@app.command()
def compare(
    first: Annotated[str, typer.Argument(help="a version that was swept")],
    second: Annotated[str, typer.Argument(help="another, swept with the same script, params and seeds")],
    project: ProjectFile,
    figure: Annotated[str, typer.Option(help="service, worst_10s, p50, p99 or cold_most")] = "service",
) -> None:
    """Second less first, paired by seed, its interval by bootstrap. Exit 1 where the second is told to be worse."""
    from rich.console import Console
    from rich.table import Table

    from tansykeel.emulator.experiments import Project

    if figure not in ("service", "worst_10s", "p50", "p99", "cold_most"):
        raise fail(f"--figure {figure}: legal: service, worst_10s, p50, p99 or cold_most")
    if not project.is_file():
        raise fail(f"--project {project}: no such file; legal: one that a sweep made")
    kept = Project(project)
    try:
        told = kept.compare(first, second, figure)
    except ValueError as error:
        raise fail(error) from None
    kept.close()
    table = Table("days", "pairs", f"{figure}: {second} less {first}", "95% from", "to", "verdict")
    for name, gap in told.items():
        table.add_row(name, str(gap.pairs), f"{gap.mean:+.4f}", f"{gap.low:+.4f}", f"{gap.high:+.4f}",
                      gap.verdict if figure in ("service", "worst_10s") else "")
    Console(width=160).print(table)
    if figure in ("service", "worst_10s") and told["all"].verdict == "worse":
        raise typer.Exit(WORSE)


@app.command()
def plot(
    script: Script,
    out: Annotated[Path, typer.Option(help="folder for the pictures")],
    seed: Annotated[int, typer.Option(help="of the day")] = 1,
    version: Annotated[str, typer.Option(help="who decides")] = "module",
    set_: Annotated[list[str] | None, typer.Option("--set", help="NAME=VALUE for a param of the script")] = None,
    seconds: Annotated[float | None, typer.Option(help="play it in this length")] = None,
) -> None:
    """Play one day and draw it, as PNG and SVG: service and troubles over time, lags, cold stores, shares by volume."""
    from tansykeel.emulator.plots import draw_day
    from tansykeel.emulator.versions import UnknownVersion, decide_of
    from tansykeel.emulator.world import World
    from tansykeel.rehearse.play import day_of
    from tansykeel.settings.script import ScriptError

    given = {name: values[0] for name, values in axes_of(set_ or []).items()}
    try:
        world = World(day_of(script, seconds, given), seed, decide_of(version)[0])
    except (ScriptError, UnknownVersion) as error:
        raise fail(error) from None
    world.play()
    out.mkdir(parents=True, exist_ok=True)
    for path in draw_day(world, out):
        typer.echo(path)
