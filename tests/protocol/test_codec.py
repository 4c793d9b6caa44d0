"""The codec: any split of the stream reads alike, any fault is named, nothing is believed that was not checked."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tansykeel.protocol.codec import Codec, Frame, Piece
from tansykeel.protocol.frames import (
    MOST_CHUNK,
    Answer,
    Cancel,
    Cut,
    HandOffOf,
    Hello,
    ListOf,
    ProtocolError,
    TaskOf,
    chunk_head,
    pack,
)
from tansykeel.protocol.outgoing import Outgoing

HELLO = pack(0, Hello(1, "client", "c"))
TASK = TaskOf("v", "read", 7, 10, 0, 1000, 1)
WRITE = TaskOf("v", "write", 7, 10, 0, 1000, 1, False, 10)


def talk() -> bytes:
    """A hello, two writes whose bodies interleave, one of them cut, a cancel."""
    return (
        HELLO
        + pack(1, WRITE)
        + pack(2, WRITE)
        + chunk_head(1, 4)
        + b"abcd"
        + chunk_head(2, 3)
        + b"xyz"
        + pack(2, Cut())
        + chunk_head(1, 6)
        + b"efghij"
        + pack(3, TASK)
        + pack(3, Cancel())
    )


def heard(cuts: list[int], data: bytes) -> tuple[list[object], dict[int, bytes]]:
    codec, frames, bodies = Codec("client"), [], {}
    edges = [0, *sorted(cuts), len(data)]
    for start, end in zip(edges, edges[1:], strict=False):
        for event in codec.receive(data[start:end]):
            if isinstance(event, Frame):
                frames.append((event.stream, event.record))
            else:
                bodies[event.stream] = bodies.get(event.stream, b"") + event.data
    return frames, bodies


@given(st.lists(st.integers(0, len(talk())), max_size=12))
def test_any_split_of_the_stream_reads_alike(cuts):
    assert heard(cuts, talk()) == heard([], talk())
    assert heard(cuts, talk())[1] == {1: b"abcdefghij", 2: b"xyz"}


@settings(max_examples=300)
@given(st.integers(0, len(talk()) - 1), st.integers(1, 255))
def test_a_flipped_byte_is_found_or_lies_in_a_body(at, flip):
    data = bytearray(talk())
    data[at] ^= flip
    try:
        frames, bodies = heard([], bytes(data))
    except ProtocolError as error:
        assert str(error)
        return
    right, whole = heard([], talk())
    if frames == right:  # only bytes of bodies have no check of their own in a frame
        assert {n: len(body) for n, body in bodies.items()} == {1: 10, 2: 3} and bodies != whole
    else:  # a longer length: it waits for bytes that the check will then refuse
        assert frames == right[: len(frames)]
        with pytest.raises(ProtocolError):
            heard([], bytes(data) + bytes(70_000))


@settings(max_examples=300)
@given(st.binary(max_size=400))
def test_noise_ends_in_one_named_fault_or_waits_for_more(data):
    codec = Codec("client", "edge", "store")
    try:
        events = codec.receive(data)
    except ProtocolError as error:
        assert str(error)
        with pytest.raises(ProtocolError, match="^" + "".join("\\" + c if not c.isalnum() else c for c in str(error))):
            codec.receive(b"")
    else:
        assert not events or len(data) >= 20


@pytest.mark.parametrize(
    "data, says",
    [
        (pack(1, TASK), "TASK before the hello"),
        (pack(0, Hello(2, "client", "c")), "version 2; spoken here: 1"),
        (pack(0, Hello(1, "store", "c")), "role 'store'; expected: client"),
        (HELLO + HELLO, "HELLO on stream 0: not legal"),
        (HELLO + pack(1, Answer(0)), "ANSWER on stream 1: not legal from a peer of role 'client'"),
        (HELLO + pack(1, HandOffOf(1, 0, "v", "c", 1, 1, 1.0, 0, 1, 1, False, "harmless")), "HAND_OFF on stream 1"),
        (HELLO + chunk_head(4, 4), "CHUNK on stream 4: no body"),
        (HELLO + pack(1, WRITE) + chunk_head(1, 11), "11 bytes; legal: 1 to 10"),
        (HELLO + pack(1, WRITE) + chunk_head(1, 0), "0 bytes; legal: 1 to 10"),
        (HELLO + pack(1, WRITE) + pack(1, WRITE), "a body is still under way"),
        (HELLO + pack(1, Cut()), "CUT on stream 1: no body"),
        (b"\x00" * 20, "unknown frame kind 0"),
        (b"\x63" + b"\x00" * 19, "unknown frame kind 99"),
        (HELLO[:1] + b"\x01" + HELLO[2:], "flags 1"),
        (HELLO[:4] + b"\x7f" + HELLO[5:], "legal: 65536 at most"),
        (chunk_head(1, MOST_CHUNK + 1), "legal: 65536 at most"),
        (HELLO[:-1] + b"!", "its check does not fit"),
    ],
)
def test_each_fault_is_named(data, says):
    with pytest.raises(ProtocolError, match=says):
        Codec("client").receive(data)


def test_a_record_of_the_wrong_shape_is_named():
    bad = pack(1, ListOf(True, 1, ()))  # a frame of another role, its fields read as a task's
    with pytest.raises(ProtocolError, match="not legal"):
        Codec("client").receive(HELLO + bad)


def drain(outgoing: Outgoing, most: int) -> list[bytes]:
    out = []
    while outgoing:
        out.append(b"".join(outgoing.take(most)))
    return out


def test_bodies_leave_by_turns_and_frames_go_before_them():
    outgoing, done = Outgoing(), []
    large, small = b"L" * (5 * MOST_CHUNK), b"s" * 10
    outgoing.frame(1, TaskOf("v", "w", 1, len(large), 0, 1, 1, False, len(large)))
    outgoing.body(1, [large[:100], large[100:]], lambda: done.append("large"))
    first = b"".join(outgoing.take(1))
    outgoing.frame(2, TaskOf("v", "w", 1, 10, 0, 1, 1, False, 10))
    outgoing.body(2, [small], lambda: done.append("small"))
    rest = drain(outgoing, 1)
    codec = Codec("client")
    order = [event.stream for event in codec.receive(HELLO + first + b"".join(rest)) if isinstance(event, Piece)]
    assert order.index(2) <= 2 and done == ["small", "large"] and outgoing.held == 0


def test_a_dropped_body_is_cut_and_its_memory_told_free():
    outgoing, done = Outgoing(), []
    outgoing.frame(1, TaskOf("v", "w", 1, 200_000, 0, 1, 1, False, 200_000))
    outgoing.body(1, [b"x" * 200_000], lambda: done.append(1))
    data = b"".join(outgoing.take(100) + outgoing.take(100))
    assert outgoing.drop(1) and not outgoing.drop(1)
    events = Codec("client").receive(HELLO + data + b"".join(outgoing.take(1 << 20)))
    assert isinstance(events[-1].record, Cut) and done == [1] and outgoing.held == 0
