"""Entry instances whose jobs are scheduled here, and which are not heard any more."""

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool import Group
from cranberryshore.pool.group import PEER_TIMEOUT_SECONDS
from cranberryshored.pool.protocols import ExchangeListener


@attrs.define(eq=False)
class SilentEntries:
    """Drops the jobs of silent entry instances at a scheduler.

    Parameters
    ----------
    absent : dict
        Time since which an entry instance whose jobs are scheduled here is not a member.
    """

    group: Group
    listener: ExchangeListener
    log: FilteringBoundLogger
    absent: dict[str, float] = attrs.field(factory=dict)

    def drop_jobs(self, moment: float) -> None:
        """Drop the jobs of the entry instances that have fallen silent."""
        group = self.group
        live = {member.at.incarnation for member in group.live(moment)}
        waiting = self.listener.waiting_entries() - live - {group.own.incarnation}
        missing = waiting - group.members.keys()
        self.absent = {name: self.absent.get(name, moment) for name in missing}
        for incarnation in sorted(waiting):
            if moment - self.absent.get(incarnation, float("-inf")) < PEER_TIMEOUT_SECONDS:
                # A delayed beat of an earlier incarnation may displace a silent member.
                continue
            self.log.warning("Entry instance lost.", peer=incarnation)
            self.listener.entry_lost(incarnation)
