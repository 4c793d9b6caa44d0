"""Rate limit for the new sessions of a control node: a token bucket that tells rejected gateways when to retry.

When a node or a zone fails, all of its gateways open sessions at other nodes at the same time; the limit spreads this
load. Does no I/O. Times are in tenths of a millisecond.
"""

from __future__ import annotations

SECOND = 10_000
BURST_SECONDS = 0.5  # capacity of the bucket, in seconds of its rate
MAX_RETRY_AFTER = 5 * SECOND  # the same as the longest back-off of a gateway


class AdmissionLimiter:
    """Token bucket (Turner, 1986) for new sessions.

    Each rejected gateway gets a retry time of its own, one token's time after the previous one, so that they return one
    by one. Retry times are capped at `MAX_RETRY_AFTER` from now.
    """

    def __init__(self, per_second: float, now: int) -> None:
        self.refill_rate = per_second / SECOND  # tokens per tenth of a millisecond
        self.capacity = max(per_second * BURST_SECONDS, 1.0)
        self.tokens = self.capacity
        self.refilled_at = now
        self.last_retry_at = now  # the latest retry time given to a rejected gateway
        self.admitted = 0
        self.rejected = 0

    def admit(self, now: int) -> int:
        """Return 0 if a new session is accepted, else the time after which the gateway should retry."""
        self.tokens = min(self.tokens + (now - self.refilled_at) * self.refill_rate, self.capacity)
        self.refilled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            self.admitted += 1
            return 0
        self.rejected += 1
        next_token_at = now + (1 - self.tokens) / self.refill_rate
        retry_at = max(next_token_at, self.last_retry_at + 1 / self.refill_rate)
        self.last_retry_at = min(int(retry_at) + 1, now + MAX_RETRY_AFTER)
        return self.last_retry_at - now
