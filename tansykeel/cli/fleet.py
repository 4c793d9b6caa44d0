"""`tansykeel fleet`: gateways that agree on who they are."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from tansykeel.cli.words import BROKEN, fail

app = typer.Typer(no_args_is_help=True, help="Gateways that know each other.")
MOST_GATEWAYS = 5


def legal(name: str, value: float, least: float, most: float | None = None) -> None:
    """Raises Exit with one clear error where an option is out of its range."""
    if value < least or most is not None and value > most:
        fail(f"--{name} {value}: legal: {least} " + ("at least" if most is None else f"to {most}"))


@app.callback()
def fleet() -> None:
    """Gateways that know each other."""


@app.command()
def status(
    address: Annotated[
        str, typer.Argument(help="where a running gateway or control node listens", metavar="HOST:PORT")
    ],
    json_: Annotated[bool, typer.Option("--json", help="for machines")] = False,
    timeout: Annotated[float, typer.Option(help="seconds")] = 5.0,
) -> None:
    """What a running gateway believes of its fleet: view, lease, part, who seems to be there, connections.

    Exit code 1 where it holds no lease: it has its safe part alone. 3 where it does not answer.
    """
    import asyncio
    import json

    import msgspec

    from tansykeel.cli.show import cluster_agent
    from tansykeel.edge.ask import NotTold, query_fleet

    legal("timeout", timeout, 0.1, 600)
    try:
        told = asyncio.run(query_fleet(address, timeout))
    except NotTold as error:
        fail(error, address)
    if json_:
        rows = [msgspec.structs.asdict(other) for other in told.others]
        typer.echo(json.dumps(msgspec.structs.asdict(told) | {"others": rows}))
    else:
        cluster_agent(told)
    if not told.leased:
        raise typer.Exit(BROKEN)


@app.command()
def without(
    address: Annotated[str, typer.Argument(help="a gateway or control node that has no view", metavar="HOST:PORT")],
    names: Annotated[list[str], typer.Argument(help="under which no process runs")],
    yes: Annotated[bool, typer.Option(help="do it; without it only say what is meant")] = False,
) -> None:
    """Let a fleet form a view though some names of its settings never come.

    Wrong where such a gateway runs and is only cut off: then parts can make up more than the whole.
    """
    import asyncio

    from tansykeel.edge.ask import NotTold, declare_gone, query_fleet

    try:
        told = asyncio.run(query_fleet(address, 5.0))
        typer.echo(
            f"taken for granted: no process runs under {', '.join(names)}; "
            f"{told.name} forms a view of all other names once each of them is there"
        )
        if not yes:
            typer.echo("nothing done: say it with --yes")
            return
        asyncio.run(declare_gone(address, tuple(names), 5.0))
    except NotTold as error:
        fail(error, address)
    typer.echo(f"{told.name} was told")


@app.command()
def watch(
    gateways: Annotated[int, typer.Option(help="2 to 2,000")] = 50,
    seconds: Annotated[int, typer.Option(help="of simulated time, after 20 s or more to get to know each other")] = 120,
    loss: Annotated[float, typer.Option(help="part of all messages that is lost")] = 0.0,
    stalled: Annotated[float, typer.Option(help="part of the gateways that stand still for 3 s every 10 s")] = 0.0,
    dead: Annotated[int, typer.Option(help="gateways killed one after the other")] = 3,
    back: Annotated[float, typer.Option(help="seconds after which the dead start again; 0: they stay away")] = 0.0,
    plot: Annotated[Path | None, typer.Option(help="folder for a picture of what they count on together")] = None,
    seed: int = 1,
) -> None:
    """How soon a death is known in a fleet that watches over itself and the view is without it, what is suspected
    wrongly, and how much of a whole the parts make up. Exit code 1 if that is ever more than the whole."""
    from tansykeel.emulator.cluster_simulation import Trial, Watchers

    for name, value, least, most in (
        ("gateways", gateways, 2, 2_000),
        ("seconds", seconds, 6, 3_600),
        ("loss", loss, 0, 0.9),
        ("stalled", stalled, 0, 0.9),
        ("dead", dead, 0, 6),
        ("back", back, 0, 600),
    ):
        legal(name, value, least, most)
    if dead >= gateways:
        fail(f"--dead {dead}: legal: fewer than the {gateways} gateways")
    world = Watchers(Trial(gateways, seconds, loss, stalled, dead=dead, back_s=back), seed)
    seen = world.play()
    typer.echo(
        f"{gateways} gateways, {loss:.0%} lost, {stalled:.0%} stalled (simulated): a death is known after "
        f"{seen.known_median_s:.1f} s (median), {seen.known_99_s:.1f} s (99th), {seen.unknown} never; wrong an "
        f"hour and gateway: {seen.wrong_suspicions_an_hour:.2f} suspicions, "
        f"{seen.wrong_deaths_an_hour:.2f} deaths; {seen.bytes_a_second:.0f} bytes and "
        f"{world.cpu_us():.0f} us of CPU a second and gateway; "
        f"{seen.views} views, without the dead after {seen.without_median_s:.1f} s (median), "
        f"{seen.without_99_s:.1f} s (99th); parts make up {seen.mean_of_whole:.3f} of the whole in the mean, "
        f"{seen.most_of_whole:.3f} at most"
    )
    if plot:
        from tansykeel.emulator.plots import draw_parts

        if not plot.is_dir():
            fail(f"--plot {plot}: no such folder; legal: one that is there")
        for path in draw_parts(world, plot):
            typer.echo(str(path))
    if seen.most_of_whole > 1:
        raise typer.Exit(BROKEN)


@app.command()
def search(
    gateways: Annotated[int, typer.Option(help=f"2 to {MOST_GATEWAYS}")] = 3,
    states: Annotated[int, typer.Option(help="states looked at, by each way of looking")] = 100_000,
    seed: Annotated[int, typer.Option(help="of the order in which events are tried")] = 1,
    crashes: int = 1,
    restarts: int = 1,
    proposals: int = 2,
    forms: int = 1,
    ticks: int = 6,
    events: Annotated[int, typer.Option(help="events of a run where every order is tried")] = 12,
    apart: Annotated[bool, typer.Option("--apart", help="clocks run a tenth slow and fast, by turns")] = False,
) -> None:
    """Try orders of joins, leaves, crashes, restarts, lost, repeated and late messages on a small fleet.

    Exit code 1 with the fewest events that show it, if parts make up more than the whole or a number has two views.
    """
    from tansykeel.cluster.model_checker import (
        DRIFTING_CLOCK_RATES,
        DRIFTING_CLOCK_TERMS,
        EXACT_CLOCK_TERMS,
        Bounds,
        form_first_view,
        random_runs,
    )
    from tansykeel.cluster.model_checker import search as every_order
    from tansykeel.cluster.view_agreement import ViewAgreement

    legal("gateways", gateways, 2, MOST_GATEWAYS)
    legal("states", states, 1)
    for name, value in (
        ("crashes", crashes),
        ("restarts", restarts),
        ("proposals", proposals),
        ("forms", forms),
        ("ticks", ticks),
        ("events", events),
    ):
        legal(name, value, 0)
    terms, rates = (DRIFTING_CLOCK_TERMS, DRIFTING_CLOCK_RATES) if apart else (EXACT_CLOCK_TERMS, (1,))
    first = form_first_view(tuple("abcde"[:gateways]), terms, ViewAgreement, rates)
    bounds = Bounds(ticks, proposals, crashes, restarts, forms, events, states)
    for how, found in (
        ("every order, deepest first", every_order(first, bounds, seed)),
        ("drawn runs", random_runs(first, bounds, seed)),
    ):
        if found.violation:
            typer.echo(f"{how}: {found.violation}\n" + "\n".join(f"  {line}" for line in found.trace))
            raise typer.Exit(BROKEN)
        typer.echo(f"{how}: {found.states} states, {'all there are' if found.complete else 'not all'}; no law broken")


@app.command()
def chaos(
    name: Annotated[str, typer.Argument(help="a rehearsal whose troubles are drawn, or its script")] = "chaos",
    seeds: Annotated[str, typer.Option(help="as 1-20 or 1,3,5")] = "1-20",
    stage: Annotated[str, typer.Option(help="emulator: simulated time; or sockets")] = "emulator",
    cores: Annotated[int, typer.Option(help="emulator: days played at once, 0: as many as there are cores")] = 0,
    cut: Annotated[int, typer.Option(help="days to cut the first bad one down with, at most")] = 40,
    set_: Annotated[list[str] | None, typer.Option("--set", help="NAME=VALUE for a param of the script")] = None,
) -> None:
    """Play days of drawn troubles and judge each; cut the first that breaks a rule down to a small script.

    Exit code 1 where a rule broke, 3 where a day could not be played.
    """
    from statistics import fmean

    from tansykeel.cli.words import params_of, seeds_of
    from tansykeel.emulator.hunt import Judged, hunted, play_on
    from tansykeel.rehearse.chaos import cut_down, drawn, script_of
    from tansykeel.rehearse.child_processes import RehearsalError
    from tansykeel.rehearse.play import day_of
    from tansykeel.settings.script import ScriptError

    if stage not in ("emulator", "sockets"):
        fail(f"--stage: {stage!r}; legal: emulator or sockets")
    legal("cores", cores, 0, 1_000)
    legal("cut", cut, 0, 1_000)
    wanted = seeds_of(seeds)
    try:
        day = day_of(name, None, params_of(set_ or []))
    except ScriptError as error:
        fail(error)
    if day.chaos is None:
        fail(f"{name}: draws no troubles; legal: a script with chaos(...)")
    judged: list[Judged] = []
    try:
        for one in hunted(day, wanted, stage, cores):
            judged.append(one)
            if one.broken:
                typer.echo(f"seed {one.seed}: {', '.join(one.broken)}: {one.what}")
        bad = [one for one in judged if one.broken]
        where = "simulated" if stage == "emulator" else "stand-ins on loopback"
        typer.echo(
            f"{len(judged)} days of drawn troubles ({where}): {len(bad)} broke a rule; "
            f"{sum(one.tasks for one in judged)} tasks, service {fmean(one.service for one in judged):.3f} and "
            f"{fmean(one.counted_mean for one in judged):.3f} of any whole counted on, in the mean"
        )
        if bad and cut:
            first = min(bad, key=lambda one: one.seed)
            least = cut_down(
                drawn(day, first.seed),
                lambda less: bool(set(play_on(less, first.seed, stage).broken) & set(first.broken)),
                cut,
            )
            typer.echo(f"seed {first.seed} cut down to {len(least.troubles)} troubles:")
            typer.echo("\n".join(f"  {line}" for line in script_of(least.troubles)))
    except RehearsalError as error:
        fail(error)
    if bad:
        raise typer.Exit(BROKEN)
