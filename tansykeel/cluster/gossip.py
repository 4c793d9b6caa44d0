"""Gossip about members, and the queue of items to send: urgent ones first, then those sent least often. Does no I/O.

The queue keeps one bucket for each number of transmissions, so that taking items for a message costs time by the
number taken and not by the length of the queue.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class MemberState(IntEnum):
    """State in which a member is believed to be, from best to worst."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class GossipItem(Struct, frozen=True, array_like=True):
    """Claim that the member `name` is in the state `seems`.

    `life` is the member's incarnation, `denials` the number of suspicions that it refuted in this incarnation, and
    `by` the member that suspects it or declared it dead. SWIM's incarnation number corresponds to `life` and `denials`
    together.
    """

    name: str
    seems: MemberState
    life: int
    denials: int
    by: str = ""

    @property
    def is_announcement(self) -> bool:
        """Whether the item announces a member that started and refutes nothing."""
        return self.seems is MemberState.ALIVE and not self.denials


class GossipQueue:
    """The newest item about each member. An item is removed once it was sent a given number of times."""

    def __init__(self) -> None:
        # By whether the items are announcements, then by number of transmissions. Announcements come last: a cluster
        # that starts has hundreds of them, behind which refutations would be sent too late.
        self._buckets: dict[bool, list[dict[str, GossipItem]]] = {
            False: [{}],
            True: [{}],
        }
        self._positions: dict[str, tuple[bool, int]] = {}

    def __len__(self) -> int:
        return len(self._positions)

    def put(self, item: GossipItem) -> None:
        """Queue an item; it replaces an earlier one about the same member."""
        self._remove(item.name)
        self._insert(item, 0)

    def take(self, count: int, max_transmissions: int) -> tuple[GossipItem, ...]:
        """Return at most `count` items to send next, and count one more transmission of each.

        An item whose transmissions have reached `max_transmissions` is removed.
        """
        taken: list[tuple[GossipItem, int]] = []
        for buckets in self._buckets.values():
            for transmissions, bucket in enumerate(buckets):
                for item in bucket.values():
                    if len(taken) >= count:
                        break
                    taken.append((item, transmissions))
        for item, transmissions in taken:
            self._remove(item.name)
            if transmissions + 1 < max_transmissions:
                self._insert(item, transmissions + 1)
        return tuple(item for item, _ in taken)

    def _insert(self, item: GossipItem, transmissions: int) -> None:
        buckets = self._buckets[item.is_announcement]
        while len(buckets) <= transmissions:
            buckets.append({})
        buckets[transmissions][item.name] = item
        self._positions[item.name] = item.is_announcement, transmissions

    def _remove(self, name: str) -> None:
        if name in self._positions:
            is_announcement, transmissions = self._positions.pop(name)
            del self._buckets[is_announcement][transmissions][name]
