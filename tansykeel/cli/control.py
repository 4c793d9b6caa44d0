"""`tansykeel control` runs a control node, `tansykeel control-status` asks a running one what it believes."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from tansykeel.cli.words import BROKEN, fail, say

LOG_FORMATS = ("json", "console")
MOST_SECONDS = 600.0  # that an answer may be waited for


def control(
    settings: Annotated[Path, typer.Argument(help="a settings script with control(...)", metavar="SETTINGS")],
    number: Annotated[int, typer.Option(help="which of the control nodes this is, from 0, in the settings' order")],
    seed: Annotated[int, typer.Option(help="of its chance")] = 0,
    log: Annotated[str, typer.Option(help="json or console")] = "json",
    leashed: Annotated[bool, typer.Option(help="end with standard input, as with SIGTERM", hidden=True)] = False,
) -> None:
    """Run a control node until SIGTERM: it holds gateways' sessions and grants them leases."""
    from tansykeel.cli.logs import set_up
    from tansykeel.control_plane.program import ControlProgram
    from tansykeel.settings.build import load
    from tansykeel.settings.control import ControlSettingsError, control_node_record
    from tansykeel.settings.script import ScriptError
    from tansykeel.transport.leash import leash
    from tansykeel.transport.sockets import run

    if log not in LOG_FORMATS:
        fail(f"--log: {log!r}; legal: {' or '.join(LOG_FORMATS)}")
    set_up(log)
    try:
        made = load(settings)
        address = control_node_record(made, number).address
    except (ScriptError, ControlSettingsError) as error:
        fail(error)
    code = 0

    async def main() -> None:
        nonlocal code
        program = ControlProgram(made, number, seed)
        if leashed:
            leash(program.stopping.set)
        code = await program.serve(lambda port: say(event="ready", port=port))

    try:
        run(main)
    except (OSError, ValueError) as error:
        fail(error, address)
    raise typer.Exit(code)


def control_status(
    address: Annotated[str, typer.Argument(help="where a control node listens", metavar="HOST:PORT")],
    json_: Annotated[bool, typer.Option("--json", help="for machines")] = False,
    timeout: Annotated[float, typer.Option(help="seconds")] = 5.0,
) -> None:
    """What a control node believes of its region: view, lease, leader, sessions, and what each node may grant.

    Exit code 1 where it holds no lease on a view: it grants nothing. 3 where it does not answer.
    """
    import asyncio

    import msgspec

    from tansykeel.cli.show import control_node
    from tansykeel.edge.ask import NotTold, request
    from tansykeel.protocol.frames import ControlStatus, ControlStatusRequest

    if not 0.1 <= timeout <= MOST_SECONDS:
        fail(f"--timeout {timeout:g}: legal: 0.1 to {MOST_SECONDS:g}")
    try:
        status = asyncio.run(request(address, ControlStatusRequest(), ControlStatus, timeout))
    except NotTold as error:
        fail(error, address)
    if json_:
        nodes = [msgspec.structs.asdict(node) for node in status.nodes]
        typer.echo(msgspec.json.encode(msgspec.structs.asdict(status) | {"nodes": nodes}).decode())
    else:
        control_node(status)
    if not status.leased:
        raise typer.Exit(BROKEN)
