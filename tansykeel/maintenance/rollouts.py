"""A release as a state machine: its states, the transitions between them, and its progress. Without I/O.

| state | meaning |
| --- | --- |
| planned | entered in the log; another release is active |
| waiting | the next gateway or store of the wave waits for the disruption budget |
| going | some of the wave are out of service, or may go out |
| settling | all of the wave are back and ready; both versions are compared before the next wave |
| halted | nothing further goes out; what is out already finishes its step |
| going back | rollback to the previous version, newest first; takes precedence over other releases |
| done | finished: the last wave has settled |
| given up | finished: cancelled by an operator while planned or halted, or rolled back completely |
"""

from __future__ import annotations

from msgspec import Struct

PLANNED, WAITING, GOING, SETTLING, HALTED = "planned", "waiting", "going", "settling", "halted"
GOING_BACK, DONE, GIVEN_UP = "going back", "done", "given up"
FINISHED = (DONE, GIVEN_UP)
# By action and present state: the next state. Everything else is refused.
TRANSITIONS: dict[str, dict[str, str]] = {
    "begin": {PLANNED: WAITING},
    "out": {WAITING: GOING, GOING: GOING, GOING_BACK: GOING_BACK},  # a gateway or store may go out
    "wave": {GOING: SETTLING},  # all of the wave are back and ready
    "next": {SETTLING: WAITING},  # the comparison found the new version no worse
    "end": {SETTLING: DONE, GOING_BACK: GIVEN_UP},  # after the last wave; after a complete rollback
    "halt": {PLANNED: HALTED, WAITING: HALTED, GOING: HALTED, SETTLING: HALTED},
    "resume": {HALTED: WAITING},
    "back": {WAITING: GOING_BACK, GOING: GOING_BACK, SETTLING: GOING_BACK, HALTED: GOING_BACK},
    "give up": {PLANNED: GIVEN_UP, HALTED: GIVEN_UP},
}
# Refused from operators: the leader and the state itself take these actions.
LEADER_ACTIONS = ("begin", "out", "wave", "next", "end")


class Release(Struct):
    """A release and its progress.

    `went`: the gateways and stores that have the new version or are out of service to get it, in order; a rollback
    takes them in reverse order. `returned`: those that have gone out for the rollback. `why`: reason for its state.
    """

    name: str
    version: str
    before: str  # the previous version, to which a rollback returns
    waves: tuple[tuple[str, ...], ...]
    by: str  # the operator who planned it
    number: int  # index of its `Plan` entry in the log
    state: str = PLANNED
    wave: int = 0
    went: list[str] = []
    returned: list[str] = []
    why: str = ""

    def allows(self, action: str) -> bool:
        """Whether the action is legal in the present state."""
        return self.state in TRANSITIONS.get(action, {})

    def transition(self, action: str) -> None:
        """Take an action that is legal in the present state."""
        self.state = TRANSITIONS[action][self.state]

    def next_targets(self) -> list[str]:
        """Return the gateways and stores that may go out for it now, in order, without those that went already."""
        if self.state in (WAITING, GOING):
            return [name for name in self.waves[self.wave] if name not in self.went]
        if self.state == GOING_BACK:
            return [name for name in reversed(self.went) if name not in self.returned]
        return []

    @property
    def is_last_wave(self) -> bool:
        """Whether the present wave is the last one."""
        return self.wave == len(self.waves) - 1
