"""Errors that reach an operator: where, what, what to do about it, and the exit code of a command that ends with it.

Each package has its own, under `Problem`. `python -m tansykeel.errors` prints `docs/errors.md`, which is made of them.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import ClassVar

BAD_INPUT, NOT_PLAYED = 2, 3

HEAD = """# Errors

Made by `python -m tansykeel.errors` from the classes; a test holds the two together. A command that ends with one
prints where and what on one line and the advice on the next, and ends with the exit code. Where a running gateway logs
one, the line has the advice as its field `do`.

| error | when | what to do | exit code |
| --- | --- | --- | --- |
"""


class Problem(Exception):
    """Base of all. `where` it was found may be part of `what`; `do` overrides the class's advice."""

    advice: ClassVar[str] = ""
    code: ClassVar[int] = BAD_INPUT

    def __init__(self, what: str, where: str = "", do: str = "") -> None:
        super().__init__(what)
        self.what, self.where, self.do = what, where, do or self.advice

    def __str__(self) -> str:
        return f"{self.where}: {self.what}" if self.where else self.what

    @property
    def fields(self) -> dict[str, str]:
        """For a log line."""
        return {"where": self.where, "what": self.what, "do": self.do}


def kinds(of: type[Problem] = Problem) -> Iterator[type[Problem]]:
    """All errors of the modules that are loaded, by package and name."""
    found, left = set[type[Problem]](), [of]
    while left:
        kind = left.pop()
        left += kind.__subclasses__()
        found.add(kind)
    yield from sorted(found - {of}, key=lambda kind: (kind.__module__, kind.__name__))


def load_all() -> None:
    import importlib
    import pkgutil

    package = importlib.import_module(__package__ or "tansykeel")
    for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def page() -> str:
    """The text of `docs/errors.md`."""
    rows = []
    for kind in kinds():
        where = kind.__module__.split(".")[1]
        when = " ".join((kind.__doc__ or "").split())
        rows.append(f"| `{where}`: {kind.__name__} | {when} | {kind.advice} | {kind.code} |\n")
    return HEAD + "".join(rows)


if __name__ == "__main__":
    from importlib import import_module

    errors = import_module("tansykeel.errors")  # the one that the packages' own errors stand on
    errors.load_all()
    Path("docs/errors.md").write_text(errors.page())
