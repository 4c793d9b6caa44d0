"""Days in processes of their own, over all cores of the machine."""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait
from multiprocessing import get_context
from typing import TypeVar

LOOK = 0.5  # seconds
AHEAD = 2  # days handed to the pool for each core before the first of them ends
Job = TypeVar("Job")
Played = TypeVar("Played")


def end_with(parent: int) -> None:
    """Guards against days that play on after whoever asked for them was killed: this process ends within LOOK."""

    def look() -> None:
        while os.getppid() == parent:
            time.sleep(LOOK)
        os._exit(1)

    threading.Thread(target=look, daemon=True).start()


def spread(play: Callable[[Job], Played], jobs: Sequence[Job], cores: int) -> Iterator[Played]:
    """Play each job in a process of its own, `cores` at a time (0: as many as there are); each as it ends."""
    if not jobs:
        return
    cores = cores or os.cpu_count() or 1
    with ProcessPoolExecutor(cores, get_context("spawn"), end_with, (os.getpid(),)) as pool:
        running = {pool.submit(play, job) for job in jobs[: cores * AHEAD]}
        rest = iter(jobs[cores * AHEAD :])
        try:
            while running:
                ended, running = wait(running, return_when=FIRST_COMPLETED)
                for future in ended:
                    yield future.result()
                    if (following := next(rest, None)) is not None:
                        running.add(pool.submit(play, following))
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
