"""Evacuation of availability zones: which zones are evacuated, and what follows for workers.

Load pattern: an operator takes a zone with a third to a fifth of the workers out of service while
callers keep their rate, and returns it later, when all of its workers are slow at first.
"""

from cranberryshore.pool.evacuation.evacuated_workers import EvacuatedWorkers
from cranberryshore.pool.evacuation.known_evacuations import KnownEvacuations
from cranberryshore.pool.evacuation.warm_ups import WarmUps
from cranberryshore.pool.evacuation.zone_evacuations import (
    MAX_EVACUATED_ZONES,
    ZoneEvacuations,
    evacuated_zones,
)

__all__ = [
    "EvacuatedWorkers",
    "KnownEvacuations",
    "MAX_EVACUATED_ZONES",
    "WarmUps",
    "ZoneEvacuations",
    "evacuated_zones",
]
