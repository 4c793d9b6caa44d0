"""Errors of capacity planning that reach an operator."""

from __future__ import annotations

from tansykeel.errors import NOT_PLAYED, Problem


class SlopeFileError(Problem):
    """A file of slopes that cannot be read, or that says something that no slope can."""

    advice = "take the file of the last commit, or measure again: tansykeel capacity measure"


class TargetError(Problem):
    """A target file that cannot be read, or that lacks or contradicts something."""

    advice = "correct the place that is named; examples/capacity/two-years.toml is a whole one"


class MissingDriverError(Problem):
    """A slope grows by a number that the target does not give."""

    advice = "add the number under [drivers] of the target file"


class PageError(Problem):
    """A page whose markers for the tables are missing, doubled or unknown."""

    advice = "give each table one pair of markers: <!-- capacity:NAME begin --> and <!-- capacity:NAME end -->"


class UnknownExperimentError(Problem):
    """An experiment was asked for that there is not."""

    advice = "list them: tansykeel capacity measure --list"


class ExperimentError(Problem):
    """An experiment did not come to an end as it should: a process failed or did not answer in time."""

    advice = "look at what the process wrote, which is quoted; nothing was written to the file of slopes"
    code = NOT_PLAYED
