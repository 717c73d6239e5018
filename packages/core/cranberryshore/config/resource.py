"""Resources that operators declare, and their validation."""

from enum import Enum
from typing import Annotated, Any

import attrs
from msgspec import Meta
from result import Err, Ok, Result

from cranberryshore.errors import SettingsError
from cranberryshore.identity.incarnation import is_valid_name
from cranberryshore.settings.check import check_document

CONFIG_PREFIX = "config/"

Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
Limit = Annotated[int, Meta(ge=1, le=10_000_000)]


class ResourceKind(Enum):
    """Kind of a resource."""

    SERVICE = "service"
    WORKER_POOL = "worker-pool"
    CALLER_POLICY = "caller-policy"


@attrs.frozen
class ServiceSpec:
    """A service whose requests are forwarded to upstreams of the availability zone.

    Parameters
    ----------
    timeout_ms : int
        Default and maximum time for a request, in milliseconds.
    queue_limit : int
        Maximum number of waiting requests in each entry instance.
    slots_per_upstream : int
        Maximum number of concurrent requests to an upstream.
    is_idempotent : bool
        Whether a failed request may be resent, unless its ``Idempotent`` header says otherwise.
    """

    timeout_ms: Milliseconds = 10_000
    queue_limit: Limit = 2000
    slots_per_upstream: Annotated[int, Meta(ge=1, le=1000)] = 8
    is_idempotent: bool = True


@attrs.frozen
class WorkerPoolSpec:
    """Limits of the task queue of each entry instance of an availability zone.

    The resource is named after the zone. ``longest_wait_ms`` limits the estimated queueing delay of
    a newly accepted job.
    """

    queued_tasks: Limit = 50_000
    longest_wait_ms: Milliseconds = 30_000


@attrs.frozen
class CallerPolicySpec:
    """Quota of a team: millicores that its tasks may use at once on all workers.

    The resource is named after the team.
    """

    quota_millicores: Annotated[int, Meta(ge=1, le=10_000_000_000)]


Spec = ServiceSpec | WorkerPoolSpec | CallerPolicySpec

SPEC_TYPES: dict[ResourceKind, type] = {
    ResourceKind.SERVICE: ServiceSpec,
    ResourceKind.WORKER_POOL: WorkerPoolSpec,
    ResourceKind.CALLER_POLICY: CallerPolicySpec,
}


@attrs.frozen
class Resource:
    """One declared resource.

    Parameters
    ----------
    name : str
        Unique within the kind.
    spec : dict
        Validated specification as JSON values.
    generation : int
        Increases by one with each accepted change.
    changed_by : str
        Name of the operator's token.
    change_id : str
        Identifies the change, so that its outcome can be looked up after a lost reply.
    changed_at : float
        Unix time of the change by the accepting instance's clock.
    """

    kind: ResourceKind
    name: str
    spec: dict[str, Any]
    generation: int = 0
    changed_by: str = ""
    change_id: str = ""
    changed_at: float = 0.0


def resource_key(kind: ResourceKind, name: str) -> str:
    """Return the store key of a resource.

    Examples
    --------
    >>> resource_key(ResourceKind.SERVICE, "booking")
    'config/service/booking'
    """
    return f"{CONFIG_PREFIX}{kind.value}/{name}"


def check_resource(kind: ResourceKind, name: str, spec: Any) -> Result[Spec, list[SettingsError]]:
    """Validate the name and the specification of a resource.

    Examples
    --------
    >>> check_resource(ResourceKind.CALLER_POLICY, "desk", {}).unwrap_err()[0].path
    '$.quota_millicores'
    """
    if not is_valid_name(name):
        expected = "lower-case letters, digits and hyphens"
        return Err([SettingsError("name", repr(name), expected)])
    checked = check_document(spec, SPEC_TYPES[kind])
    return checked if isinstance(checked, Err) else Ok(checked.ok_value)
