"""A keeper's words as bytes, for whatever carries them: each by its kind's name and its fields."""

from __future__ import annotations

from typing import cast

import msgspec

from tansykeel.errors import Problem
from tansykeel.fleet import ledger
from tansykeel.fleet.keeper import Said
from tansykeel.fleet.liveness import Ack, NoAnswer, Ping, Try, Word
from tansykeel.fleet.membership import (
    Accept,
    Accepted,
    Ask,
    Decided,
    Done,
    Form,
    Formed,
    Grant,
    Prepare,
    Promise,
    Stepped,
)
from tansykeel.fleet.outbox import Urgency

KINDS = {
    kind.__name__: kind
    for kind in (
        Ping,
        Ack,
        Try,
        NoAnswer,
        Ask,
        Grant,
        Prepare,
        Promise,
        Accept,
        Accepted,
        Form,
        Formed,
        Decided,
        Stepped,
        Done,
        ledger.Gather,
        ledger.Held,
        ledger.Install,
        ledger.Append,
        ledger.Took,
        ledger.Stale,
        ledger.Offer,
    )
}
DECODERS = {name: msgspec.msgpack.Decoder(kind) for name, kind in KINDS.items()}
MOST = 60 << 10  # bytes of one word: a view of 1,000 gateways, told with its voters, and some to spare


class WordError(Problem, ValueError):
    """Another gateway sent what is no word of the fleet."""

    advice = "look at the version of the gateway that is named: all of a fleet speak the same words"


def packed(word: Said) -> tuple[str, bytes]:
    return type(word).__name__, msgspec.msgpack.encode(word)


def unpacked(what: str, data: bytes) -> Said:
    """Raises WordError for what is no word."""
    if what not in DECODERS:
        raise WordError(f"word {what!r}; legal: {', '.join(KINDS)}")
    if len(data) > MOST:
        raise WordError(f"word {what!r}: {len(data)} bytes; legal: {MOST} at most")
    try:
        return cast(Said, DECODERS[what].decode(data))
    except msgspec.DecodeError as error:
        raise WordError(f"word {what!r}: {error}") from None


def urgency_of(word: Said) -> Urgency:
    return Urgency.LIVENESS if isinstance(word, Word) else Urgency.PROMISE


def number_of(word: Said) -> int | None:
    """Of the view that a word of the agreement is about; None for those of liveness and the ledger."""
    if isinstance(word, Word | ledger.Word):
        return None
    return word.view.number if isinstance(word, Form | Formed | Decided) else word.number
