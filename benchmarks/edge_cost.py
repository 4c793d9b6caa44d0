"""What one gateway costs, beside a plain relay over the same transport that decides nothing.

    python benchmarks/edge_cost.py [--seconds 3] [--rounds 3] [--json FILE] [--profile]

Client processes keep one task out on each connection; stand-in stores answer at once. Tasks a second, and CPU of the
process in the middle for each task (user and system, from the kernel's own account), edge and relay by turns in one
run, medians of the rounds. `--profile` tells instead where the edge's time goes, under cProfile. All on one machine:
ratios travel, absolute figures don't.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import json
import os
import pstats
import signal
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from tansykeel.capacity.processes import processor_seconds  # noqa: E402
from tansykeel.capacity.stand_ins.stores import InstantStore  # noqa: E402
from tansykeel.edge.program import Edge  # noqa: E402
from tansykeel.protocol.codec import Codec, Piece  # noqa: E402
from tansykeel.protocol.frames import Answer, HandOffOf, Hello, OutcomeOf, TaskOf  # noqa: E402
from tansykeel.settings.build import Script, facts_of, script  # noqa: E402
from tansykeel.transport.link import Hub, Limits, Link  # noqa: E402
from tansykeel.transport.sockets import accept_all, connect, listening, run  # noqa: E402

STORES, VOLUMES, CLIENTS = 4, 20, 3
SETTINGS = """
gateway("edge", body_memory = 1 << 30, connection_memory = 64 << 20, unit_bytes = 4096)
category("read", soft_limit_ms = 250, cut_off_ms = 10000)
category("write", soft_limit_ms = 250, cut_off_ms = 10000, writes = True)
plan("basic", rate = 1000)
sizes(largest = 64, usual = {units})
rules(hand_offs = 3, answer_grace_ms = 50)
"""
GROUPS = {
    "module": ("brain/", "runner.py", "interface.py"),
    "core": ("edge/core.py",),
    "codec": ("protocol/", "msgspec", "crc32c"),
    "sockets": ("transport/", "asyncio/", "sock_"),
    "programs": ("edge/stores.py", "edge/program.py"),
}


def say(**fields: Any) -> None:
    print(json.dumps(fields), flush=True)


async def until_told() -> None:
    """Until SIGTERM."""
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()


async def store(shard: int) -> None:
    """Answers at once."""
    one = InstantStore(Hub(Limits()), shard)
    accepting = one.start()
    say(port=one.port)
    await until_told()
    accepting.cancel()


FILL = bytes(1 << 20)


def gone(link: Link, why: str) -> None:
    pass


class Relay:
    """Passes each task on to its store and each outcome back, with bodies whole, and decides nothing."""

    def __init__(self, addresses: list[str]) -> None:
        self.hub, self.addresses = Hub(Limits(high_water=1 << 30)), addresses
        self.count = 0
        self.out: dict[int, tuple[Link, int]] = {}
        self.bodies: dict[tuple[Link, int], tuple[Any, list[bytes]]] = {}
        self.outcomes: dict[int, tuple[OutcomeOf, list[bytes]]] = {}

    async def serve(self) -> None:
        listener = listening("127.0.0.1:0")
        hello = Hello(1, "edge", "relay")
        self.stores = [
            Link(self.hub, await connect(a, 5), Codec("store"), hello, self.from_store, gone) for a in self.addresses
        ]
        asyncio.create_task(
            accept_all(listener, lambda sock: Link(self.hub, sock, Codec("client"), hello, self.from_client, gone))
        )
        say(port=listener.getsockname()[1])
        await until_told()

    def from_client(self, link: Link, event: Any) -> None:
        if isinstance(event, Piece):
            request, parts = self.bodies[link, event.stream]
            parts.append(event.data)
            if event.last:
                del self.bodies[link, event.stream]
                self.forward(link, event.stream, request, parts)
        elif isinstance(event.record, TaskOf):
            if event.record.body:
                self.bodies[link, event.stream] = event.record, []
            else:
                self.forward(link, event.stream, event.record, [])

    def forward(self, link: Link, stream: int, task: TaskOf, parts: list[bytes]) -> None:
        self.count += 1
        self.out[self.count] = link, stream
        to = self.stores[task.shard]
        to.send(
            self.count,
            HandOffOf(
                stream,
                0,
                task.volume,
                task.category,
                task.key,
                task.size,
                1.0,
                task.shard,
                task.patience,
                task.mark,
                bool(task.body),
                "harmless",
                body=task.body,
            ),
        )
        if parts:
            to.send_body(self.count, parts)

    def from_store(self, link: Link, event: Any) -> None:
        if isinstance(event, Piece):
            outcome, parts = self.outcomes[event.stream]
            parts.append(event.data)
            if event.last:
                del self.outcomes[event.stream]
                self.back(event.stream, outcome, parts)
        elif isinstance(event.record, OutcomeOf):
            if event.record.body:
                self.outcomes[event.stream] = event.record, []
            else:
                self.back(event.stream, event.record, [])

    def back(self, number: int, outcome: OutcomeOf, parts: list[bytes]) -> None:
        link, stream = self.out.pop(number)
        link.send(stream, Answer(0, 0, outcome.shard, body=outcome.body))
        if parts:
            link.send_body(stream, parts)


async def edge(units: int, addresses: list[str], profile: str) -> None:
    text = SETTINGS.format(units=units)
    text += "".join(f'volume("v{n}", plan = "basic")\n' for n in range(VOLUMES))
    text += "".join(f'store("s{n}", address = "{a}", shard = {n})\n' for n, a in enumerate(addresses))
    collected = Script()
    script.run_text(text, Path("edge.star"), collected.verbs())
    made = collected.settings("edge.star")
    program, profiler = Edge(made, facts_of(made, 0, 1), 1, sample=10**9), cProfile.Profile()
    if profile:
        profiler.enable()
    await program.serve(lambda port: say(port=port))
    if profile:
        profiler.disable()
        profiler.dump_stats(profile)


async def clients(port: int, number: int, connections: int, size: int, seconds: float) -> None:
    """One task out on each connection: a read, a write, a read."""
    hub = Hub(Limits(high_water=1 << 30))
    done, other, running = 0, 0, True

    def start(link: Link, task: int) -> None:
        writes = task % 2 == 1
        link.send(
            task,
            TaskOf(
                f"v{task % VOLUMES}",
                "write" if writes else "read",
                task,
                size,
                task % STORES,
                10_000_000,
                task,
                False,
                size if writes else 0,
            ),
        )
        if writes:
            link.send_body(task, [FILL[:size]])

    def event(link: Link, event: Any) -> None:
        nonlocal done, other
        if isinstance(event, Piece):
            ended = event.last
        elif isinstance(event.record, Answer):
            ended = not event.record.body
            other += event.record.result != 0
        else:
            return
        if ended:
            done += 1
            if running:
                start(link, event.stream + 1)

    hello = Hello(1, "client", f"c{number}")
    links = [
        Link(hub, await connect(f"127.0.0.1:{port}", 5), Codec("edge"), hello, event, gone) for _ in range(connections)
    ]
    for index, link in enumerate(links):
        start(link, (number * 100_000 + index) << 24 | index)
    await asyncio.sleep(1.0)
    say(event="warm")
    before, begun = done, time.monotonic()
    await asyncio.sleep(seconds)
    say(done=done - before, seconds=time.monotonic() - begun, other=other)
    running = False
    await asyncio.sleep(0.2)


def child(*words: object) -> subprocess.Popen[str]:
    return subprocess.Popen([sys.executable, __file__, *map(str, words)], stdout=subprocess.PIPE, text=True)


def told(process: subprocess.Popen[str]) -> dict[str, Any]:
    assert process.stdout
    while not (line := process.stdout.readline()).startswith("{"):
        assert line, "a process of the benchmark ended early"
    return json.loads(line)


def measure(kind: str, size: int, connections: int, seconds: float, profile: str = "") -> tuple[float, float, int]:
    """Tasks a second, CPU microseconds a task, tasks not delivered."""
    started: list[subprocess.Popen[str]] = []
    try:
        stores = [child("store", n) for n in range(STORES)]
        started += stores
        addresses = [f"127.0.0.1:{told(s)['port']}" for s in stores]
        middle = child(kind, max(size // 4096, 1), ",".join(addresses), profile)
        started.append(middle)
        port = told(middle)["port"]
        each = [connections // CLIENTS + (n < connections % CLIENTS) for n in range(CLIENTS)]
        load = [child("clients", port, n, count, size, seconds) for n, count in enumerate(each) if count]
        started += load
        for process in load:
            told(process)
        before = processor_seconds(middle.pid)
        results = [told(process) for process in load]
        used = processor_seconds(middle.pid) - before
        middle.send_signal(signal.SIGTERM)
        middle.wait(20)
        done = sum(r["done"] for r in results)
        return done / results[0]["seconds"], used / max(done, 1) * 1e6, sum(r["other"] for r in results)
    finally:
        for process in started:
            if process.poll() is None:
                process.kill()
            process.wait()


def shares(path: str) -> dict[str, float]:
    """Part of the edge's own time by kind of code."""
    stats = pstats.Stats(path).stats  # type: ignore[attr-defined]
    total = sum(row[2] for row in stats.values())
    parts = dict.fromkeys([*GROUPS, "other"], 0.0)
    for (file, _, name), row in stats.items():
        where = next((group for group, marks in GROUPS.items() if any(m in f"{file}:{name}" for m in marks)), "other")
        parts[where] += row[2] / total
    return parts


def idle_memory(connections: int) -> float:
    """KiB of resident memory for each idle connection."""
    middle = child("edge", 1, "127.0.0.1:9", "")
    try:
        port = told(middle)["port"]

        def resident() -> int:
            text = Path(f"/proc/{middle.pid}/status").read_text()
            return int(next(line for line in text.splitlines() if line.startswith("VmRSS")).split()[1])

        async def hold() -> tuple[int, int]:
            hub = Hub(Limits())
            before = resident()
            for number in range(connections):
                sock = await connect(f"127.0.0.1:{port}", 5)
                Link(hub, sock, Codec("edge"), Hello(1, "client", f"c{number}"), lambda link, event: None, gone)
            await asyncio.sleep(1.0)
            return before, resident()

        before, after = asyncio.run(hold())
        return (after - before) / connections
    finally:
        middle.kill()
        middle.wait()


def main() -> None:
    options = argparse.ArgumentParser()
    options.add_argument("--seconds", type=float, default=3.0)
    options.add_argument("--rounds", type=int, default=3)
    options.add_argument("--json", type=Path)
    options.add_argument("--profile", action="store_true")
    asked = options.parse_args()
    if asked.profile:
        for size in (4096, 262_144):
            path = f"/tmp/edge-{os.getpid()}.prof"
            rate, _, _ = measure("edge", size, 100, asked.seconds, path)
            print(
                f"{size >> 10} KiB, 100 clients, {rate:.0f} tasks/s under cProfile: "
                + ", ".join(f"{name} {part:.0%}" for name, part in shares(path).items())
            )
            pstats.Stats(path).sort_stats("tottime").print_stats(22)
            os.unlink(path)
        return
    rows = []
    print("| body | clients | edge tasks/s | relay tasks/s | edge us/task | relay us/task | ratio | not delivered |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for size in (4096, 262_144):
        for connections in (10, 100, 1000):
            rounds = [
                (measure("edge", size, connections, asked.seconds), measure("relay", size, connections, asked.seconds))
                for _ in range(asked.rounds)
            ]
            row = {
                "body": size,
                "clients": connections,
                "edge_tasks_s": statistics.median(e[0] for e, _ in rounds),
                "relay_tasks_s": statistics.median(r[0] for _, r in rounds),
                "edge_us": statistics.median(e[1] for e, _ in rounds),
                "relay_us": statistics.median(r[1] for _, r in rounds),
                "ratio": statistics.median(e[1] / r[1] for e, r in rounds),
                "not_delivered": sum(e[2] for e, _ in rounds),
            }
            rows.append(row)
            print(
                f"| {size >> 10} KiB | {connections} | {row['edge_tasks_s']:.0f} | {row['relay_tasks_s']:.0f} | "
                f"{row['edge_us']:.0f} | {row['relay_us']:.0f} | {row['ratio']:.2f} | {row['not_delivered']} |",
                flush=True,
            )
    memory = idle_memory(1000)
    print(f"memory of 1,000 idle connections: {memory * 1000 / 1024:.1f} MiB")
    if asked.json:
        asked.json.write_text(json.dumps({"rows": rows, "idle_kib_each": memory}, indent=1) + "\n")


if __name__ == "__main__":
    words = sys.argv[1:]
    if words[:1] == ["store"]:
        run(lambda: store(int(words[1])))
    elif words[:1] == ["edge"]:
        run(lambda: edge(int(words[1]), words[2].split(","), words[3]))
    elif words[:1] == ["relay"]:
        run(lambda: Relay(words[2].split(",")).serve())
    elif words[:1] == ["clients"]:
        run(lambda: clients(int(words[1]), int(words[2]), int(words[3]), int(words[4]), float(words[5])))
    else:
        main()
