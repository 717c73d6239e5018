"""Putting the configuration in force in the parts that it concerns."""

from collections.abc import Callable

import attrs
from result import Err
from structlog.typing import FilteringBoundLogger

from cranberryshore.config import (
    CallerPolicySpec,
    ConfigState,
    ServiceSpec,
    WorkerPoolSpec,
    check_resource,
)
from cranberryshore.dispatch import LimitsSet, QuotasSet
from cranberryshored.jobs import JobService
from cranberryshored.requests import RequestService


@attrs.define(eq=False)
class ConfigApplier:
    """Declares services and sets limits and quotas as the resources say.

    Parameters
    ----------
    zone : str
        Zone of this instance; the worker pool of the same name concerns it.
    make_service : callable
        Makes the part that serves a newly declared service.
    """

    zone: str
    state: ConfigState
    services: dict[str, RequestService]
    jobs: JobService
    make_service: Callable[[str, ServiceSpec], RequestService]
    log: FilteringBoundLogger

    def apply(self) -> None:
        """Put everything that is in force now into effect."""
        quotas: dict[str, int] = {}
        declared: dict[str, ServiceSpec] = {}
        for resource in self.state.resources.values():
            checked = check_resource(resource.kind, resource.name, resource.spec)
            if isinstance(checked, Err):
                self.log.warning("Resource is malformed.", name=resource.name)
                continue
            spec = checked.ok_value
            if isinstance(spec, ServiceSpec):
                declared[resource.name] = spec
            elif isinstance(spec, CallerPolicySpec):
                quotas[resource.name] = spec.quota_millicores
            elif isinstance(spec, WorkerPoolSpec) and resource.name == self.zone:
                self.jobs.handle(LimitsSet(spec.queued_tasks, spec.longest_wait_ms))
        self._declare(declared)
        self.jobs.handle(QuotasSet(quotas))

    def _declare(self, declared: dict[str, ServiceSpec]) -> None:
        for name in self.services.keys() - declared.keys():
            del self.services[name]
        for name, spec in declared.items():
            service = self.services.get(name)
            if service is None:
                self.services[name] = self.make_service(name, spec)
            else:
                service.set_spec(spec)
