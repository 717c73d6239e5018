"""How recently the configuration in force is known to have been the newest one.

An instance serves the queues that it knows also while the store is out of reach. To deny that a
queue exists is different: that claims to know the newest configuration. A request for an unknown
queue is therefore denied only if the configuration in force was the newest one a short time ago,
according to the store or to a peer.

Times are on the monotonic clock of this instance. What a peer confirms is dated back to the sending
of the heartbeat that the peer's one responds to, so that it counts as older than it is.
"""

import attrs

MAX_CONFIRMATION_AGE_SECONDS = 1.5
"""Age of the confirmation up to which a request may be denied, less than the 2 s within which a
configuration must be in force."""


@attrs.define
class ConfigConfirmation:
    """What is known of the newest configuration.

    Parameters
    ----------
    version : int
        Highest version known to exist, which may not be in force here yet.
    confirmed_at : float
        Latest time at which it is known to have been the newest one.
    """

    version: int = 0
    confirmed_at: float = float("-inf")

    def record(self, version: int, newest_at: float) -> None:
        """Record that a version was the newest one at a time.

        Examples
        --------
        >>> confirmation = ConfigConfirmation()
        >>> confirmation.record(3, 10.0)
        >>> confirmation.record(2, 12.0)
        >>> confirmation
        ConfigConfirmation(version=3, confirmed_at=10.0)
        """
        if version > self.version:
            self.version, self.confirmed_at = version, newest_at
        elif version == self.version:
            self.confirmed_at = max(self.confirmed_at, newest_at)

    def age(self, now: float) -> float:
        """Return the seconds since the version was last known to be the newest one."""
        return now - self.confirmed_at

    def is_newest(self, version: int, now: float) -> bool:
        """Return whether a version in force is known to have been the newest one recently.

        Examples
        --------
        >>> confirmation = ConfigConfirmation(3, 10.0)
        >>> confirmation.is_newest(3, 11.0), confirmation.is_newest(3, 12.0)
        (True, False)
        >>> confirmation.is_newest(2, 10.0)
        False
        """
        return version >= self.version and self.age(now) <= MAX_CONFIRMATION_AGE_SECONDS
