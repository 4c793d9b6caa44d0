"""`tansykeel accord`: who may be out, releases, and an operator's word on what is."""

from __future__ import annotations

from typing import Annotated, Any

import typer

from tansykeel.cli.words import BROKEN, fail

app = typer.Typer(no_args_is_help=True, help="Leave for gateways and stores, and releases.")
release_app = typer.Typer(no_args_is_help=True, help="A release: started, watched, halted, gone on with, sent back.")
app.add_typer(release_app, name="release")
Address = Annotated[str, typer.Argument(help="where any gateway of the fleet listens", metavar="HOST:PORT")]
Name = Annotated[str, typer.Argument(help="of the release")]
By = Annotated[str, typer.Option(help="who says so")]
HOPS = 4  # gateways asked until one leads


def told(address: str, word: Any, led: bool = True) -> Any:
    """What whoever leads answers, asked through any gateway; None where nobody does and `led` is not asked for. Raises
    Exit."""
    import asyncio

    from tansykeel.edge.ask import NotTold, exchange_maintenance
    from tansykeel.maintenance.messages import Elsewhere

    try:
        for _ in range(HOPS):
            answer = asyncio.run(exchange_maintenance(address, word, 5.0))
            if not isinstance(answer, Elsewhere):
                return answer
            if not answer.address:
                break
            address = answer.address
    except NotTold as error:
        fail(error, address)
    if not led:
        return None
    fail(
        NotTold(
            "no gateway leads the ledger now",
            do="look at fleet status: a majority of the view's voters has to be there; then ask again",
        ),
        address,
    )


def offered(address: str, entry: Any) -> None:
    """Raises Exit where it was not taken."""
    from tansykeel.maintenance.messages import Offered

    answer = told(address, Offered(entry))
    if not answer.so:
        fail(f"not taken: {answer.why or 'too many entries wait'}", address)
    typer.echo("taken; accord status shows what became of it")


@app.command()
def status(address: Address, json_: Annotated[bool, typer.Option("--json", help="for machines")] = False) -> None:
    """Who is out, why and by whose leave, the releases, and what holds up the next step.

    Exit code 1 where what is out is not known: nothing may go out until `accord recover`.
    """
    import msgspec

    from tansykeel.cli.show import leave
    from tansykeel.maintenance.messages import StatusAsk

    answer = told(address, StatusAsk())
    if json_:
        typer.echo(msgspec.json.encode(msgspec.to_builtins(answer.state)).decode())
    else:
        leave(answer)
    if not answer.state.known:
        raise typer.Exit(BROKEN)


@app.command()
def recover(
    address: Address,
    out: Annotated[list[str] | None, typer.Option(help="NAME of what is out, once for each")] = None,
    by: By = "operator",
    yes: Annotated[bool, typer.Option(help="do it; without it only say what is meant")] = False,
) -> None:
    """Say what is out after the fleet's state was lost. All else is taken for granted to be there and whole."""
    from tansykeel.maintenance.entries import Recover
    from tansykeel.maintenance.messages import StatusAsk

    entry = Recover(tuple((name, "an operator's word") for name in out or []), by)
    if (status := told(address, StatusAsk(), led=False)) is None:
        typer.echo(
            "no gateway leads; taken for granted: a majority of those who decided this view is gone for good, "
            "and with it what only they knew"
        )
        if yes:
            offered(address, entry)
        raise typer.Exit(BROKEN)
    state = status.state
    if strange := sorted(set(out or []) - set(state.places)):
        fail(f"--out {strange[0]}: not known; legal: {', '.join(sorted(state.places))}")
    taken = sorted(set(state.places) - set(out or []))
    typer.echo(f"out: {', '.join(out or []) or 'nobody'}; taken for granted to be there and whole: {', '.join(taken)}")
    typer.echo(
        f"last known to be out, as a guess: {', '.join(sorted(state.out)) or 'nobody'}; releases that go on are halted"
    )
    if not yes:
        typer.echo("nothing done: say it with --yes")
        return
    offered(address, entry)


@release_app.command()
def start(
    address: Address,
    name: Name,
    version: Annotated[str, typer.Option(help="what goes out")],
    before: Annotated[str, typer.Option(help="the version that the way back leads to")],
    wave: Annotated[list[str], typer.Option(help="NAME,NAME,…: once for each wave, the first the canary")],
    by: By = "operator",
) -> None:
    """Plan a release; it begins when no other is under way."""
    from tansykeel.maintenance.controller import make_plan

    offered(address, make_plan(name, version, before, [one.split(",") for one in wave], by))


def _moves(what: str, says: str) -> None:
    def move(address: Address, name: Name, why: Annotated[str, typer.Option()] = "", by: By = "operator") -> None:
        from tansykeel.maintenance.entries import Move

        offered(address, Move(name, what, why, by))

    move.__doc__ = says
    release_app.command(name=what.replace(" ", "-"))(move)


for _what, _says in (
    ("halt", "Nothing further goes out; who is out ends its step."),
    ("resume", "Go on with one that is halted."),
    ("back", "The newest go back to the version before, before any other release."),
    ("give up", "Let one go that is planned or halted."),
):
    _moves(_what, _says)
