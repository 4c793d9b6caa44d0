"""`tansykeel`: sub-commands for operators, rehearsals, and the programs themselves.

Exit codes: 0 all well; 1 a rule was broken or a day was worse than it should be; 2 bad input; 3 a day that could
not be played; 70 the module failed.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import typer

from tansykeel.cli.accord import app as accord
from tansykeel.cli.capacity import app as capacity
from tansykeel.cli.control import control, control_status
from tansykeel.cli.control_search import control_search
from tansykeel.cli.control_sim import control_sim
from tansykeel.cli.emulate import app as emulate
from tansykeel.cli.fleet import app as fleet
from tansykeel.cli.hollow import hollow
from tansykeel.cli.records import allotment_recorder, claim_recorder
from tansykeel.cli.scale import app as scale
from tansykeel.cli.words import BROKEN, fail, params_of, say
from tansykeel.errors import BAD_INPUT

app = typer.Typer(
    add_completion=True,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A storage gateway that keeps volumes to their reservations, shares and limits.",
)
app.add_typer(emulate, name="emulate")
app.add_typer(fleet, name="fleet")
app.add_typer(accord, name="accord")
app.add_typer(capacity, name="capacity")
app.command("control-sim")(control_sim)
app.command("control-search")(control_search)
app.command()(hollow)
app.add_typer(scale, name="scale")
app.command("control")(control)
app.command("control-status")(control_status)
SettingsFile = Annotated[Path, typer.Argument(help="a settings script", metavar="SETTINGS")]


@app.command()
def check(settings: SettingsFile) -> None:
    """Check a settings script and say what it holds."""
    from tansykeel.settings.build import facts_of, load
    from tansykeel.settings.script import ScriptError

    try:
        made = load(settings)
        facts_of(made, 0, made.gateway_count())
    except ScriptError as error:
        fail(error)
    typer.echo(
        f"{settings}: good: gateway {made.gateway.name}, {len(made.categories)} categories, "
        f"{len(made.plans)} plans, {len(made.volumes)} volumes, {len(made.stores)} stores"
        + (f", list at {made.listing.address} ({made.listing.mode})" if made.listing else "")
        + (
            f", control plane {made.control.cluster}: {len(made.regions)} regions, "
            f"{len(made.control_nodes)} control nodes, {made.gateway_count()} gateways"
            if made.control
            else ""
        )
    )


@app.command()
def move(
    old: Annotated[Path, typer.Argument(help="a settings script of gateways that keep to themselves", metavar="OLD")],
    new: Annotated[Path, typer.Argument(help="the file to write; it must not be there", metavar="NEW")],
    gateway: Annotated[list[str], typer.Option(help="HOST:PORT of each gateway, in the order of their numbers")],
    tells: Annotated[str, typer.Option(help="what stores tell of a volume's use: node or fleet")] = "node",
    dry_run: Annotated[bool, typer.Option("--dry-run", help="say what would be done, write nothing")] = False,
) -> None:
    """Write the counterpart of a settings script for gateways that talk, and list what it does not carry over."""
    from tansykeel.settings.build import facts_of, load, text_of
    from tansykeel.settings.move import left_behind, moved
    from tansykeel.settings.script import ScriptError

    if tells not in ("node", "fleet"):
        fail(f"--tells: {tells!r}; legal: node or fleet")
    if new.exists():
        fail(f"{new}: is there already; legal: a file that is not")
    try:
        made = load(old)
        counterpart = moved(made, tuple(gateway), tells)  # type: ignore[arg-type]
        facts_of(counterpart, 0, len(gateway))
    except (ScriptError, ValueError) as error:
        fail(error, str(old))
    for line in left_behind(made, old.read_text(), tuple(gateway)):
        typer.echo(f"not carried over: {line}")
    if dry_run:
        typer.echo(f"{new}: not written (--dry-run)")
        return
    try:
        new.write_text(text_of(counterpart))
    except OSError as error:
        fail(f"{new}: cannot be written: {error.strerror}")
    typer.echo(f"{new}: written for {len(gateway)} gateways; next: tansykeel check {new}")


@app.command()
def edge(
    settings: SettingsFile,
    number: Annotated[int, typer.Option(help="which of the gateways this is, from 0")] = 0,
    count: Annotated[int, typer.Option(help="how many gateways there are")] = 1,
    seed: Annotated[int, typer.Option(help="of its chance")] = 0,
    log: Annotated[str, typer.Option(help="json or console")] = "json",
    sample: Annotated[int, typer.Option(help="log one answer in so many")] = 100,
    trace: Annotated[Path | None, typer.Option(help="write spans of tasks to this file")] = None,
    trace_share: Annotated[float, typer.Option(help="part of the tasks that is traced")] = 0.01,
    metrics: Annotated[int, typer.Option(help="port for metrics on loopback, 0: none")] = 0,
    send_at_once: Annotated[bool, typer.Option(hidden=True)] = False,
    leashed: Annotated[bool, typer.Option(help="end with standard input, as with SIGTERM", hidden=True)] = False,
    record: Annotated[Path | None, typer.Option(help="file for what it counts by", hidden=True)] = None,
) -> None:
    """Run a gateway until SIGTERM."""
    from tansykeel.baselines import SendAtOnce
    from tansykeel.brain import Scheduler
    from tansykeel.cli.logs import set_up
    from tansykeel.edge.program import Edge
    from tansykeel.settings.build import facts_of, load
    from tansykeel.settings.script import ScriptError
    from tansykeel.transport.leash import leash
    from tansykeel.transport.sockets import run

    if log not in ("json", "console"):
        fail(f"--log: {log!r}; legal: json or console")
    set_up(log)
    try:
        made = load(settings)
        facts = facts_of(made, number, count)
    except ScriptError as error:
        fail(error)
    code = 0

    async def main() -> None:
        nonlocal code
        tracing = None
        if trace:
            from tansykeel.edge.trace import Trace

            tracing = Trace(made.gateway.named(number), trace, trace_share)
        program = Edge(
            made,
            facts,
            seed,
            tracing,
            max(sample, 1),
            SendAtOnce if send_at_once else Scheduler,
            allotment_recorder(record) if record and not made.control else None,
            claim_recorder(record) if record and made.control else None,
        )
        if metrics:
            from tansykeel.cli.metrics import serve

            serve(program, metrics)
        if leashed:
            leash(program.stopping.set)
        code = await program.serve(lambda port: say(event="ready", port=port))

    try:
        run(main)
    except (OSError, ValueError) as error:
        fail(error, made.listens_at(number))
    raise typer.Exit(code)


@app.command()
def store(
    name: Annotated[str, typer.Option()],
    data: Annotated[Path, typer.Option(help="folder for its objects")],
    record: Annotated[Path, typer.Option(help="file for what passes")],
    shard: Annotated[int, typer.Option()] = 0,
    zone: Annotated[int, typer.Option()] = 0,
    listen: Annotated[str, typer.Option()] = "127.0.0.1:0",
    seed: Annotated[int, typer.Option()] = 0,
    shape: Annotated[Path | None, typer.Option(help="JSON: what it is like")] = None,
    cold: Annotated[bool, typer.Option(help="it has just started")] = False,
) -> None:
    """Run a stand-in store; faults come as JSON lines on standard input, whose end ends it."""
    import msgspec

    from tansykeel.settings.shape import Shape
    from tansykeel.standin.store import Store
    from tansykeel.transport.sockets import run

    try:
        like = msgspec.json.decode(shape.read_bytes(), type=Shape) if shape else Shape()
    except (OSError, msgspec.DecodeError) as error:
        fail(f"--shape {shape}: {error}")

    async def main() -> None:
        await Store(name, shard, zone, like, data, record, seed, say).serve(listen, cold)

    run(main)


@app.command("list-service")
def list_service(
    record: Annotated[Path, typer.Option(help="file for what passes")],
    listen: Annotated[str, typer.Option()] = "127.0.0.1:0",
    late: Annotated[float, typer.Option(help="seconds by which changes come late")] = 0.3,
    call_ms: Annotated[float, typer.Option(help="time that one call takes")] = 1.0,
) -> None:
    """Run a stand-in list of stores; rows come as JSON lines on standard input, whose end ends it."""
    from tansykeel.standin.listing import ListService
    from tansykeel.transport.sockets import run

    async def main() -> None:
        await ListService(record, late, call_ms).serve(listen, lambda port: say(event="ready", port=port))

    run(main)


@app.command()
def relay(
    plan: Annotated[Path, typer.Argument(help="what a rehearsal wrote for its fault relay")],
    record: Annotated[Path, typer.Option(help="file for what passes")],
) -> None:
    """Relay between the gateways of a rehearsal; faults come as JSON lines on standard input, whose end ends it."""
    from tansykeel.rehearse.relay import serve
    from tansykeel.transport.sockets import run

    try:
        told = json.loads(plan.read_text())
    except (OSError, ValueError) as error:
        fail(f"{plan}: {error}; legal: a relay's file that a rehearsal wrote")
    run(lambda: serve(told, record, say))


@app.command()
def control_proxy(
    plan: Annotated[Path, typer.Argument(help="who listens where, as a harness wrote it")],
    record: Annotated[Path, typer.Option(help="file for what passes")],
) -> None:
    """Relay between gateways and control nodes; faults come as JSON lines on standard input, whose end ends it."""
    from tansykeel.rehearse.control_proxy import serve
    from tansykeel.rehearse.proxy_plan import ProxyPlanError, read_plan
    from tansykeel.transport.sockets import run

    try:
        told = read_plan(plan)
    except ProxyPlanError as error:
        fail(error)
    run(lambda: serve(told, record, say))


@app.command()
def load(plan: Annotated[Path, typer.Argument(help="what a rehearsal wrote for one of its client processes")]) -> None:
    """Play one client process of a rehearsal."""
    from tansykeel.rehearse.clients import play_file
    from tansykeel.transport.sockets import run

    if not plan.is_file():
        fail(f"{plan}: no such file; legal: a client's file that a rehearsal wrote")
    run(lambda: play_file(plan, lambda: say(event="ready")))


@app.command()
def rehearse(
    name: Annotated[str, typer.Argument(help="a rehearsal's name or a script's file")] = "",
    seconds: Annotated[float | None, typer.Option(help="play it in this length")] = None,
    seed: Annotated[int, typer.Option(help="of all its chance")] = 1,
    json_file: Annotated[Path | None, typer.Option("--json", help="write the verdict to this file")] = None,
    folder: Annotated[Path | None, typer.Option(help="keep records and logs here")] = None,
    set_: Annotated[list[str] | None, typer.Option("--set", help="NAME=VALUE for a param of the script")] = None,
    stage: Annotated[str, typer.Option(help="sockets, or emulator: simulated time")] = "sockets",
    digest: Annotated[bool, typer.Option(help="emulator: print a digest of all that passed as the last line")] = False,
    at_once: Annotated[bool, typer.Option(help="the baseline: send every task at once")] = False,
    list_: Annotated[bool, typer.Option("--list", help="name the rehearsals there are")] = False,
    quiet: Annotated[bool, typer.Option(help="no progress, no table")] = False,
) -> None:
    """Play a bad day through real processes on loopback and judge it; exit 0 only if no rule broke."""
    from tansykeel.cli.show import listed_days, table
    from tansykeel.rehearse.chaos import drawn
    from tansykeel.rehearse.play import AT_ONCE, EDGE, day_of, play
    from tansykeel.settings.script import ScriptError

    if list_ or not name:
        for line in listed_days():
            typer.echo(line)
        raise typer.Exit(0 if list_ else BAD_INPUT)
    if stage not in ("sockets", "emulator"):
        fail(f"--stage: {stage!r}; legal: sockets or emulator")
    if digest and stage != "emulator":
        fail("--digest: sockets have none, time is real there; legal: with --stage emulator")
    try:
        day = drawn(day_of(name, seconds, params_of(set_ or [])), seed)
    except ScriptError as error:
        fail(error)
    passed = ""
    if stage == "emulator":
        from tansykeel.baselines import SendAtOnce
        from tansykeel.brain import Scheduler
        from tansykeel.emulator.world import World

        world = World(day, seed, SendAtOnce if at_once else Scheduler)
        verdict = world.run()
        passed = world.digest() if digest else ""
        if folder:
            world.leave(folder)
    else:
        program = AT_ONCE if at_once else EDGE
        verdict = played(lambda progress: play(day, seed, folder, progress, program), day.seconds, quiet)
    if json_file:
        json_file.write_text(verdict.to_json() + "\n")
    if not quiet:
        table(verdict)
    if passed:
        typer.echo(passed)
    if not verdict.kept or verdict.service < verdict.least_service and not at_once:
        raise typer.Exit(BROKEN)


def played(play: Callable[[Callable[[float], None]], Any], seconds: float, quiet: bool) -> Any:
    """Run a day with a progress bar; a day that can't be played ends the program."""
    from rich.console import Console
    from rich.progress import Progress

    from tansykeel.rehearse.child_processes import RehearsalError

    try:
        if quiet:
            return play(lambda at: None)
        with Progress(console=Console(stderr=True), transient=True) as bar:
            task = bar.add_task("playing", total=seconds)
            return play(lambda at: bar.update(task, completed=max(at, 0.0)))
    except RehearsalError as error:
        fail(error)


@app.command()
def audit(
    folder: Annotated[Path, typer.Argument(help="what a rehearsal left")],
    json_file: Annotated[Path | None, typer.Option("--json")] = None,
) -> None:
    """Judge a day again from its records."""
    from tansykeel.audit.report import judge_folder
    from tansykeel.cli.show import table

    try:
        verdict = judge_folder(folder)
    except ValueError as error:
        fail(error)
    if json_file:
        json_file.write_text(verdict.to_json() + "\n")
    table(verdict)
    raise typer.Exit(0 if verdict.kept else BROKEN)


@app.command()
def demo() -> None:
    """A small fleet, some load and one trouble: about 20 seconds, then a table."""
    begun = time.monotonic()
    rehearse("demo", None, 1, None, None, None, "sockets", False, False, False, False)
    typer.echo(f"{time.monotonic() - begun:.0f} s. Next: tansykeel rehearse --list", err=True)


if __name__ == "__main__":
    sys.exit(app())
