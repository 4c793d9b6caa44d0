"""Runs a Starlark script against a table of verbs. The script sees those verbs, `struct` and nothing of the machine.

Bounds: a script may run for RUN_SECONDS and nest CALLS_DEEP calls; `load()` reads files beside the script only.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import starlark

from tansykeel.errors import Problem

RUN_SECONDS = 5.0  # a script that runs longer has a loop that does not end
CALLS_DEEP = 64  # nested calls in a script
LOADS = 50  # files that one script may load, one through another

Verb = Callable[..., Any]


class ScriptError(Problem):
    """A script can't be read, or what it says is not legal."""

    advice = "correct the place that is named; tansykeel check FILE looks at settings without starting anything"


class FieldError(Problem, ValueError):
    """A verb of a script got a value that is not legal; told with the script's place as a ScriptError."""

    advice = "give the field one of the values that are named as legal"


def _dialect() -> starlark.Dialect:
    dialect = starlark.Dialect.extended()
    dialect.enable_f_strings = True
    return dialect


def run(path: Path, verbs: Mapping[str, Verb]) -> None:
    """Evaluate the script at `path`; whatever it builds, the verbs keep.

    Raises ScriptError for a file that can't be read, a syntax error, a verb that refuses its arguments, a file
    loaded from elsewhere, or a script that runs on past its bounds.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScriptError(f"{path}: cannot be read: {error}") from None
    run_text(text, path, verbs)


def run_text(text: str, path: Path, verbs: Mapping[str, Verb]) -> None:
    """As `run`, with the text at hand; `path` names it in errors and says where `load()` looks."""
    table = starlark.Globals.extended_by([starlark.LibraryExtension.StructType])
    dialect = _dialect()
    deadline = time.monotonic() + RUN_SECONDS
    options = starlark.EvalOptions(check_cancelled=lambda: time.monotonic() > deadline, max_callstack_size=CALLS_DEEP)
    seen: dict[str, starlark.FrozenModule] = {}
    opening: list[str] = []

    def evaluate(name: str, source: str) -> starlark.Module:
        module = starlark.Module()
        for verb, call in verbs.items():
            module.add_callable(verb, call)
        starlark.eval_with(options, module, starlark.parse(name, source, dialect), table, starlark.FileLoader(load))
        return module

    def load(name: str) -> starlark.FrozenModule:
        if name in seen:
            return seen[name]
        if Path(name).name != name:
            raise FieldError(f"load({name!r}): legal is the name of a file beside the script, without a path")
        if name in opening:
            raise FieldError(f"load({name!r}): it loads itself, through {' and '.join(opening)}")
        if len(seen) + len(opening) >= LOADS:
            raise FieldError(f"load({name!r}): more than {LOADS} files")
        try:
            source = (path.parent / name).read_text()
        except OSError as error:
            raise FieldError(f"load({name!r}): {error.strerror}") from None
        opening.append(name)
        seen[name] = evaluate(name, source).freeze()
        opening.remove(name)
        return seen[name]

    try:
        evaluate(path.name, text)
    except starlark.StarlarkError as error:
        if time.monotonic() > deadline:
            raise ScriptError(
                f"{path.name}: ran for more than {RUN_SECONDS:g} s; legal: a script that ends by then"
            ) from None
        raise ScriptError(_plain(str(error))) from None


def _plain(text: str) -> str:
    """Starlark's message as one clear error: the place first, then what was said, without the drawing."""
    lines = [line.strip() for line in text.splitlines()]
    what = next((line for line in lines if line.startswith("error:")), lines[0] if lines else "unknown error")
    place = next((line[4:] for line in lines if line.startswith("--> ")), "")
    for noise in ("error: ", "ValueError: ", "FieldError: "):
        what = what.removeprefix(noise)
    return f"{place.rsplit(':', 1)[0]}: {what}" if place else what
