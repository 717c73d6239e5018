"""Settings of the use of uneven workers."""

import attrs


@attrs.frozen
class SpeedSettings:
    """Settings of the use of workers of different speeds.

    Parameters
    ----------
    is_enabled : bool
        Whether schedulers learn the speeds of workers and take them into account.
    """

    is_enabled: bool = False
