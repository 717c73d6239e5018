"""Replacement of connections to peers that may have fallen silent."""

from collections.abc import Callable

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import Beat
from cranberryshore.pool import Member

RECONNECT_SECONDS = 0.4
"""Silence after which the connection to a peer is replaced, since it may be broken."""


@attrs.define(eq=False)
class PeerConnections:
    """Connections of an instance to its peers; each direction has its own, which can fail alone.

    Parameters
    ----------
    disconnect : callable
        Closes the connection to an address.
    reconnected_at : dict
        Time of the latest replacement by address.
    """

    disconnect: Callable[[str], None]
    log: FilteringBoundLogger
    reconnected_at: dict[str, float] = attrs.field(factory=dict)

    def replace_if_unheard(self, member: Member, beat: Beat, moment: float) -> None:
        """Replace the connection to a peer that no longer hears this instance.

        Only the beats of the peer show it.
        """
        if beat.hears_receiver:
            member.acknowledged_at = moment
        elif moment - member.acknowledged_at > RECONNECT_SECONDS:
            member.acknowledged_at = moment
            self.log.warning("Peer does not hear this instance.", peer=member.at.incarnation)
            self.disconnect(member.at.address)

    def replace_if_silent(self, member: Member, moment: float) -> None:
        """Replace the connection to a peer that this instance does not hear."""
        address = member.at.address
        silent_since = max(member.heard_at, member.listed_at, self.reconnected_at.get(address, 0.0))
        if moment - silent_since > RECONNECT_SECONDS:
            self.reconnected_at[address] = moment
            self.disconnect(address)
