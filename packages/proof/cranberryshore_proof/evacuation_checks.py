"""Check of starts: none on workers of an evacuated zone by an instance that must know of it."""

import attrs

IN_FORCE_SECONDS = 2.0
"""Time limit for instances in touch: that of configurations, which the same watch reads."""

LATEST_SECONDS = 11.0
"""Time limit for instances that the store has answered lately: 5 s, and 6 s more if the store has
been unstable."""

CONTACT_SECONDS = 4.0
"""Time for which an instance counts as in contact with the platform after an answer."""


@attrs.define(eq=False)
class EvacuationChecks:
    """Evacuations in force and their starts.

    Parameters
    ----------
    declared_at : dict
        Time at which the store has accepted the evacuation of each evacuated zone.
    """

    declared_at: dict[str, float] = attrs.field(factory=dict)

    def declare(self, zone: str, now: float) -> None:
        """Record that the store accepts an evacuation."""
        self.declared_at.setdefault(zone, now)

    def revoke(self, zone: str) -> None:
        """Record that the key of an evacuation is being deleted."""
        self.declared_at.pop(zone, None)

    def check(self, zone: str, now: float, is_in_touch: bool, contact_age: float) -> str | None:
        """Check a start in a zone; return the violation, if it is one.

        ``is_in_touch`` says whether neither the instance that starts the task nor the store has
        been disturbed lately, ``contact_age`` how long ago the store has answered the instance.

        Examples
        --------
        >>> checks = EvacuationChecks()
        >>> checks.declare("a", 10.0)
        >>> checks.check("b", 19.0, True, 0.1), checks.check("a", 11.9, True, 0.1)
        (None, None)
        >>> checks.check("a", 12.1, True, 0.1)
        'zone a was evacuated 2.10 s before'
        >>> checks.check("a", 20.9, False, 0.1), checks.check("a", 30.0, False, 4.1)
        (None, None)
        >>> checks.check("a", 21.1, False, 3.9)
        'zone a was evacuated 11.10 s before'
        """
        age = now - self.declared_at.get(zone, float("inf"))
        is_due = is_in_touch and age > IN_FORCE_SECONDS
        is_due |= contact_age <= CONTACT_SECONDS and age > LATEST_SECONDS
        return f"zone {zone} was evacuated {age:.2f} s before" if is_due else None
