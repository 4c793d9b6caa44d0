"""Types shared by the core and the programs around it: held tasks, final answers, the I/O interface, bounds.

Times are whole ticks of 0.1 ms.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from tansykeel.errors import Problem
from tansykeel.interface import PeerMessage, Store, Task, TaskAction
from tansykeel.runner import TaskGenerator

DELIVERED, NACKED, BROKEN_OFF = 0, 1, 2  # FinalAnswer.result
MICROSECONDS_PER_TICK = 100
TICKS_PER_MS = 10


class StillHeld(Problem, ValueError):
    """A client used the id of a task that it still waits for."""

    advice = "check the client that is named: it must not reuse the id of a task before it has the answer"


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a gateway holds at most: tasks, and bytes of bodies for all clients together and for each client."""

    open_tasks: int
    body_memory: int
    client_memory: int


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A client's request as the decision module sees it, made by the protocol's `RequestParser`."""

    task: Task
    body: int  # bytes of its body still to come
    memory: int  # bytes to reserve for it and its answer
    fault: str = ""  # why it can't be held, empty if it can


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """A task's one final answer. `result`: delivered 0, nacked 1, broken off 2; `come_back` in ticks, 0: not said."""

    result: int
    come_back: int = 0
    shard: int = -1
    reason: str = ""


class StoreRow(Protocol):
    """A store as the list describes it. `boot` differs for each of its starts; `age` is the time since the last one
    in microseconds, 0: long ago."""

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


class ListUpdate(Protocol):
    """The list of stores, or a change to it. `full`: stores without a row are gone; `failed`: the call failed."""

    @property
    def full(self) -> bool: ...
    @property
    def version(self) -> int: ...
    @property
    def rows(self) -> Sequence[StoreRow]: ...
    @property
    def failed(self) -> bool: ...


class RequestParser(Protocol):
    """Translates the requests of one client protocol to tasks."""

    def parse(self, now: int, request: Any) -> ParsedRequest:
        """Return the task of a request that came at `now`, and the fault if it can't be held."""
        ...


@dataclass(eq=False, slots=True)
class HeldTask:
    """A task from its arrival until it has its answer and the outcome of its last hand-off."""

    client: Any
    id: Any
    request: Any  # None once the task is over
    task: Task
    memory: int  # bytes reserved for it
    body_missing: int  # bytes of its body still to come
    body: list[bytes] = field(default_factory=list)
    open_attempts: list[Attempt] = field(default_factory=list)  # without an outcome yet
    started: bool = False
    answered: bool = False  # or cancelled by its client, which gets no answer
    last_outcome: str = ""  # of the attempt that finished last

    def drop_contents(self) -> None:
        """Let go of the request and its body, once the task is over: timers refer to it until its deadline."""
        self.request = None
        self.body.clear()


@dataclass(eq=False, slots=True)
class Attempt:
    """One hand-off of a task to a store. `connection` belongs to the GatewayIO, which may have to wait for one."""

    held: HeldTask
    store: Store
    number: int  # 0 for the task's first attempt
    sent_at: int
    deadline: int
    send_by: float  # its last byte has to be sent before this time
    connection: Any = None
    finished: bool = False


class GatewayIO(Protocol):
    """The I/O that the core needs. None of these methods may call back into the core before it returns."""

    def answer(self, held: HeldTask, final: FinalAnswer, body: list[bytes], sent: Callable[[], None]) -> None:
        """Send a final answer; call `sent` once its body no longer takes memory."""
        ...

    def hand_off(self, attempt: Attempt) -> None:
        """Send an attempt to its store."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """Withdraw an attempt, or tell its store to cancel it if it was sent."""
        ...

    def withdraw(self, attempt: Attempt) -> bool:
        """Cancel an attempt only if its store can't have begun it; return whether it was cancelled."""
        ...

    def set_wakeup(self, at: int) -> None:
        """Have the core's `run_timers` called at that time, unless an earlier call is due already."""
        ...

    def request_store_list(self) -> None:
        """Ask the list service for the list of stores and its changes."""
        ...

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        """Send a message to another gateway, or to all others where `peer` is None."""
        ...

    def log_event(self, event: str, **fields: Any) -> None:
        """Write a line of the log."""
        ...


@dataclass(slots=True)
class Counts:
    """Numbers of tasks, hand-offs and outcomes since the start."""

    taken: int = 0
    delivered: int = 0
    nacked: int = 0
    broken_off: int = 0
    left: int = 0  # tasks that their clients cancelled
    hand_offs: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)


class MemoryBudget:
    """Counts the bytes reserved for bodies, of all clients and of each. A task's bytes are reserved all at once."""

    def __init__(self, limit: int, client_limit: int) -> None:
        self.limit, self.client_limit = limit, client_limit
        self.used = 0
        self.by_client: dict[Any, int] = {}

    def reserve(self, client: Any, size: int) -> bool:
        """Reserve `size` bytes for a client. Returns False, with nothing reserved, where that exceeds a limit."""
        if not size:  # without this, by_client would keep an empty entry for each client that ever came
            return True
        client_used = self.by_client.get(client, 0)
        if self.used + size > self.limit or client_used + size > self.client_limit:
            return False
        self.used, self.by_client[client] = self.used + size, client_used + size
        return True

    def release(self, client: Any, size: int) -> None:
        """Release `size` reserved bytes of a client."""
        if not size:
            return
        self.used -= size
        if left := self.by_client[client] - size:
            self.by_client[client] = left
        else:
            del self.by_client[client]


class DecisionModule(Protocol):
    """What the core calls in the decision module, or in a baseline in its place."""

    def list_changed(self, stores: list[Store], confirmed: bool) -> None:
        """These stores are new or changed; `confirmed`: a list said so, not only a store's hello or the settings."""
        ...

    def list_failed(self) -> None:
        """The list of stores can't be had at the moment."""
        ...

    def serve(self, task: Task) -> TaskGenerator:
        """Return the generator that decides about a task."""
        ...

    def on_peer_message(self, peer: int, message: PeerMessage) -> None:
        """Another gateway sent a message."""
        ...

    def final_answer(self, task: Task) -> TaskAction:
        """Return the answer, Nack or BreakOff, for a task that is given up on."""
        ...
