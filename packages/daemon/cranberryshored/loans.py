"""Loan messages between the entry instances of the zone."""

from typing import Protocol

import attrs

from cranberryshore.identity import parse_incarnation
from cranberryshore.membership import PeerTable
from cranberryshore.messages import (
    IsolatedWorker,
    LoanAsk,
    LoanGrants,
    LoanRecall,
    LoanReturns,
    LoansHeld,
)
from cranberryshore.placement import Grant
from cranberryshored.peers import Transport


class Assignments(Protocol):
    """Lookup of the instance that each worker or upstream is assigned to."""

    def assigned_to(self, scope: str, resource: str) -> str | None:
        """Return the incarnation that a resource is assigned to, if any."""
        ...


@attrs.define(eq=False)
class LoanExchange:
    """Sends the loan messages of all scopes (jobs and services)."""

    table: PeerTable
    transport: Transport
    assignments: Assignments

    def request_loans(self, message: LoanAsk) -> None:
        """Ask every live peer of the zone to lend capacity."""
        for peer in self.table.live():
            self.transport.send(peer.address, str(peer.incarnation), message)

    def report_isolated(self, message: IsolatedWorker) -> None:
        """Inform every live peer of the zone that a worker is isolated after task failures."""
        for peer in self.table.live():
            self.transport.send(peer.address, str(peer.incarnation), message)

    def lend(self, peer: str, message: LoanGrants) -> None:
        """Send grants to the borrowing peer."""
        self._send(peer, message)

    def recall(self, peer: str, message: LoanRecall) -> None:
        """Ask a borrower to return its loans."""
        self._send(peer, message)

    def return_grants(self, message: LoanReturns) -> None:
        """Return grants to the instances that the resources are assigned to."""
        for peer, grants in self._group_by_assignee(message):
            self._send(peer, LoanReturns(message.scope, grants))

    def report_held(self, message: LoansHeld) -> None:
        """Report to new assignees which grants this instance holds on their resources."""
        for peer, grants in self._group_by_assignee(message):
            self._send(peer, LoansHeld(message.scope, grants))

    def _group_by_assignee(
        self, message: LoanReturns | LoansHeld
    ) -> list[tuple[str, tuple[Grant, ...]]]:
        by_peer: dict[str, list[Grant]] = {}
        for grant in message.grants:
            assignee = self.assignments.assigned_to(message.scope, grant.resource)
            if assignee is not None:
                by_peer.setdefault(assignee, []).append(grant)
        return [(peer, tuple(grants)) for peer, grants in by_peer.items()]

    def _send(self, peer: str, message: LoanGrants | LoanReturns | LoansHeld | LoanRecall) -> None:
        incarnation = parse_incarnation(peer)
        known = self.table.peers.get(incarnation) if incarnation is not None else None
        if known is not None:
            self.transport.send(known.address, peer, message)
