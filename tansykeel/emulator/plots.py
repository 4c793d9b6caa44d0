"""Pictures of a simulated day, and of a sweep, each as PNG and SVG."""

from __future__ import annotations

import json
from collections import defaultdict
from pathlib import Path
from statistics import median
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

from tansykeel.audit.join import Passed  # noqa: E402
from tansykeel.audit.report import law_of  # noqa: E402
from tansykeel.audit.service import count  # noqa: E402
from tansykeel.emulator.cluster_simulation import SAMPLE, Watchers  # noqa: E402
from tansykeel.emulator.world import World  # noqa: E402
from tansykeel.settings.shape import borne  # noqa: E402

MOST_VOLUMES = 40  # shown in the picture of shares
MOST_STORES = 12  # cold starts shown


def draw_day(world: World, out: Path) -> list[Path]:
    """All pictures of a day that was played; the files written."""
    made: list[Path] = []
    for name, draw in (("service", service), ("lags", lags), ("cold", cold), ("shares", shares)):
        figure, axes = plt.subplots(figsize=(9, 4.5))
        if draw(axes, world, world.passed):
            axes.set_title(f"{world.day.name}, seed {world.seed}: {axes.get_title()}")
            made += saved(figure, out, f"{world.day.name}-{name}")
        plt.close(figure)
    return made


def saved(figure: Any, out: Path, name: str) -> list[Path]:
    """A picture as PNG and SVG, without the date on which it was drawn."""
    figure.tight_layout()
    made = [out / f"{name}.{kind}" for kind in ("png", "svg")]
    for path in made:
        figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    return made


def draw_parts(world: Watchers, out: Path) -> list[Path]:
    """How much of a whole the gateways counted on over time, with deaths and returns; the files written."""
    figure, axes = plt.subplots(figsize=(9, 4))
    axes.plot([n * SAMPLE / 1e6 for n in range(len(world.sums))], world.sums, drawstyle="steps-post")
    axes.axhline(1.0, color="red", linewidth=0.8)
    for at, what in world.marks:
        axes.axvline(at, color="grey", linestyle=":")
        axes.annotate(what, (at, 0.05), rotation=90, fontsize=7)
    axes.set(
        ylim=(0, 1.05),
        xlabel="s",
        ylabel="part of a whole that all count on together",
        title=f"{world.trial.gateways} gateways (simulated), {world.trial.loss:.0%} of messages lost",
    )
    made = saved(figure, out, f"parts-{world.trial.gateways}")
    plt.close(figure)
    return made


FIGURES = {"service": "service", "p99": "99th percentile of lag, ms", "cold_most": "most sent to a cold store, of safe"}


def draw_sweep(rows: list[dict[str, Any]], out: Path) -> list[Path]:
    """For each script and each parameter that took several numbers: figures over it, median and spread over the other
    parameters and seeds, a line for each version."""
    made: list[Path] = []
    for script in sorted({row["script"] for row in rows}):
        here = [(json.loads(row["params"]), row) for row in rows if row["script"] == script]
        for name in sorted({name for params, _ in here for name in params}):
            values = {params[name] for params, _ in here if isinstance(params.get(name), int | float)}
            for figure, label in FIGURES.items() if len(values) > 1 else ():
                drawn, axes = plt.subplots(figsize=(7, 4))
                for version in sorted({row["version"] for _, row in here}):
                    found = {
                        value: [
                            row[figure] or 0.0
                            for params, row in here
                            if row["version"] == version and params.get(name) == value
                        ]
                        for value in sorted(values)
                    }
                    places = [value for value in found if found[value]]
                    axes.plot(places, [median(found[v]) for v in places], marker="o", label=version)
                    axes.fill_between(
                        places, [min(found[v]) for v in places], [max(found[v]) for v in places], alpha=0.15
                    )
                if min(values) > 0 and max(values) / min(values) >= 10:
                    axes.set_xscale("log")
                axes.set(xlabel=name, ylabel=label, title=f"{Path(script).stem}: {figure} over {name}")
                axes.legend()
                made += saved(drawn, out, f"{Path(script).stem}-{figure}-over-{name}")
                plt.close(drawn)
    return made


def service(axes: Any, world: World, passed: Passed) -> bool:
    """Gain served over gain due in each second, with the troubles marked."""
    day = world.day
    full = {up.shard: up.full_units for up in passed.ups}
    told = count(passed, law_of(day), day.load.share_worth, day.load.spare_worth, full)
    seconds = sorted(told.by_second)
    axes.plot(seconds, [told.by_second[s][0] / max(told.by_second[s][1], 1e-9) for s in seconds])
    for number, trouble in enumerate(day.troubles):
        axes.axvspan(trouble.at, min(trouble.at + trouble.for_s, day.seconds), color="tab:red", alpha=0.08)
        axes.text(trouble.at, 0.02 + 0.05 * (number % 8), trouble.verb, fontsize=7)
    axes.set(
        xlabel="second of arrival", ylabel="gain served / gain due", ylim=(0, 1.1), title=f"service {told.whole:.3f}"
    )
    return True


def lags(axes: Any, world: World, passed: Passed) -> bool:
    """Part of the deliveries within a lag, by category."""
    by_category: dict[str, list[float]] = defaultdict(list)
    for seen in passed.tasks.values():
        if seen.lag_us is not None and seen.got[0].result == 0:
            by_category[seen.sent.category].append(seen.lag_us / 1000)
    for category in world.day.categories:
        if found := sorted(by_category[category.name]):
            line = axes.plot(found, [(n + 1) / len(found) for n in range(len(found))], label=category.name)[0]
            axes.axvline(category.soft_limit_ms, color=line.get_color(), linestyle=":")
    axes.set(
        xlabel="ms from the client's sending to the delivery (dotted: soft limit)",
        xscale="log",
        ylabel="part of the deliveries",
        title="lags",
    )
    axes.legend()
    return bool(by_category)


def cold(axes: Any, world: World, passed: Passed) -> bool:
    """Units that all gateways sent each cold store in the window before, against what it bears."""
    shape = world.day.fleet.shape
    span = shape.fall_s * 1000
    starts = [up for up in passed.ups if up.cold][:MOST_STORES]
    for number, up in enumerate(starts):
        sent = [
            ((h.at - up.at) / 1000, h.units)
            for h in passed.hand_offs
            if h.store == up.store and h.boot == up.boot and h.at - up.at <= shape.cold_s * 1e6
        ]
        ages = [step * shape.cold_s * 10 for step in range(101)]
        held = [sum(units for at, units in sent if age - span < at <= age) for age in ages]
        axes.plot([age / 1000 for age in ages], held, linewidth=1, label=up.store)
        if not number:
            safe = [borne(shape, max(age - span, 0), max(age - span, 0) + span, up.full_units) for age in ages]
            axes.plot([age / 1000 for age in ages], safe, color="black", label="what it bears")
    axes.set(
        xlabel="seconds since the cold start",
        ylabel=f"units in the last {shape.fall_s:g} s, all gateways",
        title="cold stores",
    )
    if starts:
        axes.legend(fontsize=6, ncols=2)
    return bool(starts)


def shares(axes: Any, world: World, passed: Passed) -> bool:
    """Units a second that each volume asked for and was served, against its reserve."""
    asked: dict[str, float] = defaultdict(float)
    given: dict[str, float] = defaultdict(float)
    for seen in passed.tasks.values():
        if not seen.sent.tries:
            asked[seen.sent.volume] += seen.sent.units / world.day.seconds
        if seen.got and seen.got[0].result == 0:
            given[seen.sent.volume] += seen.sent.units / world.day.seconds
    law = law_of(world.day)
    names = sorted(asked, key=lambda name: -asked[name])[:MOST_VOLUMES]
    places = range(len(names))
    axes.bar(places, [asked[n] for n in names], color="lightgrey", label="asked")
    axes.bar(places, [given[n] for n in names], color="tab:blue", width=0.5, label="served")
    axes.plot(places, [law.plan_of[n].reserve for n in names], "k_", label="reserve")
    axes.set_xticks(list(places), names, rotation=90, fontsize=6)
    axes.set(ylabel="units a second", title="what each volume got")
    axes.legend()
    return bool(names)
