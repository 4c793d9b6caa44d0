"""What discovery has told of each store, to find and log what an update changes. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from tansykeel.platform.config import PHASES, Member, Members

MAX_LOGGED_MEMBERS = 20  # in one line of the log
GONE = "Gone"  # the phase of a store that has left the list


def joined(updates: Iterable[Members], revision: int) -> list[Members]:
    """Return updates with changes that follow each other joined to one. `revision`: the one that is known.

    Whole lists, and changes from an earlier version than the known one or the one before them, stay by themselves.
    """
    result: list[Members] = []
    changes: list[Member] = []  # of the last one in `result`, if another change may be joined to it
    for update in updates:
        if changes and not update.complete and update.revision >= result[-1].revision:
            changes += update.members
            result[-1] = update
        else:
            _close_joined(result, changes)
            may_be_joined = not update.complete and update.revision >= revision
            changes = list(update.members) if may_be_joined else []
            result.append(update)
    _close_joined(result, changes)
    return result


def _close_joined(result: list[Members], changes: list[Member]) -> None:
    """Give the last update the entries of all that were joined to it."""
    if changes:
        result[-1] = Members(result[-1].revision, False, tuple(changes))


class KnownMembers:
    """The entries of discovery's list as they were applied last, without those of stores that are gone."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}

    def news(self, members: Sequence[Member]) -> Sequence[Member]:
        """Return the entries of an update that differ from what is known, or from an earlier entry of the update."""
        known, earlier = self._members, dict[str, Member]()
        news = []
        for member in members:
            if member != (earlier.get(member.id) or known.get(member.id)):
                news.append(member)
                earlier[member.id] = member
        return news

    def applied(self, members: Iterable[Member]) -> None:
        """Record entries that the core has taken."""
        for member in members:
            if member.phase == GONE:
                self._members.pop(member.id, None)
            else:
                self._members[member.id] = member

    def removed(self, names: Iterable[str]) -> None:
        """Record that a whole list did not name these stores."""
        for name in names:
            self._members.pop(name, None)

    def forget(self) -> None:
        """Forget all entries, so that everything is news."""
        self._members.clear()


@dataclass(slots=True)
class AppliedUpdates:
    """What updates of the list have changed, for one line of the log."""

    complete: bool = False  # whether a whole list was among them
    changed: int = 0  # entries that differed from what was known
    members: list[Member] = field(default_factory=list)  # the first of these; of a whole list, its first entries

    @property
    def is_news(self) -> bool:
        """Whether a whole list, even an empty one, or an entry that was not known was among them."""
        return self.complete or bool(self.changed)

    def add(self, update: Members, news: Sequence[Member]) -> None:
        """Add an update and those of its entries that were not known."""
        self.complete = self.complete or update.complete
        self.changed += len(news)
        if len(self.members) < MAX_LOGGED_MEMBERS:
            logged = news or (update.members if update.complete else ())
            self.members += logged[: MAX_LOGGED_MEMBERS - len(self.members)]

    def fields(self, revision: int) -> dict[str, Any]:
        """Return the fields of the line."""
        members = [(member.id, PHASES[member.phase]) for member in self.members]
        return {"revision": revision, "complete": self.complete, "changed": self.changed, "members": members}
