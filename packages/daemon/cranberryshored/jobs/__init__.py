"""Jobs: dispatching, routing, ownership, and outcomes of jobs whose issuer has died."""

from cranberryshored.jobs.bindings import KeyBindings
from cranberryshored.jobs.closures import ClosureService
from cranberryshored.jobs.ownership import OwnershipService
from cranberryshored.jobs.router import JobRouter
from cranberryshored.jobs.service import JobService
from cranberryshored.jobs.workers import WorkerLinks

__all__ = [
    "ClosureService",
    "JobRouter",
    "JobService",
    "KeyBindings",
    "OwnershipService",
    "WorkerLinks",
]
