"""`tansykeel control-search`: orders of events on a small region of control nodes and gateways."""

from __future__ import annotations

import time
from typing import Annotated

import typer

from tansykeel.cli.words import BROKEN

NODES, GATEWAYS = "abc", ("g", "k", "j")  # gateways whose first choice is another node each
DRIFT = 0.1  # of clocks that run a tenth slow and fast, by turns


def control_search(
    states: Annotated[int, typer.Option(min=1, help="states looked at, by each way of looking")] = 100_000,
    seed: Annotated[int, typer.Option(help="of the order in which events are tried")] = 1,
    nodes: Annotated[int, typer.Option(min=2, max=3)] = 3,
    gateways: Annotated[int, typer.Option(min=2, max=3)] = 2,
    events: Annotated[int, typer.Option(min=1, help="events of a run where every order is tried")] = 8,
    apart: Annotated[bool, typer.Option("--apart", help="clocks run a tenth slow and fast, by turns")] = False,
) -> None:
    """Try orders of crashes, restarts, stalls, lost connections, late and repeated messages, views and leaders.

    Exit code 1 with the fewest events that show it, if gateways count more than there is or by a lease that ended.
    """
    from tansykeel.cluster.model_checker import Bounds, random_runs, search
    from tansykeel.control.model_checker import DRIFTING_CLOCK_RATES, EXACT_CLOCK_RATES
    from tansykeel.control.model_parts import ModelConfig
    from tansykeel.control.model_walks import guided_runs, settled_region

    model = ModelConfig(gateways=GATEWAYS[:gateways], drift=DRIFT if apart else 0.0)
    first = settled_region(tuple(NODES[:nodes]), model, DRIFTING_CLOCK_RATES if apart else EXACT_CLOCK_RATES)
    some = Bounds(ticks=3, proposals=1, crashes=1, restarts=1, forms=1, events=events, states=states)
    many = Bounds(ticks=30, proposals=5, crashes=2, restarts=5, forms=2, states=states)
    for how, look in (
        ("every order, deepest first", lambda: search(first, some, seed)),
        ("drawn events", lambda: random_runs(first, many, seed, by_kind=True)),
        ("drawn rounds", lambda: guided_runs(first, many, seed)),
    ):
        begun = time.monotonic()
        found = look()
        took = time.monotonic() - begun
        if found.violation:
            typer.echo(f"{how}: {found.violation}\n" + "\n".join(f"  {line}" for line in found.trace))
            raise typer.Exit(BROKEN)
        whole = "all there are" if found.complete else "not all"
        typer.echo(f"{how}: {found.states} states in {took:.0f} s, {whole}; no law broken")
