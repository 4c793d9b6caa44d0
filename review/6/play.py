"""Case 6: a second answer that comes some milliseconds late is passed on as the answer to another client's request.

Two gateways, four stores, 24 clients with one request at a time each, over a network that takes 1 ms each way. One
answer in fifty of a store is followed by a second copy, 4 to 9 ms later, and only if nothing else waits on the
connection then. Checked: the body of each 200 that a client gets is one that a store made for this very request.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_2 import (  # noqa: E402
    Client,
    NoAnswer,
    Play,
    StoreConnection,
    ok,
    request_class,
    run_play,
    trouble_wanted,
)

PLAY_TIME = 60.0  # seconds of load
NETWORK_DELAY = 0.001  # seconds each way
WORK = (0.010, 0.030)  # seconds of a request at a store
CLIENTS = 24
THINK_TIME = 0.06  # seconds that a client rests between two requests at most
SECOND_COPY_SHARE = 0.02  # of all answers
SECOND_COPY_AFTER = (0.004, 0.009)  # seconds after the answer
DEADLINES = {"read": 3.0, "write": 6.0, "once": 3.0}  # seconds


def make(folder: Path) -> Play:
    """The deployment: reads and writes that may run again, and writes that may not."""
    classes = [
        request_class("read", "idempotent", 0.6, DEADLINES["read"]),
        request_class("write", "idempotent", 0.75, DEADLINES["write"]),
        request_class("once", "at_most_once", 0.75, DEADLINES["once"]),
    ]
    play = Play(folder, classes, {"write", "once"}, stores=4, gateways=2)
    play.work = lambda: random.uniform(*WORK)
    for store in play.stores:
        store.delay = NETWORK_DELAY
    return play


async def act(play: Play) -> str:
    """Play the load and compare each answer with what stores made for its request."""
    copies = 0

    def maybe_copy(connection: StoreConnection, id: str, body: bytes) -> None:
        def send_copy() -> None:
            nonlocal copies
            if connection.nothing_waits:
                copies += 1
                play.record("second copy", id=id)
                connection.send(ok(body))

        if random.random() < SECOND_COPY_SHARE:
            asyncio.get_running_loop().call_later(random.uniform(*SECOND_COPY_AFTER), send_copy)

    if trouble_wanted():
        for store in play.stores:
            store.after_answer = maybe_copy
    until = time.monotonic() + PLAY_TIME
    asked = served = 0

    async def load(number: int) -> None:
        nonlocal asked, served
        client = Client(play, play.gateways[number % len(play.gateways)])
        while time.monotonic() < until:
            name = random.choice(sorted(DEADLINES))
            shard = random.randrange(len(play.stores))
            asked += 1
            try:
                id, status, body = await client.ask(name, shard, DEADLINES[name], b"x" * (200 * (name != "read")))
            except NoAnswer:
                continue
            served += status == 200
            if status == 200 and body not in play.made.get(id, ()):
                play.breach(f"request {id} was answered with '{body.decode()}'")
            await asyncio.sleep(random.uniform(0.0, THINK_TIME))
        client.close()

    await asyncio.gather(*(load(number) for number in range(CLIENTS)))
    return f"{asked} requests, {served} served, {copies} second copies"


if __name__ == "__main__":
    sys.exit(run_play(make, act, HERE / "record.txt"))
