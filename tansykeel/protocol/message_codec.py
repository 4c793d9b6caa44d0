"""Messages packed as the name of their type and their fields, for whatever record carries the two.

Peers that speak such messages share a closed set of types; a name outside of it, or fields that do not fit, are
refused with an error of the package that owns the set.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, TypeVar, cast

import msgspec

from tansykeel.errors import Problem

MessageT = TypeVar("MessageT")


class MessageCodec(Generic[MessageT]):
    """Encodes and decodes the messages of one closed set of types."""

    def __init__(self, kinds: Iterable[type], error: type[Problem], most_bytes: int) -> None:
        """`error` is raised for what is no message of the set; `most_bytes` bounds the fields of one message."""
        self.kinds = {kind.__name__: kind for kind in kinds}
        self.error = error
        self.most_bytes = most_bytes
        self._encode = msgspec.msgpack.Encoder().encode
        self._decoders: dict[str, msgspec.msgpack.Decoder[object]] = {
            name: msgspec.msgpack.Decoder(kind) for name, kind in self.kinds.items()
        }

    def encode(self, message: MessageT) -> tuple[str, bytes]:
        """Return the name of the message's type and its fields as bytes."""
        return type(message).__name__, self._encode(message)

    def decode(self, name: str, data: bytes) -> MessageT:
        """Return the message. Raises the error of the set for a name or for fields that are none of it."""
        if name not in self._decoders:
            raise self.error(f"message {name!r}; legal: {', '.join(self.kinds)}")
        if len(data) > self.most_bytes:
            raise self.error(f"message {name!r}: {len(data)} bytes; legal: {self.most_bytes} at most")
        try:
            return cast(MessageT, self._decoders[name].decode(data))
        except (msgspec.DecodeError, RecursionError) as error:
            raise self.error(f"message {name!r}: {error}") from None
