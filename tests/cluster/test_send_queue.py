"""Send queue: order by urgency, limits and expiry. Encoding of messages."""

import msgspec
import pytest

from tansykeel.cluster.failure_detector import Ping
from tansykeel.cluster.gossip import GossipItem, MemberState
from tansykeel.cluster.membership import Decided, Form, LeaseRequest, Member, Promise, Revoked, View
from tansykeel.cluster.messages import CODEC, MAX_MESSAGE_BYTES, urgency_of, view_number
from tansykeel.cluster.send_queue import QueueLimit, SendQueue, Urgency

LIMITS = {Urgency.HINT: QueueLimit(2, 100), Urgency.LIVENESS: QueueLimit(2, 10), Urgency.PROMISE: QueueLimit(2, 50)}


def take_all(queue, now):
    messages = []
    while (message := queue.take(now)) is not None:
        messages.append(message)
    return messages


def test_messages_are_sent_by_urgency_and_in_order_within_it():
    queue = SendQueue(LIMITS)
    for urgency, message in [
        (Urgency.HINT, "h"),
        (Urgency.PROMISE, "p"),
        (Urgency.LIVENESS, "l"),
        (Urgency.PROMISE, "q"),
    ]:
        queue.put(0, urgency, message)
    assert len(queue) == 4 and take_all(queue, 1) == ["l", "p", "q", "h"] and not len(queue)


def test_expired_messages_are_dropped():
    queue = SendQueue(LIMITS)
    for urgency in Urgency:
        queue.put(0, urgency, urgency.name)
    assert take_all(queue, 50) == ["HINT"]
    assert queue.dropped == {Urgency.LIVENESS: 1, Urgency.PROMISE: 1, Urgency.HINT: 0}


def test_each_urgency_has_a_limit_of_its_own_and_keeps_the_newest():
    queue = SendQueue(LIMITS)
    queue.put(0, Urgency.LIVENESS, "l")
    for number in range(9):
        queue.put(0, Urgency.HINT, number)
    assert take_all(queue, 1) == ["l", 7, 8] and queue.dropped[Urgency.HINT] == 7


def test_obsolete_messages_are_dropped():
    queue = SendQueue(LIMITS)
    queue.put(0, Urgency.PROMISE, 3)
    queue.put(0, Urgency.PROMISE, 4)
    queue.drop(Urgency.PROMISE, lambda message: message < 4)
    assert take_all(queue, 1) == [4] and queue.dropped[Urgency.PROMISE] == 1


def test_messages_are_decoded_as_they_were_encoded():
    a, b = Member("a", 2**60, 3, 2), Member("b", 1)
    view = View(7, (a, b), (a,), (b,))
    messages = [
        Ping(1, (GossipItem("b", MemberState.SUSPECT, 2, 1, "a"),)),
        Promise(6, (2, "a"), (1, "b"), view),
        Promise(6, (2, "a"), (0, ""), None),
        Form(view, ("c",)),
        Decided(view),
        LeaseRequest(6, -5),
        Revoked(7),
    ]
    assert [CODEC.decode(*CODEC.encode(message)) for message in messages] == messages
    assert [view_number(message) for message in messages] == [None, 6, 6, 7, 7, 6, 7]
    assert [urgency_of(message) for message in messages[:2]] == [Urgency.LIVENESS, Urgency.PROMISE]
    assert len(CODEC.kinds) == 22


def test_a_view_of_a_thousand_members_fits_a_message():
    members = tuple(Member(f"edge-{n}", 2**60 + n, n % 3) for n in range(1000))
    assert len(CODEC.encode(Decided(View(9, members, members[:5], members[:5])))[1]) <= MAX_MESSAGE_BYTES


@pytest.mark.parametrize(
    "name, data, error",
    [
        ("Poke", b"", "legal: Ping"),
        ("LeaseRequest", b"\x01", "message 'LeaseRequest'"),
        ("LeaseRequest", msgspec.msgpack.encode([1]), "length"),
        ("Decided", bytes(MAX_MESSAGE_BYTES + 1), "bytes; legal"),
    ],
)
def test_what_is_no_message_is_rejected(name, data, error):
    with pytest.raises(ValueError, match=error):
        CODEC.decode(name, data)
