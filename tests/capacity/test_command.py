"""`tansykeel capacity`: the page is held against slopes and target; bad input ends with one error."""

import pytest
from capacity.helpers import TARGET, kept, straight
from typer.testing import CliRunner

from tansykeel.capacity import slope_file
from tansykeel.capacity.page import BEGIN, END, tables_of
from tansykeel.capacity.plan import plan_of
from tansykeel.capacity.target import parsed
from tansykeel.cli.main import app


@pytest.fixture
def files(tmp_path):
    """A page as it should be; its folder."""
    (tmp_path / "target.toml").write_text(TARGET)
    (tmp_path / "slopes.toml").write_text(slope_file.text_of(kept(straight(1000, 3))))
    names = tables_of(plan_of(kept(), parsed(TARGET, "")))
    (tmp_path / "page.md").write_text(
        "# By hand\n\n" + "\n".join(f"{BEGIN.format(name)}\n{END.format(name)}\n" for name in names) + "the end\n"
    )
    assert run(tmp_path, "page").exit_code == 0
    return tmp_path


def run(folder, command):
    options = ["--slopes", folder / "slopes.toml", "--target", folder / "target.toml", "--page", folder / "page.md"]
    return CliRunner().invoke(app, ["capacity", command, *map(str, options)])


def change(path, old, new):
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))


def test_a_page_that_was_written_passes_and_its_text_by_hand_is_free(files):
    assert run(files, "check").exit_code == 0
    change(files / "page.md", "# By hand", "# Other words")
    assert run(files, "check").exit_code == 0
    before = (files / "page.md").read_text()
    assert run(files, "page").exit_code == 0 and (files / "page.md").read_text() == before
    assert before.startswith("# Other words") and before.endswith("the end\n")


@pytest.mark.parametrize(
    "file, old, new, names",
    [
        ("page.md", "**OVER**", "fits", "bounds"),
        ("page.md", "2.5 kB", "2.4 kB", "bounds"),
        ("target.toml", "client_connections = 5_000", "client_connections = 6_000", "target, drivers, bounds"),
        ("target.toml", "stores_lost = 4", "stores_lost = 5", "bad-hours"),
    ],
)
def test_a_changed_figure_fails_the_check_and_names_its_table(files, file, old, new, names):
    change(files / file, old, new)
    told = run(files, "check")
    assert told.exit_code == 1 and f"give: {names}" in told.stderr


@pytest.mark.parametrize(
    "old, new, says",
    [
        ("<!-- capacity:bounds end -->", "", "out of place"),
        ("<!-- capacity:bounds begin -->", "<!-- capacity:bonds begin -->", "out of place"),
        ("capacity:operator", "capacity:operators", "out of place"),
        ("# By hand", "<!-- capacity:bounds begin -->\n<!-- capacity:bounds end -->", "out of place"),
        ("# By hand", "<!-- capacity:extra begin -->\n<!-- capacity:extra end -->", "markers of 'extra'"),
    ],
)
def test_markers_that_are_wrong_are_one_error(files, old, new, says):
    change(files / "page.md", old, new)
    told = run(files, "check")
    assert told.exit_code == 2 and says in told.stderr and "page.md" in told.stderr


def test_a_page_without_a_table_is_one_error(files):
    text = (files / "page.md").read_text()
    begin, end = text.index(BEGIN.format("bounds")), text.index(END.format("bounds"))
    (files / "page.md").write_text(text[:begin] + text[end + len(END.format("bounds")) :])
    told = run(files, "check")
    assert told.exit_code == 2 and "no markers of 'bounds'" in told.stderr


@pytest.mark.parametrize("file", ["slopes.toml", "target.toml", "page.md"])
def test_a_file_that_is_not_there_is_one_error_with_what_to_do(files, file):
    (files / file).unlink()
    told = run(files, "check")
    assert told.exit_code == 2 and f"{file}: cannot be read" in told.stderr and told.stdout == ""


def test_a_plan_says_what_is_over_and_ends_with_1(files):
    words = ["capacity", "plan", str(files / "target.toml"), "--slopes", str(files / "slopes.toml")]
    told = CliRunner().invoke(app, words)
    assert told.exit_code == 1 and "**OVER**" in told.stdout and "-25%" in told.stdout
    change(files / "target.toml", "limit = 2000", "limit = 4000")
    assert CliRunner().invoke(app, words).exit_code == 0


@pytest.mark.parametrize(
    "words, says",
    [(["--only", "nothing"], "no experiment 'nothing'; legal: "), (["--share", "0"], "--share 0.0: legal: above 0")],
)
def test_what_cannot_be_measured_is_one_error(words, says, tmp_path):
    told = CliRunner().invoke(app, ["capacity", "measure", "--slopes", str(tmp_path / "slopes.toml"), *words])
    assert told.exit_code == 2 and says in told.stderr and not (tmp_path / "slopes.toml").exists()
