"""`tansykeel hollow`: many gateways' sessions with the control plane in one process."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from tansykeel.cli.records import claim_recorder
from tansykeel.cli.words import fail, say

PROGRAM_FAILED = 70  # as where a gateway's own code fails


def hollow(
    settings: Annotated[Path, typer.Argument(help="a settings script with control(...)", metavar="SETTINGS")],
    first: Annotated[int, typer.Option(help="number of the first gateway")] = 0,
    count: Annotated[int, typer.Option(help="how many gateways run in this process")] = 1,
    seed: Annotated[int, typer.Option(help="of their chance")] = 0,
    record: Annotated[Path | None, typer.Option(help="file for what they count by")] = None,
    report: Annotated[Path | None, typer.Option(help="write what was spent to this file at the end")] = None,
    seconds: Annotated[float, typer.Option(help="end after this time, 0: run until SIGTERM")] = 0.0,
    log: Annotated[str, typer.Option(help="json or console")] = "json",
    leashed: Annotated[bool, typer.Option(help="end with standard input, as with SIGTERM", hidden=True)] = False,
) -> None:
    """Run gateways without clients and stores: their sessions with the control plane alone.

    JSON commands on standard input kill, close and start ranges of them and ask for reports; see
    tansykeel/edge/hollow/commands.py.
    """
    from tansykeel.cli.logs import set_up
    from tansykeel.edge.hollow.gateways import HollowError
    from tansykeel.edge.hollow.program import HollowProgram
    from tansykeel.settings.build import load
    from tansykeel.settings.control import ControlSettingsError, control_of
    from tansykeel.settings.script import ScriptError
    from tansykeel.transport.sockets import run

    if log not in ("json", "console"):
        fail(f"--log: {log!r}; legal: json or console")
    set_up(log)
    failed = False
    try:
        made = load(settings)
        control_of(made)
    except (ScriptError, ControlSettingsError) as error:
        fail(error)
    observe = claim_recorder(record) if record else None

    async def main() -> None:
        nonlocal failed
        program = HollowProgram(made, first, count, seed, say, observe, leashed)
        meter = await program.serve(seconds)
        if report:
            meter.write(report)
        await program.close()
        failed = program.failed

    try:
        run(main)
    except (HollowError, OSError) as error:
        fail(error)
    raise typer.Exit(PROGRAM_FAILED if failed else 0)
