"""What is said on the command line: one clear error, NAME=VALUE."""

from __future__ import annotations

import json
from typing import Any, NoReturn

import typer

from tansykeel.errors import BAD_INPUT, Problem

BROKEN = 1


def fail(error: object, where: str = "") -> NoReturn:
    """End the program with one error, and with what to do about it where it says that. Raises Exit."""
    typer.echo(f"tansykeel: {where + ': ' if where else ''}{error}", err=True)
    if isinstance(error, Problem):
        typer.echo(f"  {error.do}", err=True)
    raise typer.Exit(error.code if isinstance(error, Problem) else BAD_INPUT)


def say(**fields: Any) -> None:
    """One line for whoever started this program."""
    print(json.dumps(fields), flush=True)


def value_of(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def params_of(texts: list[str]) -> dict[str, Any]:
    """NAME=VALUE for each parameter of a script. Raises Exit."""
    given: dict[str, Any] = {}
    for text in texts:
        name, sign, value = text.partition("=")
        if not sign or not name:
            fail(f"--set {text}: legal: NAME=VALUE")
        given[name] = value_of(value)
    return given


def axes_of(texts: list[str]) -> dict[str, list[Any]]:
    """NAME=V1,V2,… for each axis of a grid. Raises Exit."""
    axes: dict[str, list[Any]] = {}
    for text in texts:
        name, sign, values = text.partition("=")
        if not sign or not name or not values:
            fail(f"--over {text}: legal: NAME=V1,V2")
        axes[name] = [value_of(value) for value in values.split(",")]
    return axes


def seeds_of(text: str) -> list[int]:
    """1-8 or 1,3,5. Raises Exit."""
    try:
        first, dash, last = text.partition("-")
        seeds = list(range(int(first), int(last) + 1)) if dash else [int(part) for part in text.split(",")]
    except ValueError:
        seeds = []
    if not seeds:
        fail(f"--seeds {text}: legal: as 1-8 or 1,3,5")
    return seeds
