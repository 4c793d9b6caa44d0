"""KNOWN-RED.txt at the root names tests that fail for a real fault, not mended yet: `test, cause, issue` a line.

Each is run as a strict expected failure: one that passes fails the run, for its line has to go. They are printed at the
end with their causes. More than three lines, a missing field or an unknown test fail the run. No file, no effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest
import structlog

MOST = 3


@dataclass(frozen=True)
class Known:
    test: str  # as pytest names it, from the root; all of its parameters where none is given
    cause: str
    issue: str

    def names(self, node: str) -> bool:
        return node == self.test or node.startswith(f"{self.test}[")


def known_red(path: Path) -> list[Known]:
    """Raises pytest.UsageError for what is no such file."""
    if not path.exists():
        return []
    found = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        test, first, rest = line.partition(", ")
        cause, second, issue = rest.rpartition(", ")
        if not (first and second and test.strip() and cause.strip() and issue.strip()):
            raise pytest.UsageError(f"{path.name}, line {number}: {line!r}; legal: test, cause, issue")
        found.append(Known(test.strip(), cause.strip(), issue.strip()))
    if len(found) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(found)} lines; legal: {MOST} at most; mend one first")
    return found


def pytest_configure(config: pytest.Config) -> None:
    config.stash[KNOWN] = known_red(config.rootpath / "KNOWN-RED.txt")


@pytest.fixture(autouse=True)
def _logging_of_its_own():
    """Guards against a command that a test runs within this process: its log would go on to a stream closed since."""
    yield
    structlog.reset_defaults()


KNOWN = pytest.StashKey[list[Known]]()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for known in config.stash[KNOWN]:
        named = [item for item in items if known.names(item.nodeid)]
        path = config.rootpath / known.test.split("::")[0]
        whole = any(item.path == path for item in items)  # a run of other files says nothing of this one
        if not path.exists() or whole and not named and not config.option.keyword and "::" not in "".join(config.args):
            raise pytest.UsageError(f"KNOWN-RED.txt: {known.test}: no such test")
        for item in named:
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause} ({known.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    if config.stash[KNOWN]:
        terminalreporter.section("known red")
        for known in config.stash[KNOWN]:
            terminalreporter.line(f"KNOWN RED {known.test}: {known.cause} ({known.issue})")
