"""Files in which gateways record what they count by, for the checkers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tansykeel.control.actions import EffectiveLease


def allotment_recorder(path: Path) -> Callable[..., None]:
    """Records at once what a gateway that agrees on views counts by: a kill then takes no record along."""
    from tansykeel.audit.records import Counted, Recorder

    recorder = Recorder(path)

    def counted(at: int, edge: str, life: int, number: int, part: Any, until: int) -> None:
        recorder.add(Counted(at, edge, life, number, part.numerator, part.denominator, until))
        recorder.flush()

    return counted


def claim_recorder(path: Path) -> Callable[[int, str, int, EffectiveLease], None]:
    """Records at once what a gateway with a session to a control node counts by."""
    from tansykeel.audit.records import LeaseClaimed, Recorder, now_us
    from tansykeel.edge.clock import microseconds_of

    recorder = Recorder(path)

    def claimed(now: int, gateway: str, incarnation: int, claim: EffectiveLease) -> None:
        at = now_us()  # whole tenths of a millisecond would put it before the frame that brought the lease
        if claim.node:
            until = microseconds_of(claim.until)
            held = LeaseClaimed(at, gateway, incarnation, claim.node, claim.session, claim.lease, claim.units, until)
        else:
            held = LeaseClaimed(at, gateway, incarnation)
        recorder.add(held)
        recorder.flush()

    return claimed
