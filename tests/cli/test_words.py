"""What is said on the command line: one clear error for what cannot be meant."""

from __future__ import annotations

import pytest
import typer

from tansykeel.cli.words import axes_of, params_of, seeds_of


@pytest.mark.parametrize(
    "read, text, given",
    [
        (params_of, ["part=0.5", "name=a=b", "on=true"], {"part": 0.5, "name": "a=b", "on": True}),
        (axes_of, ["edges=3,10", "kind=a,b"], {"edges": [3, 10], "kind": ["a", "b"]}),
        (seeds_of, "2-4", [2, 3, 4]),
        (seeds_of, "7,1", [7, 1]),
        (seeds_of, "5", [5]),
    ],
)
def test_what_is_meant_is_read(read, text, given):
    assert read(text) == given


@pytest.mark.parametrize(
    "read, text, legal",
    [
        (params_of, ["part"], "legal: NAME=VALUE"),
        (params_of, ["=3"], "legal: NAME=VALUE"),
        (axes_of, ["edges="], "legal: NAME=V1,V2"),
        (axes_of, ["3"], "legal: NAME=V1,V2"),
        (seeds_of, "a-b", "legal: as 1-8"),
        (seeds_of, "4-2", "legal: as 1-8"),
        (seeds_of, "", "legal: as 1-8"),
    ],
)
def test_what_cannot_be_meant_is_one_error(read, text, legal, capsys):
    with pytest.raises(typer.Exit) as end:
        read(text)
    assert end.value.exit_code == 2 and legal in capsys.readouterr().err
