"""Limit on retries in proportion to first attempts."""

import attrs


@attrs.define
class RetryBudget:
    """Allows one retry per ``1 / share`` first attempts, to avoid amplifying an overload.

    Up to ``burst`` unused retries accumulate.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, burst=1.0)
    >>> budget.try_acquire(), budget.try_acquire()
    (True, False)
    >>> budget.on_attempt(); budget.on_attempt(); budget.try_acquire()
    True
    """

    share: float = 0.1
    burst: float = 10.0
    level: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.level = self.burst

    def on_attempt(self) -> None:
        """Count a first attempt."""
        self.level = min(self.level + self.share, self.burst)

    def try_acquire(self) -> bool:
        """Consume one retry if the budget allows it; return whether it does."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
