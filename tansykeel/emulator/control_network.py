"""The network of a control plane in simulated time: delays, losses, cuts, and connections that keep their order."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from tansykeel.emulator.engine import Engine

MILLISECOND = 1_000
RESENT_AFTER = 200 * MILLISECOND  # TCP's shortest time-out; the longest that a lost frame takes is twice as much
Cut = Callable[[str, str], bool]  # whether two processes, by name, are cut from each other


class Connection:
    """One connection of a gateway to a control node; each end closes for itself."""

    def __init__(self, number: int, gateway: str, node: str, incarnations: tuple[int, int]) -> None:
        """`incarnations`: the gateway's and the node's."""
        self.number = number
        self.gateway = gateway
        self.node = node
        self.gateway_incarnation, self.node_incarnation = incarnations
        self.gateway_open = False
        self.node_open = False
        self.reaches_node_at = 0  # when the last frame on its way there arrives
        self.reaches_gateway_at = 0


class ControlNetwork:
    """Says when what is sent arrives, if it does."""

    def __init__(
        self, engine: Engine, chance: Random, way_ms: float, loss: float = 0.0, lost_between_nodes: float = 0.0
    ) -> None:
        """`loss`: part of all frames that are sent again; `lost_between_nodes`: of messages that are lost for good."""
        self.engine = engine
        self._chance = chance
        self._way = way_ms * MILLISECOND
        self._loss = loss
        self._lost_between_nodes = lost_between_nodes
        self._reaches: dict[tuple[str, str], int] = {}  # by control nodes: when the last message on its way arrives
        self._cuts: list[tuple[int, Cut]] = []  # until when

    def cut(self, until: int, parts: Cut) -> None:
        """Let nothing pass between these parts until a moment."""
        self._cuts.append((until, parts))

    def cut_until(self, one: str, other: str) -> int:
        """Return until when two processes are cut from each other; 0: they are not."""
        now = self.engine.now
        self._cuts = [(until, parts) for until, parts in self._cuts if until > now]
        return max((until for until, parts in self._cuts if parts(one, other)), default=0)

    def way(self) -> int:
        """Return how long a frame is on its way."""
        return int(self._way * (0.5 + self._chance.random())) + 1

    def arrival(self, connection: Connection, to_node: bool) -> int:
        """Return when a frame that is sent now arrives: after all that were sent before it on the connection."""
        sent = max(self.engine.now, self.cut_until(connection.gateway, connection.node))
        arrival = sent + self._way_with_loss()
        if to_node:
            connection.reaches_node_at = arrival = max(arrival, connection.reaches_node_at + 1)
        else:
            connection.reaches_gateway_at = arrival = max(arrival, connection.reaches_gateway_at + 1)
        return arrival

    def arrival_between_nodes(self, sender: str, receiver: str) -> int | None:
        """Return when a message arrives, after all that were sent before it; None where it is lost for good."""
        if self.cut_until(sender, receiver) or self._chance.random() < self._lost_between_nodes:
            return None
        arrival = max(self.engine.now + self._way_with_loss(), self._reaches.get((sender, receiver), 0) + 1)
        self._reaches[sender, receiver] = arrival
        return arrival

    def _way_with_loss(self) -> int:
        if self._chance.random() >= self._loss:
            return self.way()
        return self.way() + int(RESENT_AFTER * (1 + self._chance.random()))
