"""Requests that were sent ahead: answers are sent in order, so the one in front has to end in time for those behind it.

A request that waits for its turn is due GRACE after its time: until then the one in front may still be served, and an
answer to the one behind it is not late (the platform allows 0.5 s, in which an answer earns nothing).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tansykeel.edge.clock import TICKS_PER_SECOND, clock
from tansykeel.edge.core import Core
from tansykeel.http1.codec import Malformed, Request, RequestReader
from tansykeel.platform.intake import RequestParser, TaskRequest

GRACE = 3_000  # ticks after its time at which a request behind another is due: 0.3 of the 0.5 s that are allowed
NEVER = 1 << 62  # the time at which a request is due that describes no task


class TurnClient(Protocol):
    """What is needed of a client connection."""

    reader: RequestReader
    open_request: bytes | None
    turn_check_at: int  # for when the last check was asked for


class Turns:
    """Ends the open request of a client as soon as one behind it on its connection is due."""

    def __init__(self, core: Core, parser: RequestParser, call_later: Callable[[float, Callable[[], None]], object]):
        self.core, self.parser, self.call_later = core, parser, call_later

    def watch(self, client: TurnClient) -> None:
        """Look at a client's requests that wait behind its open one, and check again when the first of them is due."""
        due = self._first_due(client)
        if due < min(client.turn_check_at, NEVER):
            client.turn_check_at = due
            self.call_later(max(due - clock(), 0) / TICKS_PER_SECOND, lambda: self._check(client))

    def time_left(self, client: TurnClient, request: TaskRequest) -> int:
        """Return the time of a request whose turn has come: none if one behind it is due by now."""
        return 0 if self._first_due(client) <= clock() else request.time_left

    def _check(self, client: TurnClient) -> None:
        """End the open request if one behind it is due; else check again later."""
        client.turn_check_at = NEVER
        held = self.core.held.get((client, client.open_request))
        if held is None or held.answered:
            return  # what is behind it has its turn, or the client has left
        if self._first_due(client) > clock():
            return self.watch(client)
        self.core.give_up(clock(), held, "a request behind it is due")

    def _first_due(self, client: TurnClient) -> int:
        return min((self._due(request) for request in client.reader.waiting()), default=NEVER)

    def _due(self, request: Request) -> int:
        """Return when a request that waits is due. It is read once for that."""
        if request.due is None:
            try:
                request.due = request.received_at + self.parser.parse_task(request).time_left + GRACE
            except Malformed:
                request.due = NEVER  # it is answered with an error when its turn comes
        return request.due
