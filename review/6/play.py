"""Case 6: a gateway of a large fleet stands still while stores are replaced, and the requests that it holds are lost.

One gateway, 3,200 stores on its list. Six in ten of them are replaced within 7 s: each is told to drain, its successor
is told, and it is told as gone, each change as it happens. Clients send about forty requests a second, all for eight
stores that are not replaced and answer within 30 ms. Checked: each request gets an answer, whatever it says, at most
0.5 s after its time.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_2 import (  # noqa: E402
    ANSWER_GRACE,
    Client,
    NoAnswer,
    Play,
    member_entry,
    request_class,
    run_play,
    trouble_wanted,
)

STORES = 3_200  # on the list, at most
SERVING_STORES = 8  # that requests are for; they are not replaced
REPLACED_SHARE, REPLACED_WITHIN = 0.6, 7.0  # of all stores; seconds
DRAIN_TIME = 1.0  # seconds from a store's drain to its successor, and from there to its end
QUIET_TIME = 4.0  # seconds of load before the first store is replaced
PLAY_TIME = 25.0  # seconds of load
WORK = (0.010, 0.030)  # seconds of a request at a store
CLIENTS = 10
REST = 0.46  # seconds that a client rests between two requests at most
DEADLINE = 3.0  # seconds


def address(number: int) -> str:
    """A loopback address of its own for a store to which no request goes: nobody listens there."""
    return f"127.1.{number // 250}.{number % 250 + 1}:3000"


def make(folder: Path) -> Play:
    """The deployment."""
    classes = [request_class("read", "idempotent", 0.6, DEADLINE)]
    play = Play(folder, classes, set(), stores=SERVING_STORES, gateways=1)
    play.work = lambda: random.uniform(*WORK)
    play.silent_members = [
        member_entry(f"s-{number:08x}", address(number), number) for number in range(SERVING_STORES, STORES)
    ]
    return play


async def replace_stores(play: Play) -> None:
    """Replace six in ten stores. Each change of the list is told when it is due."""
    replaced = random.sample(play.silent_members, int(REPLACED_SHARE * STORES))
    last_begin = REPLACED_WITHIN - 2 * DRAIN_TIME
    changes: list[tuple[float, dict[str, Any]]] = []
    for number, old in enumerate(replaced):
        begin = last_begin * number / len(replaced)
        new = member_entry(f"t-{number:08x}", address(STORES + number), old["cell"])
        changes.append((begin, old | {"phase": "Terminating"}))
        changes.append((begin + DRAIN_TIME, new))
        changes.append((begin + 2 * DRAIN_TIME, old | {"phase": "Gone"}))
    begun = time.monotonic()
    play.record("replacement begins", stores=len(replaced))
    for due, member in sorted(changes, key=lambda change: change[0]):
        if (wait := begun + due - time.monotonic()) > 0:
            await asyncio.sleep(wait)
        if member["phase"] == "Ready":
            member["up_since_ms"] = int(time.time() * 1000)
        play.discovery.change(member)
    play.record("replacement ends", changes=len(changes))


async def act(play: Play) -> str:
    """Play the load and look for requests that get no answer in time."""
    until = time.monotonic() + PLAY_TIME
    asked = lost = 0
    longest = 0.0

    async def load() -> None:
        nonlocal asked, lost, longest
        client = Client(play, play.gateways[0])
        while time.monotonic() < until:
            id, data = play.request("read", random.randrange(SERVING_STORES), DEADLINE)
            try:
                await client.send([(id, data)])
                asked += 1
                sent = time.monotonic()
                await client.answer(id, DEADLINE + ANSWER_GRACE)
                longest = max(longest, time.monotonic() - sent)
            except NoAnswer as why:
                lost += 1
                play.breach(f"request {id} gets no answer: {why}")
            await asyncio.sleep(random.uniform(0.0, REST))
        client.close()

    async def disrupt() -> None:
        await asyncio.sleep(QUIET_TIME)
        if trouble_wanted():
            await replace_stores(play)

    await asyncio.gather(disrupt(), *(load() for _ in range(CLIENTS)))
    return f"{asked} requests, {lost} without an answer in time, the slowest answer after {longest:.2f} s"


if __name__ == "__main__":
    sys.exit(run_play(make, act, HERE / "record.txt"))
