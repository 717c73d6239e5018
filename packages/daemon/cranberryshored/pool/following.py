"""The scheduler that an instance follows, and those that it has left."""

import attrs

from cranberryshore.messages import Beat
from cranberryshore.pool import Group, MemberAddress
from cranberryshore.pool.group import MEMBER_EXPIRY_SECONDS, PEER_TIMEOUT_SECONDS
from cranberryshored.pool.clock import now


@attrs.frozen
class FormerScheduler:
    """A scheduler that this instance has left.

    Parameters
    ----------
    epoch : int
        Epoch of this instance that began then.
    heard_at : float
        Time of its latest beat by then.
    """

    epoch: int
    heard_at: float


@attrs.define(eq=False)
class Following:
    """Scheduler that this instance follows, and former ones.

    Parameters
    ----------
    scheduler : str
        Incarnation of the scheduler; empty if there is none.
    term : int
        Term of its claim: a scheduler that claims again has dropped all jobs.
    zone : str
        Zone that this claim is limited to; empty for all zones.
    heard_at : float
        Time of its latest beat. It may not be a member any more: a later start displaces it.
    leaderless_at : float
        Time since which this instance has had no scheduler, if it has none.
    epoch : int
        Number of times that ``scheduler`` or ``term`` has changed.
    former : dict
        Former schedulers by incarnation.
    """

    group: Group
    scheduler: str = ""
    term: int = 0
    zone: str = ""
    heard_at: float = float("-inf")
    leaderless_at: float = float("-inf")
    epoch: int = 0
    former: dict[str, FormerScheduler] = attrs.field(factory=dict)

    @property
    def own(self) -> MemberAddress:
        """Return the address of this instance."""
        return self.group.own

    def change(self, scheduler: str, term: int, zone: str) -> None:
        """Follow another scheduler, or another claim of the same one."""
        self.epoch += 1
        if self.scheduler not in ("", self.own.incarnation):
            self.former[self.scheduler] = FormerScheduler(self.epoch, self.heard_at)
        self.scheduler, self.term, self.zone = scheduler, term, zone
        self.heard_at = now()
        if not scheduler:
            self.leaderless_at = now()

    def has_released(self, scheduler: str) -> bool:
        """Return whether a former scheduler can start nothing more for this instance.

        It has taken note that this instance left it, it schedules no more, or this instance has
        not acknowledged its heartbeats for so long that its right to start tasks has ended.
        """
        if scheduler == self.own.incarnation:
            return self.group.claim is None
        left = self.former.get(scheduler)
        member = self.group.members.get(scheduler)
        if left is None or member is None:
            return left is None or now() - left.heard_at >= PEER_TIMEOUT_SECONDS
        if member.claim is None or member.known_epoch is None:
            return True
        if now() - member.heard_at >= PEER_TIMEOUT_SECONDS:
            return True
        return member.known_epoch >= left.epoch

    def discard_outdated(self) -> None:
        """Forget former schedulers that are no longer members."""
        for name, left in list(self.former.items()):
            if now() - left.heard_at > MEMBER_EXPIRY_SECONDS and name not in self.group.members:
                del self.former[name]

    def must_inform(self, beat: Beat) -> bool:
        """Return whether a peer must learn which instance schedules.

        It follows this instance, which has no claim, or no scheduler although one is known, or it
        claims workers of the own zone beside the followed scheduler.
        """
        if self._is_competing_claim(beat):
            return True
        if beat.follows == self.own.incarnation:
            return self.group.claim is None
        is_searching = not beat.follows and beat.claim is None
        return is_searching and bool(self.scheduler) and self.may_share(beat.sender)

    def may_share(self, peer: MemberAddress) -> bool:
        """Return whether a peer can follow the same scheduler as this instance."""
        return not self.group.is_divided or peer.zone == self.own.zone

    def _is_competing_claim(self, beat: Beat) -> bool:
        if beat.claim is None or self.scheduler in ("", beat.sender.incarnation):
            return False
        return beat.claim.zone in ("", self.own.zone) or not self.group.is_divided
