"""A release as a state machine: its states, the moves between them, and who of it is where. Without I/O.

| state | what goes on |
| --- | --- |
| planned | it is known; another release is under way |
| waiting | its next step waits for room |
| going | some of its wave are out, or may go |
| settling | a wave is back and whole; the new ones are compared with the old ones before the next wave |
| halted | nothing further goes out; who is out ends its step |
| going back | the newest go back to the version before, before any other release |
| done, given up | over; given up: halted or planned and let go by an operator, or all the way back |
"""

from __future__ import annotations

from msgspec import Struct

PLANNED, WAITING, GOING, SETTLING, HALTED = "planned", "waiting", "going", "settling", "halted"
GOING_BACK, DONE, GIVEN_UP = "going back", "done", "given up"
OVER = (DONE, GIVEN_UP)
# By what is said of it and the state that it is in: the state that comes of it. What is not here is refused.
MOVES: dict[str, dict[str, str]] = {
    "begin": {PLANNED: WAITING},
    "out": {WAITING: GOING, GOING: GOING, GOING_BACK: GOING_BACK},  # leave was given for one of it
    "wave": {GOING: SETTLING},  # all of the wave are back
    "next": {SETTLING: WAITING},  # compared, and no worse
    "end": {SETTLING: DONE, GOING_BACK: GIVEN_UP},  # after the last wave; after the last on the way back
    "halt": {PLANNED: HALTED, WAITING: HALTED, GOING: HALTED, SETTLING: HALTED},
    "resume": {HALTED: WAITING},
    "back": {WAITING: GOING_BACK, GOING: GOING_BACK, SETTLING: GOING_BACK, HALTED: GOING_BACK},
    "give up": {PLANNED: GIVEN_UP, HALTED: GIVEN_UP},
}
BY_LEADER = ("begin", "out", "wave", "next", "end")  # the state machine makes them itself


class Release(Struct):
    """`went`: who has the new version, or is on the way to it, in that order; the last go back first."""

    name: str
    version: str
    before: str
    waves: tuple[tuple[str, ...], ...]
    by: str
    number: int  # of its plan
    state: str = PLANNED
    wave: int = 0
    went: list[str] = []
    returned: list[str] = []  # on the way back
    why: str = ""

    def can(self, what: str) -> bool:
        return self.state in MOVES.get(what, {})

    def move(self, what: str) -> None:
        self.state = MOVES[what][self.state]

    def next_targets(self) -> list[str]:
        """Who may be given leave for it now, in order; who is on the way already is not among them."""
        if self.state in (WAITING, GOING):
            return [name for name in self.waves[self.wave] if name not in self.went]
        if self.state == GOING_BACK:
            return [name for name in reversed(self.went) if name not in self.returned]
        return []

    @property
    def last_wave(self) -> bool:
        return self.wave == len(self.waves) - 1
