"""Resources that operators declare, and the active configuration built from them."""

from cranberryshore.config.resource import (
    CONFIG_PREFIX,
    CallerPolicySpec,
    Resource,
    ResourceKind,
    ServiceSpec,
    Spec,
    WorkerPoolSpec,
    check_resource,
    resource_key,
)
from cranberryshore.config.state import Change, ConfigState, Snapshot, WatchGap

__all__ = [
    "CONFIG_PREFIX",
    "CallerPolicySpec",
    "Change",
    "ConfigState",
    "Resource",
    "ResourceKind",
    "ServiceSpec",
    "Snapshot",
    "Spec",
    "WatchGap",
    "WorkerPoolSpec",
    "check_resource",
    "resource_key",
]
