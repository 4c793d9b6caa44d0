"""Commands to a process of hollow gateways: JSON objects, one a line of its standard input.

    {"do": "kill", "first": 3, "count": 40}    their connections end as if their process died; nothing is said before
    {"do": "close", "first": 3, "count": 40}   they close their sessions in order, as on SIGTERM
    {"do": "start", "first": 3, "count": 40}   those of the range that do not run start, each as a new incarnation
    {"do": "report"}                           the totals are printed
    {"do": "report", "file": "report.json"}    the full report is written to this file first

Each is answered by one line on standard output, {"event": "done", "do": ...} with the totals for a report, or
{"event": "failed", "what": ..., "do": what to do about it}.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from tansykeel.edge.hollow.gateways import HollowError, HollowGateways
from tansykeel.edge.hollow.report import Meter


class Command(Struct, frozen=True, forbid_unknown_fields=True, tag_field="do"):
    """Base of all commands."""


class Kill(Command, frozen=True, tag="kill"):
    """Kill a range of gateways."""

    first: int
    count: int


class Close(Command, frozen=True, tag="close"):
    """Close the sessions of a range of gateways."""

    first: int
    count: int


class Start(Command, frozen=True, tag="start"):
    """Start a range of gateways again."""

    first: int
    count: int


class Report(Command, frozen=True, tag="report"):
    """Report what was spent."""

    file: str = ""


AnyCommand = Kill | Close | Start | Report
_decoder = msgspec.json.Decoder(AnyCommand)


def carry_out(line: bytes, gateways: HollowGateways, meter: Meter) -> dict[str, Any]:
    """Carry out one line and return the fields of its answer. Raises HollowError."""
    try:
        command = _decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise HollowError(f"command {line[:200]!r}: {error}") from None
    match command:
        case Kill(first, count):
            for gateway in gateways.range(first, count):
                gateway.kill()
            return {"do": "kill"}
        case Close(first, count):
            for gateway in gateways.range(first, count):
                gateway.close()
            return {"do": "close"}
        case Start(first, count):
            for gateway in gateways.range(first, count):
                gateway.start()
            return {"do": "start"}
        case Report(file):
            return {"do": "report", **_report(file, meter)}


def _report(file: str, meter: Meter) -> dict[str, Any]:
    if file:
        try:
            meter.write(Path(file))
        except OSError as error:
            raise HollowError(f"report to {file!r}: {error.strerror}") from None
    totals: dict[str, Any] = msgspec.to_builtins(meter.totals())
    return totals
