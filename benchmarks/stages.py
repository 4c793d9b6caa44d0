"""The same rehearsals on both stages: is the emulator to be believed?

    python benchmarks/stages.py [--scripts demo,badday,…] [--seeds 1-3] [--sockets-at-once 2] [--json FILE]

For each script: service, quantiles of the lag and answers by kind on sockets and in the emulator, median and least
to most over the seeds. A difference counts as told where the two spreads don't meet. Real processes on loopback want
the cores to themselves: run nothing beside it.
"""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median
from subprocess import run
from tempfile import TemporaryDirectory
from typing import Any

from tansykeel.cli.words import seeds_of

SCRIPTS = "demo,badday,slowtenth,surging,stalls,quickerrors,latelist,impatient"
STAGES = ("sockets", "emulator")


def played(script: str, stage: str, seed: int) -> dict[str, Any]:
    with TemporaryDirectory(prefix="tansykeel-") as folder:
        out = Path(folder) / "verdict.json"
        done = run(
            [
                sys.executable,
                "-m",
                "tansykeel",
                "rehearse",
                script,
                "--stage",
                stage,
                "--seed",
                str(seed),
                "--json",
                str(out),
                "--quiet",
            ],
            capture_output=True,
            text=True,
            timeout=600,
        )
        if not out.is_file():
            raise SystemExit(f"{script}, seed {seed}, {stage}: {done.stderr}")
        return json.loads(out.read_text())


def figures(verdict: dict[str, Any]) -> dict[str, float]:
    tasks = max(verdict["tasks"], 1)
    return {
        "service": verdict["service"],
        "worst 10 s": verdict["worst_10s"],
        **{name: verdict["lag_ms"].get(name, 0.0) for name in ("p50", "p90", "p99")},
        **{f"{kind} %": 100 * verdict["answers"][kind] / tasks for kind in ("delivered", "nacked", "broken_off")},
        "rules broken": sum(verdict["rules"].values()),
    }


def cell(values: list[float]) -> str:
    digits = 3 if max(values) <= 1.5 else 1
    return f"{median(values):.{digits}f} ({min(values):.{digits}f}–{max(values):.{digits}f})"


def main() -> None:
    asked = argparse.ArgumentParser()
    asked.add_argument("--scripts", default=SCRIPTS)
    asked.add_argument("--seeds", default="1-3")
    asked.add_argument("--sockets-at-once", type=int, default=2)
    asked.add_argument("--json", type=Path)
    given = asked.parse_args()
    seeds = seeds_of(given.seeds)
    scripts = given.scripts.split(",")
    jobs = [(script, seed) for script in scripts for seed in seeds]
    told: dict[str, list[dict[str, Any]]] = {}
    for stage, at_once in (("sockets", given.sockets_at_once), ("emulator", 8)):
        with ThreadPoolExecutor(at_once) as pool:
            verdicts = pool.map(lambda job, stage=stage: played(job[0], stage, job[1]), jobs)
            for (script, _), verdict in zip(jobs, verdicts, strict=True):
                told.setdefault(f"{script} {stage}", []).append(figures(verdict))
    if given.json:
        given.json.write_text(json.dumps(told, indent=1))
    print("| script | figure | sockets | emulator | told apart |\n| --- | --- | --- | --- | --- |")
    for script in scripts:
        real, made = (told[f"{script} {stage}"] for stage in STAGES)
        for name in real[0]:
            here, there = [one[name] for one in real], [one[name] for one in made]
            meet = min(here) <= max(there) and min(there) <= max(here)
            apart = "" if meet else f"{median(there) - median(here):+.3f}"
            print(f"| {script} | {name} | {cell(here)} | {cell(there)} | {apart} |")


if __name__ == "__main__":
    main()
