"""Bounds how many queues of volumes a gateway keeps over all its nodes, and for how long."""

from collections import OrderedDict

from .cold import SECOND
from .nodes import Node
from .queues import VolumeQueue

IDLE_QUEUE_LIFETIME = 600 * SECOND  # how long an idle queue is kept
# Over all nodes. Of more, those used longest ago are let go; a volume that comes back gets a new one.
MAX_QUEUES = 4_096
CHECKS_PER_USE = 2  # queues that may be let go at each use: more than the one that it may add


class QueueTable:
    """The queues of all nodes in the order of their last use, with its time."""

    def __init__(self) -> None:
        self._queues = OrderedDict[tuple[Node, VolumeQueue], int]()

    def __len__(self) -> int:
        return len(self._queues)

    def use(self, node: Node, queue: VolumeQueue, now: int) -> None:
        """Record that a task needs the queue; if there are too many or idle ones, some are let go."""
        self._queues[node, queue] = now
        self._queues.move_to_end((node, queue))
        for _ in range(CHECKS_PER_USE):
            (oldest_node, oldest), used_at = next(iter(self._queues.items()))
            if len(self._queues) <= MAX_QUEUES and used_at >= now - IDLE_QUEUE_LIFETIME:
                break
            if oldest_node.let_go(oldest):
                del self._queues[oldest_node, oldest]
            else:
                self._queues.move_to_end((oldest_node, oldest))

    def forget(self, node: Node) -> None:
        """Let go of all queues of a node that is forgotten."""
        for queue in node.queues.values():
            self._queues.pop((node, queue), None)
