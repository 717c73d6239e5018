"""Membership of entry instances, as observed by this instance."""

from cranberryshore.membership.peer_table import (
    MemberJoined,
    MemberLeft,
    MembershipChange,
    MemberSuspected,
    Peer,
    PeerState,
    PeerTable,
)

__all__ = [
    "MemberJoined",
    "MemberLeft",
    "MemberSuspected",
    "MembershipChange",
    "Peer",
    "PeerState",
    "PeerTable",
]
