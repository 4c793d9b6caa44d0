"""The stores that a gateway knows, with their addresses and starts, as lists and hellos report them. No I/O.

Times are whole ticks of 0.1 ms.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container, Iterable

from tansykeel.edge.tasks import MICROSECONDS_PER_TICK, StoreRow
from tansykeel.interface import Store, StoreState

# The states of a store that is being removed.
REMOVAL_STAGES = {StoreState.READY: 0, StoreState.DRAINING: 1, StoreState.GONE: 2}
STATES = {state.value: state for state in StoreState}
MAX_GONE_STORES = 1_000  # stores that are gone and still known by name; beyond it the oldest are forgotten


class StoreDirectory:
    """All known stores by name, oldest first, and what identifies their present starts."""

    def __init__(self) -> None:
        self.stores: dict[str, Store] = {}
        self.addresses: dict[Store, str] = {}
        self.boot_ids: dict[Store, int] = {}
        self._gone = OrderedDict[Store, None]()  # stores that are gone, the one that went first in front

    def apply_rows(self, rows: Iterable[StoreRow], now: int, versions_restarted: bool = False) -> list[Store]:
        """Take in rows of a list; return the stores that are new or differ from what was known.

        `versions_restarted`: the list counts its versions from a new start.
        """
        changed: dict[Store, None] = {}
        for row in rows:
            if store := self._apply_row(row, now, versions_restarted):
                changed[store] = None
        return list(changed)

    def unlisted(self, listed: Container[str]) -> list[Store]:
        """Return the stores that are not gone and that a full list does not name."""
        return [
            store for name, store in self.stores.items() if name not in listed and store.state is not StoreState.GONE
        ]

    def mark_gone(self, stores: Iterable[Store]) -> None:
        """Mark stores as gone."""
        for store in stores:
            self._set_state(store, StoreState.GONE)

    def forget_oldest_gone(self) -> None:
        """Forget the stores that went first, beyond MAX_GONE_STORES."""
        while len(self._gone) > MAX_GONE_STORES:
            store, _ = self._gone.popitem(last=False)
            del self.stores[store.handle], self.addresses[store]
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

    def _apply_row(self, row: StoreRow, now: int, versions_restarted: bool) -> Store | None:
        """Take in one row; return its store if that is new or changed."""
        state = self._state_of(row, versions_restarted)
        store = self.stores.get(row.name)
        is_new = store is None
        if store is None:
            store = self.stores[row.name] = Store(row.name)
        is_same = (
            store.state is state
            and store.shard == row.shard
            and store.zone == row.zone
            and self.addresses.get(store) == row.address
        )
        if not is_same:
            store.zone, store.shard, self.addresses[store] = row.zone, row.shard, row.address
            self._set_state(store, state)
        has_restarted = self.record_boot(store, row.boot, row.age, now)
        return store if is_new or has_restarted or not is_same else None

    def _set_state(self, store: Store, state: StoreState) -> None:
        store.state = state
        if state is not StoreState.GONE:
            self._gone.pop(store, None)
        elif store not in self._gone:
            self._gone[store] = None

    def _state_of(self, row: StoreRow, versions_restarted: bool) -> StoreState:
        """Return the state of a row's store.

        A list whose versions restarted may be behind: without this, tasks would be sent to a store that is already
        known to drain.
        """
        known, state = self.stores.get(row.name), STATES[row.state]
        same_start = known is not None and row.boot == self.boot_ids.get(known, 0)
        if versions_restarted and known and same_start and REMOVAL_STAGES[known.state] > REMOVAL_STAGES[state]:
            return known.state
        return state
