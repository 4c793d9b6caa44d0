"""Until when a task that may have run may be sent again."""

import math

from tansykeel.interface import RepeatSafety, Task


def repeat_until(task: Task) -> float:
    """When the stores forget the first hand-off that may have run, and would run a repeat.

    Infinite where that does not count: nothing may have run, or the task's category is not deduplicated.
    """
    if not task.may_have_run or task.category.repeat is not RepeatSafety.DEDUPLICATED:
        return math.inf
    _, first_sent = task.may_have_run[0]
    return first_sent + task.category.window
