"""`tansykeel scale`: scale tests of the control plane on sockets."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import typer

from tansykeel.cli.words import BROKEN, fail
from tansykeel.errors import Problem

app = typer.Typer(no_args_is_help=True, help="Scale tests of the control plane, with real processes on loopback.")


@app.callback()
def scale() -> None:
    """Scale tests of the control plane, with real processes on loopback."""


@app.command()
def play(
    plan: Annotated[str, typer.Argument(help="full, herd or small")] = "full",
    seed: Annotated[int, typer.Option(help="of all its chance")] = 1,
    folder: Annotated[Path | None, typer.Option(help="keep records and logs here; new or empty")] = None,
    summary: Annotated[Path | None, typer.Option(help="write the report to this JSON file")] = None,
    plots: Annotated[Path | None, typer.Option(help="draw plots into this folder")] = None,
    quiet: Annotated[bool, typer.Option(help="no progress, no tables")] = False,
) -> None:
    """Play a plan, then report on it.

    Exit code 1 where a rule was broken or a figure is over its bound, 3 where the plan could not be played.
    """
    from tansykeel.scale.plan import plan_named
    from tansykeel.scale.runner import play as play_plan

    def progress(phase: str, seconds: float) -> None:
        if not quiet:
            typer.echo(f"{phase}: {seconds:.0f} s", err=True)

    with tempfile.TemporaryDirectory(prefix="tansykeel-scale-") as kept_for_the_report:
        played = folder or Path(kept_for_the_report)
        try:
            play_plan(plan_named(plan), seed, played, progress)
        except Problem as error:
            fail(error)
        _report_on(played, summary, plots, quiet)


@app.command()
def report(
    paths: Annotated[list[Path], typer.Argument(help="folders of plays, or reports that were written", metavar="PATH")],
    summary: Annotated[Path | None, typer.Option(help="write the report to this JSON file; one folder only")] = None,
    plots: Annotated[Path | None, typer.Option(help="draw plots into this folder; one folder only")] = None,
    page: Annotated[Path | None, typer.Option(help="replace the section on scale tests of this page")] = None,
    quiet: Annotated[bool, typer.Option(help="no tables")] = False,
) -> None:
    """Report on plays: tables for the terminal or a page, a JSON file, plots.

    Exit code 1 where a rule was broken or a figure is over its bound.
    """
    from tansykeel.scale.page import put_into, section_of
    from tansykeel.scale.report import read_report, report_on

    if len(paths) == 1 and paths[0].is_dir() and page is None:
        _report_on(paths[0], summary, plots, quiet)
        return
    if summary or plots:
        fail("--summary, --plots: legal: with one folder of a play")
    try:
        reports = [report_on(path) if path.is_dir() else read_report(path) for path in paths]
        section = section_of(reports)
    except Problem as error:
        fail(error)
    if page:
        page.write_text(put_into(page.read_text(), section))
    elif not quiet:
        typer.echo(section)
    if not all(report.kept for report in reports):
        raise typer.Exit(BROKEN)


def _report_on(folder: Path, summary: Path | None, plots: Path | None, quiet: bool) -> None:
    """Report on one play. Raises Exit where it broke a rule or passed a bound."""
    from tansykeel.scale.page import section_of
    from tansykeel.scale.plots import draw
    from tansykeel.scale.report import report_on

    try:
        made = report_on(folder)
    except Problem as error:
        fail(error)
    if summary:
        made.write(summary)
    for path in draw(folder, made, plots) if plots else ():
        typer.echo(f"{path}: written")
    if not quiet:
        typer.echo(section_of([made]))
    for finding in made.findings:
        typer.echo(f"broken: {finding}", err=True)
    for bound in made.bounds:
        if not bound.kept:
            typer.echo(f"over its bound: {bound.what}, {bound.phase}: {bound.measured:g} {bound.unit}", err=True)
    if not made.kept:
        raise typer.Exit(BROKEN)
