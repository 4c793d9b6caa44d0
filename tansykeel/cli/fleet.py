"""`tansykeel fleet`: gateways that agree on who they are."""

from __future__ import annotations

from typing import Annotated

import typer

from tansykeel.cli.words import BROKEN, fail

app = typer.Typer(no_args_is_help=True, help="Gateways that know each other.")
MOST_GATEWAYS = 5


@app.callback()
def fleet() -> None:
    """Gateways that know each other."""


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

    if not 2 <= gateways <= MOST_GATEWAYS:
        fail(f"--gateways {gateways}: legal: 2 to {MOST_GATEWAYS}")
    for name, value in (("states", states), ("crashes", crashes), ("restarts", restarts), ("proposals", proposals),
                        ("forms", forms), ("ticks", ticks), ("events", events)):
        if value < (name == "states"):
            fail(f"--{name} {value}: legal: {int(name == 'states')} at least")
    first = agreed(tuple("abcde"[:gateways]), SMALL, Agreement)
    bounds = Bounds(ticks, proposals, crashes, restarts, forms, events, states)
    for how, found in (("every order, deepest first", every_order(first, bounds, seed)),
                       ("drawn runs", walks(first, bounds, seed))):
        if found.law:
            typer.echo(f"{how}: {found.law}\n" + "\n".join(f"  {line}" for line in found.trace))
            raise typer.Exit(BROKEN)
        typer.echo(f"{how}: {found.states} states, {'all there are' if found.whole else 'not all'}; no law broken")
