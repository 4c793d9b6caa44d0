"""Messages between cluster members as bytes, for whatever carries them: each by its type's name and its fields."""

from __future__ import annotations

from typing import cast

import msgspec

from tansykeel.cluster import replicated_log
from tansykeel.cluster.failure_detector import Ack, DetectorMessage, NoAnswer, Ping, Try
from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import (
    Accept,
    Accepted,
    Decided,
    Form,
    Formed,
    LeaseGrant,
    LeaseRequest,
    Prepare,
    Promise,
    Revoked,
    Stepped,
)
from tansykeel.cluster.send_queue import Urgency
from tansykeel.errors import Problem

KINDS = {
    kind.__name__: kind
    for kind in (
        Ping,
        Ack,
        Try,
        NoAnswer,
        LeaseRequest,
        LeaseGrant,
        Prepare,
        Promise,
        Accept,
        Accepted,
        Form,
        Formed,
        Decided,
        Stepped,
        Revoked,
        replicated_log.LogPrepare,
        replicated_log.LogPromise,
        replicated_log.InstallSnapshot,
        replicated_log.LogAccept,
        replicated_log.LogAccepted,
        replicated_log.LogRejected,
        replicated_log.Propose,
    )
}
DECODERS = {name: msgspec.msgpack.Decoder(kind) for name, kind in KINDS.items()}
MOST = 60 << 10  # bytes of one word: a view of 1,000 gateways, told with its voters, and some to spare


class WordError(Problem, ValueError):
    """Another gateway sent what is no word of the fleet."""

    advice = "look at the version of the gateway that is named: all of a fleet speak the same words"


def packed(word: ClusterMessage) -> tuple[str, bytes]:
    return type(word).__name__, msgspec.msgpack.encode(word)


def unpacked(what: str, data: bytes) -> ClusterMessage:
    """Raises WordError for what is no word."""
    if what not in DECODERS:
        raise WordError(f"word {what!r}; legal: {', '.join(KINDS)}")
    if len(data) > MOST:
        raise WordError(f"word {what!r}: {len(data)} bytes; legal: {MOST} at most")
    try:
        return cast(ClusterMessage, DECODERS[what].decode(data))
    except msgspec.DecodeError as error:
        raise WordError(f"word {what!r}: {error}") from None


def urgency_of(word: ClusterMessage) -> Urgency:
    return Urgency.LIVENESS if isinstance(word, DetectorMessage) else Urgency.PROMISE


def number_of(word: ClusterMessage) -> int | None:
    """Of the view that a word of the agreement is about; None for those of liveness and the ledger."""
    if isinstance(word, DetectorMessage | replicated_log.LogMessage):
        return None
    return word.view.number if isinstance(word, Form | Formed | Decided) else word.number
