"""The rules on requests, in one place: what may be sent, repeated, closed or answered now. No I/O.

Whoever is about to act asks here first. What is refused here although it should never have been asked is a violation
of an invariant: it is not done, and `Violations` counts it, so that a fault of the program shows in its log.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from tansykeel.edge.tasks import Attempt, HeldTask
from tansykeel.interface import AllowedActions, RepeatSafety, StoreState

OVERDUE = 1_000  # tenths after a task's deadline (which is up to 0.1 s before its client's) at which it must be over
MOST_LOGGED = 20  # violations of one invariant that are logged; all are counted


class Verdict(Enum):
    """Whether an attempt may begin."""

    NOW = "now"
    LATER = "later"  # something that could forbid it has come and is not read yet
    NEVER = "never"  # it is over, or its request has its answer


class Invariant(Enum):
    """What must hold whatever happens."""

    ONE_ANSWER = "a request gets one final answer"
    ANSWER_IN_TIME = "a request is answered before its client's time is up"
    ANSWER_BEFORE_CLOSE = "no connection is closed by us over a request without an answer"
    NO_ATTEMPT_AFTER_ANSWER = "nothing is sent for a request that has its answer or whose client left"
    READY_STORE = "nothing new is sent to a store that drains or is gone"
    ONE_ATTEMPT = "no two attempts at once where copies are not allowed"
    NO_REPEAT = "nothing that may have run is sent again where that is not allowed"


def attempt_may_begin(attempt: Attempt, *, client_caught_up: bool, list_caught_up: bool) -> Verdict:
    """Whether an attempt may be written now. `..._caught_up`: whether all that came from there was read."""
    if attempt.finished or attempt.held.answered:
        return Verdict.NEVER
    if not (client_caught_up and list_caught_up):
        return Verdict.LATER
    return Verdict.NOW


def violation_of_attempt(attempt: Attempt, allowed: AllowedActions) -> Invariant | None:
    """Return the invariant that an attempt would break if it were written now."""
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
    return None


def is_overdue(held: HeldTask, now: int) -> bool:
    """Whether a task should have had its answer by now."""
    return not held.answered and now > held.task.deadline + OVERDUE


def answer_ends_connection(*, client_wants_end: bool, gateway_ends: bool, has_sent_more: bool) -> bool:
    """Whether an answer is the last on its connection. What a client sent ahead is answered before a gateway ends."""
    return client_wants_end or (gateway_ends and not has_sent_more)


def connection_may_end(*, has_open_request: bool, has_sent_more: bool, has_unsent_answer: bool) -> bool:
    """Whether a client's connection may be ended between requests."""
    return not (has_open_request or has_sent_more or has_unsent_answer)


class Violations:
    """Counts what should never happen, and logs the first of each kind. `note(event, **fields)` writes the log."""

    def __init__(self, note: Callable[..., None]) -> None:
        self.note = note
        self.counts = Counter[str]()

    def report(self, invariant: Invariant, **fields: object) -> None:
        """An invariant was broken, or would have been."""
        self.counts[invariant.name] += 1
        if self.counts[invariant.name] <= MOST_LOGGED:
            self.note("invariant violated", invariant=invariant.name, means=invariant.value, **fields)
