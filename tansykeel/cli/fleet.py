"""`tansykeel fleet`: gateways that agree on who they are."""

from __future__ import annotations

from typing import Annotated

import typer

from tansykeel.cli.words import BROKEN, NOT_PLAYED, fail

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
    address: Annotated[str, typer.Argument(help="where a running gateway listens", metavar="HOST:PORT")],
    json_: Annotated[bool, typer.Option("--json", help="for machines")] = False,
    timeout: Annotated[float, typer.Option(help="seconds")] = 5.0,
) -> None:
    """What a running gateway believes of its fleet: view, lease, part, who seems to be there, connections.

    Exit code 1 where it holds no lease: it has its safe part alone. 3 where it does not answer.
    """
    import asyncio
    import json

    import msgspec

    from tansykeel.cli.show import fellows
    from tansykeel.edge.ask import NotTold, ask

    legal("timeout", timeout, 0.1, 600)
    try:
        told = asyncio.run(ask(address, timeout))
    except NotTold as error:
        fail(f"{address}: {error}", NOT_PLAYED)
    if json_:
        names = told.__struct_fields__
        rows = [dict(zip(other.__struct_fields__, msgspec.to_builtins(other), strict=True)) for other in told.others]
        typer.echo(json.dumps(dict(zip(names, msgspec.to_builtins(told), strict=True)) | {"others": rows}))
    else:
        fellows(told)
    if not told.leased:
        raise typer.Exit(BROKEN)


@app.command()
def watch(
    gateways: Annotated[int, typer.Option(help="2 to 2,000")] = 50,
    seconds: Annotated[int, typer.Option(help="of simulated time, after 20 s to get to know each other")] = 120,
    loss: Annotated[float, typer.Option(help="part of all messages that is lost")] = 0.0,
    stalled: Annotated[float, typer.Option(help="part of the gateways that stand still for 3 s every 10 s")] = 0.0,
    dead: Annotated[int, typer.Option(help="gateways killed one after the other")] = 3,
    seed: int = 1,
) -> None:
    """How soon a death is known in a fleet that watches over itself and the view is without it, what is suspected
    wrongly, and how much of a whole the parts make up. Exit code 1 if that is ever more than the whole."""
    from tansykeel.emulator.watching import Trial, watched

    for name, value, least, most in (("gateways", gateways, 2, 2_000), ("seconds", seconds, 6, 3_600),
                                     ("loss", loss, 0, 0.9), ("stalled", stalled, 0, 0.9), ("dead", dead, 0, 6)):
        legal(name, value, least, most)
    if dead >= gateways:
        fail(f"--dead {dead}: legal: fewer than the {gateways} gateways")
    seen = watched(Trial(gateways, seconds, loss, stalled, dead=dead), seed)
    typer.echo(f"{gateways} gateways, {loss:.0%} lost, {stalled:.0%} stalled (simulated): a death is known after "
               f"{seen.known_median_s:.1f} s (median), {seen.known_99_s:.1f} s (99th), {seen.unknown} never; wrong an "
               f"hour and gateway: {seen.wrong_suspicions_an_hour:.2f} suspicions, "
               f"{seen.wrong_deaths_an_hour:.2f} deaths; {seen.bytes_a_second:.0f} bytes a second and gateway; "
               f"{seen.views} views, without the dead after {seen.without_median_s:.1f} s (median), "
               f"{seen.without_99_s:.1f} s (99th); parts make up {seen.mean_of_whole:.3f} of the whole in the mean, "
               f"{seen.most_of_whole:.3f} at most")
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
) -> None:
    """Try orders of joins, leaves, crashes, restarts, lost, repeated and late messages on a small fleet.

    Exit code 1 with the fewest events that show it, if parts make up more than the whole or a number has two views.
    """
    from tansykeel.fleet.search import SMALL, Bounds, agreed, walks
    from tansykeel.fleet.search import search as every_order
    from tansykeel.fleet.views import Agreement

    legal("gateways", gateways, 2, MOST_GATEWAYS)
    legal("states", states, 1)
    for name, value in (("crashes", crashes), ("restarts", restarts), ("proposals", proposals), ("forms", forms),
                        ("ticks", ticks), ("events", events)):
        legal(name, value, 0)
    first = agreed(tuple("abcde"[:gateways]), SMALL, Agreement)
    bounds = Bounds(ticks, proposals, crashes, restarts, forms, events, states)
    for how, found in (("every order, deepest first", every_order(first, bounds, seed)),
                       ("drawn runs", walks(first, bounds, seed))):
        if found.law:
            typer.echo(f"{how}: {found.law}\n" + "\n".join(f"  {line}" for line in found.trace))
            raise typer.Exit(BROKEN)
        typer.echo(f"{how}: {found.states} states, {'all there are' if found.whole else 'not all'}; no law broken")
