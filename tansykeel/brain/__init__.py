"""The scheduler of tansykeel: which task goes to which store, when, and how it is answered.

Each gateway has one Scheduler: `serve(task)` gives the generator that decides on a task; other methods take
in lists of stores and messages of other gateways. docs/design.md has the reasons. Times are whole tenths of a
millisecond, rates units a tenth.
"""

from .scheduler import Scheduler as Scheduler
