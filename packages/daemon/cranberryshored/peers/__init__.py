"""Messages between entry instances: transport, calls and membership."""

from cranberryshored.peers.calls import CallHandler, PeerCalls
from cranberryshored.peers.membership import MembershipListener, MembershipService
from cranberryshored.transport import PeerTransport, Transport

__all__ = [
    "CallHandler",
    "MembershipListener",
    "MembershipService",
    "PeerCalls",
    "PeerTransport",
    "Transport",
]
