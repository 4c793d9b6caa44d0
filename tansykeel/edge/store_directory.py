"""The stores that a gateway knows, with their addresses and starts, as lists and hellos report them. No I/O.

Times are whole ticks of 0.1 ms.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

from tansykeel.edge.tasks import MICROSECONDS_PER_TICK, StoreRow
from tansykeel.interface import Store, StoreState

# The states of a store that is being removed.
REMOVAL_STAGES = {StoreState.READY: 0, StoreState.DRAINING: 1, StoreState.GONE: 2}
MAX_GONE_STORES = 1_000  # stores that are gone and still known by name; beyond it the oldest are forgotten


class StoreDirectory:
    """All known stores by name, oldest first, and what identifies their present starts."""

    def __init__(self) -> None:
        self.stores: dict[str, Store] = {}
        self.addresses: dict[Store, str] = {}
        self.boot_ids: dict[Store, int] = {}

    def apply_rows(self, rows: Iterable[StoreRow], now: int, versions_restarted: bool = False) -> None:
        """Take in rows of a list. `versions_restarted`: the list counts its versions from a new start."""
        for row in rows:
            state = self._state_of(row, versions_restarted)
            store = self.stores.setdefault(row.name, Store(row.name))
            store.zone, store.shard, store.state = row.zone, row.shard, state
            self.addresses[store] = row.address
            self.record_boot(store, row.boot, row.age, now)

    def remove_unlisted(self, listed: Container[str]) -> None:
        """Mark all stores as gone that a full list does not name."""
        for name, store in self.stores.items():
            if name not in listed:
                store.state = StoreState.GONE

    def forget_oldest_gone(self) -> None:
        """Forget the oldest stores that are gone, beyond MAX_GONE_STORES."""
        gone = [name for name, store in self.stores.items() if store.state is StoreState.GONE]
        for name in gone[:-MAX_GONE_STORES]:
            store = self.stores.pop(name)
            del self.addresses[store]
            self.boot_ids.pop(store, None)

    def record_boot(self, store: Store, boot: int, age: int, now: int) -> bool:
        """Record when a store started, `age` microseconds ago; return whether that was news.

        Of two starts the later one counts, so that a late list does not undo what a hello told.
        """
        if not boot or self.boot_ids.get(store) == boot:
            return False
        started = max(now - age // MICROSECONDS_PER_TICK, 1) if age else 0
        if store in self.boot_ids and started <= store.started:
            return False
        self.boot_ids[store], store.started = boot, started
        return True

    def _state_of(self, row: StoreRow, versions_restarted: bool) -> StoreState:
        """Return the state of a row's store.

        A list whose versions restarted may be behind: without this, tasks would be sent to a store that is already
        known to drain.
        """
        known, state = self.stores.get(row.name), StoreState(row.state)
        same_start = known is not None and row.boot == self.boot_ids.get(known, 0)
        if versions_restarted and known and same_start and REMOVAL_STAGES[known.state] > REMOVAL_STAGES[state]:
            return known.state
        return state
