"""Encoding of the messages between cluster members: the name of the type, and the fields as bytes.

The name and the fields travel in a record of the connection, which this module does not know.
"""

from __future__ import annotations

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
from tansykeel.protocol.message_codec import MessageCodec

MAX_MESSAGE_BYTES = 60 << 10  # fits a Decided with a view of 1,000 members, with some margin


class MessageError(Problem, ValueError):
    """Another cluster member sent a message that is not part of the cluster protocol."""

    advice = "check the version of the member that is named: all members of a cluster have to run the same one"


CODEC = MessageCodec[ClusterMessage](
    (
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
    ),
    MessageError,
    MAX_MESSAGE_BYTES,
)


def urgency_of(message: ClusterMessage) -> Urgency:
    """Return the urgency with which a message waits to be sent."""
    return Urgency.LIVENESS if isinstance(message, DetectorMessage) else Urgency.PROMISE


def view_number(message: ClusterMessage) -> int | None:
    """Return the number of the view that a message is about; None for the failure detector's and the log's."""
    if isinstance(message, DetectorMessage | replicated_log.LogMessage):
        return None
    return message.view.number if isinstance(message, Form | Formed | Decided) else message.number
