"""Bounds how many queues of volumes a gateway keeps over all its nodes."""

from collections import OrderedDict

from .nodes import Node
from .queues import VolumeQueue

# Over all nodes. Of more, those used longest ago are let go; a volume that comes back gets a new one.
MAX_QUEUES = 4_096
CHECKS_PER_USE = 2  # queues that may be let go at each use: more than the one that it may add


class QueueTable:
    """The queues of all nodes in the order of their last use."""

    def __init__(self) -> None:
        self._queues = OrderedDict[tuple[Node, VolumeQueue], None]()

    def __len__(self) -> int:
        return len(self._queues)

    def use(self, node: Node, queue: VolumeQueue) -> None:
        """Record that a task needs the queue. If there are too many, let some go that hold nothing."""
        self._queues[node, queue] = None
        self._queues.move_to_end((node, queue))
        for _ in range(CHECKS_PER_USE):
            if len(self._queues) <= MAX_QUEUES:
                break
            oldest_node, oldest = next(iter(self._queues))
            is_removed = oldest_node.queues.get(oldest.volume) is not oldest
            if is_removed or oldest_node.let_go(oldest):
                del self._queues[oldest_node, oldest]
            else:
                self._queues.move_to_end((oldest_node, oldest))

    def forget(self, node: Node) -> None:
        """Let go of all queues of a node that is forgotten."""
        for queue in node.queues.values():
            self._queues.pop((node, queue), None)
