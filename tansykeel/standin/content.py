"""Bodies that tell what they are: whoever reads one can check it without having seen it written."""

from __future__ import annotations

import struct
from functools import lru_cache

import xxhash

_HEAD = struct.Struct(">QQ")  # key, mark of the writer; 0 for what was there from the start


@lru_cache(maxsize=256)
def _filler(seed: int) -> bytes:
    return b"".join(xxhash.xxh3_128_digest(b"%d/%d" % (seed, n)) for n in range(256))


def body(key: int, mark: int, size: int) -> bytes:
    """`size` bytes for this key by this writer."""
    filler = _filler((key * 31 + mark) % 251)
    return (_HEAD.pack(key, mark) + filler * (size // len(filler) + 1))[:size]


def fits(data: bytes, key: int, size: int) -> bool:
    """Whether the bytes are a whole body of this key, by whichever writer."""
    if len(data) != size:
        return False
    if size < _HEAD.size:
        return True  # too short to tell
    told, mark = _HEAD.unpack_from(data)
    return told == key and data == body(key, mark, size)
