"""`python -m tansykeel.soak --seeds 1 2 3`: plays soak tests and prints what broke; exit code 1 if anything did.

Breaches of a seed that its entry in KNOWN-RED.txt names are printed and do not count for the exit code; others do.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from tansykeel.errors import Problem
from tansykeel.soak.deployment import free_base_port
from tansykeel.soak.faults import Kind
from tansykeel.soak.known_red import FILE_NAME, KnownRed, read_known_red
from tansykeel.soak.records import Fault, read_records
from tansykeel.soak.runner import Plan, SoakTest

MOST_PRINTED = 12  # breaches of one invariant that are printed
HERE = Path(__file__).parents[2]


def parse(arguments: list[str]) -> argparse.Namespace:
    """Return what the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m tansykeel.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1], help="one play each")
    parser.add_argument("--seconds", type=float, default=30.0, help="of load in each play")
    parser.add_argument("--gateways", type=int, default=10)
    parser.add_argument("--stores", type=int, default=10)
    parser.add_argument("--clients", type=int, default=6, help="processes of 20 connections")
    parser.add_argument("--base-port", type=int, help="first of 400 ports; without it a free range is looked for")
    parser.add_argument("--root", type=Path, default=HERE, help="the tree whose gateway is run")
    parser.add_argument("--no-cancel", action="store_true", help="settings that do not allow cancels")
    parser.add_argument("--only", nargs="+", choices=[kind.name for kind in Kind], default=[], help="faults to play")
    parser.add_argument("--keep", type=Path, help="a folder for the records of each play")
    return parser.parse_args(arguments)


def play(options: argparse.Namespace, seed: int, folder: Path) -> set[str]:
    """Play one seed and print what was found; return the invariants that broke."""
    plan = Plan(
        seed=seed,
        seconds=options.seconds,
        gateways=options.gateways,
        stores=options.stores,
        clients=options.clients,
        base_port=options.base_port or free_base_port(),
        folder=folder,
        root=options.root.resolve(),
        cancel=not options.no_cancel,
        only=tuple(Kind[name] for name in options.only),
    )
    report = asyncio.run(SoakTest(plan).play())
    faults = [record for record in read_records([folder / "runner.jsonl"]) if isinstance(record, Fault)]
    print(f"seed {seed}: {report.requests} requests, statuses {dict(sorted(report.statuses.items()))}")
    print(f"  faults: {', '.join(f'{fault.name.lower()} {fault.target}' for fault in faults)}")
    print(f"  ends without an answer (crossings too): {dict(report.ends)}")
    for invariant, count in report.by_invariant().most_common():
        print(f"  BROKEN {invariant}: {count}")
        for breach in [one for one in report.breaches if one.invariant == invariant][:MOST_PRINTED]:
            print(f"    {breach.at:.3f} {breach.subject}: {breach.detail}")
    print("  all invariants held" if not report.breaches else f"  {len(report.breaches)} breaches", flush=True)
    return set(report.by_invariant())


def main(arguments: list[str]) -> int:
    """Play all seeds; return the exit code. Says what kept a play from being played."""
    options = parse(arguments)
    try:
        return play_all(options)
    except Problem as problem:
        print(f"{problem}\n  {problem.do}", file=sys.stderr)
        return problem.code


def play_all(options: argparse.Namespace) -> int:
    """Play all seeds; return 1 if an invariant broke on one that KNOWN-RED.txt does not name. Raises Problem."""
    known = read_known_red(HERE / FILE_NAME)
    held = True
    for seed in options.seeds:
        if options.keep:
            folder = options.keep / f"seed-{seed}"
            folder.mkdir(parents=True)
            broken = play(options, seed, folder)
        else:
            with tempfile.TemporaryDirectory() as name:
                broken = play(options, seed, Path(name))
        held = (not broken or is_known_red(known, seed, broken)) and held
    return 0 if held else 1


def is_known_red(known: list[KnownRed], seed: int, broken: set[str]) -> bool:
    """Print the entries that tell of just these breaches of a seed, and return whether there is one."""
    entries = [entry for entry in known if entry.allows_breaches(seed, broken)]
    for entry in entries:
        print(entry, flush=True)
    return bool(entries)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
