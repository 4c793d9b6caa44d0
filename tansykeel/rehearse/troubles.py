"""How each trouble goes, step by step, on any stage.

A trouble that takes several steps is a generator: it yields seconds to wait, or whatever the stage's own calls
return (on sockets something to await, in simulated time the seconds that it takes).
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

from tansykeel.rehearse.day import ALL, LINKS, LIST, LOAD, STORES, VERBS
from tansykeel.settings.day import Trouble

NOTICE = 0.1  # seconds until the list notices a start
Steps = Generator[Any, None, None]


class Stage(Protocol):
    """What a trouble can do. A store's handle stays the machine's, `store(index)` is who holds the shard now."""

    silent_s: float

    def now(self) -> float: ...
    def chance(self) -> float: ...
    def store(self, index: int) -> Any: ...
    def alive(self, store: Any) -> bool: ...
    def store_verb(self, store: Any, verb: str, for_s: float, detail: dict[str, Any]) -> None: ...
    def kill_store(self, store: Any) -> None: ...
    def restart_store(self, store: Any, down_s: float) -> Any: ...
    def new_store(self, index: int) -> Any: ...
    def list_store(self, store: Any, state: str) -> None: ...
    def list_verb(self, verb: str, for_s: float, detail: dict[str, Any]) -> None: ...
    def stop_edge(self, index: int) -> bool: ...
    def let_edge_go_on(self, index: int) -> None: ...
    def kill_edge(self, index: int) -> Any: ...
    def start_edge(self, index: int) -> Any: ...
    def end_edge(self, index: int) -> Any: ...
    def link_verb(self, verb: str, for_s: float, detail: dict[str, Any]) -> None: ...


def steps_of(stage: Stage, trouble: Trouble) -> list[Steps]:
    """The trouble's steps for each that it strikes; what takes one step only is done at once."""
    whom = VERBS[trouble.verb][0]
    if whom is LOAD:
        return []  # it lies in the tasks that were drawn
    if whom is LIST:
        stage.list_verb(trouble.verb, trouble.for_s, trouble.detail)
        return []
    if whom is LINKS:
        stage.link_verb(trouble.verb, trouble.for_s, trouble.detail)
        return []
    told = trouble.detail[whom]
    struck = list(told) if isinstance(told, (list, tuple)) else [told]
    if trouble.verb in FLOWS:
        return [FLOWS[trouble.verb](stage, index, trouble, struck) for index in struck]
    assert whom is STORES
    detail = {name: value for name, value in trouble.detail.items() if name not in ALL}
    for index in struck:
        stage.store_verb(stage.store(index), trouble.verb, trouble.for_s, detail)
    return []


def drain(stage: Stage, index: int, trouble: Trouble, struck: list[int]) -> Steps:
    store = stage.store(index)
    stage.store_verb(store, "drain", trouble.for_s, {})
    stage.list_store(store, "draining")
    if trouble.detail["die_after_s"]:
        yield trouble.detail["die_after_s"]
        yield from death(stage, store)


def die(stage: Stage, index: int, trouble: Trouble, struck: list[int]) -> Steps:
    yield from death(stage, stage.store(index))


def death(stage: Stage, store: Any) -> Steps:
    if stage.alive(store):
        stage.kill_store(store)
        yield stage.silent_s
        stage.list_store(store, "gone")


def restart(stage: Stage, index: int, trouble: Trouble, struck: list[int]) -> Steps:
    store = stage.store(index)
    yield trouble.detail["within_s"] * stage.chance()
    if stage.alive(store):
        yield stage.restart_store(store, trouble.detail["down_s"])
        yield NOTICE
        stage.list_store(store, "ready")


def replace(stage: Stage, index: int, trouble: Trouble, struck: list[int]) -> Steps:
    """A new machine under a new id holds the same shard."""
    yield from death(stage, stage.store(index))
    yield trouble.detail["after_s"]
    yield stage.new_store(index)
    stage.list_store(stage.store(index), "ready")


def preempt(stage: Stage, index: int, trouble: Trouble, struck: list[int]) -> Steps:
    """Told to go, gone after the notice, back on a new machine: wave after wave over the stores struck."""
    waves = max(int(trouble.detail["waves"]), 1)
    yield trouble.for_s * (struck.index(index) * waves // len(struck)) / waves
    stage.store_verb(stage.store(index), "drain", trouble.for_s, {})
    stage.list_store(stage.store(index), "draining")
    yield trouble.detail["notice_s"]
    yield from replace(stage, index, trouble, struck)


def stall(stage: Stage, index: int, trouble: Trouble, struck: list[int]) -> Steps:
    """The process stands still again and again, then finds all that came meanwhile."""
    end = stage.now() + trouble.for_s
    while stage.now() < end:
        if not stage.stop_edge(index):
            return
        try:
            yield trouble.detail["stall_ms"] / 1000
        finally:
            stage.let_edge_go_on(index)
        yield trouble.detail["every_s"] * (0.5 + stage.chance())


def kill_edge(stage: Stage, index: int, trouble: Trouble, struck: list[int]) -> Steps:
    yield stage.kill_edge(index)
    if trouble.detail["back_s"]:
        yield trouble.detail["back_s"]
        yield stage.start_edge(index)


def restart_edge(stage: Stage, index: int, trouble: Trouble, struck: list[int]) -> Steps:
    """Told to end, as for a new version, and started again."""
    yield stage.end_edge(index)
    yield trouble.detail["down_s"]
    yield stage.start_edge(index)


def leave_edge(stage: Stage, index: int, trouble: Trouble, struck: list[int]) -> Steps:
    yield stage.end_edge(index)


def late_edge(stage: Stage, index: int, trouble: Trouble, struck: list[int]) -> Steps:
    """One that was not there at the start."""
    yield stage.start_edge(index)


FLOWS: dict[str, Callable[[Stage, int, Trouble, list[int]], Steps]] = {
    "drain": drain,
    "die": die,
    "restart": restart,
    "mass_restart": restart,
    "replace": replace,
    "preempt": preempt,
    "stall": stall,
    "kill_edge": kill_edge,
    "restart_edge": restart_edge,
    "leave_edge": leave_edge,
    "late_edge": late_edge,
}
