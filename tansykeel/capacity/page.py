"""The text of tables: for the terminal and, between markers, for the capacity page.

Tables are told apart by name: `target`, `drivers`, `bounds`, `bad-hours`, `store-connections`, `runs`, and one for each
role. The page holds a table between `<!-- capacity:NAME begin -->` and `<!-- capacity:NAME end -->`; all else on it is
written by hand.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping, Sequence

from tansykeel.capacity.errors import PageError
from tansykeel.capacity.plan import Figure, HourPlan, Plan, Sum, Verdict
from tansykeel.capacity.records import Aspect, Role, Slope

BEGIN, END = "<!-- capacity:{} begin -->", "<!-- capacity:{} end -->"
MARKER = re.compile(r"<!-- capacity:([a-z0-9-]+) (begin|end) -->")
ROLE_TITLES = {
    Role.GATEWAY_DATA: "gateway, data path",
    Role.GATEWAY_CONTROL: "gateway, control",
    Role.CONTROL_LEADER: "control node, leader",
    Role.CONTROL_FOLLOWER: "control node, follower",
    Role.CLIENT: "client",
    Role.STORE: "store",
    Role.OPERATOR: "operator's command",
}
NOTHING_MEASURED = "nothing measured yet"
LARGE = 1_000
MOST_EXACT = 10**9  # whole numbers under it are said in full
SIGNIFICANT_DIGITS = 4
GATEWAY_SIDE, STORE_SIDE = "store_connections_per_gateway", "connections_per_store"
STORE_CONNECTIONS = (GATEWAY_SIDE, STORE_SIDE)
SUBSETS = (1.0, 0.5, 0.2, 0.1, 0.02)  # parts of all stores that a gateway may keep connections to
SCALES = {"bytes": ((1e9, "GB"), (1e6, "MB"), (1e3, "kB")), "bytes/s": ((1e9, "GB/s"), (1e6, "MB/s"), (1e3, "kB/s"))}


def number(value: float) -> str:
    """A number as the page says it: whole numbers in full, others with four digits; thousands apart."""
    if value == 0:
        return "0"
    if not math.isfinite(value):
        return "unbounded"
    if value == int(value) and abs(value) < MOST_EXACT:
        return f"{int(value):,}"
    rounded = float(f"{value:.{SIGNIFICANT_DIGITS}g}")
    if abs(rounded) >= LARGE or rounded == int(rounded):
        return f"{rounded:,.0f}"
    return f"{rounded:.{SIGNIFICANT_DIGITS}g}"


def amount(value: float, unit: str) -> str:
    """A number with its unit; bytes in thousands where that is shorter."""
    for scale, name in SCALES.get(unit, ()):
        if abs(value) >= scale:
            return f"{number(value / scale)} {name}"
    return f"{number(value)} {unit}"


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "".join(f"| {' | '.join(cell.replace('|', '/') for cell in line)} |\n" for line in lines)


def tables_of(plan: Plan) -> dict[str, str]:
    """All tables of the page by name."""
    tables = {
        "target": target_table(plan),
        "drivers": drivers_table(plan.steady),
        "bounds": bounds_table(plan),
        "bad-hours": bad_hours_table(plan),
        "store-connections": store_connections_table(plan),
        "runs": runs_table(plan),
    }
    return tables | {role.value: role_table(plan, role) for role in Role}


def target_table(plan: Plan) -> str:
    """The deployment and its operations, as the target file gives them."""
    size, operations = plan.target.deployment, plan.target.operations
    rows = [
        (field.replace("_", " "), number(getattr(record, field)))
        for record in (size, operations)
        for field in record.__struct_fields__
    ]
    return table(("number", "value"), rows)


def drivers_table(hour: HourPlan) -> str:
    """What slopes grow by, worked out for the quiet hour."""
    return table(("what slopes grow by", "here"), ((name, number(value)) for name, value in hour.drivers.items()))


def bounds_table(plan: Plan) -> str:
    """Each bound with the sum of its figures, by mechanism; over and not known are marked."""
    rows = [
        (
            ROLE_TITLES[total.bound.role],
            total.bound.quantity,
            amount(total.bound.limit, total.bound.unit),
            total.mechanism or NOTHING_MEASURED,
            _parts(total),
            "" if total.value is None else amount(total.value, total.bound.unit),
            _head_room(total),
            _verdict(total),
            total.bound.source,
        )
        for total in plan.steady.sums
    ]
    heads = (
        "role",
        "quantity",
        "bound",
        "mechanism",
        "of it",
        "planned",
        "head-room",
        "verdict",
        "source of the bound",
    )
    return table(heads, rows)


def _parts(total: Sum) -> str:
    if len(total.figures) < 2:
        return "; ".join(figure.note for figure in total.figures)
    return "; ".join(
        f"{figure.slope.series.figure} "
        + ("not known" if figure.value is None else amount(figure.value, total.bound.unit))
        for figure in total.figures
    )


def _head_room(total: Sum) -> str:
    return "" if total.head_room_percent is None else f"{total.head_room_percent:.0f}%"


def _verdict(total: Sum) -> str:
    return f"**{total.verdict}**" if total.verdict is Verdict.OVER else str(total.verdict)


def bad_hours_table(plan: Plan) -> str:
    """The sums of the quiet hour and of each bad one, side by side; those over their bound in bold."""
    steady = plan.steady
    shown = [index for index, total in enumerate(steady.sums) if total.mechanism]
    heads = ["hour", "gateways left", "stores left", "connections each", "tasks/s each", "coming to each"]
    heads += [f"{steady.sums[index].bound.quantity} ({steady.sums[index].mechanism})" for index in shown]
    rows = []
    for hour in plan.hours:
        drivers = hour.drivers
        row = [
            hour.hour.title,
            number(drivers["gateways"]),
            number(drivers["stores"]),
            number(drivers["connections_per_gateway"]),
            number(drivers["tasks_per_second_per_gateway"]),
            number(drivers["arriving_connections_per_gateway"]),
        ]
        rows.append(row + [_hour_cell(hour.sums[index]) for index in shown])
    return table(heads, rows)


def _hour_cell(total: Sum) -> str:
    if total.value is None:
        return _verdict(total)
    text = amount(total.value, total.bound.unit)
    return f"**{text}, OVER**" if total.verdict is Verdict.OVER else text


def store_connections_table(plan: Plan) -> str:
    """Connections to stores where each gateway keeps one to every store, and where it keeps them to a part of them."""
    size = plan.target.deployment
    mine = [figure.slope for figure in plan.steady.figures if figure.slope.series.grows_by in STORE_CONNECTIONS]
    heads = ["each gateway keeps", "of all gateways", "at each store", *(slope.series.quantity for slope in mine)]
    rows = []
    for part in SUBSETS:
        kept = round(size.stores * part)
        numbers = {GATEWAY_SIDE: float(kept), STORE_SIDE: size.gateways * kept / size.stores}
        cells = [number(kept), number(size.gateways * kept), number(numbers[STORE_SIDE])]
        for slope in mine:
            grown = slope.fit.slope * numbers[slope.series.grows_by]
            cells.append(amount(grown, slope.series.unit) if slope.fit.linear else slope.fit.shape)
        rows.append(cells)
    return table(heads, rows)


def role_table(plan: Plan, role: Role) -> str:
    """All slopes of a role, by aspect, with what they give for the target."""
    order = list(Aspect)
    mine = [figure for figure in plan.steady.figures if figure.slope.series.role is role]
    if not mine:
        return f"{NOTHING_MEASURED.capitalize()}.\n"
    mine.sort(key=lambda figure: (order.index(figure.slope.series.aspect), figure.slope.series.name))
    heads = (
        "aspect",
        "quantity",
        "fixed",
        "slope",
        "grows by",
        "sizes",
        "fit off by",
        "largest predicted",
        "shape",
        "planned figure",
        "mechanism",
        "run",
    )
    return table(heads, (_role_row(figure) for figure in mine))


def _role_row(figure: Figure) -> tuple[str, ...]:
    slope, series, fit = figure.slope, figure.slope.series, figure.slope.fit
    sizes = f"{number(slope.runs[0].size)} to {number(slope.runs[-1].size)}, {len(slope.runs)}"
    planned = "not known" if figure.value is None else amount(figure.value, series.figure_unit)
    note = f" ({figure.note})" if figure.note else ""
    return (
        series.aspect,
        series.quantity,
        amount(fit.fixed, series.unit),
        f"{amount(fit.slope, series.unit)} each",
        f"{series.grows_by}: {number(figure.size)}",
        sizes,
        f"{fit.error_percent:.1f}%",
        f"{fit.held_out.error_percent:+.1f}%",
        fit.shape if fit.linear else f"**{fit.shape}**",
        f"{series.figure}: {planned}{note}",
        series.mechanism,
        slope.experiment,
    )


def runs_table(plan: Plan) -> str:
    """Each slope's runs: medians, with the lowest and highest where they were repeated."""
    slopes = sorted(
        (figure.slope for figure in plan.steady.figures), key=lambda slope: (slope.experiment, slope.series.name)
    )
    rows = [
        (
            slope.experiment,
            slope.series.quantity,
            slope.series.unit,
            str(max(run.repetitions for run in slope.runs)),
            "; ".join(_run(slope, index) for index in range(len(slope.runs))),
            slope.series.how,
            slope.measured,
        )
        for slope in slopes
    ]
    heads = ("experiment", "quantity", "unit", "repetitions", "size: median (lowest to highest)", "how", "measured")
    return table(heads, rows)


def _run(slope: Slope, index: int) -> str:
    run = slope.runs[index]
    spread = "" if run.lowest == run.highest else f" ({number(run.lowest)} to {number(run.highest)})"
    return f"{number(run.size)}: {number(run.value)}{spread}"


def plan_text(plan: Plan) -> str:
    """A plan for the terminal: bounds and bad hours."""
    return f"{plan.target.title}\n\n{bounds_table(plan)}\n{bad_hours_table(plan)}"


def replaced(text: str, tables: Mapping[str, str], where: str) -> str:
    """The page with the tables put between their markers. Raises PageError for markers that are not as they should."""
    blocks = _blocks(text, where)
    for name in blocks:
        if name not in tables:
            raise PageError(f"markers of {name!r}; legal: {', '.join(sorted(tables))}", where)
    for name in tables:
        if name not in blocks:
            raise PageError(f"no markers of {name!r}", where)
    for name, (start, end) in sorted(blocks.items(), key=lambda block: -block[1][0]):
        text = f"{text[:start]}\n{tables[name]}{text[end:]}"
    return text


def differing(before: str, after: str) -> list[str]:
    """Names of the tables that differ between two versions of a page."""
    blocks, made = _blocks(before, ""), _blocks(after, "")
    return [name for name, (start, end) in blocks.items() if before[start:end] != after[made[name][0] : made[name][1]]]


def _blocks(text: str, where: str) -> dict[str, tuple[int, int]]:
    """Where each table stands: from the end of its begin marker to the start of its end marker."""
    blocks: dict[str, tuple[int, int]] = {}
    opened: tuple[str, int] | None = None
    for found in MARKER.finditer(text):
        name, kind = found[1], found[2]
        if kind == "begin" and opened is None and name not in blocks:
            opened = name, found.end()
        elif kind == "end" and opened is not None and opened[0] == name:
            blocks[name] = opened[1], found.start()
            opened = None
        else:
            raise PageError(f"marker {found[0]!r} is out of place", where)
    if opened is not None:
        raise PageError(f"marker of {opened[0]!r} has no end", where)
    return blocks
