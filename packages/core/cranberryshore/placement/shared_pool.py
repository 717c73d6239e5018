"""Capacity that several entry instances share without a common store.

Each worker or upstream is assigned to one instance, which alone knows what is free there. An
instance with a backlog asks its peers; a peer without a backlog lends parts of what is assigned
to it, and gets them back when the borrower has no more use for them.
"""

from collections.abc import Callable, Iterable

import attrs

from cranberryshore.placement.assignment import Assignment
from cranberryshore.work.capacity import NOTHING, Capacity

WANT_LIFETIME_SECONDS = 1.0


@attrs.frozen
class Grant:
    """A part of one resource that passes between two instances."""

    resource: str
    amount: Capacity


@attrs.frozen
class Want:
    """What a peer with a backlog asks for: ``count`` copies of ``demand``."""

    demand: Capacity
    count: int
    expires_at: float


@attrs.define
class SharedCapacity:
    """One worker or upstream as this instance sees it.

    Parameters
    ----------
    total : Capacity
        Everything that the resource has.
    is_assigned : bool
        Whether this instance is the one that knows what is free.
    is_open : bool
        Whether new work may be placed: connected and not leaving.
    is_recalled : bool
        Whether the lender needs what it has lent.
    assignee : str
        Instance that the resource is assigned to.
    borrowed : Capacity
        What the assigned peer has lent to this instance.
    used : Capacity
        What this instance's own work holds.
    lent : dict
        What this instance has lent, by peer.
    recalled_from : set
        Peers that were told that their loan is needed.
    reported : dict
        What the resource itself reports in use, by peer, with a lag.
    """

    total: Capacity
    is_assigned: bool = False
    is_open: bool = True
    is_recalled: bool = False
    assignee: str = ""
    borrowed: Capacity = NOTHING
    used: Capacity = NOTHING
    lent: dict[str, Capacity] = attrs.field(factory=dict)
    recalled_from: set[str] = attrs.field(factory=set)
    reported: dict[str, Capacity] = attrs.field(factory=dict)

    def free(self, live: frozenset[str]) -> Capacity:
        """Return what may be handed out now; parts may be negative.

        What a live peer holds is known from the loans. Reports lag, so they count only for
        owners that are not live and whose loans nobody returns.
        """
        if not self.is_assigned:
            return self.borrowed - self.used
        free = self.total - self.used
        for amount in self.lent.values():
            free = free - amount
        for owner, amount in self.reported.items():
            if owner not in live:
                free = free - amount
        return free


@attrs.define
class SharedPool:
    """The resources of one kind in an availability zone.

    Examples
    --------
    >>> pool = SharedPool()
    >>> pool.add("w1", Capacity(4000))
    >>> pool.assign(Assignment("e1", {"w1": "e1"}))
    []
    >>> pool.place(Capacity(1000), 3)
    [('w1', 3)]
    >>> pool.lend("peer", Capacity(1000), 5)
    [Grant(resource='w1', amount=Capacity(millicores=1000, memory_mb=0, accelerators=0, slots=0))]
    """

    members: dict[str, SharedCapacity] = attrs.field(factory=dict)
    loan_requests: dict[str, Want] = attrs.field(factory=dict)
    live: frozenset[str] = frozenset()
    borrowed_resources: set[str] = attrs.field(factory=set)
    room: dict[str, Capacity] = attrs.field(factory=dict)

    def free(self, name: str) -> Capacity:
        """Return what may be handed out of a resource now; parts may be negative.

        The value is kept in ``room`` until the resource changes.
        """
        free = self.room.get(name)
        if free is None:
            free = self.room[name] = self.members[name].free(self.live)
        return free

    def add(self, name: str, total: Capacity) -> None:
        """Add a resource, or update what a known one has."""
        member = self.members.get(name)
        if member is None:
            self.members[name] = SharedCapacity(total)
        else:
            member.total = total
            self.room.pop(name, None)

    def remove(self, name: str) -> None:
        """Forget a resource."""
        self.members.pop(name, None)
        self.room.pop(name, None)
        self.borrowed_resources.discard(name)

    def assign(self, assignment: Assignment) -> list[Grant]:
        """Put an assignment in force.

        Returns
        -------
        list of Grant
            What this instance holds on resources that have moved to another assignee, which
            must be told, since only it can count what is free there.
        """
        held = []
        for name, member in self.members.items():
            is_own = assignment.is_own(name)
            assignee = assignment.assignees.get(name, "")
            if member.is_assigned and not is_own:
                member.borrowed = member.used
                member.lent.clear()
                member.recalled_from.clear()
            if is_own and not member.is_assigned:
                member.borrowed = NOTHING
                member.is_recalled = False
            if assignee != member.assignee and not is_own and member.borrowed != NOTHING:
                held.append(Grant(name, member.borrowed))
            member.is_assigned = is_own
            member.assignee = assignee
        self.live = assignment.live
        self.room.clear()
        self.borrowed_resources = {
            name
            for name, member in self.members.items()
            if not member.is_assigned and member.borrowed != NOTHING
        }
        return held

    def record_loans(self, peer: str, grants: Iterable[Grant]) -> None:
        """Record what a peer holds on resources that have just been assigned here."""
        for grant in grants:
            member = self.members.get(grant.resource)
            if member is not None and member.is_assigned:
                member.lent[peer] = grant.amount
                self.room.pop(grant.resource, None)

    def can_ever_hold(self, demand: Capacity) -> bool:
        """Tell whether any known resource is large enough for ``demand``."""
        return any(member.total.holds(demand) for member in self.members.values())

    def place(
        self,
        demand: Capacity,
        count: int,
        order: Callable[[str], float] | None = None,
        limit: Callable[[str], int] | None = None,
    ) -> list[tuple[str, int]]:
        """Take room for up to ``count`` copies of ``demand``.

        Parameters
        ----------
        demand : Capacity
            What one copy needs.
        count : int
            How many copies are wanted.
        order : callable, optional
            Preference by resource name, lower first; resources with equal preference are
            filled from the one with the most room, which keeps the messages few.
        limit : callable, optional
            Largest number of copies that a resource may take now.

        Returns
        -------
        list of (str, int)
            Resource and number of copies, for each resource that takes any.
        """
        candidates = []
        for name, member in self.members.items():
            if not member.is_open or member.is_recalled:
                continue
            fits = self.free(name).count_of(demand)
            if fits > 0 and limit is not None:
                fits = min(fits, limit(name))
            if fits > 0:
                candidates.append((order(name) if order else 0.0, -fits, name))
        if count == 1 and candidates:
            candidates = [min(candidates)]
        placed = []
        for _, negative_fits, name in sorted(candidates):
            if count == 0:
                break
            taken = min(-negative_fits, count)
            self._take(name, demand * taken)
            placed.append((name, taken))
            count -= taken
        return placed

    def _take(self, name: str, amount: Capacity) -> None:
        member = self.members[name]
        member.used = member.used + amount
        self.room[name] = self.free(name) - amount

    def release(self, name: str, amount: Capacity) -> None:
        """Give back room that this instance's own work held."""
        member = self.members.get(name)
        if member is not None:
            member.used = (member.used - amount).clipped()
            self.room.pop(name, None)

    def lend(self, peer: str, demand: Capacity, count: int) -> list[Grant]:
        """Lend up to ``count`` copies of ``demand`` to ``peer`` from what is assigned here."""
        grants = []
        for name, member in self.members.items():
            if count == 0:
                break
            if not member.is_assigned or not member.is_open:
                continue
            fits = min(self.free(name).count_of(demand), count)
            if fits > 0:
                amount = demand * fits
                member.lent[peer] = member.lent.get(peer, NOTHING) + amount
                member.recalled_from.discard(peer)
                self.room.pop(name, None)
                grants.append(Grant(name, amount))
                count -= fits
        return grants

    def borrow(self, grants: Iterable[Grant]) -> None:
        """Take what a peer has lent."""
        for grant in grants:
            member = self.members.get(grant.resource)
            if member is not None and not member.is_assigned:
                member.borrowed = member.borrowed + grant.amount
                member.is_recalled = False
                self.borrowed_resources.add(grant.resource)
                self.room.pop(grant.resource, None)

    def recall(self, names: Iterable[str]) -> None:
        """Stop new work on borrowed resources that their lender needs."""
        for name in names:
            member = self.members.get(name)
            if member is not None and not member.is_assigned:
                member.is_recalled = True

    def give_back(self, only_recalled: bool = False) -> list[Grant]:
        """Return the borrowed parts that nothing runs on, and stop counting them as ours."""
        grants = []
        for name in sorted(self.borrowed_resources):
            member = self.members[name]
            if only_recalled and not member.is_recalled:
                continue
            idle = (member.borrowed - member.used).clipped()
            if idle != NOTHING:
                member.borrowed = member.borrowed - idle
                self.room.pop(name, None)
                if member.borrowed == NOTHING:
                    self.borrowed_resources.discard(name)
                grants.append(Grant(name, idle))
        return grants

    def take_back(self, peer: str, grants: Iterable[Grant]) -> None:
        """Record that ``peer`` has returned what it borrowed."""
        for grant in grants:
            member = self.members.get(grant.resource)
            if member is None or peer not in member.lent:
                continue
            left = (member.lent[peer] - grant.amount).clipped()
            self.room.pop(grant.resource, None)
            if left == NOTHING:
                del member.lent[peer]
                member.recalled_from.discard(peer)
            else:
                member.lent[peer] = left

    def report(self, name: str, usage: dict[str, Capacity]) -> None:
        """Record what a resource reports in use by others than this instance."""
        member = self.members.get(name)
        if member is not None:
            member.reported = usage
            self.room.pop(name, None)

    def drop_peer(self, peer: str) -> None:
        """Forget the loans of a peer that has died; what it still runs is reported."""
        self.loan_requests.pop(peer, None)
        self.room.clear()
        for member in self.members.values():
            member.lent.pop(peer, None)

    def recall_from_peers(self, demand: Capacity, count: int) -> dict[str, set[str]]:
        """Choose loans to recall until ``count`` copies of ``demand`` are on their way back.

        Returns
        -------
        dict
            Resources to recall by peer; loans that were recalled before count but are not named.
        """
        recalled: dict[str, set[str]] = {}
        for name, member in self.members.items():
            for peer, amount in member.lent.items():
                if count <= 0:
                    return recalled
                count -= max(amount.count_of(demand), 1)
                if peer not in member.recalled_from:
                    member.recalled_from.add(peer)
                    recalled.setdefault(peer, set()).add(name)
        return recalled

    def request_loan(self, peer: str, demand: Capacity, count: int, now: float) -> None:
        """Remember what a peer asks for; a count of zero withdraws it."""
        if count <= 0:
            self.loan_requests.pop(peer, None)
            return
        self.loan_requests[peer] = Want(demand, count, now + WANT_LIFETIME_SECONDS)

    def grant_loan_requests(self, now: float) -> dict[str, list[Grant]]:
        """Lend to peers that asked, in turn, and return the grants by peer."""
        granted: dict[str, list[Grant]] = {}
        for peer, request_loan in list(self.loan_requests.items()):
            if request_loan.expires_at <= now:
                del self.loan_requests[peer]
                continue
            grants = self.lend(peer, request_loan.demand, request_loan.count)
            if not grants:
                continue
            granted[peer] = grants
            taken = sum(grant.amount.count_of(request_loan.demand) for grant in grants)
            left = request_loan.count - taken
            if left <= 0:
                del self.loan_requests[peer]
            else:
                # The peer that was just served goes to the end of the turn.
                del self.loan_requests[peer]
                self.loan_requests[peer] = attrs.evolve(request_loan, count=left)
        return granted
