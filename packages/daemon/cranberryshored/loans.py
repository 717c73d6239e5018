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
    """Knows which instance each worker or upstream is assigned to."""

    def assigned_to(self, scope: str, resource: str) -> str | None:
        """Return the incarnation that a resource is assigned to."""
        ...


@attrs.define(eq=False)
class LoanExchange:
    """Sends the loan messages of all scopes."""

    table: PeerTable
    transport: Transport
    assignments: Assignments

    def request_loans(self, message: LoanAsk) -> None:
        """Ask every live peer of the zone."""
        for peer in self.table.live():
            self.transport.send(peer.address, str(peer.incarnation), message)

    def tell_isolated(self, message: IsolatedWorker) -> None:
        """Tell every live peer of the zone about a worker that fails everything."""
        for peer in self.table.live():
            self.transport.send(peer.address, str(peer.incarnation), message)

    def lend(self, peer: str, message: LoanGrants) -> None:
        """Lend to one peer."""
        self._send(peer, message)

    def recall(self, peer: str, message: LoanRecall) -> None:
        """Tell a borrower that its loans are needed."""
        self._send(peer, message)

    def return_grants(self, message: LoanReturns) -> None:
        """Return grants to whoever the resources are assigned to."""
        for peer, grants in self._by_assignee(message):
            self._send(peer, LoanReturns(message.scope, grants))

    def report_held(self, message: LoansHeld) -> None:
        """Tell new assignees what this instance holds on their resources."""
        for peer, grants in self._by_assignee(message):
            self._send(peer, LoansHeld(message.scope, grants))

    def _by_assignee(self, message: LoanReturns | LoansHeld) -> list[tuple[str, tuple[Grant, ...]]]:
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
