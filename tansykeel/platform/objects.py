"""Splits the data that discovery sends into JSON objects, whatever the line breaks: one per line, indented, or several
per line.

This is our own code because the available parsers either need a complete text (msgspec) or slowly build generic values
event by event (ijson). Only the ends of objects are searched here; msgspec decodes their contents.
"""

from __future__ import annotations

import re

from tansykeel.errors import Problem

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+'  # without its closing quote, as far as it was received
# A string, whole or without its closing quote; a whole object with no other one in it; a brace of another object.
_PART = re.compile(rb'%s("?)|\{(?:[^"{}]++|%s")*+\}|[{}]' % (_STRING, _STRING), re.DOTALL)


class Unfit(Problem, ValueError):
    """The data that discovery sends is not a sequence of JSON objects."""

    advice = "check what the agent at the address of discovery sends; the gateway opens another watch"


class ObjectSplitter:
    """Splits one stream into objects of at most `max_bytes` each. It must not be used after it has raised."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()  # what was received from the first byte of the incomplete object on
        self._scanned = self._depth = 0

    @property
    def open(self) -> bool:
        """Whether an object has begun and is incomplete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the objects that `data` completes. Raises Unfit."""
        self._buffer += data
        found: list[bytes] = []
        first, scanned = 0, len(self._buffer)
        for part in _PART.finditer(self._buffer, self._scanned):
            if part[1] is not None:
                if not part[1]:
                    scanned = part.start()  # scanned again once more of it was received
                    break
                continue
            brace = part[0]
            if brace == b"{":
                self._depth += 1
                continue
            if brace == b"}":
                self._depth -= 1
            if self._depth < 0:
                raise Unfit("closing brace of an object that did not begin")
            if not self._depth:
                found.append(bytes(self._buffer[first : part.end()]))
                first = part.end()
        del self._buffer[:first]
        self._scanned = scanned - first
        if not self._depth:
            if self._buffer.strip():
                raise Unfit("text that belongs to no object")
            self._buffer.clear()
            self._scanned = 0
        elif len(self._buffer) > self.max_bytes:
            raise Unfit(f"an object of more than {self.max_bytes} bytes")
        return found
