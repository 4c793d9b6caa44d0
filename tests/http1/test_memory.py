"""Guards against messages that take many times the memory that their readers count.

What happened: answers without end in chunks of two bytes took a gateway over its memory, and the platform killed it.
The requests that it held were never answered.

What showed the cause: each chunk was kept as an object of its own, of which only the payload was counted. An answer
within its bound of 1 MiB took 10 MB or more, so the bounds on all answers and requests saw a tenth of what was held.
"""

from __future__ import annotations

import gc
import tracemalloc

import pytest

from tansykeel.http1.codec import MOST_HEAD, AnswerReader, RequestReader
from tansykeel.http1.messages import FIELD_OVERHEAD

SLACK = 16 << 10  # bytes that a reader may take beyond what it holds


def memory_of(reader, pieces):
    """Feed the pieces and return by how many bytes the memory in use has grown."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for piece in pieces:
            reader.feed(piece)
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def chunks(total, size, line=b"%x\r\n"):
    """Return the chunks of a body of `total` bytes, some thousands of them in each piece."""
    chunk = line % size + b"x" * size + b"\r\n"
    count, per_piece = total // size, 4_000
    return [chunk * min(per_piece, count - done) for done in range(0, count, per_piece)]


@pytest.mark.parametrize("line", [b"%x\r\n", b"%x;a=b\r\n"], ids=["plain", "extensions"])
@pytest.mark.parametrize("size", [1, 2, 7, 100])
def test_an_answer_in_small_chunks_takes_about_the_memory_that_it_counts(size, line):
    reader = AnswerReader()
    pieces = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", *chunks(600_000, size, line)]
    held = memory_of(reader, pieces)
    assert reader.fault is None and reader.size >= 500_000
    assert held <= 2 * reader.size + SLACK


@pytest.mark.parametrize("size", [1, 2, 7, 100])
def test_half_a_request_in_small_chunks_takes_about_the_memory_that_it_counts(size):
    reader = RequestReader()
    head = b"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    held = memory_of(reader, [head, *chunks(60_000, size)])
    assert reader.fault is None and reader.size >= 50_000
    assert held <= 2 * reader.size + SLACK


@pytest.mark.parametrize("fields", [0, 5, 30, 300])
def test_requests_sent_ahead_take_about_the_memory_that_they_count(fields):
    reader = RequestReader()
    request = b"GET / HTTP/1.1\r\nHost:a\r\n%s\r\n" % b"".join(b"n%d:%d\r\n" % (each, each) for each in range(fields))
    held = memory_of(reader, [request * 200 for _ in range(10)])
    assert reader.fault is None
    assert held / 2 - SLACK <= reader.memory


@pytest.mark.parametrize("reader, start", [(RequestReader, b"GET / HTTP/1.1"), (AnswerReader, b"HTTP/1.1 200 OK")])
def test_a_head_of_many_fields_takes_about_the_memory_that_it_counts(reader, start):
    heads = [reader() for _ in range(20)]
    pieces = [start + b"\r\n" + b"".join(b"%x:\r\n" % each for each in range(1_200))] * len(heads)
    held = sum(memory_of(one, [piece]) for one, piece in zip(heads, pieces, strict=True))
    assert not any(one.fault for one in heads)
    assert held / 2 - SLACK <= sum(one.memory for one in heads)


def test_fields_over_the_bound_of_a_head_are_refused_before_all_are_read():
    field = b"f%04d: v\r\n"
    text_of_field = len(b"f0000v")
    reader, piece = AnswerReader(), b"HTTP/1.1 200 OK\r\n" + b"".join(field % number for number in range(6_000))
    tracemalloc.start()
    reader.feed(piece)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert "head of more than" in reader.fault.text
    assert peak <= 2 * (MOST_HEAD + FIELD_OVERHEAD * MOST_HEAD // text_of_field)


def test_chunks_of_all_sizes_make_up_one_body():
    data = bytes(range(256)) * 40
    sizes = [1, 2, 3, 500, 4096, 1, 5000]
    wire, at = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"], 0
    while at < len(data):
        part = data[at : at + sizes[len(wire) % len(sizes)]]
        wire.append(b"%x\r\n%s\r\n" % (len(part), part))
        at += len(part)
    reader = AnswerReader()
    for piece in [*wire, b"0\r\n\r\n"]:
        reader.feed(piece)
    assert reader.next().body == data and isinstance(reader.next().body, bytes)
