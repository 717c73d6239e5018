"""Registration data of workers."""

import attrs

from cranberryshore.keyword_arguments import optional_by_name
from cranberryshore.work.capacity import Capacity


@attrs.frozen(field_transformer=optional_by_name)
class WorkerRegistration:
    """Registration of a worker.

    Parameters
    ----------
    name : str
        Identifier of the worker, which is stable across restarts.
    address : str
        IP address and port.
    born : int
        Identifier of the start of the worker process that wrote the registration.
    labels : tuple of str
        Labels of the worker, such as its kind and its rack.
    rack : str
        Rack of the worker; empty if unknown.
    is_draining : bool
        Whether the worker is shutting down and accepts no new work.
    warmup_left_ms : int
        Time for which the worker is still slow after its start. It changes with each report, so
        registrations that differ in nothing else are equal and make no new roster.
    """

    name: str
    address: str
    zone: str
    service: str
    capacity: Capacity
    born: int = attrs.field(kw_only=True)
    labels: tuple[str, ...] = ()
    rack: str = ""
    is_draining: bool = False
    warmup_left_ms: int = attrs.field(default=0, eq=False)

    def is_of_start(self, born: int) -> bool:
        """Return whether a given start of the worker process has written the registration.

        Examples
        --------
        >>> entry = WorkerRegistration("w", "w", "z", "s", Capacity(1000), born=2)
        >>> entry.is_of_start(2), entry.is_of_start(1), entry.is_of_start(0)
        (True, False, False)
        """
        return self.born == born


@attrs.frozen
class WorkerListing:
    """Registrations as they were read from the platform's store.

    Parameters
    ----------
    workers : tuple of WorkerRegistration
        Registered workers, and those whose registration was missing for a short time only.
    missing : frozenset of str
        Names of the latter.
    confirmed_at : float
        Time at which the registrations were the newest ones, in seconds.
    answered_at : float
        Time at which the store answered.
    """

    workers: tuple[WorkerRegistration, ...]
    missing: frozenset[str]
    confirmed_at: float
    answered_at: float
