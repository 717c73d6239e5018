"""Settings of the separation of tasks that slow each other down."""

import attrs


@attrs.frozen
class InterferenceSettings:
    """Settings of the separation of tasks that slow each other down.

    Parameters
    ----------
    is_enabled : bool
        Whether schedulers learn which queues slow each other down and place tasks by it.
    """

    is_enabled: bool = False
