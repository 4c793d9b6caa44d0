"""`tansykeel control-sim`: a whole control plane in simulated time, judged."""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING, Annotated

import typer

from tansykeel.cli.words import BROKEN, fail

if TYPE_CHECKING:
    from tansykeel.emulator.control_measures import ControlSeen, FaultFelt
    from tansykeel.emulator.control_trial import ControlFault

FAULTS = ("none", "each", "drawn")
FINDINGS_SHOWN = 10


def control_sim(
    gateways: Annotated[int, typer.Option(min=10, max=10_000)] = 620,
    seconds: Annotated[int, typer.Option(min=10, max=86_400, help="that are measured, in simulated time")] = 600,
    seed: Annotated[int, typer.Option(help="of all its chance")] = 1,
    restarts: Annotated[int, typer.Option(min=0, help="of gateways, spread over the seconds")] = 0,
    stalls: Annotated[int, typer.Option(min=0, help="of gateways, 5 s each")] = 0,
    loss: Annotated[float, typer.Option(min=0, max=0.5, help="part of all frames that are sent again")] = 0.0,
    lost_between_nodes: Annotated[float, typer.Option(min=0, max=0.5, help="part lost for good")] = 0.0,
    faults: Annotated[str, typer.Option(help="none, each: one of each kind in turn, or drawn: at any moment")] = "none",
    settle: Annotated[int, typer.Option(min=10, max=600, help="seconds from the start until it is measured")] = 60,
) -> None:
    """Play two regions of three control nodes and their gateways in simulated time, and judge what passed.

    Exit code 1 where a rule was broken: more units counted than there are, what the checker finds, or a change of
    leader that took longer than 12 s.
    """
    from tansykeel.emulator.control_simulation import ControlSimulation
    from tansykeel.emulator.control_trial import ControlTrial, drawn_faults, every_fault
    from tansykeel.emulator.engine import NoEnd

    if faults not in FAULTS:
        fail(f"--faults {faults!r}; legal: {', '.join(FAULTS)}")
    struck: tuple[ControlFault, ...] = ()
    if faults == "each":
        struck = every_fault(seconds)
    elif faults == "drawn":
        struck = drawn_faults(seconds, Random(seed))
    trial = ControlTrial(
        gateways=gateways,
        seconds=seconds,
        settle_s=settle,
        seed=seed,
        restarts=restarts,
        stalls=stalls,
        loss=loss,
        lost_between_nodes=lost_between_nodes,
        faults=struck,
    )
    begun = time.monotonic()
    try:
        seen = ControlSimulation(trial).play()
    except NoEnd as error:
        fail(error)
    for line in lines_of(seen):
        typer.echo(line)
    typer.echo(f"{time.monotonic() - begun:.0f} s of this machine for {seconds + settle} s")
    if not seen.kept:
        raise typer.Exit(BROKEN)


def lines_of(seen: ControlSeen) -> list[str]:
    """Return the outcome of a trial as text."""
    broken = [f"broken: {finding}" for finding in seen.findings[:FINDINGS_SHOWN]]
    broken += [f"broken: leader change took {felt.reclaimed_s} s" for felt in seen.late_leader_changes]
    return [
        "bytes/s in and out, with TCP/IP headers: "
        f"gateway median {seen.bytes_median:.0f} (frames alone {seen.frame_bytes_median:.0f}), "
        f"busiest {seen.bytes_busiest:.0f}; "
        f"control node median {seen.node_bytes_median:.0f}, busiest {seen.node_bytes_busiest:.0f}",
        f"CPU us/s: gateway {seen.gateway_cpu_us:.0f}, follower {seen.follower_cpu_us:.0f}, "
        f"leader {seen.leader_cpu_us:.0f}",
        f"counted: at most {seen.most_of_region:.6f} of a region's units, in the mean {seen.mean_of_whole:.4f}; "
        f"{seen.over} changes over; {len(seen.findings)} findings in {seen.observed} records; "
        f"{seen.refused_renewals} renewals refused",
        "sessions: " + "; ".join(f"{region} {held}" for region, held in seen.sessions.items()),
        f"restarts of gateways: {seen.restarts}",
        *[line_of(felt) for felt in seen.faults],
        *broken,
    ]


def line_of(felt: FaultFelt) -> str:
    """Return as text how long a fault was felt."""
    reclaimed = f", units free after {felt.reclaimed_s:.1f} s" if felt.reclaimed_s is not None else ""
    return (
        f"{felt.kind} in {felt.region} at {felt.at_s:.0f} s: all {len(felt.gateways)} gateways with a session after "
        f"{felt.without_session_s:.1f} s, with a lease after {felt.without_lease_s:.1f} s "
        f"({felt.most_without_lease} without at once at most){reclaimed}, "
        f"90% counted after {felt.whole_s:.1f} s"
    )
