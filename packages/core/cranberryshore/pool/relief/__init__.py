"""Relief of a scheduler whose processor cannot carry the load of its claim."""

from cranberryshore.pool.relief.lag import LagMeter
from cranberryshore.pool.relief.rules import (
    can_divide,
    find_stronger_instance,
)

__all__ = ["LagMeter", "can_divide", "find_stronger_instance"]
