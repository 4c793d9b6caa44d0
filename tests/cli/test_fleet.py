"""`tansykeel fleet search`."""

import pytest
from typer.testing import CliRunner

from tansykeel.cli.main import app
from tansykeel.cluster import view_agreement


def test_a_small_fleet_is_searched_whole():
    none = [word for name in ("proposals", "crashes", "restarts", "forms") for word in (f"--{name}", "0")]
    told = CliRunner().invoke(
        app, ["fleet", "search", "--gateways", "2", "--states", "3000", "--ticks", "1", "--events", "4", *none]
    )
    assert told.exit_code == 0 and "all there are; no law broken" in told.output


def test_a_broken_law_ends_with_its_trace(monkeypatch):
    monkeypatch.setattr(view_agreement.LeaseTerms, "granter_duration", lambda terms: 0)  # binds no granter
    told = CliRunner().invoke(
        app,
        ["fleet", "search", "--states", "30000", "--crashes", "0", "--restarts", "0", "--forms", "0", "--events", "3"],
    )
    assert told.exit_code == 1 and "parts are more than the whole" in told.output and "proposes" in told.output


@pytest.mark.parametrize("words, legal", [(["--gateways", "9"], "legal: 2 to 5"), (["--states", "0"], "legal: 1 at")])
def test_what_cannot_be_searched_is_one_error(words, legal):
    told = CliRunner().invoke(app, ["fleet", "search", *words])
    assert told.exit_code == 2 and legal in told.output
