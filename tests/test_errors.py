"""Errors: each says what an operator can do, and the page is what the classes say."""

from __future__ import annotations

import ast
import builtins
from pathlib import Path

import pytest
from typer.testing import CliRunner

from tansykeel import errors
from tansykeel.cli.main import app

ROOT = Path(__file__).parents[1]
PROGRAMMING = {"AssertionError", "NotImplementedError", "StopIteration"}
KEPT = {  # a caller in this program gave what it must not: no operator can do anything about it
    "benchlink/words.py",
    "emulator/compare.py",
    "cluster/view_agreement.py",
    "protocol/frames.py",
}


def builtin_raises(text: str) -> list[str]:
    found = [
        node.exc.func.id
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.Raise) and isinstance(node.exc, ast.Call) and isinstance(node.exc.func, ast.Name)
    ]
    return [name for name in found if hasattr(builtins, name) and name not in PROGRAMMING]


def test_the_page_is_made_from_the_classes_and_each_has_its_advice():
    errors.load_all()
    found = [kind for kind in errors.kinds() if kind.__module__.startswith("tansykeel.")]
    assert len(found) > 15
    assert [kind.__name__ for kind in found if not kind.advice or not kind.__doc__] == []
    page = (ROOT / "docs/errors.md").read_text()
    assert page == errors.page(), "run python -m tansykeel.errors"


def test_what_reaches_an_operator_is_an_error_of_its_package():
    folder = ROOT / "tansykeel"
    found = {str(path.relative_to(folder)) for path in folder.rglob("*.py") if builtin_raises(path.read_text())}
    assert found <= KEPT
    assert builtin_raises("def late():\n    raise ValueError(f'{1}: bad')") == ["ValueError"]


@pytest.mark.parametrize(
    "arguments, code, says, do",
    [
        (["check", "no.star"], 2, "no.star: cannot be read", "correct the place"),
        (["fleet", "status", "127.0.0.1:1"], 3, "127.0.0.1:1: ", "look whether it runs"),
        (["audit", "nowhere"], 2, "nowhere", "give the folder of a day"),
    ],
)
def test_a_command_that_fails_says_where_what_and_what_to_do(arguments, code, says, do):
    result = CliRunner().invoke(app, arguments)
    first, second = result.stderr.splitlines()
    assert result.exit_code == code and says in first and do in second
