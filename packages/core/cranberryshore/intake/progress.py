"""Time limits of requests that are incomplete."""

import attrs

from cranberryshore.intake.cause import IntakeCause
from cranberryshore.settings.intake import IntakeSettings


@attrs.define
class Progress:
    """Progress of one incomplete request; times in seconds of a monotonic clock.

    Parameters
    ----------
    began_at : float
        Arrival of the first byte.
    body_began_at : float or None
        End of the head, or ``None`` while the head is incomplete.
    moved_at : float
        Arrival of the latest data, or the latest time at which the connection was not read.
    """

    began_at: float
    moved_at: float
    body_began_at: float | None = None

    def check(self, settings: IntakeSettings, received: int, now: float) -> IntakeCause | None:
        """Return the limit that is exceeded, if any; ``received`` counts the bytes so far.

        Examples
        --------
        >>> Progress(0.0, 19.0).check(IntakeSettings(), 100, 19.5)
        >>> Progress(0.0, 19.0).check(IntakeSettings(), 100, 20.0).value
        'head_timeout'
        """
        if self.body_began_at is None:
            is_late = now - self.began_at >= settings.head_seconds
            return IntakeCause.HEAD_TIMEOUT if is_late else None
        if now - self.moved_at >= settings.body_seconds:
            return IntakeCause.BODY_TIMEOUT
        rate = settings.body_bytes_per_second
        excess = now - self.body_began_at - settings.body_seconds
        is_slow = rate > 0 and excess > 0 and received < excess * rate
        return IntakeCause.BODY_TIMEOUT if is_slow else None
