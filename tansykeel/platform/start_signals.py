"""Holds signals that arrive before the event loop can handle them.

Has few imports, so that its handlers are installed early in the program's start.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Mapping
from types import FrameType
from typing import Any, Protocol

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class SignalLoop(Protocol):
    """The part of an event loop that `StartSignals` uses."""

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: Any) -> None:
        """Call `callback` in the loop for each signal `sig` from now on."""


class StartSignals:
    """Holds the signals received while the program starts, each with the monotonic time at which it first arrived."""

    def __init__(self) -> None:
        self.received: dict[int, float] = {}

    def install(self) -> None:
        """Record signals from now on, in place of their default action."""
        for number in HANDLED:
            signal.signal(number, self._record)

    def hand_over(self, loop: SignalLoop, handlers: Mapping[signal.Signals, Callable[[float], None]]) -> None:
        """Let the loop handle signals from now on, and call the handlers for the recorded ones in the order of their
        arrival. Each handler gets the monotonic time at which its signal arrived."""
        for number, handler in handlers.items():
            loop.add_signal_handler(number, lambda handler=handler: handler(time.monotonic()))
        for recorded, received_at in sorted(self.received.items(), key=lambda item: item[1]):
            handlers[signal.Signals(recorded)](received_at)
        self.received.clear()

    def _record(self, number: int, frame: FrameType | None) -> None:
        self.received.setdefault(number, time.monotonic())
