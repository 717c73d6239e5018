"""Workers as they register themselves."""

import attrs

from cranberryshore.work.capacity import Capacity


@attrs.frozen
class WorkerRegistration:
    """One registered worker.

    Parameters
    ----------
    name : str
        Id of the worker, which a restart keeps.
    address : str
        IP number and port.
    zone, service : str
        Availability zone, and the service whose tasks it runs.
    capacity : Capacity
        Its whole room.
    labels : frozenset of str
        Its kind and its rack.
    rack : str
        Its rack; empty if it names none.
    is_draining : bool
        Whether it is about to leave and takes no new work.
    """

    name: str
    address: str
    zone: str
    service: str
    capacity: Capacity
    labels: tuple[str, ...] = ()
    rack: str = ""
    is_draining: bool = False
