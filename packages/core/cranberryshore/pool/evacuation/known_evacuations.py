"""What an instance knows of evacuations: the state of the highest revision, whatever its source."""

import attrs

from cranberryshore.pool.evacuation.zone_evacuations import ZoneEvacuations


@attrs.define(eq=False)
class KnownEvacuations:
    """Evacuations in force at an instance.

    The store answers some instances and rejects others, and answers and heartbeats arrive late.
    A state replaces another one only by a higher revision, so an evacuation is ended only by a
    revision above the one that declared it.

    Parameters
    ----------
    present : ZoneEvacuations or None
        State of the highest known revision; ``None`` before any was learned.
    confirmed_at : float
        Time at which this was the newest state, in seconds.
    is_any_known : bool
        Whether any instance has ever known of an evacuation; until then nothing has to be sent.
    """

    present: ZoneEvacuations | None = None
    confirmed_at: float = float("-inf")
    is_any_known: bool = False

    @property
    def zones(self) -> frozenset[str]:
        """Return the evacuated zones."""
        return frozenset(self.present.zones if self.present is not None else ())

    def learn(self, latest: ZoneEvacuations, confirmed_at: float) -> bool:
        """Take over a state that was the newest one at a time, unless a newer one is known.

        Returns
        -------
        bool
            Whether the evacuated zones have changed.

        Examples
        --------
        >>> known = KnownEvacuations()
        >>> known.learn(ZoneEvacuations(7, ("a",)), 1.0), known.learn(ZoneEvacuations(6), 2.0)
        (True, False)
        >>> known.zones, known.confirmed_at
        (frozenset({'a'}), 1.0)
        """
        self.is_any_known |= bool(latest.zones)
        before = self.present
        if before is not None:
            if latest.revision < before.revision:
                return False
            if latest.revision == before.revision and latest.zones != before.zones:
                # Pages of a listing may be newer than its revision; the next answer decides.
                return False
        zones = self.zones
        self.present, self.confirmed_at = latest, max(self.confirmed_at, confirmed_at)
        return self.zones != zones

    def hear(self, latest: ZoneEvacuations, confirmed_at: float) -> bool:
        """Take over the state of a peer, as :meth:`learn` does; this instance sends its own then.

        Examples
        --------
        >>> known = KnownEvacuations(ZoneEvacuations(8))
        >>> known.hear(ZoneEvacuations(7, ("a",)), 1.0), known.to_send()
        (False, ZoneEvacuations(revision=8, zones=()))
        """
        self.is_any_known = True
        return self.learn(latest, confirmed_at)

    def to_send(self) -> ZoneEvacuations | None:
        """Return the state for heartbeats; ``None`` as long as no evacuation was ever known."""
        return self.present if self.is_any_known else None

    def age(self, now: float) -> float:
        """Return the time since this was the newest state, in seconds.

        Examples
        --------
        >>> KnownEvacuations().age(1.0), KnownEvacuations(confirmed_at=0.5).age(1.0)
        (inf, 0.5)
        """
        return now - self.confirmed_at
