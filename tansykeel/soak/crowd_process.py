"""A crowd of a soak test as one process: idle clients that fill the descriptors of one gateway.

Each connects, asks for nothing or for the gateway's health once, and stays until the gateway ends the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys

from tansykeel.soak.deployment import SOCKETS
from tansykeel.soak.store_process import read_lines

HEALTH = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
COMES_AGAIN_AFTER = (0.5, 2.0)  # seconds
READ = 4096  # bytes


async def stay(port: int, chance: random.Random) -> None:
    """Follow one client of the crowd, through one connection after the other."""
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                if chance.random() < 0.5:
                    writer.write(HEALTH)
                while await reader.read(READ):
                    pass
            finally:
                writer.transport.abort()
        await asyncio.sleep(chance.uniform(*COMES_AGAIN_AFTER))


async def main() -> None:
    """Run until the input ends: port, seed."""
    port, seed = sys.argv[1:3]
    chance = random.Random(f"{port} {seed}")
    clients = [asyncio.create_task(stay(int(port), chance)) for _ in range(SOCKETS)]
    print("ready", flush=True)
    await read_lines(lambda line: None)
    for client in clients:
        client.cancel()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
