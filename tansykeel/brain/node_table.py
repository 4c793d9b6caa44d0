"""The nodes of all known stores.

The cost of a change of the list depends on the stores that it names, not on how many others there are.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import islice

from tansykeel.interface import Runtime, Store, StoreState

from .cold import SECOND
from .nodes import Node
from .rates import MAX_SAMPLED_NODES, QueueDelays
from .shard_index import ShardIndex

GONE_LIFETIME = 30 * SECOND  # how long a node that was heard of is kept once its store is gone
MIN_GONE_CHECKED = 1  # nodes of gone stores that each change of the list checks, beside as many as it names


class NodeTable:
    """All nodes by store, and those that serve a shard.

    `make_node` creates the node of a store with the rate that it starts from. `first_rate` is that rate as
    long as no other node's rate was measured. `node_forgotten` is called with each node that is let go.
    """

    def __init__(
        self,
        runtime: Runtime,
        delays: QueueDelays,
        first_rate: float,
        make_node: Callable[[Store, float], Node],
        node_forgotten: Callable[[Node], None],
    ) -> None:
        self.runtime, self.delays, self.first_rate = runtime, delays, first_rate
        self.make_node, self.node_forgotten = make_node, node_forgotten
        self.by_store: dict[Store, Node] = {}
        self.index = ShardIndex()
        self._gone = OrderedDict[Node, None]()  # nodes of gone stores, the one checked longest ago first

    def update(self, stores: Iterable[Store]) -> list[Node]:
        """Take in changes of these stores.

        Returns their nodes, and the other nodes that serve a shard now or no longer do.
        """
        changed: dict[Node, None] = {}
        rate: float | None = None
        for store in stores:
            node = self.by_store.get(store)
            if node is None:
                if store.state is StoreState.GONE:
                    continue
                if rate is None:
                    rate = self.average_rate()
                node = self.by_store[store] = self.make_node(store, rate)
            changed[node] = None
            changed.update(dict.fromkeys(self.index.update(node)))
            if store.state is StoreState.GONE:
                self._gone[node] = None
            else:
                self._gone.pop(node, None)
        self._forget_gone(len(changed) + MIN_GONE_CHECKED)
        return [node for node in changed if node.store in self.by_store]

    def average_rate(self) -> float:
        """The rate that a new node starts with: the mean of those measured lately."""
        rates = [
            self.by_store[store].rate
            for store in islice(self.delays.recently_seen(self.runtime.now), MAX_SAMPLED_NODES)
            if store in self.by_store
        ]
        return sum(rates) / len(rates) if rates else self.first_rate

    def _forget_gone(self, checks: int) -> None:
        """Check some nodes of gone stores; forget those without tasks that were not heard of for long."""
        for node in list(islice(self._gone, checks)):
            if node.in_flight or node.held_count or self.runtime.now - node.last_heard < GONE_LIFETIME:
                self._gone.move_to_end(node)
            else:
                del self._gone[node]
                del self.by_store[node.store]
                self.index.forget(node)
                self.delays.by_store.pop(node.store, None)
                self.node_forgotten(node)
