"""How many new sessions a control node accepts: a token bucket that tells whoever it rejects when to come back.

Guards against a herd: the gateways of a node or a zone that is lost open their sessions elsewhere all at once. Without
I/O. Times are tenths of a millisecond.
"""

from __future__ import annotations

SECOND = 10_000
BURST_PART = 0.5  # of a second's tokens that the bucket holds
MOST_RETRY_AFTER = 5 * SECOND  # of one that is rejected: as long as a gateway's own longest back-off


class Admission:
    """A token bucket (Turner, 1986) of new sessions; whoever finds it empty is given a turn, each a later one."""

    def __init__(self, per_second: float, now: int) -> None:
        self.per_tenth = per_second / SECOND
        self.most = max(per_second * BURST_PART, 1.0)
        self.tokens = self.most
        self.filled_at = now
        self.last_turn = now  # that was given to one that was rejected
        self.admitted = 0
        self.rejected = 0

    def admit(self, now: int) -> int:
        """Return 0 where a new session is accepted, else after how many tenths its turn would be."""
        self.tokens = min(self.tokens + (now - self.filled_at) * self.per_tenth, self.most)
        self.filled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            self.admitted += 1
            return 0
        self.rejected += 1
        first_token = now + (1 - self.tokens) / self.per_tenth
        turn = max(first_token, self.last_turn + 1 / self.per_tenth)
        self.last_turn = min(int(turn) + 1, now + MOST_RETRY_AFTER)
        return self.last_turn - now
