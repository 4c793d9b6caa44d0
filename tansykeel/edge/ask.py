"""Client for requests to a running gateway or control node, over the protocol that the gateway's clients use."""

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
SERVER_ROLES = ("edge", "control")  # roles that may answer: a gateway, a control node
FieldsT = TypeVar("FieldsT", bound=Fields)


class NotTold(Problem):
    """A gateway or control node did not answer a request."""

    advice = "look whether it runs, at the address of its settings, and whether it agrees with others"
    code = NOT_PLAYED


async def query_fleet(address: str, seconds: float) -> FleetTold:
    """Return the state of the fleet as a gateway or control node sees it. Raises NotTold, also for an invalid
    address."""
    return await request(address, FleetAsk(), FleetTold, seconds)


async def declare_gone(address: str, names: tuple[str, ...], seconds: float) -> FleetTold:
    """Tell a gateway or control node that no process runs under these names. Raises NotTold, also where it refuses."""
    return await request(address, FleetWithout(names), FleetTold, seconds)


async def exchange_maintenance(address: str, message: MaintenanceMessage, seconds: float) -> MaintenanceMessage:
    """Send a maintenance message to a gateway and return its answer. Raises NotTold, also for an invalid address."""
    answer = await request(address, Accord(*CODEC.encode(message)), AccordTold, seconds)
    try:
        return CODEC.decode(answer.what, answer.word)
    except MessageError as error:
        raise NotTold(str(error)) from None


async def request(address: str, record: Fields, answer: type[FieldsT], seconds: float) -> FieldsT:
    """Send one request and return its answer, which is of the type `answer`. Raises NotTold."""
    hub = Hub(Limits(stall=seconds))
    received: asyncio.Future[FieldsT] = asyncio.get_running_loop().create_future()

    def on_event(link: Link, event: Event) -> None:
        if not isinstance(event, Frame) or isinstance(event.record, Hello) or received.done():
            return
        if isinstance(event.record, answer):
            received.set_result(event.record)
        elif isinstance(event.record, Error):
            received.set_exception(NotTold(event.record.text))
        elif event.stream:
            received.set_exception(NotTold("it sent an unexpected answer"))

    def on_lost(link: Link, why: str) -> None:
        if not received.done():
            received.set_exception(NotTold(why))

    try:
        async with asyncio.timeout(seconds):
            link = Link(hub, await connect(address, seconds), Codec(*SERVER_ROLES), HELLO, on_event, on_lost)
            link.send(1, record)
            return await received
    except TimeoutError:
        raise NotTold(f"no answer within {seconds:g} s") from None
    except (OSError, ValueError) as error:
        raise NotTold(str(error)) from None
    finally:
        await hub.stop()
