"""Jobs: the dispatcher with its surroundings, ownership, and the truth after deaths."""

from cranberryshored.jobs.bindings import KeyBindings
from cranberryshored.jobs.closures import Closures
from cranberryshored.jobs.ownership import OwnershipService
from cranberryshored.jobs.router import JobRouter
from cranberryshored.jobs.service import JobService
from cranberryshored.jobs.workers import WorkerLinks

__all__ = [
    "Closures",
    "JobRouter",
    "JobService",
    "KeyBindings",
    "OwnershipService",
    "WorkerLinks",
]
