"""Rights of a scheduler whose entry instances never leave it."""

import attrs


@attrs.frozen
class UnlimitedRights:
    """Implements :class:`StartRights` without limits."""

    def may_start(self, entry: str, now: float) -> bool:
        """Return that tasks may be started."""
        return True

    def lease_limit(self, entry: str) -> float:
        """Return that leases are not limited."""
        return float("inf")

    def usable_workers(self, entry: str) -> frozenset[str] | None:
        """Return that all workers are usable."""
        return None
