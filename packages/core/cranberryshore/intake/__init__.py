"""Decisions about the input of HTTP clients, without I/O."""

from cranberryshore.intake.budget import InputBudget
from cranberryshore.intake.cause import IntakeCause
from cranberryshore.intake.connections import ConnectionTable, Phase
from cranberryshore.intake.framing import FrameLimits, RequestFramer
from cranberryshore.intake.limits import IntakeLimits, derive_limits
from cranberryshore.intake.progress import Progress

__all__ = [
    "ConnectionTable",
    "FrameLimits",
    "InputBudget",
    "IntakeCause",
    "IntakeLimits",
    "Phase",
    "Progress",
    "RequestFramer",
    "derive_limits",
]
