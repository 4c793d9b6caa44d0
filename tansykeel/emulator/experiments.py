"""Experiments: days over a grid of parameters and seeds, over all cores, kept in one duckdb file.

Beside each day's figures stand its script, parameters, seed, the digest of whoever decided, and the day's own digest:
the same key played again must give the same digest, or the file says so.
"""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import duckdb
import msgspec

from tansykeel.emulator.compare import Interval, grid, interval
from tansykeel.emulator.cores import spread
from tansykeel.emulator.versions import decide_of
from tansykeel.emulator.world import World
from tansykeel.errors import NOT_PLAYED, Problem
from tansykeel.rehearse.play import day_of, path_of

TABLE = """
create table if not exists days (
    key varchar primary key, script varchar, script_text varchar, params varchar, seed bigint, seconds double,
    version varchar, version_digest varchar, digest varchar, service double, worst_10s double, kept boolean,
    tasks bigint, delivered bigint, nacked bigint, broken_off bigint, cold_most double, p50 double, p99 double,
    edges bigint, stores bigint, wall_s double, verdict varchar)
"""


class Differs(Problem):
    """A day that was played before comes out otherwise with the same text, script and seed."""

    advice = "something hangs on chance or on the machine: play that day twice alone and compare the digests"
    code = NOT_PLAYED


class Unpaired(Problem, ValueError):
    """Two versions have no days in common that could be compared."""

    advice = "sweep both with the same script, parameters and seeds first"


class Job(NamedTuple):
    script: str
    params: dict[str, Any]
    seed: int
    version: str
    seconds: float | None = None
    without: tuple[int, ...] = ()  # troubles of the script, by their place in it, that are left out

    def told(self) -> str:
        """Its parameters as a project keeps them."""
        return json.dumps(self.params | ({"without": list(self.without)} if self.without else {}), sort_keys=True)


class Played(NamedTuple):
    job: Job
    text: str
    version_digest: str
    digest: str
    verdict: dict[str, Any]
    edges: int
    stores: int
    wall_s: float


def text_of(script: str) -> str:
    """The script with the scripts beside it that it may load: what a day's outcome hangs on."""
    path = path_of(script)
    parts = [path.read_text()] + [other.read_text() for other in sorted(path.parent.glob("_*.star"))]
    return "\n".join(parts)


def key_of(job: Job, text: str, version_digest: str) -> str:
    told = json.dumps([text, job.params, job.seed, job.seconds, version_digest, *job.without], sort_keys=True)
    return hashlib.sha256(told.encode()).hexdigest()


def play(job: Job) -> Played:
    """One day, in a process of its own. Raises ScriptError, UnknownVersion."""
    begun = time.monotonic()
    decide, version_digest = decide_of(job.version)
    day = day_of(job.script, job.seconds, job.params)
    left = tuple(trouble for n, trouble in enumerate(day.troubles) if n not in job.without)
    day = msgspec.structs.replace(day, troubles=left)
    world = World(day, job.seed, decide)
    verdict = world.run()
    return Played(
        job,
        text_of(job.script),
        version_digest,
        world.digest(),
        msgspec.to_builtins(verdict),
        day.fleet.edges,
        day.fleet.stores,
        time.monotonic() - begun,
    )


class Project:
    """One duckdb file. Days already in it are not played again."""

    def __init__(self, path: Path) -> None:
        self.base = duckdb.connect(str(path))
        self.base.execute(TABLE)

    def close(self) -> None:
        self.base.close()

    def has(self, key: str) -> bool:
        return bool(self.base.execute("select 1 from days where key = ?", [key]).fetchone())

    def put(self, played: Played) -> None:
        """Keep a day. Raises Differs if it is there already with another outcome."""
        job, verdict = played.job, played.verdict
        key = key_of(job, played.text, played.version_digest)
        known = self.base.execute("select digest from days where key = ?", [key]).fetchone()
        if known is not None:
            if known[0] != played.digest:
                raise Differs(
                    f"{job.script}, seed {job.seed}, {job.params}: digest {played.digest[:12]}, was {known[0][:12]}"
                )
            return
        answers = verdict["answers"]
        self.base.execute(
            "insert into days values (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            [
                key,
                job.script,
                played.text,
                job.told(),
                job.seed,
                verdict["seconds"],
                job.version,
                played.version_digest,
                played.digest,
                verdict["service"],
                verdict["worst_10s"],
                not any(verdict["rules"].values()),
                verdict["tasks"],
                answers["delivered"],
                answers["nacked"],
                answers["broken_off"],
                verdict["cold_most"],
                verdict["lag_ms"].get("p50"),
                verdict["lag_ms"].get("p99"),
                played.edges,
                played.stores,
                played.wall_s,
                json.dumps(verdict),
            ],
        )

    def rows(self, script: str | None = None, version: str | None = None) -> list[dict[str, Any]]:
        """Days in a stated order, whatever the order they were played in."""
        asked = self.base.execute(
            "select * from days where (? is null or script = ?) and (? is null or version = ?) "
            "order by script, version, params, seed, key",
            [script, script, version, version],
        )
        names = [column[0] for column in asked.description or []]
        return [dict(zip(names, row, strict=True)) for row in asked.fetchall()]

    def compare(self, first: str, second: str, figure: str = "service") -> dict[str, Interval]:
        """By script and parameters, and over `all`: second less first, paired by seed.

        Raises ValueError where the two have no day in common.
        """
        days: dict[str, dict[tuple[str, str, int], float]] = {}
        for version in (first, second):
            days[version] = {(r["script"], r["params"], r["seed"]): r[figure] for r in self.rows(version=version)}
        pairs = sorted(set(days[first]) & set(days[second]))
        if not pairs:
            raise Unpaired(
                f"{first} and {second} have no day in common; legal: both swept with the same script, "
                "parameters and seeds"
            )
        groups: dict[str, list[tuple[str, str, int]]] = {"all": pairs}
        for pair in pairs:
            groups.setdefault(f"{pair[0]} {pair[1]}", []).append(pair)
        return {
            name: interval([days[first][p] for p in group], [days[second][p] for p in group])
            for name, group in groups.items()
        }


def jobs_of(
    script: str, axes: Mapping[str, Sequence[Any]], seeds: Iterable[int], versions: Sequence[str], seconds: float | None
) -> list[Job]:
    return [
        Job(script, params, seed, version, seconds) for params in grid(axes) for seed in seeds for version in versions
    ]


def sweep(project: Project, jobs: list[Job], cores: int, done: Callable[[Played | None], None]) -> int:
    """Play what the project does not have yet; `done` after each (None: it was there). Returns how many were played.

    Cut off at any moment, all that was done is kept, and the same sweep goes on from there.
    """
    texts = {job.script: text_of(job.script) for job in jobs}
    digests = {job.version: decide_of(job.version)[1] for job in jobs}
    todo: list[Job] = []
    for job in jobs:
        if project.has(key_of(job, texts[job.script], digests[job.version])):
            done(None)
        else:
            todo.append(job)
    for played in over_cores(todo, cores):
        project.put(played)
        done(played)
    return len(todo)


def over_cores(jobs: Sequence[Job], cores: int) -> Iterator[Played]:
    """Play days in processes of their own; each as it ends."""
    return spread(play, jobs, cores)
