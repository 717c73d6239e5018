"""Settings of the relief of overloaded schedulers."""

import attrs


@attrs.frozen
class ReliefSettings:
    """Whether an overloaded scheduler is relieved.

    Parameters
    ----------
    is_enabled : bool
        Whether a scheduler whose event loop lags hands over to a stronger instance, or has its pool
        divided by availability zone.
    """

    is_enabled: bool = False
