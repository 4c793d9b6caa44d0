"""News of gateways, and those that wait to be told: the urgent first, then what was told least. Without I/O.

A line for each number of times told, so that a message costs what it carries and not what waits.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class MemberState(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class GossipItem(Struct, frozen=True, array_like=True):
    """What is said of a gateway: its start (`life`), how often it denied a suspicion since, by whom it is suspected."""

    name: str
    seems: MemberState
    life: int
    denials: int
    by: str = ""

    @property
    def greeting(self) -> bool:
        return self.seems is MemberState.ALIVE and not self.denials


class GossipQueue:
    """One news of each gateway, the newest; each is let go after it was told `most` times."""

    def __init__(self) -> None:
        # Guards against denials that come too late: a fleet that starts has hundreds of greetings to tell.
        self._lines: dict[bool, list[dict[str, GossipItem]]] = {
            False: [{}],
            True: [{}],
        }  # by greeting, then by times told
        self._place: dict[str, tuple[bool, int]] = {}

    def __len__(self) -> int:
        return len(self._place)

    def put(self, news: GossipItem) -> None:
        self._drop(news.name)
        self._put(news, 0)

    def take(self, count: int, most: int) -> tuple[GossipItem, ...]:
        """The next to be told, so many at most; they count as told once more."""
        taken: list[tuple[GossipItem, int]] = []
        for lines in self._lines.values():
            for times, line in enumerate(lines):
                for news in line.values():
                    if len(taken) >= count:
                        break
                    taken.append((news, times))
        for news, times in taken:
            self._drop(news.name)
            if times + 1 < most:
                self._put(news, times + 1)
        return tuple(news for news, _ in taken)

    def _put(self, news: GossipItem, times: int) -> None:
        lines = self._lines[news.greeting]
        while len(lines) <= times:
            lines.append({})
        lines[times][news.name] = news
        self._place[news.name] = news.greeting, times

    def _drop(self, name: str) -> None:
        if name in self._place:
            greeting, times = self._place.pop(name)
            del self._lines[greeting][times][name]
