"""Asks a running gateway or control node what it believes, over the protocol that clients speak."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from tansykeel.errors import NOT_PLAYED, Problem
from tansykeel.maintenance.messages import CODEC, MaintenanceMessage, MessageError
from tansykeel.protocol.codec import Codec, Event, Frame
from tansykeel.protocol.frames import Accord, AccordTold, Error, Fields, FleetAsk, FleetTold, FleetWithout, Hello
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import connect

HELLO = Hello(1, "client", "tansykeel-fleet")
ANSWERS = ("edge", "control")  # the roles of whoever answers
FieldsT = TypeVar("FieldsT", bound=Fields)


class NotTold(Problem):
    """A gateway or control node that was asked did not say."""

    advice = "look whether it runs, at the address of its settings, and whether it agrees with others"
    code = NOT_PLAYED


async def query_fleet(address: str, seconds: float) -> FleetTold:
    """What a gateway believes of its fleet. Raises NotTold, also for an address that is none."""
    return await request(address, FleetAsk(), FleetTold, seconds)


async def declare_gone(address: str, names: tuple[str, ...], seconds: float) -> FleetTold:
    """Tell a gateway that no process runs under these names. Raises NotTold, also where it is not taken."""
    return await request(address, FleetWithout(names), FleetTold, seconds)


async def exchange_maintenance(address: str, word: MaintenanceMessage, seconds: float) -> MaintenanceMessage:
    """Say something of leave to a gateway; its answer. Raises NotTold, also for an address that is none."""
    told = await request(address, Accord(*CODEC.encode(word)), AccordTold, seconds)
    try:
        return CODEC.decode(told.what, told.word)
    except MessageError as error:
        raise NotTold(str(error)) from None


async def request(address: str, record: Fields, answer: type[FieldsT], seconds: float) -> FieldsT:
    """Send one request and return its answer, which is of the type `answer`. Raises NotTold."""
    hub = Hub(Limits(stall=seconds))
    told: asyncio.Future[FieldsT] = asyncio.get_running_loop().create_future()

    def event(link: Link, event: Event) -> None:
        if not isinstance(event, Frame) or isinstance(event.record, Hello) or told.done():
            return
        if isinstance(event.record, answer):
            told.set_result(event.record)
        elif isinstance(event.record, Error):
            told.set_exception(NotTold(event.record.text))
        elif event.stream:
            told.set_exception(NotTold("it answered something else"))

    def lost(link: Link, why: str) -> None:
        if not told.done():
            told.set_exception(NotTold(why))

    try:
        async with asyncio.timeout(seconds):
            link = Link(hub, await connect(address, seconds), Codec(*ANSWERS), HELLO, event, lost)
            link.send(1, record)
            return await told
    except TimeoutError:
        raise NotTold(f"no answer within {seconds:g} s") from None
    except (OSError, ValueError) as error:
        raise NotTold(str(error)) from None
    finally:
        await hub.stop()
