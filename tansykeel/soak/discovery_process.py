"""Two simulated discoveries as one process: each tells every gateway the list of stores at a port of its own.

Lines on its input: {"member": {...}} changes a store, {"silent": seconds} says nothing, {"break": true} ends watches.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path
from typing import Any

from tansykeel.soak.records import Recorder, Told, now
from tansykeel.soak.store_process import read_lines

EMPTY_LINE_EVERY = 2.0  # seconds


class Discovery:
    """The list, and the watches of gateways."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.watches: dict[asyncio.StreamWriter, str] = {}
        self.silent_until = 0.0
        self.untold: dict[asyncio.StreamWriter, None] = {}

    async def serve(self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one watch until it ends."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            while now() < self.silent_until:
                await asyncio.sleep(0.05)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches[writer] = gateway
            self._tell(writer, list(self.members.values()), True)
            while not reader.at_eof():
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(EMPTY_LINE_EVERY):
                        await reader.read(1)
                        break
                if now() >= self.silent_until:
                    self._chunk(writer, b"\n")
        self.watches.pop(writer, None)
        writer.close()

    def command(self, line: str) -> None:
        """Take a line of the input."""
        words = json.loads(line)
        if "member" in words:
            self._change(words["member"])
        if "silent" in words:
            self.silent_until = now() + words["silent"]
            asyncio.get_running_loop().call_later(words["silent"] + 0.01, self._tell_missed)
        if "break" in words:
            for writer in list(self.watches):
                writer.transport.abort()

    def _change(self, member: dict[str, Any]) -> None:
        self.revision += 1
        self.members[member["id"]] = member
        if member["phase"] == "Gone":
            del self.members[member["id"]]
        for writer in list(self.watches):
            if now() < self.silent_until:
                self.untold[writer] = None
            else:
                self._tell(writer, [member], False)

    def _tell_missed(self) -> None:
        if now() < self.silent_until:
            return
        for writer in list(self.untold):
            if writer in self.watches:
                self._tell(writer, list(self.members.values()), True)
        self.untold.clear()

    def _tell(self, writer: asyncio.StreamWriter, members: list[dict[str, Any]], complete: bool) -> None:
        text = json.dumps({"revision": self.revision, "complete": complete, "members": members}).encode() + b"\n"
        self._chunk(writer, text)
        for member in members:
            since = member["up_since_ms"]
            started = now() - (time.time() - since / 1000) if since else 0.0  # wall clock: its own, never stepped
            self.recorder.write(Told(now(), self.watches[writer], member["id"], member["phase"], started))

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))


async def main() -> None:
    """Run until the input ends: file of records, gateways, first port of each discovery."""
    path, gateways, *ports = sys.argv[1:]
    recorder = Recorder(Path(path))
    discovery = Discovery(recorder)

    def serving(gateway: str) -> Any:
        return lambda reader, writer: discovery.serve(gateway, reader, writer)

    for first_port in ports:
        for number in range(int(gateways)):
            await asyncio.start_server(serving(f"g{number}"), "127.0.0.1", int(first_port) + number)

    flushing = asyncio.create_task(recorder.keep_flushing())
    print("ready", flush=True)
    await read_lines(discovery.command)
    flushing.cancel()
    recorder.flush()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
