"""Finds a day by name, plays it on sockets, judges it."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tansykeel.audit.report import Verdict, judge_folder
from tansykeel.rehearse.child_processes import RehearsalError
from tansykeel.rehearse.day import load_day
from tansykeel.rehearse.gateway_processes import EDGE
from tansykeel.rehearse.runner import ScenarioRunner
from tansykeel.settings.day import Day
from tansykeel.settings.script import ScriptError


def folders() -> list[Path]:
    """Where rehearsals lie: beside the program's source, and under the folder one stands in."""
    places = [Path(__file__).parents[2] / "examples" / "rehearsals", Path("examples") / "rehearsals"]
    return [place for place in dict.fromkeys(place.resolve() for place in places) if place.is_dir()]


def path_of(name: str) -> Path:
    """A script's file, or that of a rehearsal by its name. Raises ScriptError."""
    path = Path(name)
    if path.suffix != ".star":
        found = [folder / f"{name}.star" for folder in folders() if (folder / f"{name}.star").is_file()]
        if not found:
            there = sorted({script.stem for folder in folders() for script in folder.glob("[!_]*.star")})
            raise ScriptError(f"rehearsal {name!r}: there is none; legal: a .star file, or {', '.join(there)}")
        path = found[0]
    return path


def day_of(name: str, seconds: float | None, given: dict[str, Any]) -> Day:
    """The day of a script's file, or of a rehearsal by its name. Raises ScriptError."""
    path = path_of(name)
    if seconds is not None and seconds <= 0:
        raise ScriptError(f"--seconds {seconds:g}: legal: above 0")
    day = load_day(path, given)
    return day.scaled(seconds) if seconds is not None else day


AT_ONCE = (*EDGE, "--send-at-once")


def play(
    day: Day,
    seed: int,
    folder: Path | None,
    progress: Callable[[float], None] = lambda at: None,
    edge: tuple[str, ...] = EDGE,
) -> Verdict:
    """Play and judge a day; without a folder its records are let go. `edge` are the words that start a gateway.

    Raises RehearsalError, ScriptError.
    """
    if folder is None:
        with tempfile.TemporaryDirectory(prefix="tansykeel-") as made:
            return play(day, seed, Path(made), progress, edge)
    if (folder / "day.json").exists():
        raise ScriptError(f"--folder {folder}: holds a day already; legal: a new or empty folder")
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "seed").write_text(str(seed))
    asyncio.run(_played(ScenarioRunner(day, seed, folder, progress, edge)))
    return judge_folder(folder)


async def _played(runner: ScenarioRunner) -> None:
    """Guards against processes left behind when this one is told to end in mid-day."""
    playing = asyncio.ensure_future(runner.play())
    if threading.current_thread() is threading.main_thread():
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    try:
        await playing
    except asyncio.CancelledError:
        raise RehearsalError("ended from outside before the day was over") from None
