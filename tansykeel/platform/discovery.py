"""Follows the list of stores that discovery publishes, by a watch that starts at the known version.

The decision module decides when a failed watch is opened again.

A gateway counts as informed of what discovery has 6 s after discovery could be reached, whatever it received in the
meantime. So silence is measured from the last message alone: a complete object, or an empty line between two objects.
A response head, part of an object, or empty lines within one are not messages.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from tansykeel.edge.core import Core
from tansykeel.interface import Store
from tansykeel.platform.config import Members
from tansykeel.platform.known_members import AppliedUpdates, KnownMembers, joined
from tansykeel.platform.member_rows import RowReader, Update
from tansykeel.platform.update_queue import MAX_ENTRIES_PER_TURN, UpdateQueue
from tansykeel.platform.watch import Watch
from tansykeel.transport.sockets import lacks_descriptor

# Seconds without a message after which another watch is opened beside the current one. Discovery sends a line every
# 2 s.
SILENCE_TIMEOUT = 2.5
# Seconds that a new watch has for its first byte, and for its first message while discovery counts as silent, before
# another one is opened.
FIRST_BYTE_TIMEOUT = 1.0
MAX_WATCHES = 4  # open at once
FIRST_MESSAGE_TIMEOUT = 12.0  # seconds for which the oldest watch without a message is kept while others are opened
T = TypeVar("T")


@dataclass(slots=True)
class ReceivedUpdate:
    """An update as a watch has received it.

    `known_without` is the monotonic time when the list was last known not to have it, None if it never was.
    """

    watch: Watch
    members: Members
    known_without: float | None


def _parts(entries: Sequence[T]) -> Iterator[list[T]]:
    """Divide entries into parts that one turn of the event loop may take; at least one, which may be empty."""
    for start in range(0, max(len(entries), 1), MAX_ENTRIES_PER_TURN):
        yield list(entries[start : start + MAX_ENTRIES_PER_TURN])


class Discovery:
    """Keeps the core informed of the list of stores; calls `changed` after each change to it."""

    def __init__(
        self,
        core: Core,
        address: str,
        rows: RowReader,
        revision: int,
        clock: Callable[[], int],
        now: Callable[[], float],
        changed: Callable[[list[Store]], None],
        free_descriptors: Callable[[], None],
        log: Callable[..., Any],
    ) -> None:
        self.core, self.address, self.rows, self.revision = core, address, rows, revision
        self.clock, self.now, self.changed, self.free_descriptors, self.log = (
            clock,
            now,
            changed,
            free_descriptors,
            log,
        )
        self.watches: list[Watch] = []  # newest last; once one has received a message, older ones are closed
        self.silent_since = (
            now()
        )  # by `now`: the last message from the current address, or the first attempt to watch it
        self.last_message_at: float | None = None  # time.monotonic() of the last message of any watch
        self.address_changed = False  # whether it changed and no update was received from the new one yet
        self.first_list = asyncio.Event()  # set once an update was received
        self.stopped = False
        self.received_revision = revision  # of the last update that was received, applied or not
        self.known = KnownMembers()
        self.applied = AppliedUpdates()  # since the last line of the log about the list
        self.updates = UpdateQueue(self._apply, self._continue_reading, self._apply_failed)

    def ensure_watch(self) -> None:
        """Open a watch unless one is open at the current address."""
        if not self._current_watches() and not self.stopped:
            self._open()

    def change_address(self, address: str) -> None:
        """Use another address from now on. A watch of the old one that has received a message stays open until a watch
        of the new one has."""
        if address == self.address or self.stopped:
            return
        self.log("discovery moves", to=address)
        self.address, self.address_changed, self.silent_since = address, True, self.now()
        for watch in [watch for watch in self.watches if not watch.got_message]:
            self._close(watch)
        self._open()

    def check_timeouts(self) -> None:
        """Open another watch beside the newest one if that is silent, and one more if the new one stays silent too.

        A watch can fall silent without an end, anywhere in an object, send single bytes without completing one, or
        never connect.
        """
        now, current = self.now(), self._current_watches()
        if (
            current
            and not self.updates.pending
            and now - current[-1].opened_at > FIRST_BYTE_TIMEOUT
            and (not current[-1].got_data or now - self.silent_since > SILENCE_TIMEOUT)
        ):
            self.log("discovery is silent")
            self._open()

    def caught_up(self) -> bool:
        """Whether everything that discovery has sent was read and applied."""
        return not self.updates.pending and all(watch.stream.quiet() for watch in self.watches)

    def message_received(self, watch: Watch) -> None:
        """Record a message of a watch. If it is of the current address, close all watches opened before it."""
        watch.got_message = True
        self.last_message_at = time.monotonic()
        if watch.address == self.address:
            self.silent_since = self.now()
            for older in self.watches[: self.watches.index(watch)]:
                self._close(older)

    def updates_received(self, watch: Watch, updates: list[Members]) -> None:
        """Take the updates that a watch has received at once.

        They are applied in their order: now as far as one turn of the event loop may take, the rest after it.
        """
        if not updates:
            return
        known_revision = self.received_revision if self.updates.pending else self.revision
        self.received_revision = updates[-1].revision
        for update in joined(updates, known_revision):
            self.updates.add(ReceivedUpdate(watch, update, self.last_message_at))
        self.message_received(watch)
        self.updates.run()
        self._log_applied()

    def updates_pending(self) -> bool:
        """Whether updates that were received are not applied yet."""
        return self.updates.pending

    def _apply(self, update: ReceivedUpdate) -> Iterator[int]:
        """Apply an update in parts; yields the number of entries of each.

        One older than the known version is ignored, unless it is the first from a new address.
        """
        watch, members = update.watch, update.members
        if self.stopped:
            return
        first_update = self.address_changed and watch.address == self.address
        versions_restarted = members.revision < self.revision
        if versions_restarted and not first_update:
            return
        if versions_restarted and watch.index and not members.complete:
            # Discovery at the new address counts versions from another start, so a change since our version is not
            # complete: watch from the beginning.
            if watch in self.watches:
                self._close(watch)
            return self._open(index=0)
        if versions_restarted:
            self.known.forget()
        news = self.known.news(members.members)
        for part in _parts(news):
            rows = [self.rows.row(member, update.known_without) for member in part]
            change = Update(False, members.revision, rows)
            self.changed(self.core.apply_list_update(self.clock(), change, versions_restarted))
            if not versions_restarted:  # such a list may be behind: the core does not take all that it says
                self.known.applied(part)
            yield max(len(rows), 1)
        if members.complete:
            for unlisted in _parts(self.core.directory.unlisted({member.id for member in members.members})):
                self.core.remove_stores(self.clock(), unlisted)
                self.known.removed(store.handle for store in unlisted)
                self.changed(unlisted)
                yield max(len(unlisted), 1)
        if first_update and watch.address == self.address:
            self.address_changed = False
        self.revision = members.revision
        self.applied.add(members, news)
        self.first_list.set()

    def _log_applied(self) -> None:
        """Log the updates that were applied since the last such line, once no further ones wait."""
        if self.applied.is_news and not self.updates.pending:
            self.log("list", **self.applied.fields(self.revision))
            self.applied = AppliedUpdates()

    def _apply_failed(self) -> None:
        """End all watches after an update could not be applied: a new one gets what the list lacks once more."""
        for watch in list(self.watches):
            self._close(watch)
        self.log("watch ended", why="an update could not be applied")
        self._report_if_unavailable()

    def _continue_reading(self) -> None:
        """Read on from watches whose updates had to wait."""
        self._log_applied()
        for watch in self.watches:
            watch.continue_reading()

    def watch_ended(self, watch: Watch, why: str, do: str = "") -> None:
        """Drop a watch that ended; if it was the last one, report to the core that the list is unavailable."""
        if watch in self.watches:
            self.watches.remove(watch)
        self.log("watch ended", why=why, **({"do": do} if do else {}))
        self._report_if_unavailable()

    def stop(self) -> None:
        """Close all watches and open no more."""
        self.stopped = True
        for watch in list(self.watches):
            self._close(watch)

    def _current_watches(self) -> list[Watch]:
        """Return the watches of the current address; one of another address does not show that this address works."""
        return [watch for watch in self.watches if watch.address == self.address]

    def _close(self, watch: Watch) -> None:
        """Close and drop a watch."""
        watch.close()
        self.watches.remove(watch)

    def _report_if_unavailable(self) -> None:
        """Report to the core that the list is unavailable if no watch is open at the current address."""
        if not self._current_watches() and not self.stopped:
            self.core.list_unavailable(self.clock())

    def _open(self, index: int | None = None) -> None:
        """Open a watch from version `index`, by default the known one; if there are too many then, close another."""
        if not self._current_watches():
            self.silent_since = self.now()
        try:
            self.watches.append(Watch(self, self.address, self.revision if index is None else index))
        except OSError as error:
            self.log("no watch", why=error.strerror or type(error).__name__)
            if lacks_descriptor(error):
                self.free_descriptors()
            return self._report_if_unavailable()
        if len(self.watches) > MAX_WATCHES:
            self._close(self._watch_to_close())

    def _watch_to_close(self) -> Watch:
        """Return the watch to close when too many are open.

        If discovery is slow or overloaded, a watch needs time until its first message. So of the watches without one,
        the oldest is kept until FIRST_MESSAGE_TIMEOUT and the next one is closed.
        """
        waiting = [watch for watch in self._current_watches()[:-1] if not watch.got_message]
        if not waiting:
            return self.watches[0]
        if len(waiting) > 1 and self.now() - waiting[0].opened_at <= FIRST_MESSAGE_TIMEOUT:
            return waiting[1]
        return waiting[0]
