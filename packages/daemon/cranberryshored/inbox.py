"""Routes messages from peers to the components that handle them."""

import attrs

from cranberryshore.dispatch import (
    LoanGranted,
    LoanHeld,
    LoanReturned,
    LoansRecalled,
    LoanWanted,
    WorkerIsolated,
)
from cranberryshore.messages import (
    Demands,
    Heartbeat,
    IsolatedWorker,
    Leave,
    LoanAsk,
    LoanGrants,
    LoanRecall,
    LoanReturns,
    LoansHeld,
    PeerCall,
    PeerMessage,
    PeerReply,
)
from cranberryshore.messages.peer import JOBS_SCOPE
from cranberryshored.jobs import JobService
from cranberryshored.peers import MembershipService, PeerCalls
from cranberryshored.quotas import QuotaExchange
from cranberryshored.requests import RequestService


@attrs.define(eq=False)
class PeerInbox:
    """Passes each message to membership, calls, quotas, jobs or a service."""

    membership: MembershipService
    calls: PeerCalls
    quotas: QuotaExchange
    jobs: JobService
    services: dict[str, RequestService]

    def deliver(self, sender: str, message: PeerMessage) -> None:
        """Route one message by its type, and loan messages by their scope."""
        if isinstance(message, Heartbeat):
            self.membership.on_heartbeat(sender, message)
        elif isinstance(message, Demands):
            self.quotas.on_demands(message)
        elif isinstance(message, IsolatedWorker):
            isolated = WorkerIsolated(message.worker, message.incarnation, message.seconds)
            self.jobs.handle(isolated)
        elif isinstance(message, Leave):
            self.membership.on_leave(sender)
        elif isinstance(message, PeerCall):
            self.calls.on_call(sender, message)
        elif isinstance(message, PeerReply):
            self.calls.on_reply(message)
        elif message.scope == JOBS_SCOPE:
            self._deliver_job_loan(sender, message)
        else:
            # Any other scope has the form "service/NAME".
            service = self.services.get(message.scope.partition("/")[2])
            if service is not None:
                service.on_loan(sender, message)

    def _deliver_job_loan(self, sender: str, message: PeerMessage) -> None:
        if isinstance(message, LoanAsk):
            self.jobs.handle(LoanWanted(sender, message.demand, message.count))
        elif isinstance(message, LoanGrants):
            self.jobs.handle(LoanGranted(sender, message.grants))
        elif isinstance(message, LoanReturns):
            self.jobs.handle(LoanReturned(sender, message.grants))
        elif isinstance(message, LoansHeld):
            self.jobs.handle(LoanHeld(sender, message.grants))
        elif isinstance(message, LoanRecall):
            self.jobs.handle(LoansRecalled(sender, frozenset(message.resources)))
