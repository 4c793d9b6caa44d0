"""Makes the module's facts from figures in nanoseconds. Used by the bench's adapter and by the settings.

Standard library only: the adapter's start must not wait for any other import. Cut-offs, soft limits and graces are
rounded down to whole tenths of a millisecond, required rests and spans up, so that rounding is never in our favour.
"""

from __future__ import annotations

from tansykeel.interface import (
    AllowedActions,
    Category,
    DeduplicationScope,
    RepeatSafety,
    RetryBudgetRule,
    SlowStartRule,
    StoreListRule,
)

TENTH = 100_000  # nanoseconds in a tenth of a millisecond


def floor(nanoseconds: float) -> int:
    """Whole tenths that surely have passed by then."""
    return int(nanoseconds // TENTH)


def ceil(nanoseconds: float) -> int:
    """Whole tenths that surely cover it."""
    return int(-(-nanoseconds // TENTH))


def category(
    name: str,
    *,
    soft_limit: float,
    deadline: float,
    gain: float,
    late_gain: float,
    repeat: RepeatSafety,
    scope: DeduplicationScope,
    window: float,
    writes: bool,
    ordered: bool,
    stretch: float = 0.0,
) -> Category:
    return Category(
        name,
        floor(soft_limit),
        floor(deadline),
        gain,
        late_gain,
        repeat,
        scope,
        floor(window),
        writes,
        ordered,
        stretch,
    )


def cold_rule(
    *, share: float, warm_after: float, multiple: float, span: float, always_safe: float
) -> SlowStartRule | None:
    """None where no span is given: such a deployment has no rule on cold stores."""
    return SlowStartRule(share, ceil(warm_after), multiple, ceil(span), always_safe) if span else None


def budget_rule(*, span: float, free: float, share: float) -> RetryBudgetRule | None:
    """None where no span is given: further hand-offs have no budget there."""
    return RetryBudgetRule(ceil(span), free, share) if span else None


def allowed(
    *,
    hand_offs: int,
    come_back: bool,
    longest_come_back: float,
    copies: bool,
    cancel: bool,
    probes: bool,
    peers: bool = False,
) -> AllowedActions:
    return AllowedActions(hand_offs, come_back, floor(longest_come_back), copies, cancel, probes, peers)


def listing(*, must_poll: bool, poll_within: float, drain_grace: float) -> StoreListRule:
    return StoreListRule(must_poll, floor(poll_within), floor(drain_grace))
