"""Protection of the HTTP servers from clients that send arbitrary data."""

from cranberryshored.intake.guard import IntakeGuard, ListenerGuard, make_guard
from cranberryshored.intake.replies import api_body, platform_body
from cranberryshored.intake.serving import (
    GuardedAppRunner,
    GuardedServerRunner,
    listen,
    make_server,
)

__all__ = [
    "GuardedAppRunner",
    "GuardedServerRunner",
    "IntakeGuard",
    "ListenerGuard",
    "api_body",
    "listen",
    "make_guard",
    "make_server",
    "platform_body",
]
