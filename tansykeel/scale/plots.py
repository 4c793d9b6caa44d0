"""Plots of a play: units that gateways counted over time, times without a lease, costs over hollow gateways."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

from tansykeel.scale.frames_seen import observe_file  # noqa: E402
from tansykeel.scale.layout import layout_of  # noqa: E402
from tansykeel.scale.observations import PROXY_RECORD, RECORDS, Observations, read_observations  # noqa: E402
from tansykeel.scale.report import ScaleReport  # noqa: E402
from tansykeel.scale.units_series import units_series  # noqa: E402

MARGIN = 1_000_000  # microseconds before the first phase and behind the last that a plot shows


def draw(folder: Path, report: ScaleReport, out: Path) -> list[Path]:
    """Draw a play's plots; the files written. Raises ObservationsError or RecordsError."""
    observations = read_observations(folder)
    out.mkdir(parents=True, exist_ok=True)
    figure, axes = plt.subplots(figsize=(10, 4.5))
    _units(axes, folder, observations)
    made = [_saved(figure, out / f"scale-{report.plan}-units.png")]
    if report.cores_lines:
        figure, axes = plt.subplots(figsize=(7, 4.5))
        _processor(axes, report)
        made.append(_saved(figure, out / f"scale-{report.plan}-processor.png"))
    return made


def _processor(axes: Any, report: ScaleReport) -> None:
    """By phase, the processor time of hollow processes over their gateways, and the lines fitted to it."""
    for phase, line in report.cores_lines.items():
        (points,) = axes.plot(line.sizes, [100 * cost for cost in line.costs], "o", markersize=4, label=phase)
        fitted = [100 * (line.fixed + line.slope * size) for size in line.sizes]
        axes.plot(line.sizes, fitted, color=points.get_color(), linewidth=0.8)
    axes.set(
        xlabel="hollow gateways in a process",
        ylabel="% of a core",
        title=f"Processor time for control by phase, seed {report.seed}",
    )
    axes.legend(fontsize=7)


def _units(axes: Any, folder: Path, observations: Observations) -> None:
    """By region, the part of its units that its gateways counted together."""
    observed = observe_file(folder / RECORDS / PROXY_RECORD)
    regions = layout_of(observations.plan).region_of_gateways()
    bounds = (observations.phases[0].begin - MARGIN, observations.phases[-1].end + MARGIN)
    for region in observations.plan.regions:
        leases = {gateway: spans for gateway, spans in observed.leases.items() if regions.get(gateway) == region.name}
        moments, sums = units_series(leases, bounds)
        seconds = [(moment - observations.phases[0].begin) / 1e6 for moment in moments]
        axes.plot(seconds, [units / 1e9 for units in sums], label=region.name, linewidth=1)
        axes.axhline(region.share, color="red", linewidth=0.6)
    for mark in observations.phases:
        begin = (mark.begin - observations.phases[0].begin) / 1e6
        axes.axvline(begin, color="grey", linestyle=":")
        axes.annotate(mark.name, (begin, 0.02), rotation=90, fontsize=7)
    axes.set(
        xlabel="s",
        ylabel="part of every limit, beside the safe part",
        title=f"{observations.plan.gateways} gateways on sockets, no clients: leases that reached them, by region",
    )
    axes.set_ylim(bottom=0)
    axes.legend()


def _saved(figure: Any, path: Path) -> Path:
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
    return path
