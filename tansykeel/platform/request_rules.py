"""The rules on requests, in one place: whether one may be sent, repeated, answered or its connection closed. No I/O.

Code that sends an attempt or closes a connection checks these rules first. An action that would break an invariant is a
fault of the program: it is not done, and `Violations` counts and logs it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from tansykeel.edge.tasks import Attempt, HeldTask
from tansykeel.interface import AllowedActions, RepeatSafety, StoreState

# Ticks (tenths of a millisecond) after a task's deadline at which it must have its answer. The deadline is up to 0.1 s
# before its client's (`intake.DEADLINE_MARGIN`).
OVERDUE_MARGIN = 1_000
# Ticks after `Attempt.send_by` at which writing a repeat is a violation: time passes after the check before it.
SEND_MARGIN = 500
MAX_LOGGED = 20  # violations of one invariant that are logged; all are counted


class Verdict(Enum):
    """Whether an attempt may begin."""

    NOW = "now"
    LATER = "later"  # unread data from its client or from discovery could forbid it
    NEVER = "never"  # the attempt is finished, its request is answered, or the time in which it may be sent is over


class Invariant(Enum):
    """What must hold at all times. The values are logged."""

    ONE_ANSWER = "a request gets one final answer"
    ANSWER_IN_TIME = "a request is answered before its client's time is up"
    ANSWER_BEFORE_CLOSE = "no connection is closed by us over a request without an answer"
    NO_ATTEMPT_AFTER_ANSWER = "nothing is sent for a request that has its answer or whose client left"
    READY_STORE = "nothing new is sent to a store that drains or is gone"
    ONE_ATTEMPT = "no two attempts at once where copies are not allowed"
    NO_REPEAT = "nothing that may have run is sent again where that is not allowed"


def attempt_may_begin(attempt: Attempt, now: int, *, client_caught_up: bool, list_caught_up: bool) -> Verdict:
    """Whether an attempt may be written now. `client_caught_up`, `list_caught_up`: everything that has arrived from its
    client and from discovery was read."""
    if attempt.finished or attempt.held.answered or now >= attempt.send_by:
        return Verdict.NEVER
    if not (client_caught_up and list_caught_up):
        return Verdict.LATER
    return Verdict.NOW


def violation_of_attempt(attempt: Attempt, allowed: AllowedActions, now: int) -> Invariant | None:
    """Return the invariant that writing the attempt now would break, None if there is none."""
    held, task = attempt.held, attempt.held.task
    if held.answered:
        return Invariant.NO_ATTEMPT_AFTER_ANSWER
    if attempt.store.state is not StoreState.READY:
        return Invariant.READY_STORE
    copies_allowed = allowed.copies and task.category.repeat is RepeatSafety.IDEMPOTENT
    if len(held.open_attempts) > 1 and not copies_allowed:
        return Invariant.ONE_ATTEMPT
    if task.may_have_run and task.category.repeat is RepeatSafety.AT_MOST_ONCE:
        return Invariant.NO_REPEAT
    if task.may_have_run and now >= attempt.send_by + SEND_MARGIN:
        return Invariant.NO_REPEAT
    return None


def is_overdue(held: HeldTask, now: int) -> bool:
    """Whether a task should have had its answer by now."""
    return not held.answered and now > held.task.deadline + OVERDUE_MARGIN


def answer_ends_connection(*, client_wants_end: bool, gateway_ends: bool, has_sent_more: bool) -> bool:
    """Whether an answer is the last on its connection. Before a gateway stops, it answers pipelined requests too."""
    return client_wants_end or (gateway_ends and not has_sent_more)


def connection_may_end(*, has_open_request: bool, has_sent_more: bool, has_unsent_answer: bool) -> bool:
    """Whether a client's connection may be ended now, between two requests."""
    return not (has_open_request or has_sent_more or has_unsent_answer)


class Violations:
    """Counts violations of invariants, and logs the first MAX_LOGGED of each. `log(event, **fields)` writes the log."""

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.counts = Counter[str]()

    def report(self, invariant: Invariant, **fields: object) -> None:
        """Count an action that broke an invariant, or was not done because it would have."""
        self.counts[invariant.name] += 1
        if self.counts[invariant.name] <= MAX_LOGGED:
            self.log("invariant violated", invariant=invariant.name, means=invariant.value, **fields)
