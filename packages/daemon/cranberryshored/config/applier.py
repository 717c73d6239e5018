"""Applying the configuration to the services and the dispatcher."""

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
    """Creates and removes services and sets limits and quotas according to the resources.

    Parameters
    ----------
    zone : str
        Availability zone of this instance; the worker pool of this name sets its limits.
    make_service : callable
        Creates the component that serves a newly declared service.
    """

    zone: str
    state: ConfigState
    services: dict[str, RequestService]
    jobs: JobService
    make_service: Callable[[str, ServiceSpec], RequestService]
    log: FilteringBoundLogger

    def apply(self) -> None:
        """Apply all resources of the current configuration."""
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
        self._update_services(declared)
        self.jobs.handle(QuotasSet(quotas))

    def _update_services(self, declared: dict[str, ServiceSpec]) -> None:
        for name in self.services.keys() - declared.keys():
            del self.services[name]
        for name, spec in declared.items():
            service = self.services.get(name)
            if service is None:
                self.services[name] = self.make_service(name, spec)
            else:
                service.set_spec(spec)
