"""Whole JSON objects out of what discovery sends, wherever its line ends fall: one a line, indented, several a line.

Own code: the readers at hand either want a whole text (msgspec) or build slow generic values event by event (ijson).
Here only the ends of objects are looked for; what an object says is read by msgspec.
"""

from __future__ import annotations

import re

from tansykeel.errors import Problem

# A string, whole or as far as it has come (then without its last quote), or a brace outside of strings.
_PART = re.compile(rb'"(?:[^"\\]|\\.)*+("?)|[{}]', re.DOTALL)


class Unfit(Problem, ValueError):
    """What discovery sends is no sequence of JSON objects."""

    advice = "look at what the agent at the address of discovery says; the gateway opens another watch"


class Objects:
    """Of one stream. `most`: bytes of one object. Not to be used on after it has raised."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._rest = bytearray()  # from the first byte of the object that is open
        self._scanned = self._depth = 0

    @property
    def open(self) -> bool:
        """Whether one has begun and is not whole."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that are whole with this. Raises Unfit."""
        self._rest += data
        found: list[bytes] = []
        first, scanned = 0, len(self._rest)
        for part in _PART.finditer(self._rest, self._scanned):
            if part[1] is not None:
                if not part[1]:
                    scanned = part.start()  # looked at again once more of it is here
                    break
            elif part[0] == b"{":
                self._depth += 1
            else:
                self._depth -= 1
                if self._depth < 0:
                    raise Unfit("an object ends that did not begin")
                if not self._depth:
                    found.append(bytes(self._rest[first : part.end()]))
                    first = part.end()
        del self._rest[:first]
        self._scanned = scanned - first
        if not self._depth:
            if self._rest.strip():
                raise Unfit("text that belongs to no object")
            self._rest.clear()
            self._scanned = 0
        elif len(self._rest) > self.most:
            raise Unfit(f"an object of more than {self.most} bytes")
        return found
