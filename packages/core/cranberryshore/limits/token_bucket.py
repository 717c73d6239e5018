"""Rate limit of an operation."""

import attrs


@attrs.define
class TokenBucket:
    """Allows ``rate`` operations per second on average, in bursts of up to ``burst``.

    Examples
    --------
    >>> bucket = TokenBucket(rate=1.0, burst=1.0)
    >>> bucket.try_acquire(now=0.0), bucket.try_acquire(now=0.5), bucket.try_acquire(now=1.5)
    (True, False, True)
    """

    rate: float
    burst: float
    level: float = attrs.field(init=False)
    updated_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.level = self.burst

    def try_acquire(self, now: float) -> bool:
        """Consume one token if available; return whether the operation is allowed."""
        elapsed = max(now - self.updated_at, 0.0)
        self.updated_at = now
        self.level = min(self.level + elapsed * self.rate, self.burst)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def wait_seconds(self) -> float:
        """Return the seconds from the last ``try_acquire`` until an operation is allowed."""
        return max(1.0 - self.level, 0.0) / self.rate
