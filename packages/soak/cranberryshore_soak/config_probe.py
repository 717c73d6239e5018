"""Callers that ask all instances for queues, all the while, and check the answers."""

import asyncio
import time
from random import Random
from signal import SIGHUP

import attrs
from aiohttp import ClientError, TCPConnector

from cranberryshore_platform.tests import platform_api
from cranberryshore_proof.config_checks import CONTACT_SECONDS, STORE, ConfigChecks, Disturbances
from cranberryshore_soak.history import History
from cranberryshore_soak.processes import DaemonProcess
from cranberryshored.platform.session import single_try_session

LAG_INTERVAL_SECONDS = 0.15
MAX_LAG_SECONDS = 0.4
"""Lag of the event loop of the soak from which on the store, which runs on it, counts as slow."""

FOUND, NOT_FOUND = 200, 404


@attrs.define(eq=False)
class ConfigProbe:
    """Asks each instance for random queues, one after the other.

    Parameters
    ----------
    daemons : dict
        Instances in service, by name.
    disturbances : Disturbances
        Those of the links and of the store; those of a process are known to the process.
    interval_seconds : float
        Mean pause between two requests to an instance.
    """

    daemons: dict[str, DaemonProcess]
    host: str
    history: History
    random: Random
    checks: ConfigChecks = attrs.field(factory=ConfigChecks)
    disturbances: Disturbances = attrs.field(factory=Disturbances)
    interval_seconds: float = 0.15
    tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start asking, also the instances that are added later."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop asking."""
        for task in (self.task, *self.tasks.values()):
            if task is not None:
                task.cancel()

    async def _run(self) -> None:
        while True:
            for name in self.daemons.keys() - self.tasks.keys():
                self.tasks[name] = asyncio.create_task(self._ask(name))
            planned = time.monotonic() + LAG_INTERVAL_SECONDS
            await asyncio.sleep(LAG_INTERVAL_SECONDS)
            if time.monotonic() - planned > MAX_LAG_SECONDS:
                self.disturbances.strike(time.monotonic(), STORE)

    async def _ask(self, name: str) -> None:
        async with single_try_session(TCPConnector(limit=1)) as session:
            while (daemon := self.daemons.get(name)) is not None:
                await asyncio.sleep(self.random.uniform(0.0, 2 * self.interval_seconds))
                prefix = self.random.choice([*self.checks.known_prefixes(), "/none/"])
                boot, sent_at = f"{name}#{daemon.process_id}", time.monotonic()
                try:
                    status = await platform_api.get_queue_status(
                        session, daemon.front, self.host, prefix
                    )
                except (ClientError, OSError, TimeoutError):
                    # Unanswered requests are checked by the callers of jobs.
                    continue
                if boot == f"{name}#{daemon.process_id}":
                    self._check(daemon, boot, prefix, status, sent_at)

    def _check(
        self, daemon: DaemonProcess, boot: str, prefix: str, status: int, sent_at: float
    ) -> None:
        is_in_touch = self.is_in_touch(daemon, sent_at) and self.is_in_touch(
            daemon, time.monotonic()
        )
        violation = None
        if status in (FOUND, NOT_FOUND):
            violation = self.checks.check(boot, prefix, status == FOUND, sent_at, is_in_touch)
        elif is_in_touch and boot in self.checks.oldest:
            # A process without any configuration may say so, and may take long to start.
            violation = f"{boot} answers {status} for {prefix} at {sent_at:.3f}"
        if violation is not None:
            self.history.report(violation)

    def is_in_touch(self, daemon: DaemonProcess, at: float) -> bool:
        """Return whether neither a process nor its links nor the store were disturbed lately."""
        since = at - CONTACT_SECONDS
        signals = {number for _, number in daemon.sent_signals} - {SIGHUP}
        if max(daemon.started_at, daemon.paused_until) > since:
            return False
        return not daemon.was_signalled(since, signals) and self.disturbances.is_in_touch(
            daemon.name, at
        )
