"""The experiments, played small: on real processes, for a few seconds in all."""

import os
import sys
from itertools import pairwise

import pytest

from tansykeel.capacity.errors import ExperimentError
from tansykeel.capacity.processes import ChildProcess, processor_seconds, running
from tansykeel.capacity.registry import Sample, Scale, all_experiments, measured

SMALL = Scale(0.01, 1)


def small(name):
    """The slopes of an experiment played small."""
    return {one.series.name: one for one in measured(all_experiments()[name], SMALL, "today", lambda sample: None)}


def test_connections_are_seen_in_descriptors_one_for_each():
    descriptors = small("connections")["gateway-descriptors-connections"]
    assert descriptors.fit.slope == pytest.approx(1) and descriptors.runs[0].size == 0


def test_a_list_costs_bytes_for_each_store_and_a_change_of_it_none():
    whole, change = (small("store-list")[f"list-bytes-{kind}"].fit for kind in ("whole", "change"))
    assert whole.slope > 20 and change.shape == "flat"


def test_a_voter_is_busier_the_more_gateways_there_are():
    runs = small("agreed-views")["views-bytes-busiest"].runs
    assert all(before.value < after.value for before, after in pairwise(runs))


def test_all_experiments_have_series_of_their_own_names():
    names = [spec.name for one in all_experiments().values() for spec in one.series]
    assert len(names) == len(set(names)) > 20


def test_a_sample_of_another_series_is_one_error():
    stray = all_experiments()["frames"]
    broken = type(stray)(stray.name, stray.series, lambda scale: [Sample("other", 1, 1.0)])
    with pytest.raises(ExperimentError, match="no series of it"):
        list(measured(broken, SMALL, "today", lambda sample: None))


def test_a_process_that_fails_is_one_error_that_quotes_it(tmp_path):
    (tmp_path / "wrong.star").write_text("gateway()")
    with running("tansykeel", "edge", tmp_path / "wrong.star") as process:
        with pytest.raises(ExperimentError, match="it ended early.*wrong.star"):
            process.answer(30)
        with pytest.raises(ExperimentError):
            process.answer(30)


def test_a_process_that_is_silent_is_given_up_and_ended():
    with running("tansykeel.capacity.stand_ins", "stores", "1") as process:
        process.answer(30)
        with pytest.raises(ExperimentError, match="said nothing for 0.1 s"):
            process.answer(0.1)
        pid = process.pid
    with pytest.raises(ProcessLookupError):
        os.kill(pid, 0)


def test_processor_time_is_counted_and_grows():
    before = processor_seconds(os.getpid())
    sum(range(3_000_000))
    assert processor_seconds(os.getpid()) - before > 0.005


def test_a_child_is_started_by_this_python():
    child = ChildProcess("tansykeel.capacity.stand_ins", "stores", "1")
    try:
        assert os.readlink(f"/proc/{child.pid}/exe") == os.path.realpath(sys.executable)
    finally:
        child.stop()
