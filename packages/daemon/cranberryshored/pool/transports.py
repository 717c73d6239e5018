"""Transports to the other instances of a pool."""

from collections.abc import Callable

from cranberryshore.messages import PeerMessage
from cranberryshore.pool import MemberAddress
from cranberryshore.timeline import EventRecorder
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.transport import PeerTransport, Transport

Deliver = Callable[[str, PeerMessage], None]
TransportFactory = Callable[[MemberAddress, Deliver], Transport]


def peer_transport(metrics: Metrics, listen: str) -> TransportFactory:
    """Return a factory of network transports that listen on an address."""

    def make(own: MemberAddress, deliver: Deliver) -> Transport:
        recorder, log = EventRecorder(own.incarnation), make_logger("peers")
        return PeerTransport(listen, lambda: own.incarnation, deliver, recorder, metrics, log)

    return make
