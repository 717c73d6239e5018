"""Resources that operators declare, and their checks."""

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
    """Kinds of resources."""

    SERVICE = "service"
    WORKER_POOL = "worker-pool"
    CALLER_POLICY = "caller-policy"


@attrs.frozen
class ServiceSpec:
    """A service whose requests are forwarded to the zone's upstreams."""

    timeout_ms: Milliseconds = 10_000
    queue_limit: Limit = 2000
    slots_per_upstream: Annotated[int, Meta(ge=1, le=1000)] = 8
    is_idempotent: bool = True


@attrs.frozen
class WorkerPoolSpec:
    """Limits of the queue in front of a zone's workers; the resource is named as the zone."""

    queued_tasks: Limit = 50_000
    longest_wait_ms: Milliseconds = 30_000


@attrs.frozen
class CallerPolicySpec:
    """What a team may use: millicores running at once over the fleet."""

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
    kind : ResourceKind
        What is declared.
    name : str
        Name within the kind.
    spec : dict
        Checked specification in its plain form.
    generation : int
        Grows by one with each accepted change.
    changed_by : str
        Name of the operator's token.
    change_id : str
        Identifies the change, so that its fate can be read back after a lost reply.
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
    """Check the name and the specification of a resource.

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
