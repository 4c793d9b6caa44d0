"""What agents, operators and gateways say to each other about leave, as bytes: by its kind's name and its fields."""

from __future__ import annotations

from typing import cast

import msgspec
from msgspec import Struct

from tansykeel.errors import Problem
from tansykeel.maintenance.canary_analysis import Seen
from tansykeel.maintenance.controller import Ask, Order
from tansykeel.maintenance.entries import Move, Plan, Recover
from tansykeel.maintenance.state import Kept


class WordError(Problem, ValueError):
    """What is said about leave is no word of it."""

    advice = "look at the version of the program that said it: agents, operators and gateways speak the same words"


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


Word = Ask | Order | Offered | StatusAsk | Figures | Elsewhere | Wait | Status | Taken
KINDS: dict[str, type[Word]] = {
    kind.__name__: kind for kind in (Ask, Order, Offered, StatusAsk, Figures, Elsewhere, Wait, Status, Taken)
}
DECODERS = {name: msgspec.msgpack.Decoder(kind) for name, kind in KINDS.items()}


def packed(word: Word) -> tuple[str, bytes]:
    return type(word).__name__, msgspec.msgpack.encode(word)


def unpacked(what: str, data: bytes) -> Word:
    """Raises WordError for what is no word."""
    if what not in DECODERS:
        raise WordError(f"word {what!r}; legal: {', '.join(KINDS)}")
    try:
        return cast(Word, DECODERS[what].decode(data))
    except (msgspec.DecodeError, RecursionError) as error:
        raise WordError(f"word {what!r}: {error}") from None
