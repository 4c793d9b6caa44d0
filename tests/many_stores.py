"""A core that knows many stores and does no I/O."""

from __future__ import annotations

from helpers import config

from tansykeel.edge.core import Core
from tansykeel.edge.tasks import Bounds
from tansykeel.interface import SlowStartRule
from tansykeel.platform.member_rows import Row

NOW = 10**9  # ticks of the core's clock at its start


class NoIO:
    """An I/O that does nothing."""

    def __getattr__(self, name):
        return lambda *arguments, **named: None


def row(number, state="ready", boot=0, address=None, shard=None):
    """Return a row of the list: a store of its own shard that started long ago, or with `boot` a second ago."""
    age = 1_000_000 if boot else 0
    return Row(f"s{number}", address or f"h{number}:1", 0, number if shard is None else shard, state, boot, age)


def rows(stores):
    """Return the rows of so many ready stores."""
    return [row(number) for number in range(stores)]


def core_of(stores, **changes):
    """Return a core that knows so many stores; `changes` are of its configuration."""
    slow_start = SlowStartRule(0.19, 170_000, 2.5, 30_000, 62.0)
    bounds = Bounds(1_000, 1 << 20, 1 << 20)
    return Core(config(slow_start=slow_start, **changes), 1, NoIO(), NOW, bounds, NoIO(), rows(stores))
