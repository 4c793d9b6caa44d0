"""`tansykeel emulate`: experiments in simulated time, kept in a project file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import typer

from tansykeel.cli.words import BROKEN, axes_of, fail, params_of, seeds_of

app = typer.Typer(no_args_is_help=True, help="Experiments in simulated time, kept in one file a project.")
Script = Annotated[str, typer.Argument(help="a rehearsal's name or a script's file")]
ProjectFile = Annotated[Path, typer.Option("--project", help="duckdb file of the experiments")]
Seed = Annotated[int, typer.Option(help="of the day")]
Version = Annotated[str, typer.Option(help="who decides: module, a baseline, or a file with the module's text")]
Params = Annotated[list[str] | None, typer.Option("--set", help="NAME=VALUE for a param of the script")]
Length = Annotated[float | None, typer.Option(help="play it in this length")]
Seeds = Annotated[str, typer.Option("--seeds", help="as 1-8 or 1,3,5")]


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
            played = play_all(kept, jobs, cores, lambda day: bar.advance(task))
        typer.echo(f"{len(jobs)} days, {played} played now")
        show(kept, script)
        kept.close()
    except (ScriptError, UnknownVersion, Differs) as error:
        fail(error)


def show(kept: Any, script: str | None) -> None:
    """A table of the project's days: medians over seeds."""
    from rich.console import Console
    from rich.table import Table

    from tansykeel.emulator.compare import figures_of

    table = Table(
        "script", "version", "params", "days", "service", "least", "most", "worst 10 s", "p99 ms", "cold", "rules kept"
    )
    for of in figures_of(kept.rows(script)):
        table.add_row(
            of.script,
            of.version,
            of.params,
            str(of.days),
            f"{of.service:.3f}",
            f"{of.least:.3f}",
            f"{of.most:.3f}",
            f"{of.worst_10s:.3f}",
            f"{of.p99:.0f}",
            f"{of.cold_most:.2f}",
            f"{of.kept} of {of.days}",
        )
    Console(width=160).print(table)


@app.command()
def days(project: ProjectFile, script: Annotated[str | None, typer.Option(help="only of this script")] = None) -> None:
    """What a project holds."""
    kept = opened(project)
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

    if figure not in ("service", "worst_10s", "p50", "p99", "cold_most"):
        fail(f"--figure {figure}: legal: service, worst_10s, p50, p99 or cold_most")
    kept = opened(project)
    try:
        told = kept.compare(first, second, figure)
    except ValueError as error:
        fail(error)
    kept.close()
    table = Table("days", "pairs", f"{figure}: {second} less {first}", "95% from", "to", "verdict")
    for name, gap in told.items():
        table.add_row(
            name,
            str(gap.pairs),
            f"{gap.mean:+.4f}",
            f"{gap.low:+.4f}",
            f"{gap.high:+.4f}",
            gap.verdict if figure in ("service", "worst_10s") else "",
        )
    Console(width=160).print(table)
    if figure in ("service", "worst_10s") and told["all"].verdict == "worse":
        raise typer.Exit(BROKEN)


@app.command()
def run(
    script: Script,
    project: ProjectFile,
    seed: Seed = 1,
    version: Version = "module",
    set_: Params = None,
    seconds: Length = None,
) -> None:
    """Play one day, keep it in the project, show the verdict. Exit 1 where a rule broke."""
    import msgspec

    from tansykeel.audit.report import Verdict
    from tansykeel.cli.show import table
    from tansykeel.emulator.experiments import Differs, Job, Project
    from tansykeel.emulator.experiments import play as played
    from tansykeel.emulator.versions import UnknownVersion
    from tansykeel.settings.script import ScriptError

    try:
        day = played(Job(script, params_of(set_ or []), seed, version, seconds))
        kept = Project(project)
        kept.put(day)
        kept.close()
    except (ScriptError, UnknownVersion, Differs) as error:
        fail(error)
    verdict = msgspec.convert(day.verdict, Verdict)
    table(verdict)
    typer.echo(day.digest)
    if not verdict.kept:
        raise typer.Exit(BROKEN)


@app.command()
def plot(
    script: Annotated[str, typer.Argument(help="a rehearsal's name or a script's file; without: of a project")] = "",
    out: Annotated[Path, typer.Option(help="folder for the pictures")] = Path("pictures"),
    project: Annotated[Path | None, typer.Option(help="draw what sweeps left here")] = None,
    seed: Seed = 1,
    version: Version = "module",
    set_: Params = None,
    seconds: Length = None,
) -> None:
    """Draw, as PNG and SVG, one day (service and troubles over time, lags, cold stores, shares by volume), or what a
    project holds (service, lag and cold stores over each parameter that was swept)."""
    from tansykeel.emulator.plots import draw_day, draw_sweep

    if (project is None) == (not script):
        fail("plot: legal: a script, or --project FILE")
    out.mkdir(parents=True, exist_ok=True)
    if project is not None:
        kept = opened(project)
        made = draw_sweep(kept.rows(), out)
        kept.close()
    else:
        made = draw_day(world_of(script, seed, version, set_ or [], seconds), out)
    for path in made:
        typer.echo(path)


@app.command()
def report(
    out: Annotated[Path, typer.Argument(help="the HTML file to write")],
    script: Annotated[str, typer.Option(help="of one day of this script")] = "",
    project: Annotated[Path | None, typer.Option(help="of all that sweeps left here")] = None,
    seed: Seed = 1,
    version: Version = "module",
    set_: Params = None,
    seconds: Length = None,
) -> None:
    """One self-contained HTML page of a day, or of a project: figures, comparisons, pictures."""
    from tansykeel.emulator.pages import page_of_day, page_of_project

    if (project is None) == (not script):
        fail("report: legal: --script NAME, or --project FILE")
    if project is not None:
        kept = opened(project)
        rows = kept.rows()
        names = sorted({row["version"] for row in rows})
        compared = {}
        for first, second in ((first, second) for first in names for second in names if first < second):
            try:
                compared[f"{second} less {first}"] = kept.compare(first, second)
            except ValueError:
                continue  # no day in common: nothing to tell
        text = page_of_project(project.stem, rows, compared)
        kept.close()
    else:
        text = page_of_day(world_of(script, seed, version, set_ or [], seconds), version)
    out.write_text(text)
    typer.echo(out)


@app.command()
def search(
    script: Script,
    project: ProjectFile,
    over: Annotated[list[str], typer.Option(help="NAME=LOW:HIGH for a param, LOW the least trouble; again for more")],
    days: Annotated[int, typer.Option(min=1, max=10_000, help="to look at")] = 16,
    seed: Annotated[int, typer.Option(help="of what is drawn")] = 1,
    mark: Annotated[str, typer.Option(help="what the module's loss is measured against")] = "true-view",
    version: Version = "module",
    seconds: Length = None,
    cut: Annotated[int, typer.Option(min=0, max=200, help="days to cut the worst down with, at most")] = 8,
    cores: Annotated[int, typer.Option(help="0: all")] = 0,
) -> None:
    """Find days that break a rule, or lose most against a mark, and cut the worst one down to what still shows it.
    Exit 1 where a rule broke."""
    from rich.console import Console
    from rich.table import Table

    from tansykeel.emulator.experiments import Job, Project, over_cores
    from tansykeel.emulator.search import Shown, Trial, cut_down, drawn, range_of, worst_first
    from tansykeel.emulator.versions import UnknownVersion, decide_of
    from tansykeel.rehearse.play import day_of
    from tansykeel.settings.script import ScriptError

    try:
        ranges = [range_of(text) for text in over]
        troubles = len(day_of(script, seconds, {of.name: of.low for of in ranges}).troubles)
        for name in (version, mark):
            decide_of(name)
    except (ScriptError, UnknownVersion, ValueError) as error:
        fail(error)
    kept = Project(project)

    def look(trials: list[Trial]) -> list[Shown]:
        """Each trial decided by both; what the module lost."""
        jobs = [Job(script, t.params, t.seed, name, seconds, t.without) for t in trials for name in (version, mark)]
        told: dict[tuple[str, int, str], Any] = {}
        for played in over_cores(jobs, cores):
            kept.put(played)
            told[played.job.told(), played.job.seed, played.job.version] = played.verdict
        found = []
        for trial, job in zip(trials, jobs[::2], strict=True):
            mine, best = (told[job.told(), trial.seed, name] for name in (version, mark))
            found.append(Shown(trial, mine["rules"], round(best["service"] - mine["service"], 4)))
        return found

    try:
        shown = worst_first(look(drawn(ranges, days, seed)))
        table = Table("params", "seed", "without", f"loss against {mark}", "rules broken")

        def row(one: Shown) -> None:
            table.add_row(
                json.dumps(one.trial.params),
                str(one.trial.seed),
                str(list(one.trial.without) or ""),
                f"{one.loss:+.3f}",
                ", ".join(sorted(one.rules)),
            )

        for one in shown[:5]:
            row(one)
        if cut:
            least = cut_down(shown[0], ranges, troubles, lambda trial: look([trial])[0], cut)
            table.add_section()
            row(least)
    except ScriptError as error:
        fail(error)
    finally:
        kept.close()
    Console(width=160).print(table)
    if cut:
        typer.echo("the last row is the first one cut down; 'without': troubles of the script left out, from 0")
    if shown[0].rules:
        raise typer.Exit(BROKEN)


def opened(project: Path) -> Any:
    from tansykeel.emulator.experiments import Project

    if not project.is_file():
        fail(f"--project {project}: no such file; legal: one that a sweep made")
    return Project(project)


def world_of(script: str, seed: int, version: str, texts: list[str], seconds: float | None) -> Any:
    """A day that was played. Raises Exit with one clear error."""
    from tansykeel.emulator.versions import UnknownVersion, decide_of
    from tansykeel.emulator.world import World
    from tansykeel.rehearse.play import day_of
    from tansykeel.settings.script import ScriptError

    try:
        world = World(day_of(script, seconds, params_of(texts)), seed, decide_of(version)[0])
    except (ScriptError, UnknownVersion) as error:
        fail(error)
    world.play()
    return world
