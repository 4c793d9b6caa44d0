"""The decisions of tansykeel: which task goes to which store, when, and what becomes of it.

One Scheduler for each gateway: `serve(task)` gives a task's generator; lists and words of other gateways come
in between. Reasons are in docs/design.md. Times are whole tenths of a millisecond, rates units a tenth.
"""

from .scheduler import Scheduler as Scheduler
