"""Reads the operators' settings object: the bench's first message and the platform's configuration hold the same one.

Standard library only, for the bench's adapter; the names and units (nanoseconds) are the operators'.
"""

from __future__ import annotations

from typing import Any

from tansykeel.errors import Problem
from tansykeel.interface import DeduplicationScope, Plan, RepeatSafety, SchedulerConfig, TaskSizes
from tansykeel.settings import facts as make
from tansykeel.settings.facts import ceil, floor

REPEATS = {
    "idempotent": RepeatSafety.IDEMPOTENT,
    "deduplicated": RepeatSafety.DEDUPLICATED,
    "at_most_once": RepeatSafety.AT_MOST_ONCE,
}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.SHARD}


class NotLegal(Problem, ValueError):
    """The operators' settings object can't be used."""

    advice = "compare the object with the pages of the platform; the message names the field"


def _lookup(table: dict[str, Any], value: Any, what: str) -> Any:
    if value not in table:
        raise NotLegal(f"{what}: unknown value {value!r}; legal: {', '.join(table)}")
    return table[value]


def facts_of(raw: Any) -> SchedulerConfig:
    """Turn the settings into our records; what may be absent is absent here too. Raises NotLegal."""
    if not isinstance(raw, dict):
        raise NotLegal("settings are not a JSON object")
    try:
        return _facts(raw)
    except KeyError as error:
        raise NotLegal(f"settings lack {error}") from error
    except NotLegal:
        raise
    except (TypeError, ValueError, AttributeError) as error:
        raise NotLegal(f"settings hold a value of the wrong kind: {error}") from error


def _facts(raw: dict[str, Any]) -> SchedulerConfig:
    rules, limits, specifics = raw["Rules"], raw["Limits"], raw.get("Specifics") or {}
    writes = specifics.get("ChangesData") or [False] * len(raw["Classes"])
    categories = tuple(
        make.category(
            c["Name"],
            soft_limit=c["Objective"],
            deadline=c["Deadline"],
            gain=c["Value"],
            late_gain=c.get("LateWorth", 0.0),
            repeat=_lookup(REPEATS, c["Repeat"], "Repeat"),
            scope=_lookup(SCOPES, c.get("KeyScope") or "cell", "KeyScope"),
            window=c.get("Window") or 0,
            writes=bool(writes[i]),
            ordered=bool(c.get("SerialByKey")),
            stretch=c.get("AimStretch") or 0.0,
        )
        for i, c in enumerate(raw["Classes"])
    )
    plans = tuple(
        Plan(
            name=p["Name"],
            rate=p.get("Rate") or 0.0,
            reserve=p.get("FloorRate") or 0.0,
            weight=p.get("Proportion") or 0.0,
            price=p.get("WorthFactor") or 0.0,
            limit=p.get("Limit") or 0.0,
            limit_depth=p.get("CapDepth") or 0.0,
            limit_slack=p.get("Slack") or 0.0,
        )
        for p in raw.get("Plans") or ()
    )
    cold = make.cold_rule(
        share=rules.get("ColdShare") or 0.0,
        warm_after=rules.get("Cold") or 0,
        multiple=rules.get("FallMultiple") or 0.0,
        span=rules.get("OverloadFor") or 0,
        always_safe=specifics.get("YoungLimit") or 0.0,
    )
    budget = make.budget_rule(
        span=rules.get("BudgetSpan") or 0, free=rules.get("MinExtra") or 0.0, share=rules.get("ExtraRatio") or 0.0
    )
    return SchedulerConfig(
        gateways=raw["Siblings"],
        gateway_index=raw["Me"],
        zone=raw["Zone"],
        categories=categories,
        plans=plans,
        sizes=TaskSizes(specifics.get("Largest") or 0.0, specifics.get("UsualUnits") or 0.0),
        allowed=make.allowed(
            hand_offs=limits["MostTries"],
            come_back=bool(limits.get("RetryAfter")),
            longest_come_back=limits.get("MaxRetryAfter") or 0,
            copies=bool(limits.get("MayDuplicate")),
            cancel=bool(limits.get("Cancel")),
            probes=bool(limits.get("Probes")),
            peers=bool(limits.get("Peers")),
        ),
        listing=make.listing(
            must_poll=raw["MembershipMode"] == "ask",
            poll_within=rules.get("AskWithin") or 0,
            drain_grace=rules.get("StopSendingWithin") or 0,
        ),
        answer_grace=floor(rules.get("GraceToAnswer") or 0),
        slow_start=cold,
        retry_budget=budget,
        key_rest=ceil(rules.get("KeyQuiet") or 0),
        report_fields=tuple((raw.get("Report") or {}).get("Fields") or ()),
        reports_use_elsewhere=bool(specifics.get("TellsElsewhere")),
    )
