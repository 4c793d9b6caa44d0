"""What one connection still has to send: frames first, in their order, then bodies by turns, a chunk each.

So a large body holds up a small one, or an answer without a body, by one chunk at most.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from tansykeel.protocol.frames import MOST_CHUNK, Cut, Fields, chunk_head, pack

Done = Callable[[], None]
Block = bytes | memoryview


class Body:
    """A body on its way: parts as they came, cut into chunks as they leave."""

    def __init__(self, stream: int, parts: Sequence[bytes], done: Done | None) -> None:
        self.stream, self.done = stream, done
        self.parts = deque[Block](parts)
        self.size = sum(map(len, parts))

    def chunk(self) -> list[Block]:
        """The next chunk: its header and pieces of MOST_CHUNK bytes together at most. Nothing is copied."""
        pieces: list[Block] = []
        room = MOST_CHUNK
        while self.parts and room:
            part = self.parts.popleft()
            if len(part) > room:
                view = memoryview(part)
                self.parts.appendleft(view[room:])
                part = view[:room]
            pieces.append(part)
            room -= len(part)
        self.size -= MOST_CHUNK - room
        return [chunk_head(self.stream, MOST_CHUNK - room), *pieces]


class Outgoing:
    def __init__(self) -> None:
        self._frames: deque[bytes] = deque()
        self._bodies: deque[Body] = deque()
        self.held = 0  # bytes of frames and bodies that wait here

    def __bool__(self) -> bool:
        return bool(self._frames or self._bodies)

    def frame(self, stream: int, record: Fields) -> None:
        data = pack(stream, record)
        self._frames.append(data)
        self.held += len(data)

    def body(self, stream: int, parts: Sequence[bytes], done: Done | None = None) -> None:
        """The bytes that the stream's frame announced; `done` is called once, when they left or were dropped."""
        made = Body(stream, parts, done)
        if made.size:
            self._bodies.append(made)
            self.held += made.size
        elif done:
            done()

    def drop(self, stream: int) -> bool:
        """Give up a body in the middle and say so; False if none was under way."""
        for body in self._bodies:
            if body.stream == stream:
                self._bodies.remove(body)
                self.held -= body.size
                self.frame(stream, Cut())
                if body.done:
                    body.done()
                return True
        return False

    def clear(self) -> None:
        """The connection is gone: nothing will leave any more."""
        bodies = list(self._bodies)
        self._frames.clear()
        self._bodies.clear()
        self.held = 0
        for body in bodies:
            if body.done:
                body.done()

    def take(self, most: int) -> list[Block]:
        """The next blocks to send, `most` bytes or a chunk more."""
        blocks: list[Block] = []
        size = 0
        while self._frames and size < most:
            blocks.append(self._frames.popleft())
            size += len(blocks[-1])
        self.held -= size
        while self._bodies and size < most:
            body = self._bodies.popleft()
            before = body.size
            blocks += body.chunk()
            size += before - body.size
            self.held -= before - body.size
            if body.size:
                self._bodies.append(body)
            elif body.done:
                body.done()
        return blocks
