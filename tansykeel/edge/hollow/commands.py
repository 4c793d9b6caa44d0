"""Commands to a process of hollow gateways: JSON objects, one per line of its standard input.

    {"do": "kill", "first": 3, "count": 40}    drop their connections, as if their process had died
    {"do": "close", "first": 3, "count": 40}   close their sessions gracefully, as on SIGTERM
    {"do": "start", "first": 3, "count": 40}   start those of the range that do not run, each as a new incarnation
    {"do": "report"}                           print the totals
    {"do": "report", "file": "report.json"}    write the full report to this file, then print the totals

Each is answered by one line on standard output, {"event": "done", "do": ...} with the totals for a report, or
{"event": "failed", "what": the error, "do": what to do about it}.
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
    """Report what the process used; `file` is for the full report, empty: none is written."""

    file: str = ""


AnyCommand = Kill | Close | Start | Report
_decoder = msgspec.json.Decoder(AnyCommand)


def execute(line: bytes, gateways: HollowGateways, meter: Meter) -> dict[str, Any]:
    """Execute the command of one line and return the fields of its answer. Raises HollowError."""
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
