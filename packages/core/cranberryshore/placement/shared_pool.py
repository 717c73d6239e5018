"""Capacity shared between entry instances without a common store.

Each worker or upstream is assigned to one instance, which alone tracks its free capacity. An
instance with a backlog requests loans from its peers. A peer without a backlog lends part of the
capacity assigned to it, and the borrower returns what it no longer needs.
"""

from collections.abc import Callable, Iterable

import attrs

from cranberryshore.placement.assignment import Assignment
from cranberryshore.work.capacity import ZERO_CAPACITY, Capacity

LOAN_REQUEST_TTL_SECONDS = 1.0


@attrs.frozen
class Grant:
    """Part of the capacity of one resource that is lent or returned between instances."""

    resource: str
    amount: Capacity


@attrs.frozen
class LoanRequest:
    """Request of a peer with a backlog to borrow ``count`` times the capacity ``demand``."""

    demand: Capacity
    count: int
    expires_at: float


@attrs.define
class SharedResource:
    """State of one worker or upstream, as this instance sees it.

    Parameters
    ----------
    is_assigned : bool
        Whether the resource is assigned to this instance, which then tracks its free capacity.
    is_open : bool
        Whether new work may be placed: the resource is connected and not draining.
    is_recalled : bool
        Whether the lender has recalled its loan.
    borrowed : Capacity
        Capacity that the assigned peer has lent to this instance.
    used : Capacity
        Capacity occupied by work of this instance.
    lent : dict
        Capacity that this instance has lent, by peer.
    recalled_peers : set
        Peers to which a recall of their loan was sent.
    reported : dict
        Usage by peer as reported by the resource itself, with a delay.
    """

    total: Capacity
    is_assigned: bool = False
    is_open: bool = True
    is_recalled: bool = False
    assignee: str = ""
    borrowed: Capacity = ZERO_CAPACITY
    used: Capacity = ZERO_CAPACITY
    lent: dict[str, Capacity] = attrs.field(factory=dict)
    recalled_peers: set[str] = attrs.field(factory=set)
    reported: dict[str, Capacity] = attrs.field(factory=dict)

    def free(self, live: frozenset[str]) -> Capacity:
        """Return the capacity available for placement or loans; components may be negative.

        Usage by live peers is known from their loans. Reports arrive late, so they are counted
        only for peers that are no longer live, whose loans will never be returned.
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
    """Resources of one kind in an availability zone.

    Parameters
    ----------
    loan_requests : dict
        Pending loan request by peer, in the order in which they are served.
    room : dict
        Free capacity by resource name, cached until the resource changes.

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

    members: dict[str, SharedResource] = attrs.field(factory=dict)
    loan_requests: dict[str, LoanRequest] = attrs.field(factory=dict)
    live: frozenset[str] = frozenset()
    borrowed_resources: set[str] = attrs.field(factory=set)
    room: dict[str, Capacity] = attrs.field(factory=dict)

    def free(self, name: str) -> Capacity:
        """Return the free capacity of a resource; components may be negative."""
        free = self.room.get(name)
        if free is None:
            free = self.room[name] = self.members[name].free(self.live)
        return free

    def add(self, name: str, total: Capacity) -> None:
        """Add a resource, or update the total capacity of a known one."""
        member = self.members.get(name)
        if member is None:
            self.members[name] = SharedResource(total)
        else:
            member.total = total
            self.room.pop(name, None)

    def remove(self, name: str) -> None:
        """Remove a resource."""
        self.members.pop(name, None)
        self.room.pop(name, None)
        self.borrowed_resources.discard(name)

    def assign(self, assignment: Assignment) -> list[Grant]:
        """Apply an assignment.

        Returns
        -------
        list of Grant
            Capacity that this instance holds on resources now assigned to another instance. The
            new assignee must be notified, because it alone tracks the free capacity.
        """
        held = []
        for name, member in self.members.items():
            is_own = assignment.is_own(name)
            assignee = assignment.assignees.get(name, "")
            if member.is_assigned and not is_own:
                member.borrowed = member.used
                member.lent.clear()
                member.recalled_peers.clear()
            if is_own and not member.is_assigned:
                member.borrowed = ZERO_CAPACITY
                member.is_recalled = False
            if assignee != member.assignee and not is_own and member.borrowed != ZERO_CAPACITY:
                held.append(Grant(name, member.borrowed))
            member.is_assigned = is_own
            member.assignee = assignee
        self.live = assignment.live
        self.room.clear()
        self.borrowed_resources = {
            name
            for name, member in self.members.items()
            if not member.is_assigned and member.borrowed != ZERO_CAPACITY
        }
        return held

    def held_loans(self) -> list[Grant]:
        """Return the capacity that this instance has borrowed."""
        return [
            Grant(name, self.members[name].borrowed) for name in sorted(self.borrowed_resources)
        ]

    def record_loans(self, peer: str, grants: Iterable[Grant]) -> None:
        """Record the capacity a peer already holds on resources newly assigned here."""
        for grant in grants:
            member = self.members.get(grant.resource)
            if member is not None and member.is_assigned:
                member.lent[peer] = grant.amount
                self.room.pop(grant.resource, None)

    def can_ever_hold(self, demand: Capacity) -> bool:
        """Return whether the total capacity of any known resource covers ``demand``."""
        return any(member.total.holds(demand) for member in self.members.values())

    def place(
        self,
        demand: Capacity,
        count: int,
        order: Callable[[str], float] | None = None,
        limit: Callable[[str], int] | None = None,
    ) -> list[tuple[str, int]]:
        """Reserve capacity for up to ``count`` times ``demand``.

        ``order`` ranks resources by name, lower first; among equal ranks, the one with the most
        free capacity is used first, which minimizes the number of messages. ``limit`` returns the
        maximum number of copies by resource name.

        Returns
        -------
        list of (str, int)
            Resource name and number of copies, for each resource used.
        """
        candidates = []
        for name, member in self.members.items():
            if not member.is_open or member.is_recalled:
                continue
            fits = self.free(name).max_copies(demand)
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
            placed_count = min(-negative_fits, count)
            self._reserve(name, demand * placed_count)
            placed.append((name, placed_count))
            count -= placed_count
        return placed

    def _reserve(self, name: str, amount: Capacity) -> None:
        member = self.members[name]
        member.used = member.used + amount
        self.room[name] = self.free(name) - amount

    def release(self, name: str, amount: Capacity) -> None:
        """Free capacity that was occupied by work of this instance."""
        member = self.members.get(name)
        if member is not None:
            member.used = (member.used - amount).clipped()
            self.room.pop(name, None)

    def lend(self, peer: str, demand: Capacity, count: int) -> list[Grant]:
        """Lend capacity for up to ``count`` times ``demand`` to a peer."""
        grants = []
        for name, member in self.members.items():
            if count == 0:
                break
            if not member.is_assigned or not member.is_open:
                continue
            fits = min(self.free(name).max_copies(demand), count)
            if fits > 0:
                amount = demand * fits
                member.lent[peer] = member.lent.get(peer, ZERO_CAPACITY) + amount
                member.recalled_peers.discard(peer)
                self.room.pop(name, None)
                grants.append(Grant(name, amount))
                count -= fits
        return grants

    def borrow(self, grants: Iterable[Grant]) -> None:
        """Add capacity that a peer has lent."""
        for grant in grants:
            member = self.members.get(grant.resource)
            if member is not None and not member.is_assigned:
                member.borrowed = member.borrowed + grant.amount
                member.is_recalled = False
                self.borrowed_resources.add(grant.resource)
                self.room.pop(grant.resource, None)

    def recall(self, names: Iterable[str]) -> None:
        """Stop placing work on borrowed resources that their lender has recalled."""
        for name in names:
            member = self.members.get(name)
            if member is not None and not member.is_assigned:
                member.is_recalled = True

    def give_back(self, only_recalled: bool = False) -> list[Grant]:
        """Remove idle borrowed capacity and return it as grants to send back to the lenders."""
        grants = []
        for name in sorted(self.borrowed_resources):
            member = self.members[name]
            if only_recalled and not member.is_recalled:
                continue
            idle = (member.borrowed - member.used).clipped()
            if idle != ZERO_CAPACITY:
                member.borrowed = member.borrowed - idle
                self.room.pop(name, None)
                if member.borrowed == ZERO_CAPACITY:
                    self.borrowed_resources.discard(name)
                grants.append(Grant(name, idle))
        return grants

    def record_returns(self, peer: str, grants: Iterable[Grant]) -> None:
        """Record that a peer has returned borrowed capacity."""
        for grant in grants:
            member = self.members.get(grant.resource)
            if member is None or peer not in member.lent:
                continue
            left = (member.lent[peer] - grant.amount).clipped()
            self.room.pop(grant.resource, None)
            if left == ZERO_CAPACITY:
                del member.lent[peer]
                member.recalled_peers.discard(peer)
            else:
                member.lent[peer] = left

    def report(self, name: str, usage: dict[str, Capacity]) -> None:
        """Record the usage by other instances that a resource reports."""
        member = self.members.get(name)
        if member is not None:
            member.reported = usage
            self.room.pop(name, None)

    def drop_peer(self, peer: str) -> None:
        """Remove the loans and the loan request of a dead peer.

        Capacity it still uses is known from the usage reports of the resources.
        """
        self.loan_requests.pop(peer, None)
        self.room.clear()
        for member in self.members.values():
            member.lent.pop(peer, None)

    def recall_from_peers(self, demand: Capacity, count: int) -> dict[str, set[str]]:
        """Select loans to recall until they cover ``count`` times ``demand``.

        Returns
        -------
        dict
            Resources to recall, by peer. Loans already being recalled count towards the demand
            but are not included.
        """
        recalled: dict[str, set[str]] = {}
        for name, member in self.members.items():
            for peer, amount in member.lent.items():
                if count <= 0:
                    return recalled
                # A loan smaller than the demand counts as one copy.
                count -= max(amount.max_copies(demand), 1)
                if peer not in member.recalled_peers:
                    member.recalled_peers.add(peer)
                    recalled.setdefault(peer, set()).add(name)
        return recalled

    def add_loan_request(self, peer: str, demand: Capacity, count: int, now: float) -> None:
        """Store the loan request of a peer; a count of zero withdraws it."""
        if count <= 0:
            self.loan_requests.pop(peer, None)
            return
        self.loan_requests[peer] = LoanRequest(demand, count, now + LOAN_REQUEST_TTL_SECONDS)

    def grant_loan_requests(self, now: float) -> dict[str, list[Grant]]:
        """Serve loan requests in round-robin order and return the grants by peer."""
        granted: dict[str, list[Grant]] = {}
        for peer, request in list(self.loan_requests.items()):
            if request.expires_at <= now:
                del self.loan_requests[peer]
                continue
            grants = self.lend(peer, request.demand, request.count)
            if not grants:
                continue
            granted[peer] = grants
            granted_count = sum(grant.amount.max_copies(request.demand) for grant in grants)
            left = request.count - granted_count
            if left <= 0:
                del self.loan_requests[peer]
            else:
                # Move the peer that was just served to the end of the queue.
                del self.loan_requests[peer]
                self.loan_requests[peer] = attrs.evolve(request, count=left)
        return granted
