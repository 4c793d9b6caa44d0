"""What passes between the core and its fronts: tasks as they are held, their answers, the wire, bounds."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from tansykeel.errors import Problem
from tansykeel.interface import PeerMessage, Store, Task, TaskAction
from tansykeel.runner import TaskGenerator

DELIVERED, NACKED, BROKEN_OFF = 0, 1, 2
MICROS = 100  # microseconds in a tenth
MS = 10  # tenths in a millisecond


class StillHeld(Problem, ValueError):
    """A client used the id of a task that it still waits for."""

    advice = "look at the client that is named: ids are for one task at a time"


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a gateway holds at most: tasks, and bytes of bodies of all clients and of one."""

    open_tasks: int
    body_memory: int
    client_memory: int


@dataclass(frozen=True, slots=True)
class Asked:
    """A client's request as the module will see it, by the protocol's front."""

    task: Task
    body: int  # bytes of its body still to come
    memory: int  # bytes that it and its answer may hold
    fault: str = ""  # why it can't be held, if it can't


@dataclass(frozen=True, slots=True)
class Final:
    """A task's one answer. `result`: delivered 0, nacked 1, broken off 2; `come_back` in tenths, 0: not said."""

    result: int
    come_back: int = 0
    shard: int = -1
    reason: str = ""


class RowOf(Protocol):
    """A store as a list tells of it; `boot` is new with each of its starts, `age` in microseconds, 0: long past."""

    @property
    def name(self) -> str: ...
    @property
    def address(self) -> str: ...
    @property
    def zone(self) -> int: ...
    @property
    def shard(self) -> int: ...
    @property
    def state(self) -> str: ...  # ready, draining or gone
    @property
    def boot(self) -> int: ...
    @property
    def age(self) -> int: ...


class UpdateOf(Protocol):
    """The list, or what changed in it."""

    @property
    def full(self) -> bool: ...
    @property
    def version(self) -> int: ...
    @property
    def rows(self) -> Sequence[RowOf]: ...
    @property
    def failed(self) -> bool: ...


class Intake(Protocol):
    """Reads what a protocol's clients ask for."""

    def asked(self, now: int, request: Any) -> Asked: ...


@dataclass(eq=False, slots=True)
class Held:
    """One task from its taking to its answer, and to the outcome of its last hand-off."""

    client: Any
    id: Any
    request: Any
    task: Task
    memory: int
    missing: int  # bytes of its body still to come
    body: list[bytes] = field(default_factory=list)
    out: list[Attempt] = field(default_factory=list)
    started: bool = False
    answered: bool = False
    last_outcome: str = ""  # of its last attempt that is over


@dataclass(eq=False, slots=True)
class Attempt:
    """One hand-off on its way; `connection` is the wire's own."""

    held: Held
    store: Store
    number: int
    sent: int
    until: int
    connection: Any = None
    over: bool = False


class Wire(Protocol):
    """What the core needs of the sockets. None of these may call back into the core before it returns."""

    def answer(self, held: Held, final: Final, body: list[bytes], sent: Callable[[], None]) -> None: ...
    def hand_off(self, attempt: Attempt) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def withdraw(self, attempt: Attempt) -> None: ...  # cancel it only if nothing of it was sent
    def remind(self, at: int) -> None: ...
    def ask_list(self) -> None: ...
    def tell_peer(self, peer: int | None, word: PeerMessage) -> None: ...  # None: all other gateways
    def note(self, event: str, **fields: Any) -> None: ...


@dataclass(slots=True)
class Counts:
    """Since the start."""

    taken: int = 0
    delivered: int = 0
    nacked: int = 0
    broken_off: int = 0
    left: int = 0
    hand_offs: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)


class Memory:
    """Bytes promised to bodies, of one connection and of all; a task's are taken whole before it is held."""

    def __init__(self, most: int, most_each: int) -> None:
        self.most, self.most_each = most, most_each
        self.used = 0
        self.by_client: dict[Any, int] = {}

    def take(self, client: Any, size: int) -> bool:
        if not size:  # guards against a row for each client that ever came, with nothing in it
            return True
        mine = self.by_client.get(client, 0)
        if self.used + size > self.most or mine + size > self.most_each:
            return False
        self.used, self.by_client[client] = self.used + size, mine + size
        return True

    def free(self, client: Any, size: int) -> None:
        if not size:
            return
        self.used -= size
        if left := self.by_client[client] - size:
            self.by_client[client] = left
        else:
            del self.by_client[client]


class Decisions(Protocol):
    """What the core asks of the module, and of a baseline in its place."""

    def list_changed(self, stores: list[Store], confirmed: bool) -> None: ...
    def list_failed(self) -> None: ...
    def serve(self, task: Task) -> TaskGenerator: ...
    def on_peer_message(self, peer: int, word: PeerMessage) -> None: ...
    def final_answer(self, task: Task) -> TaskAction: ...
