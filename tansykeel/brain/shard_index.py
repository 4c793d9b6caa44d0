"""Which node serves each shard: of the ready ones that hold it, the one whose store started last."""

from heapq import heapify, heappop, heappush

from tansykeel.interface import StoreState

from .nodes import Node

# A heap is rebuilt once it has more entries than this and more than twice as many as it has nodes.
MIN_REBUILT_HEAP = 16

# Sorts nodes by their store's start, the latest first; of equal ones, by their number, the highest first.
_Entry = tuple[int, int, Node]


class _ShardNodes:
    """The ready nodes of one shard. A heap entry that is not its node's present one is out of date."""

    __slots__ = ("entries", "heap")

    def __init__(self) -> None:
        self.entries: dict[Node, _Entry] = {}
        self.heap: list[_Entry] = []

    def add(self, node: Node, number: int) -> None:
        """Add a ready node, or update it after its store has restarted."""
        entry = (-node.store.started, -number, node)
        if self.entries.get(node) == entry:
            return
        self.entries[node] = entry
        heappush(self.heap, entry)
        if len(self.heap) > max(2 * len(self.entries), MIN_REBUILT_HEAP):
            self.heap = list(self.entries.values())
            heapify(self.heap)

    def best(self) -> Node | None:
        """The node that serves the shard; None if there is no ready one."""
        while self.heap:
            entry = self.heap[0]
            if self.entries.get(entry[2]) is entry:
                return entry[2]
            heappop(self.heap)
        return None


class ShardIndex:
    """The node that serves each shard, in `by_shard`, and all these nodes, in `serving` (in no order).

    The cost of an update depends neither on the number of nodes nor on that of shards.
    """

    def __init__(self) -> None:
        self.by_shard: dict[int, Node] = {}
        self.serving: list[Node] = []
        self.version = 0  # counts changes of `serving`
        self._positions: dict[Node, int] = {}  # of each node in `serving`
        self._shards: dict[int, _ShardNodes] = {}
        self._shard_of: dict[Node, int] = {}  # the shard under which a ready node is indexed
        self._numbers: dict[Node, int] = {}  # of all nodes, in the order of their first update
        self._node_count = 0

    def serves(self, node: Node) -> bool:
        """Whether the node is the one that serves its shard."""
        return node in self._positions

    def update(self, node: Node) -> list[Node]:
        """Take in a change of the node's store; return others that serve a shard now or no longer do."""
        if node not in self._numbers:
            self._numbers[node] = self._node_count
            self._node_count += 1
        shard = node.store.shard if node.store.state is StoreState.READY else None
        indexed = self._shard_of.pop(node, None)
        if indexed is not None and indexed != shard:
            del self._shards[indexed].entries[node]
        if shard is not None:
            self._shard_of[node] = shard
            self._shards.setdefault(shard, _ShardNodes()).add(node, self._numbers[node])
        touched = dict.fromkeys(one for one in (indexed, shard) if one is not None)
        changed = [other for one in touched for other in self._refresh(one)]
        return [other for other in changed if other is not node]

    def forget(self, node: Node) -> None:
        """Let go of a node that is not ready any more."""
        del self._numbers[node]

    def _refresh(self, shard: int) -> list[Node]:
        """Choose the node of a shard anew; return the one before and the one now if they differ."""
        before, best = self.by_shard.get(shard), self._shards[shard].best()
        if best is None:
            del self._shards[shard]
        if before is best:
            return []
        self.version += 1
        if before is not None:
            del self.by_shard[shard]
            self._remove_serving(before)
        if best is not None:
            self.by_shard[shard] = best
            self._positions[best] = len(self.serving)
            self.serving.append(best)
        return [node for node in (before, best) if node is not None]

    def _remove_serving(self, node: Node) -> None:
        """Take a node out of `serving`; the last one moves to its place."""
        position, last = self._positions.pop(node), self.serving.pop()
        if last is not node:
            self.serving[position] = last
            self._positions[last] = position
