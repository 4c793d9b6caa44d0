"""What waits for a connection: order by urgency, bounds, lateness; and words as bytes."""

import msgspec
import pytest

from tansykeel.cluster.failure_detector import Ping
from tansykeel.cluster.gossip import GossipItem, MemberState
from tansykeel.cluster.membership import Decided, Form, LeaseRequest, Member, Promise, Revoked, View
from tansykeel.cluster.messages import CODEC, MOST_BYTES, urgency_of, view_number
from tansykeel.cluster.send_queue import QueueLimit, SendQueue, Urgency

BOUNDS = {Urgency.HINT: QueueLimit(2, 100), Urgency.LIVENESS: QueueLimit(2, 10), Urgency.PROMISE: QueueLimit(2, 50)}


def taken(box, now):
    found = []
    while (word := box.take(now)) is not None:
        found.append(word)
    return found


def test_the_urgent_goes_first_and_each_kind_in_its_order():
    box = SendQueue(BOUNDS)
    for urgency, word in [(Urgency.HINT, "h"), (Urgency.PROMISE, "p"), (Urgency.LIVENESS, "l"), (Urgency.PROMISE, "q")]:
        box.put(0, urgency, word)
    assert len(box) == 4 and taken(box, 1) == ["l", "p", "q", "h"] and not len(box)


def test_what_is_too_late_is_dropped_where_it_waits():
    box = SendQueue(BOUNDS)
    for urgency in Urgency:
        box.put(0, urgency, urgency.name)
    assert taken(box, 50) == ["HINT"]
    assert box.dropped == {Urgency.LIVENESS: 1, Urgency.PROMISE: 1, Urgency.HINT: 0}


def test_one_kind_in_a_crowd_takes_no_room_of_another_and_keeps_the_newest():
    box = SendQueue(BOUNDS)
    box.put(0, Urgency.LIVENESS, "l")
    for number in range(9):
        box.put(0, Urgency.HINT, number)
    assert taken(box, 1) == ["l", 7, 8] and box.dropped[Urgency.HINT] == 7


def test_moot_words_are_let_go():
    box = SendQueue(BOUNDS)
    box.put(0, Urgency.PROMISE, 3)
    box.put(0, Urgency.PROMISE, 4)
    box.drop(Urgency.PROMISE, lambda word: word < 4)
    assert taken(box, 1) == [4] and box.dropped[Urgency.PROMISE] == 1


def test_each_kind_of_word_comes_back_as_it_was():
    a, b = Member("a", 2**60, 3, 2), Member("b", 1)
    view = View(7, (a, b), (a,), (b,))
    words = [
        Ping(1, (GossipItem("b", MemberState.SUSPECT, 2, 1, "a"),)),
        Promise(6, (2, "a"), (1, "b"), view),
        Promise(6, (2, "a"), (0, ""), None),
        Form(view, ("c",)),
        Decided(view),
        LeaseRequest(6, -5),
        Revoked(7),
    ]
    assert [CODEC.decode(*CODEC.encode(word)) for word in words] == words
    assert [view_number(word) for word in words] == [None, 6, 6, 7, 7, 6, 7]
    assert [urgency_of(word) for word in words[:2]] == [Urgency.LIVENESS, Urgency.PROMISE]
    assert len(CODEC.kinds) == 22


def test_a_view_of_a_thousand_fits_a_frame():
    members = tuple(Member(f"edge-{n}", 2**60 + n, n % 3) for n in range(1000))
    assert len(CODEC.encode(Decided(View(9, members, members[:5], members[:5])))[1]) <= MOST_BYTES


@pytest.mark.parametrize(
    "what, data, says",
    [
        ("Poke", b"", "legal: Ping"),
        ("LeaseRequest", b"\x01", "message 'LeaseRequest'"),
        ("LeaseRequest", msgspec.msgpack.encode([1]), "length"),
        ("Decided", bytes(MOST_BYTES + 1), "bytes; legal"),
    ],
)
def test_what_is_no_word_is_refused(what, data, says):
    with pytest.raises(ValueError, match=says):
        CODEC.decode(what, data)
