"""The verdict on a day: breaks by rule, answers by kind, service, lags. For people and for machines."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from tansykeel.audit.cluster import FLEET_RULES, FleetLaw, counted_mean, words_of
from tansykeel.audit.join import Passed, TaskSeen, read_folder
from tansykeel.audit.maintenance import LEAVE_RULES, LeaveLaw
from tansykeel.audit.records import RecordsError
from tansykeel.audit.rules import RULES, Break, Law, cold_margins
from tansykeel.audit.service import count
from tansykeel.maintenance.disruption_budget import Place
from tansykeel.settings.build import facts_of
from tansykeel.settings.cluster import bounds_of, terms_of
from tansykeel.settings.day import Day, peers_of, settings_of

ANSWERS = ("delivered", "nacked", "broken_off")
MOST_BREAKS = 50  # that a report names, of each rule
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
LONGEST = 120_000_000  # microseconds that a histogram tells apart


class Verdict(msgspec.Struct, kw_only=True):
    day: str
    seed: int
    seconds: float
    tasks: int
    answers: dict[str, int]
    rules: dict[str, int]
    breaks: list[dict[str, Any]]
    service: float
    service_by_plan: dict[str, float]
    service_by_category: dict[str, float]
    worst_10s: float
    lag_ms: dict[str, float]
    lag_ms_by_category: dict[str, dict[str, float]]
    hand_offs: int
    cold_most: float  # most that a cold store was sent in a window, as a part of what it bears
    least_service: float = 0.0
    release: dict[str, Any] | None = None  # what the operator saw of it last
    counted_mean: float | None = None  # how much of a whole gateways that agree counted on, in the mean

    @property
    def kept(self) -> bool:
        """No rule broken, and a release has become what it should."""
        return not any(self.rules.values()) and (self.release is None or bool(self.release.get("as_wanted")))

    def to_json(self) -> str:
        return json.dumps(msgspec.to_builtins(self), indent=1)


def law_of(day: Day) -> Law:
    settings = settings_of(day, "127.0.0.1:1", "127.0.0.1:1")
    facts = facts_of(settings, 0, day.fleet.edges)
    plans = {plan.name: plan for plan in facts.plans}
    return Law(facts, day.fleet.shape, {volume.name: plans[volume.plan] for volume in settings.volumes})


def quantiles(lags: list[int]) -> dict[str, float]:
    """Microseconds in, milliseconds out."""
    histogram = HdrHistogram(1, LONGEST, 3)
    for lag in lags:
        histogram.record_value(max(lag, 1))
    if not lags:
        return {}
    told = {name: round(histogram.get_value_at_percentile(q) / 1000, 1) for name, q in QUANTILES.items()}
    return told | {"max": round(max(lags) / 1000, 1)}


def answer_of(seen: TaskSeen) -> str:
    """Each task's one answer; who has none was left by its client, or lost with its edge."""
    if seen.got:
        return ANSWERS[seen.got[0].result]
    return "edge_killed" if seen.gave and seen.gave.why == "edge lost" else "client_left"


def judge(passed: Passed, day: Day, seed: int) -> Verdict:
    law = law_of(day)
    found: list[Break] = [fault for rule in RULES.values() for fault in rule(passed, law)]
    rules, mean = list(RULES), None
    if (fleet := fleet_law(passed, day)) is not None:
        found += [fault for rule in FLEET_RULES.values() for fault in rule(passed, fleet)]
        rules, mean = rules + list(FLEET_RULES), round(counted_mean(passed, fleet), 4)
    if day.accord is not None:
        names = [day.gateway.named(n) for n in range(day.fleet.edges)]
        places = {name: Place(name, "gateway", zone) for name, zone in zip(names, day.fleet.edge_zones(), strict=True)}
        leave = LeaveLaw(places, bounds_of(day.accord))
        found += [fault for one in LEAVE_RULES.values() for fault in one(passed, leave)]
        rules += list(LEAVE_RULES)
    taken = [seen for seen in passed.tasks.values() if seen.sent.edge]
    answers = dict.fromkeys((*ANSWERS, "client_left", "edge_killed"), 0)
    for seen in taken:
        answers[answer_of(seen)] += 1
    delivered: dict[str, list[int]] = {}
    for seen in taken:
        if seen.lag_us is not None and seen.got[0].result == 0:
            delivered.setdefault(seen.sent.category, []).append(seen.lag_us)
    full = {up.shard: up.full_units for up in passed.ups}
    service = count(passed, law, day.load.share_worth, day.load.spare_worth, full)
    named = [fault for rule in rules for fault in [f for f in found if f.rule == rule][:MOST_BREAKS]]
    return Verdict(
        day=day.name,
        seed=seed,
        seconds=day.seconds,
        tasks=len(taken),
        answers=answers,
        rules={rule: sum(fault.rule == rule for fault in found) for rule in rules},
        breaks=[fault._asdict() for fault in named],
        service=round(service.whole, 4),
        service_by_plan={k: round(v, 4) for k, v in service.by_plan.items()},
        service_by_category={k: round(v, 4) for k, v in service.by_category.items()},
        worst_10s=round(worst(service.by_second, 10), 4),
        lag_ms=quantiles([lag for lags in delivered.values() for lag in lags]),
        lag_ms_by_category={name: quantiles(lags) for name, lags in sorted(delivered.items())},
        hand_offs=len(passed.hand_offs),
        cold_most=round(max((most for _, most, _ in cold_margins(passed, law)), default=0.0), 3),
        least_service=day.least_service,
        counted_mean=mean,
    )


def fleet_law(passed: Passed, day: Day) -> FleetLaw | None:
    """What gateways that agree must keep; None where they do not."""
    peers = peers_of(day, ())
    if peers is None or not peers.agree:
        return None
    return FleetLaw(day.fleet.edges, terms_of(peers), words_of(passed))


def worst(by_second: dict[int, tuple[float, float]], span: int) -> float:
    """The least service of any `span` seconds in a row."""
    last = max(by_second, default=0)
    windows = []
    for start in range(max(last - span + 2, 1)):
        here = [by_second.get(second, (0.0, 0.0)) for second in range(start, start + span)]
        if due := sum(d for _, d in here):
            windows.append(sum(s for s, _ in here) / due)
    return min(windows, default=1.0)


def judge_folder(folder: Path) -> Verdict:
    """The verdict on the day that a rehearsal left in a folder. Raises ValueError where there is none."""
    try:
        day = msgspec.json.decode((folder / "day.json").read_bytes(), type=Day)
        seed = int((folder / "seed").read_text())
    except OSError as error:
        raise RecordsError(
            f"{folder}: {error.strerror}: {error.filename}; legal: a folder that a rehearsal left"
        ) from None
    verdict = judge(read_folder(folder), day, seed)
    told = folder / "release.json"
    if day.release is not None and told.exists():
        verdict.release = json.loads(told.read_text())
        verdict.release["as_wanted"] = day.release.ends in ("", verdict.release.get("state", "not planned"))
    return verdict
