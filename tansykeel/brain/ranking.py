"""Ranks nodes for new objects, which any store can take."""

import random

from tansykeel.interface import Task

from .nodes import Node
from .queues import cost_of
from .rates import MAX_SAMPLED_NODES
from .shard_index import ShardIndex

RANKING_INTERVAL = 500  # how often nodes are ranked while new objects come: every 50 ms


class Ranking:
    """The nodes in the order of the time that a usual task would spend there, failures included.

    Of more than MAX_SAMPLED_NODES nodes, a random sample is ranked: the cost does not grow with the fleet.
    """

    def __init__(self, index: ShardIndex, rng: random.Random, usual: float, soft_limit: int) -> None:
        self.index, self.rng, self.usual, self.soft_limit = index, rng, usual, soft_limit
        self.ranked: list[Node] = []
        self._next_at = self._version = 0  # when to rank again; the index's version that was ranked

    def rank(self, now: int) -> None:
        """Rank the nodes that are usable now."""
        self._next_at, self._version = now + RANKING_INTERVAL, self.index.version
        candidates = self.index.serving
        if len(candidates) > MAX_SAMPLED_NODES:
            candidates = self.rng.sample(candidates, MAX_SAMPLED_NODES)
        usable = [node for node in candidates if node.usable()]
        if not usable:
            usable = [node for node in self.index.serving if node.usable()][:MAX_SAMPLED_NODES]
        self.ranked = sorted(usable, key=lambda node: (self._expected_time(node), self.rng.uniform(0, 1)))

    def node_for(self, task: Task, now: int) -> Node | None:
        """The best node that the task fills to half its bound at most; None if no node serves a shard.

        If there is none, the one with the least work for its rate.
        """
        if now >= self._next_at or self._is_outdated():
            self.rank(now)
        serving = [node for node in self.ranked if self.index.serves(node)]
        for node in serving:
            if node.usable() and node.held_tokens + node.tokens_out + cost_of(task) <= node.token_bound() / 2:
                return node
        return min(serving, key=lambda node: (node.held_tokens + node.tokens_out) / node.rate, default=None)

    def _is_outdated(self) -> bool:
        """Whether none of the ranked nodes serves its shard any more, and others may have come since."""
        return self.index.version != self._version and not any(map(self.index.serves, self.ranked))

    def _expected_time(self, node: Node) -> float:
        failing = node.successes.count(False) / max(len(node.successes), 1)
        waiting = node.held_tokens / node.rate
        return node.expected_latency(self.usual) + waiting + failing * self.soft_limit
