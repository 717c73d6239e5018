"""Registration data of workers."""

import attrs

from cranberryshore.work.capacity import Capacity


@attrs.frozen
class WorkerRegistration:
    """Registration of a worker.

    Parameters
    ----------
    name : str
        Identifier of the worker, which is stable across restarts.
    address : str
        IP address and port.
    labels : tuple of str
        Labels of the worker, such as its kind and its rack.
    rack : str
        Rack of the worker; empty if unknown.
    is_draining : bool
        Whether the worker is shutting down and accepts no new work.
    born : int
        Identifier of the start of the worker process that wrote the registration; 0 if unknown.
    """

    name: str
    address: str
    zone: str
    service: str
    capacity: Capacity
    labels: tuple[str, ...] = ()
    rack: str = ""
    is_draining: bool = False
    born: int = 0
