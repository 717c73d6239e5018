"""Settings of the decisions of a scheduler, with one section for each optional part."""

import attrs

from cranberryshore.settings.interference import InterferenceSettings
from cranberryshore.settings.pool import PoolSettings
from cranberryshore.settings.speeds import SpeedSettings


@attrs.frozen
class SchedulingPolicy:
    """Optional parts of a scheduler; by default, all of them are off.

    Parameters
    ----------
    speeds : SpeedSettings
        Workers of different speeds.
    interference : InterferenceSettings
        Separation of tasks that slow each other down.
    """

    speeds: SpeedSettings = SpeedSettings()
    interference: InterferenceSettings = InterferenceSettings()

    @classmethod
    def from_settings(cls, settings: PoolSettings) -> "SchedulingPolicy":
        """Return the policy of the schedulers of an entry instance.

        Examples
        --------
        >>> SchedulingPolicy().speeds.is_enabled
        False
        """
        return cls(speeds=settings.speeds, interference=settings.interference)
