"""Experiments: what the data allow to say, days kept and taken up again, a changed outcome noticed."""

from __future__ import annotations

import asyncio
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from stage import until

import tansykeel.brain
from tansykeel.emulator import experiments
from tansykeel.emulator.compare import grid, interval, shrink
from tansykeel.emulator.experiments import Differs, Job, Project, jobs_of, play, sweep
from tansykeel.emulator.pages import page_of_day, page_of_project
from tansykeel.emulator.plots import draw_day, draw_sweep
from tansykeel.emulator.versions import UnknownVersion, decide_of
from tansykeel.emulator.world import World
from tansykeel.rehearse.day import load_day

DAY = """
day("d", seconds = 2)
fleet(edges = 2, stores = 2, unit_ms = 8)
category("read", soft_limit_ms = 300, cut_off_ms = 1500)
volumes("basic", count = 3)
traffic(part = param("part", 0.4), surges = 0)
"""


@pytest.fixture
def script(tmp_path):
    (tmp_path / "d.star").write_text(DAY)
    return str(tmp_path / "d.star")


@pytest.mark.parametrize(
    "gaps, verdict",
    [
        ([0.1, 0.12, 0.09, 0.11, 0.1], "better"),
        ([-0.1, -0.12, -0.09, -0.11], "worse"),
        ([0.1, -0.1, 0.09, -0.11, 0.02], "not told apart"),
        ([0.5, 0.5, 0.5], "not told apart"),
    ],
)
def test_a_verdict_is_what_the_pairs_allow(gaps, verdict):
    told = interval([0.5] * len(gaps), [0.5 + gap for gap in gaps])
    assert told.verdict == verdict and told.low <= told.mean <= told.high
    assert told == interval([0.5] * len(gaps), [0.5 + gap for gap in gaps])


def test_days_that_are_no_pairs_are_refused():
    with pytest.raises(ValueError, match="1 and 2 days"):
        interval([1.0], [1.0, 2.0])


def test_a_grid_has_every_combination():
    assert list(grid({"a": [1, 2], "b": ["x"]})) == [{"a": 1, "b": "x"}, {"a": 2, "b": "x"}]
    assert list(grid({})) == [{}]


def test_a_day_is_cut_down_to_what_still_shows():
    tried = []

    def shows(params):
        tried.append(params)
        return params["part"] >= 0.5 and params["struck"] >= 3

    least = shrink({"part": 0.1, "struck": 0, "late": 0.0}, {"part": 1.0, "struck": 9, "late": 4.0}, shows, 40)
    assert shows(least) and least["late"] == 0.0 and least["struck"] <= 5 and least["part"] < 0.8
    assert len(tried) <= 41


def test_days_are_kept_and_only_missing_ones_played(script, tmp_path, monkeypatch):
    seen = []
    project = Project(tmp_path / "p.duckdb")
    jobs = jobs_of(script, {"part": [0.3, 0.6]}, [1, 2], ["module"], None)
    for job in jobs[:3]:  # a sweep that was cut off
        project.put(play(job))
    assert sweep(project, jobs, 2, seen.append) == 1 and len(seen) == 4 and seen.count(None) == 3
    whole = [(r["params"], r["seed"], r["digest"]) for r in project.rows()]
    other = Project(tmp_path / "q.duckdb")
    assert sweep(other, list(reversed(jobs)), 2, seen.append) == 4
    assert [(r["params"], r["seed"], r["digest"]) for r in other.rows()] == whole
    for each in (project, other):
        each.close()


def test_a_changed_outcome_of_the_same_key_is_noticed(script, tmp_path):
    project = Project(tmp_path / "p.duckdb")
    played = play(Job(script, {}, 1, "module"))
    project.put(played)
    project.put(played)
    with pytest.raises(Differs, match="seed 1.*digest 000000000000, was "):
        project.put(played._replace(digest="0" * 64))
    project.close()


def test_versions_are_compared_on_the_days_they_share(script, tmp_path):
    project = Project(tmp_path / "p.duckdb")
    for seed in (1, 2, 3, 4):
        for version in ("module", "at-once"):
            project.put(play(Job(script, {"part": 1.6}, seed, version)))
    told = project.compare("at-once", "module")
    assert told["all"].pairs == 4 and told["all"].mean > 0
    with pytest.raises(ValueError, match="no day in common"):
        project.compare("module", "window")
    project.close()


def test_a_version_is_the_module_a_baseline_or_a_file_with_its_text(tmp_path):
    other = tmp_path / "other"
    shutil.copytree(Path(tansykeel.brain.__file__).parent, other)
    assert decide_of(str(other))[1] == decide_of("module")[1]
    text = other / "cold.py"
    text.write_text(text.read_text() + "\n# another text\n")
    decide, digest = decide_of(str(other))
    assert decide is not tansykeel.brain.Scheduler and digest != decide_of("module")[1]
    text = tmp_path / "one.py"
    text.write_text("Scheduler = 5\n")
    assert decide_of(str(text))[0] == 5
    with pytest.raises(UnknownVersion, match="legal: module, at-once, window"):
        decide_of("none")
    text.write_text("x = (")
    with pytest.raises(UnknownVersion, match="cannot be loaded: SyntaxError"):
        decide_of(str(text))
    assert experiments.key_of(Job("s", {"a": 1}, 1, "module"), "t", "d") != experiments.key_of(
        Job("s", {"a": 1}, 1, "module"), "t", "e"
    )


def test_a_day_is_drawn_as_pictures(tmp_path):
    (tmp_path / "d.star").write_text(DAY + "restart(at = 0.5, stores = [0], down_s = 0.1)\n")
    world = World(load_day(tmp_path / "d.star"), 1)
    world.play()
    made = draw_day(world, tmp_path)
    assert {path.name for path in made} == {
        f"d-{name}.{kind}" for name in ("service", "lags", "cold", "shares") for kind in ("png", "svg")
    }
    assert all(path.stat().st_size > 2_000 for path in made)


def test_troubles_left_out_are_another_day(script, tmp_path):
    (tmp_path / "d.star").write_text(DAY + "restart(at = 0.5, stores = [0], down_s = 0.1)\n")
    whole, without = Job(script, {}, 1, "module"), Job(script, {}, 1, "module", without=(0,))
    assert play(whole).digest != play(without).digest
    assert experiments.key_of(whole, "t", "d") != experiments.key_of(without, "t", "d")
    assert without.told() == '{"without": [0]}'


def test_a_project_is_drawn_over_what_was_swept_and_told_on_one_page(script, tmp_path):
    project = Project(tmp_path / "p.duckdb")
    for job in jobs_of(script, {"part": [0.3, 1.2]}, [1, 2], ["module", "at-once"], None):
        project.put(play(job))
    made = draw_sweep(project.rows(), tmp_path)
    assert {path.name for path in made} == {
        f"d-{figure}-over-part.{kind}" for kind in ("png", "svg") for figure in ("service", "p99", "cold_most")
    }
    text = page_of_project("p", project.rows(), {"module less at-once": project.compare("at-once", "module")})
    project.close()
    assert text.count("<svg") == 3 and "module less at-once" in text
    assert "src=" not in text and "<link" not in text  # all that it shows is inside it


def test_a_day_is_told_on_one_page(tmp_path):
    (tmp_path / "d.star").write_text(DAY + "restart(at = 0.5, stores = [0], down_s = 0.1)\n")
    world = World(load_day(tmp_path / "d.star"), 1)
    world.play()
    text = page_of_day(world, "module")
    assert world.digest() in text and text.count("<svg") == 4 and "<td>restart</td>" in text


def test_days_in_play_end_with_whoever_asked_for_them(tmp_path):
    """Guards against processes left behind by a sweep that was killed."""
    (tmp_path / "long.star").write_text(DAY.replace("seconds = 2", "seconds = 3000"))
    program = (
        "from tansykeel.emulator.experiments import Job, over_cores\n"
        f"list(over_cores([Job({str(tmp_path / 'long.star')!r}, {{}}, n, 'module') for n in (1, 2)], 2))\n"
    )
    (tmp_path / "asks.py").write_text(f"if __name__ == '__main__':\n    {program.replace(chr(10), chr(10) + '    ')}")
    asks = subprocess.Popen([sys.executable, str(tmp_path / "asks.py")], start_new_session=True)

    def playing():
        told = subprocess.run(["ps", "-o", "pid=", "-s", str(asks.pid)], capture_output=True, text=True)
        return {int(pid) for pid in told.stdout.split()} - {asks.pid}

    asyncio.run(until(lambda: len(playing()) >= 2, 30))
    asks.kill()
    asks.wait()
    asyncio.run(until(lambda: not playing(), 30))
