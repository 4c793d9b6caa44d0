"""A gateway that answers `tansykeel fleet status` with a fleet of a given size, and does nothing else."""

from __future__ import annotations

import asyncio
from typing import Any

from tansykeel.capacity.stand_ins.commands import commands, say
from tansykeel.protocol.codec import Codec, Event, Frame
from tansykeel.protocol.frames import Fellow, FleetAsk, FleetTold, Hello, pack
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, listening

INCARNATION = 1_764_000_000_000_000_000  # as long on the wire as a real one: nanoseconds since 1970
VOTERS = 5


def told_of(gateways: int) -> FleetTold:
    """What a gateway of such a fleet tells where all are alive."""
    names = [f"gateway-{number}" for number in range(gateways)]
    others = tuple(
        Fellow(name, number % 5, "alive", 60_000_000, INCARNATION + number, (), "up", 0, 0)
        for number, name in enumerate(names)
        if number
    )
    members = tuple((name, INCARNATION + number) for number, name in enumerate(names))
    return FleetTold(
        names[0],
        INCARNATION,
        INCARNATION // 1_000_000,
        True,
        3_000_000,
        1 / gateways,
        0,
        members,
        tuple(names[:VOTERS]),
        others,
    )


async def serve_fleet(gateways: int) -> None:
    """Answers whoever asks; says its port and how many bytes its answer has."""
    hub, listener = Hub(Limits()), listening("127.0.0.1:0")
    told = told_of(gateways)

    def event(link: Link, event: Event) -> None:
        if isinstance(event, Frame) and isinstance(event.record, FleetAsk):
            link.send(event.stream, told)

    def accept(sock: Any) -> None:
        Link(hub, sock, Codec("client"), Hello(1, "edge", "gateway-0"), event, lambda link, why: None)

    accepting = asyncio.create_task(accept_all(listener, accept))
    say(port=listener.getsockname()[1], bytes=len(pack(1, told)))
    async for _ in commands():
        say(port=listener.getsockname()[1])
    accepting.cancel()
    await hub.stop()
