"""Messages between agents, operators and gateways about maintenance, and how they are packed."""

from __future__ import annotations

from msgspec import Struct

from tansykeel.errors import Problem
from tansykeel.maintenance.canary_analysis import Seen
from tansykeel.maintenance.controller import Ask, Order
from tansykeel.maintenance.entries import Move, Plan, Recover
from tansykeel.maintenance.state import Kept
from tansykeel.protocol.message_codec import MessageCodec


class MessageError(Problem, ValueError):
    """What is said about maintenance is no message of it."""

    advice = "look at the version of the program that said it: agents, operators and gateways speak the same messages"


class Offered(Struct, frozen=True, array_like=True):
    """An operator's entry: a plan, a move of a release, or what is out."""

    entry: Plan | Move | Recover


class StatusAsk(Struct, frozen=True, array_like=True):
    pass


class Figures(Struct, frozen=True, array_like=True):
    """A gateway to whoever leads: what it served of each class in the stretch of time with this number."""

    stretch: int
    by_class: dict[str, Seen]


class Elsewhere(Struct, frozen=True, array_like=True):
    """The gateway that was asked does not lead. Who does, as far as it knows, and its address by the settings."""

    leader: str = ""
    address: str = ""


class Wait(Struct, frozen=True, array_like=True):
    """No order now, and what speaks against one."""

    why: tuple[str, ...] = ()


class Status(Struct, frozen=True, array_like=True):
    """What a gateway that leads holds true."""

    leader: str
    view: int
    entries: int
    state: Kept
    against: tuple[str, ...]  # what holds up the next step of the release that is under way


class Taken(Struct, frozen=True, array_like=True):
    """Whether an operator's entry was taken for the ledger; what became of it shows in the status."""

    so: bool
    why: str = ""


MaintenanceMessage = Ask | Order | Offered | StatusAsk | Figures | Elsewhere | Wait | Status | Taken
MOST_BYTES = 60 << 10  # of one message: the whole state of 1,000 gateways and stores, and some to spare
CODEC = MessageCodec[MaintenanceMessage](
    (Ask, Order, Offered, StatusAsk, Figures, Elsewhere, Wait, Status, Taken), MessageError, MOST_BYTES
)
