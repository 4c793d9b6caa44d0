"""A real gateway process for experiments, on settings written for it."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from tansykeel.capacity.errors import ExperimentError
from tansykeel.capacity.processes import ChildProcess, running

READY_WITHIN_S = 60.0
LOOKS, LOOK_PAUSE_S = 400, 0.05
STAND_INS = "tansykeel.capacity.stand_ins"
NOBODY_PORT = 9  # discard: stores that are known and never asked may be there
# Wide limits: on a busy machine a gateway with narrow ones refuses tasks, and a refused task costs less than one done.
SETTINGS = """
gateway("gateway", listen = "127.0.0.1:0", peer_stall_s = 600, idle_close_s = 3600, connections_per_store = 1)
category("read", soft_limit_ms = 1500, cut_off_ms = 5000, gain = 2, late_gain = 0.15)
category("write", soft_limit_ms = 1500, cut_off_ms = 5000, gain = 2, late_gain = 0.15, writes = True)
plan("basic", rate = 100000)
sizes(largest = 64, usual = 4)
rules(hand_offs = 3, answer_grace_ms = 50)
"""


def settings_text(volumes: int, store_ports: Sequence[int], list_port: int = 0) -> str:
    """A settings script with volumes v0 to v(volumes - 1), stores s0, s1 ... at these ports, and a list if given."""
    lines = [SETTINGS]
    lines += [f'volume("v{number}", plan = "basic")' for number in range(volumes)]
    lines += [
        f'store("s{shard}", address = "127.0.0.1:{port}", shard = {shard})' for shard, port in enumerate(store_ports)
    ]
    if list_port:
        lines.append(f'listing(address = "127.0.0.1:{list_port}")')
    return "\n".join(lines) + "\n"


@contextmanager
def gateway(settings: str) -> Iterator[tuple[ChildProcess, int]]:
    """A gateway process that takes tasks, and its port. Raises ExperimentError where it does not start."""
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        script = Path(folder) / "gateway.star"
        script.write_text(settings)
        with running("tansykeel", "edge", script, "--leashed", "--sample", 10**9) as process:
            yield process, process.answer(READY_WITHIN_S)["port"]


@contextmanager
def instant_stores(count: int) -> Iterator[tuple[ChildProcess, list[int]]]:
    """A process of stores that answer at once, and their ports."""
    with running(STAND_INS, "stores", count) as process:
        yield process, process.answer(READY_WITHIN_S)["ports"]


@contextmanager
def clients_of(port: int) -> Iterator[ChildProcess]:
    """A process of clients of the gateway at this port, none connected yet."""
    with running(STAND_INS, "clients", port) as process:
        process.answer(READY_WITHIN_S)
        yield process


def wait_until_followed(stores: ChildProcess) -> None:
    """Wait until a gateway follows a stand-in list: what is pushed before reaches nobody. Raises ExperimentError."""
    for _ in range(LOOKS):
        if stores.ask(READY_WITHIN_S, verb="look")["watchers"]:
            return
        time.sleep(LOOK_PAUSE_S)
    raise ExperimentError("no gateway followed the list")
