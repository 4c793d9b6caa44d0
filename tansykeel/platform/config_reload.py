"""Loads the configuration file again on SIGHUP, and retries for a while if it can't be read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tansykeel.platform.config import RETRY_DELAY, RETRY_PERIOD, Illegal, Unreadable


class ConfigReload:
    """Calls `load`, which raises Illegal if the file is not taken. Errors are logged; the configuration then stays.

    A file that can't be read is read again after RETRY_DELAY: otherwise, with the old discovery ended, the gateway
    would learn of no drain until the next SIGHUP.
    """

    def __init__(self, load: Callable[[], None], loop: asyncio.AbstractEventLoop, log: Callable[..., None]) -> None:
        self._load, self._loop, self._log = load, loop, log
        self._retry: asyncio.TimerHandle | None = None

    def run(self) -> None:
        """Load the file now, in place of a retry that is due."""
        if self._retry:
            self._retry.cancel()
        self._try(self._loop.time() + RETRY_PERIOD, is_retry=False)

    def _try(self, last_try: float, is_retry: bool) -> None:
        """Load the file, and try again later if it can't be read and `last_try` has not passed."""
        try:
            self._load()
        except Illegal as error:
            is_unreadable = isinstance(error, Unreadable)
            if not (is_unreadable and is_retry):
                self._log("configuration not taken", **error.fields)
            if is_unreadable and self._loop.time() < last_try:
                self._retry = self._loop.call_later(RETRY_DELAY, self._try, last_try, True)
