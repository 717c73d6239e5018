"""Mutations of a pool that concern the evacuation of zones.

Each one is a name, and the owner, the attribute and the substitute of :class:`PoolMutation`.
"""

from collections.abc import Callable

from cranberryshore.pool import Group, HeldWorker, WorkerRegistration
from cranberryshore.pool.evacuation import (
    EvacuatedWorkers,
    KnownEvacuations,
    WarmUps,
    ZoneEvacuations,
    evacuated_workers,
)
from cranberryshored.pool.documents import DocumentExchange
from cranberryshored.pool.registry import StoreRegistry
from cranberryshored.pool.scheduling import SchedulingService
from cranberryshored.pool.worker_channel import WorkerChannel

EVACUATION_TEST_MODULES = (
    "cranberryshore.pool.evacuation.tests.test_evacuated_workers",
    "cranberryshore.pool.evacuation.tests.test_known_evacuations",
    "cranberryshore.pool.evacuation.tests.test_warm_ups",
    "cranberryshored.pool.tests.test_evacuations",
    "cranberryshore_proof.tests.test_evacuations.EvacuationTest",
)

FOLLOW_CONFIG = StoreRegistry.follow_config
LEARN = KnownEvacuations.learn
RECORD_WARM_UPS = WarmUps.record


def _constant(value: object) -> Callable:
    return lambda *arguments: value


def _end_by_any(self: KnownEvacuations, latest: ZoneEvacuations, confirmed_at: float) -> bool:
    # Older states must not begin evacuations here: instances would alternate without end.
    zones = self.zones
    if zones and not latest.zones:
        self.present = latest
    LEARN(self, latest, confirmed_at)
    return self.zones != zones


def _send_present(self: KnownEvacuations) -> ZoneEvacuations | None:
    return self.present


def _apply_without_runs(self: EvacuatedWorkers, zones: object) -> list[HeldWorker]:
    self.zones = frozenset(zones)
    return []


def _begin_anew(self: WarmUps, entries: tuple[WorkerRegistration, ...], now: float) -> set[str]:
    self.by_worker.clear()
    return RECORD_WARM_UPS(self, entries, now)


async def _follow_config_only(
    self: StoreRegistry, on_config: Callable, on_evacuations: object = None
) -> None:
    await FOLLOW_CONFIG(self, on_config)


EVACUATION_MUTATIONS = (
    ("evacuation: tasks start all the same", EvacuatedWorkers, "mark", _constant(None)),
    ("evacuation: held workers are used", EvacuatedWorkers, "apply", _apply_without_runs),
    ("evacuation: jobs wait for its end", EvacuatedWorkers, "confines", _constant(False)),
    ("evacuation: any worker is a place", evacuated_workers, "is_place", _constant(True)),
    ("evacuation: older states end it", KnownEvacuations, "learn", _end_by_any),
    ("evacuation: calm states are sent", KnownEvacuations, "to_send", _send_present),
    ("evacuation: peers are not heard", DocumentExchange, "record_evacuations", _constant(None)),
    ("evacuation: the store is not read", StoreRegistry, "follow_config", _follow_config_only),
    ("evacuation: the scheduler is not told", SchedulingService, "evacuate", _constant(None)),
    ("evacuation: withheld orders are lost", WorkerChannel, "_withhold", _constant(None)),
    ("evacuation: pools stay divided", Group, "compare_workers", _constant(False)),
    ("warm-up: workers are full at once", WarmUps, "room", lambda self, worker: worker.room),
    ("warm-up: they are chosen like others", WarmUps, "is_warming", _constant(False)),
    ("warm-up: each report begins anew", WarmUps, "record", _begin_anew),
)
