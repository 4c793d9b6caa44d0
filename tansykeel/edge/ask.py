"""Asks a running gateway what it believes of its fleet, over the protocol that clients speak."""

from __future__ import annotations

import asyncio

from tansykeel.errors import NOT_PLAYED, Problem
from tansykeel.protocol.codec import Codec, Event, Frame
from tansykeel.protocol.frames import Error, FleetAsk, FleetTold, Hello
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import connect

HELLO = Hello(1, "client", "tansykeel-fleet")


class NotTold(Problem):
    """A gateway that was asked did not say."""

    advice = "look whether it runs, at the address of its settings, and whether it agrees with others"
    code = NOT_PLAYED


async def ask(address: str, seconds: float) -> FleetTold:
    """Raises NotTold, also for an address that is none."""
    hub = Hub(Limits(stall=seconds))
    told: asyncio.Future[FleetTold] = asyncio.get_running_loop().create_future()

    def event(link: Link, event: Event) -> None:
        if isinstance(event, Frame) and not told.done():
            match event.record:
                case FleetTold() as record:
                    told.set_result(record)
                case Error(text):
                    told.set_exception(NotTold(text))

    def lost(link: Link, why: str) -> None:
        if not told.done():
            told.set_exception(NotTold(why))
    try:
        async with asyncio.timeout(seconds):
            link = Link(hub, await connect(address, seconds), Codec("edge"), HELLO, event, lost)
            link.send(1, FleetAsk())
            return await told
    except TimeoutError:
        raise NotTold(f"no answer within {seconds:g} s") from None
    except (OSError, ValueError) as error:
        raise NotTold(str(error)) from None
    finally:
        await hub.stop()
