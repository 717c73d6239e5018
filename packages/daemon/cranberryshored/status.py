"""Status of an instance, for the load balancer and for operators."""

import attrs

from cranberryshore.settings import DaemonSettings
from cranberryshored.config import ConfigFollower
from cranberryshored.jobs import JobService, OwnershipService
from cranberryshored.peers import MembershipService
from cranberryshored.web.observe import InstanceStatus, MemberStatus, Readiness
from cranberryshored.zone import ZoneView


@attrs.frozen(eq=False)
class StatusReader:
    """Reads the status of an instance from its components."""

    settings: DaemonSettings
    ownership: OwnershipService
    follower: ConfigFollower
    membership: MembershipService
    zone: ZoneView
    jobs: JobService

    def readiness(self) -> Readiness:
        """Return whether the load balancer should send work to this instance."""
        if self.membership.is_draining:
            return Readiness(False, "draining")
        if not self.follower.has_loaded:
            return Readiness(False, "no configuration yet")
        if self.zone.version < 0:
            return Readiness(False, "no instance list yet")
        return Readiness(True, "")

    def status(self) -> InstanceStatus:
        """Return the status of this instance that operators can query."""
        dispatcher = self.jobs.dispatcher
        peers = tuple(
            MemberStatus(
                str(peer.incarnation),
                peer.state.value,
                self.follower.peer_revisions.get(peer.incarnation, 0),
            )
            for peer in self.membership.table.peers.values()
        )
        return InstanceStatus(
            str(self.ownership.incarnation),
            self.settings.zone,
            self.readiness().is_ready,
            self.membership.is_draining,
            self.follower.state.revision,
            self.follower.follows_store,
            sum(link.is_open for link in self.jobs.links.links.values()),
            dispatcher.placer.waiting_tasks,
            sum(not job.is_settled for job in dispatcher.jobs.values()),
            peers,
        )
