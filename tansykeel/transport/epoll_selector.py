"""A selector on epoll that outlives `epoll_ctl` failing for a moment.

Linux documents ENOMEM and ENOSPC for `epoll_ctl` (epoll_ctl(2)): the kernel lacks memory, or the user's limit of
watches is reached. Neither is the fault of the descriptor concerned. The selector keeps what is wanted of each
descriptor, and what the kernel did not take is tried again before each wait.
"""

from __future__ import annotations

import errno
import math
import select
from collections.abc import Mapping
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector, SelectorKey
from typing import Any

RETRY_AFTER = 0.005  # seconds that a wait takes at most while the kernel has not taken all that is wanted
MILLISECONDS = 1000  # in a second
TRANSIENT = frozenset({errno.ENOMEM, errno.ENOSPC, errno.EINTR, errno.EAGAIN})
GONE = frozenset({errno.ENOENT, errno.EBADF})  # the kernel does not watch the descriptor, or it is closed


def descriptor_of(file: Any) -> int:
    """Return the descriptor of a file object, or a descriptor itself."""
    return file if isinstance(file, int) else int(file.fileno())


class RetryingEpollSelector(BaseSelector):
    """For `asyncio.SelectorEventLoop`. `epoll`: what makes the kernel's object; tests pass one that fails."""

    def __init__(self, epoll: Any = None) -> None:
        self._epoll = epoll or select.epoll()
        self._keys: dict[int, SelectorKey] = {}
        self._watched: set[int] = set()  # descriptors that the kernel has, as far as is known
        self._unapplied: set[int] = set()  # descriptors of which the kernel has not taken what is wanted

    def register(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Watch a file that is not watched yet. Raises OSError where the kernel never will."""
        descriptor = descriptor_of(fileobj)
        assert descriptor not in self._keys
        key = SelectorKey(fileobj, descriptor, events, data)
        self._keys[descriptor] = key
        self._apply_or_forget(descriptor)
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Change what is waited for, or its data. Raises KeyError where the file is not watched."""
        descriptor = descriptor_of(fileobj)
        earlier = self._keys[descriptor]
        key = earlier._replace(events=events, data=data)
        self._keys[descriptor] = key
        if events != earlier.events:
            self._apply_or_forget(descriptor)
        return key

    def unregister(self, fileobj: Any) -> SelectorKey:
        """Watch a file no more. Raises KeyError where it is not watched."""
        descriptor = descriptor_of(fileobj)
        key = self._keys.pop(descriptor)
        self._apply(descriptor)
        return key

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return what is ready within so many seconds (None: without end)."""
        for descriptor in list(self._unapplied):
            self._apply(descriptor)
        if self._unapplied:
            timeout = RETRY_AFTER if timeout is None else min(timeout, RETRY_AFTER)
        try:
            ready = self._epoll.poll(_whole_milliseconds(timeout), max(len(self._keys), 1))
        except InterruptedError:
            return []
        found = []
        for descriptor, mask in ready:
            key = self._keys.get(descriptor)
            events = _events_of(mask) & key.events if key else 0
            if key and events:
                found.append((key, events))
        return found

    def close(self) -> None:
        """Close the kernel's object."""
        self._epoll.close()
        self._keys.clear()
        self._watched.clear()
        self._unapplied.clear()

    def get_map(self) -> Mapping[Any, SelectorKey]:
        """Return the keys by descriptor."""
        return self._keys

    def get_key(self, fileobj: Any) -> SelectorKey:
        """Return a watched file's key. Raises KeyError."""
        return self._keys[descriptor_of(fileobj)]

    def _apply_or_forget(self, descriptor: int) -> None:
        try:
            self._apply(descriptor)
        except OSError:
            del self._keys[descriptor]
            raise

    def _apply(self, descriptor: int) -> None:
        """Tell the kernel what is wanted of a descriptor. What it can't take for a moment is kept for the next wait."""
        try:
            self._tell_kernel(descriptor)
        except OSError as error:
            if error.errno not in TRANSIENT:
                raise
            self._unapplied.add(descriptor)
        else:
            self._unapplied.discard(descriptor)

    def _tell_kernel(self, descriptor: int) -> None:
        key = self._keys.get(descriptor)
        if key is None:
            return self._forget(descriptor)
        calls = [self._epoll.register, self._epoll.modify]
        if descriptor in self._watched:
            calls.reverse()
        try:
            calls[0](descriptor, _mask_of(key.events))
        except OSError as error:
            # The kernel forgets a descriptor that was closed, and its number comes again.
            if error.errno not in (errno.EEXIST, errno.ENOENT):
                raise
            calls[1](descriptor, _mask_of(key.events))
        self._watched.add(descriptor)

    def _forget(self, descriptor: int) -> None:
        try:
            self._epoll.unregister(descriptor)
        except OSError as error:
            if error.errno not in GONE:
                raise
        self._watched.discard(descriptor)


def _whole_milliseconds(timeout: float | None) -> float:
    """Return what `poll` takes: rounded up, so that a timer that is due soon does not make the loop spin."""
    if timeout is None:
        return -1
    if timeout <= 0:
        return 0
    return math.ceil(timeout * MILLISECONDS) / MILLISECONDS


def _mask_of(events: int) -> int:
    mask = 0
    if events & EVENT_READ:
        mask |= select.EPOLLIN
    if events & EVENT_WRITE:
        mask |= select.EPOLLOUT
    return mask


def _events_of(mask: int) -> int:
    """An error or a hang-up shows to readers and writers alike, as either finds it out by its call."""
    events = 0
    if mask & ~select.EPOLLOUT:
        events |= EVENT_READ
    if mask & ~select.EPOLLIN:
        events |= EVENT_WRITE
    return events
