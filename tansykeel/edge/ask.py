"""Asks a running gateway what it believes of its fleet, over the protocol that clients speak."""

from __future__ import annotations

import asyncio

from tansykeel.errors import NOT_PLAYED, Problem
from tansykeel.maintenance.messages import CODEC, MaintenanceMessage, MessageError
from tansykeel.protocol.codec import Codec, Event, Frame
from tansykeel.protocol.frames import Accord, AccordTold, Error, Fields, FleetAsk, FleetTold, FleetWithout, Hello
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import connect

HELLO = Hello(1, "client", "tansykeel-fleet")


class NotTold(Problem):
    """A gateway that was asked did not say."""

    advice = "look whether it runs, at the address of its settings, and whether it agrees with others"
    code = NOT_PLAYED


async def ask(address: str, seconds: float) -> FleetTold:
    """What a gateway believes of its fleet. Raises NotTold, also for an address that is none."""
    told = await _told(address, FleetAsk(), seconds)
    if not isinstance(told, FleetTold):
        raise NotTold("it answered something else")
    return told


async def go_without(address: str, names: tuple[str, ...], seconds: float) -> FleetTold:
    """Tell a gateway that no process runs under these names. Raises NotTold, also where it is not taken."""
    told = await _told(address, FleetWithout(names), seconds)
    if not isinstance(told, FleetTold):
        raise NotTold("it answered something else")
    return told


async def say(address: str, word: MaintenanceMessage, seconds: float) -> MaintenanceMessage:
    """Say something of leave to a gateway; its answer. Raises NotTold, also for an address that is none."""
    told = await _told(address, Accord(*CODEC.encode(word)), seconds)
    if not isinstance(told, AccordTold):
        raise NotTold("it answered something else")
    try:
        return CODEC.decode(told.what, told.word)
    except MessageError as error:
        raise NotTold(str(error)) from None


async def _told(address: str, record: Fields, seconds: float) -> Fields:
    hub = Hub(Limits(stall=seconds))
    told: asyncio.Future[Fields] = asyncio.get_running_loop().create_future()

    def event(link: Link, event: Event) -> None:
        if isinstance(event, Frame) and not told.done():
            match event.record:
                case FleetTold() | AccordTold() as answer:
                    told.set_result(answer)
                case Error(text):
                    told.set_exception(NotTold(text))

    def lost(link: Link, why: str) -> None:
        if not told.done():
            told.set_exception(NotTold(why))

    try:
        async with asyncio.timeout(seconds):
            link = Link(hub, await connect(address, seconds), Codec("edge"), HELLO, event, lost)
            link.send(1, record)
            return await told
    except TimeoutError:
        raise NotTold(f"no answer within {seconds:g} s") from None
    except (OSError, ValueError) as error:
        raise NotTold(str(error)) from None
    finally:
        await hub.stop()
