"""Messages about maintenance between the agents of machines, operators and gateways, and their codec."""

from __future__ import annotations

from msgspec import Struct

from tansykeel.errors import Problem
from tansykeel.maintenance.canary_analysis import Seen
from tansykeel.maintenance.controller import Ask, Order
from tansykeel.maintenance.entries import Move, Plan, Recover
from tansykeel.maintenance.state import Kept
from tansykeel.protocol.message_codec import MessageCodec


class MessageError(Problem, ValueError):
    """A maintenance message could not be decoded."""

    advice = "look at the version of the program that said it: agents, operators and gateways speak the same messages"


class Offered(Struct, frozen=True, array_like=True):
    """An operator's entry for the log: a new release, an action on one, or what is out of service after a loss."""

    entry: Plan | Move | Recover


class StatusAsk(Struct, frozen=True, array_like=True):
    """Asks the leader for its `Status`."""


class Figures(Struct, frozen=True, array_like=True):
    """A gateway's task counts by request class, for the leader. `stretch`: number of the time interval."""

    stretch: int
    by_class: dict[str, Seen]


class Elsewhere(Struct, frozen=True, array_like=True):
    """Reply of a gateway that does not lead: the leader, as far as it knows, and its address by the settings."""

    leader: str = ""
    address: str = ""


class Wait(Struct, frozen=True, array_like=True):
    """Reply to an agent for which there is no order now, with the reasons."""

    why: tuple[str, ...] = ()


class Status(Struct, frozen=True, array_like=True):
    """The state as the leader has it. `entries`: index of the last entry of its log."""

    leader: str
    view: int
    entries: int
    state: Kept
    against: tuple[str, ...]  # why the next gateway or store of the active release must wait


class Taken(Struct, frozen=True, array_like=True):
    """Whether an operator's entry was appended to the log; its effect shows in the status."""

    so: bool
    why: str = ""


MaintenanceMessage = Ask | Order | Offered | StatusAsk | Figures | Elsewhere | Wait | Status | Taken
MAX_MESSAGE_BYTES = 60 << 10  # holds the whole state of 1,000 gateways and stores, with some to spare
CODEC = MessageCodec[MaintenanceMessage](
    (Ask, Order, Offered, StatusAsk, Figures, Elsewhere, Wait, Status, Taken), MessageError, MAX_MESSAGE_BYTES
)
