"""`tansykeel capacity`: measure slopes, work out a deployment, and keep the capacity page true to both."""

from __future__ import annotations

from datetime import date
from pathlib import Path
from typing import Annotated

import typer

from tansykeel.cli.words import BROKEN, fail
from tansykeel.errors import Problem

app = typer.Typer(no_args_is_help=True, help="What a deployment of a given size costs, from measured slopes.")
SLOPES = Path("docs/capacity/slopes.toml")
TARGET = Path("examples/capacity/two-years.toml")
PAGE = Path("docs/CAPACITY.md")
SlopesOption = Annotated[Path, typer.Option(help="file of slopes")]
TargetOption = Annotated[Path, typer.Option(help="settings file of the target")]
PageOption = Annotated[Path, typer.Option(help="page whose tables are held against slopes and target")]


@app.callback()
def capacity() -> None:
    """What a deployment of a given size costs, from measured slopes."""


@app.command()
def measure(
    only: Annotated[list[str] | None, typer.Option(help="names of experiments; all if none is given")] = None,
    slopes: SlopesOption = SLOPES,
    share: Annotated[float, typer.Option(help="part of the sizes and lengths: under 1 it is no measurement")] = 1.0,
    list_: Annotated[bool, typer.Option("--list", help="name the experiments there are")] = False,
) -> None:
    """Run experiments, one at a time, and write their slopes: real processes on loopback, about 40 minutes for all."""
    from tansykeel.capacity.registry import Scale, all_experiments, all_series, chosen, measured
    from tansykeel.capacity.slope_file import load_if_there, merged, save

    if list_:
        for name, one in all_experiments().items():
            typer.echo(f"{name:24} {', '.join(spec.name for spec in one.series)}")
        return
    if not 0 < share <= 1:
        fail(f"--share {share}: legal: above 0, 1 at most")
    try:
        load_if_there(slopes)  # guards against minutes of measuring for a file that cannot be kept
        for one in chosen(only or []):
            typer.echo(f"{one.name}:")
            made = tuple(
                measured(
                    one,
                    Scale(share),
                    date.today().isoformat(),
                    lambda sample: typer.echo(f"  {sample.series} {sample.size:g}: {sample.value:.6g}"),
                )
            )
            save(slopes, merged(load_if_there(slopes), made, all_series()))
            for slope in made:
                typer.echo(
                    f"  {slope.series.name}: {slope.fit.shape}, largest predicted within "
                    f"{abs(slope.fit.held_out.error_percent):.1f}%"
                )
    except Problem as error:
        fail(error)


@app.command()
def plan(
    target: Annotated[Path, typer.Argument(help="settings file of the target", metavar="FILE")] = TARGET,
    slopes: SlopesOption = SLOPES,
) -> None:
    """Work out a deployment's table. Exit code 1 where a bound is passed in the quiet hour."""
    from tansykeel.capacity.page import plan_text
    from tansykeel.capacity.plan import Verdict, plan_of
    from tansykeel.capacity.slope_file import load
    from tansykeel.capacity.target import load as load_target

    try:
        made = plan_of(load(slopes), load_target(target))
    except Problem as error:
        fail(error)
    typer.echo(plan_text(made))
    if any(total.verdict is Verdict.OVER for total in made.steady.sums):
        raise typer.Exit(BROKEN)


@app.command()
def check(slopes: SlopesOption = SLOPES, target: TargetOption = TARGET, page: PageOption = PAGE) -> None:
    """Exit code 1 where the page's tables are not what slopes and target give."""
    from tansykeel.capacity.page import differing, replaced

    text = _read(page)
    try:
        wrong = differing(text, replaced(text, _tables(slopes, target), str(page)))
    except Problem as error:
        fail(error)
    if wrong:
        typer.echo(f"{page}: not what {slopes} and {target} give: {', '.join(wrong)}", err=True)
        typer.echo("  write them anew: tansykeel capacity page", err=True)
        raise typer.Exit(BROKEN)
    typer.echo(f"{page}: all tables are what {slopes} and {target} give")


@app.command()
def page(slopes: SlopesOption = SLOPES, target: TargetOption = TARGET, page: PageOption = PAGE) -> None:
    """Write the tables into the page, between their markers."""
    from tansykeel.capacity.page import replaced

    text = _read(page)
    try:
        page.write_text(replaced(text, _tables(slopes, target), str(page)))
    except Problem as error:
        fail(error)
    except OSError as error:
        fail(f"{page}: cannot be written: {error.strerror}")
    typer.echo(f"{page}: written")


def _read(page: Path) -> str:
    """The page's text. Raises Exit."""
    try:
        return page.read_text()
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{page}: cannot be read: {error}; legal: the capacity page")


def _tables(slopes: Path, target: Path) -> dict[str, str]:
    """The tables of the page by name. Raises Problem."""
    from tansykeel.capacity.page import tables_of
    from tansykeel.capacity.plan import plan_of
    from tansykeel.capacity.slope_file import load
    from tansykeel.capacity.target import load as load_target

    return tables_of(plan_of(load(slopes), load_target(target)))
