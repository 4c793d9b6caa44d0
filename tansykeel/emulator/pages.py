"""One HTML page of a day or of a project, with all that it shows inside it."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Iterable, Sequence
from html import escape
from pathlib import Path
from typing import Any

from tansykeel.audit.report import Verdict
from tansykeel.emulator.compare import Interval, figures_of
from tansykeel.emulator.plots import draw_day, draw_sweep
from tansykeel.emulator.world import World

STYLE = """
body { font: 15px/1.4 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
td, th { border: 1px solid #ccc; padding: .2em .6em; text-align: right }
th { background: #eee } td:first-child, th:first-child { text-align: left } .bad { color: #b00; font-weight: bold }
svg { width: 100%; height: auto }
"""


def page(title: str, *parts: str) -> str:
    return (
        f'<!doctype html>\n<html lang="en"><meta charset="utf-8"><title>{escape(title)}</title>'
        f"<style>{STYLE}</style>\n<h1>{escape(title)}</h1>\n" + "\n".join(parts) + "\n</html>\n"
    )


def table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    def cells(kind: str, row: Sequence[Any]) -> str:
        return "".join(
            f"<{kind}>{escape(f'{cell:.3f}' if isinstance(cell, float) else str(cell))}</{kind}>" for cell in row
        )

    lines = [cells("th", head)] + [cells("td", row) for row in rows]
    return "<table>" + "\n".join(f"<tr>{line}</tr>" for line in lines) + "</table>"


def pictures(paths: Iterable[Path]) -> str:
    """SVG files as parts of the page."""
    texts = [path.read_text() for path in paths if path.suffix == ".svg"]
    return "\n".join(text[text.index("<svg") :] for text in texts)


def page_of_day(world: World, version: str) -> str:
    """Of a day that was played."""
    verdict = world.verdict()
    with tempfile.TemporaryDirectory(prefix="tansykeel-") as folder:
        drawn = pictures(draw_day(world, Path(folder)))
    return page(
        f"{verdict.day}, seed {verdict.seed}, decided by {version}",
        f"<p>Simulated stores and clients. {escape(world.day.says)}. Digest <code>{world.digest()}</code>.</p>",
        judged(verdict),
        table(["rule", "breaks"], verdict.rules.items()),
        table(["answer", "tasks"], verdict.answers.items()),
        table(
            ["lag, ms", *verdict.lag_ms],
            [["all", *verdict.lag_ms.values()]]
            + [[name, *lags.values()] for name, lags in verdict.lag_ms_by_category.items()],
        ),
        table(["service", ""], (verdict.service_by_plan | verdict.service_by_category).items()),
        table(
            ["trouble", "at, s", "for, s", ""],
            [[t.verb, f"{t.at:g}", f"{t.for_s:g}", json.dumps(t.detail)] for t in world.day.troubles],
        ),
        drawn,
    )


def judged(verdict: Verdict) -> str:
    told = (
        f"{verdict.tasks} tasks, {verdict.hand_offs} hand-offs, service {verdict.service:.3f}, worst 10 s "
        f"{verdict.worst_10s:.3f}, most sent to a cold store {verdict.cold_most:.2f} of what it bears."
    )
    faults = "".join(
        f'<li class="bad">{escape(fault["rule"])}: {escape(fault["what"])}</li>' for fault in verdict.breaks[:20]
    )
    return f"<p>{told}</p><ul>{faults}</ul>"


def page_of_project(name: str, rows: list[dict[str, Any]], compared: dict[str, dict[str, Interval]]) -> str:
    """Of all days that a project holds. `compared`: by the two versions' names, by days, second less first."""
    figures = [[*of[:-1], f"{of.kept} of {of.days}"] for of in figures_of(rows)]
    gaps = [
        [versions, days, gap.pairs, f"{gap.mean:+.4f}", f"{gap.low:+.4f}", f"{gap.high:+.4f}", gap.verdict]
        for versions, told in compared.items()
        for days, gap in told.items()
    ]
    digests = sorted({(r["script"], r["version"], r["version_digest"][:12]) for r in rows})
    with tempfile.TemporaryDirectory(prefix="tansykeel-") as folder:
        drawn = pictures(draw_sweep(rows, Path(folder)))
    return page(
        f"Experiments: {name}",
        "<p>Simulated stores and clients; medians, least and most over seeds.</p>",
        table(
            [
                "script",
                "version",
                "parameters",
                "days",
                "service",
                "least",
                "most",
                "worst 10 s",
                "p99 ms",
                "cold",
                "rules kept",
            ],
            figures,
        ),
        table(["versions", "days", "pairs", "service", "95% from", "to", "verdict"], gaps) if gaps else "",
        table(["script", "version", "digest of its text"], digests),
        drawn,
    )
