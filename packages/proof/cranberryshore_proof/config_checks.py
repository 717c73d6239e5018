"""Checks of configurations by what callers see: in force in time, and never an older one again."""

import attrs

CONTACT_SECONDS = 3.0
"""An instance is in touch when neither it nor the store has been disturbed for this time."""

APPLY_SECONDS = 2.0
"""Time limit from the acceptance of a configuration until instances in touch act by it."""

STORE = "store"
"""Name under which a disturbance of the store is recorded."""


@attrs.define(eq=False)
class Disturbances:
    """Times at which instances and the store were last disturbed.

    Parameters
    ----------
    active : dict
        Number of disturbances that have begun and not ended, by name.
    ended_at : dict
        End of the latest one, by name.
    """

    active: dict[str, int] = attrs.field(factory=dict)
    ended_at: dict[str, float] = attrs.field(factory=dict)

    def begin(self, *names: str) -> None:
        """Record that a disturbance begins."""
        for name in names:
            self.active[name] = self.active.get(name, 0) + 1

    def end(self, now: float, *names: str) -> None:
        """Record that a disturbance ends."""
        for name in names:
            self.active[name] -= 1
            self.ended_at[name] = now

    def strike(self, now: float, *names: str) -> None:
        """Record a disturbance of no duration."""
        for name in names:
            self.ended_at[name] = now

    def is_in_touch(self, name: str, now: float) -> bool:
        """Return whether an instance has been undisturbed for the contact time.

        Examples
        --------
        >>> disturbances = Disturbances()
        >>> disturbances.strike(1.0, "a")
        >>> disturbances.is_in_touch("a", 3.9), disturbances.is_in_touch("a", 4.0)
        (False, True)
        """
        return all(
            not self.active.get(item) and now - self.ended_at.get(item, -1e9) >= CONTACT_SECONDS
            for item in (name, STORE)
        )


@attrs.frozen
class PublishedConfig:
    """A configuration that the store has accepted."""

    version: int
    accepted_at: float
    prefixes: frozenset[str]


@attrs.define(eq=False)
class ConfigChecks:
    """Compares the answers of instances with the published configurations.

    Parameters
    ----------
    published : list of PublishedConfig
        All of them, in order.
    oldest : dict
        Index of the oldest configuration that the answers of each boot still allow.
    """

    published: list[PublishedConfig] = attrs.field(factory=list)
    oldest: dict[str, int] = attrs.field(factory=dict)

    def publish(self, version: int, now: float, prefixes: frozenset[str]) -> None:
        """Record a configuration that the store accepts now."""
        self.published.append(PublishedConfig(version, now, prefixes))

    def known_prefixes(self) -> list[str]:
        """Return all prefixes that some configuration has."""
        return sorted(frozenset().union(*(item.prefixes for item in self.published)))

    def check(
        self, boot: str, prefix: str, is_found: bool, sent_at: float, is_in_touch: bool
    ) -> str | None:
        """Check whether an instance found a queue by its prefix; return the violation, if any.

        ``boot`` names one run of the instance's process. Its requests must be made one after the
        other, since an answer excludes older configurations for the requests after it.

        Examples
        --------
        >>> checks = ConfigChecks()
        >>> checks.publish(1, 0.0, frozenset({"/a/"}))
        >>> checks.publish(2, 5.0, frozenset({"/a/", "/b/"}))
        >>> checks.check("x", "/b/", False, 6.9, True)
        >>> checks.check("x", "/b/", False, 7.1, True)
        'x denies /b/ at 7.100: version 2 was accepted 2.10 s before'
        >>> checks.check("x", "/b/", True, 7.2, True)
        >>> checks.check("x", "/b/", False, 7.3, False)
        'x denies /b/ at 7.300: it had acted by version 2'
        """
        allowed = [
            index
            for index in range(self.oldest.get(boot, 0), len(self.published))
            if (prefix in self.published[index].prefixes) == is_found
        ]
        verb = "serves" if is_found else "denies"
        if not allowed:
            version = self.published[self.oldest[boot]].version if boot in self.oldest else 0
            return f"{boot} {verb} {prefix} at {sent_at:.3f}: it had acted by version {version}"
        self.oldest[boot] = allowed[0]
        due = [
            n for n, item in enumerate(self.published) if item.accepted_at < sent_at - APPLY_SECONDS
        ]
        if not is_in_touch or not due or allowed[-1] >= due[-1]:
            return None
        # The earliest configuration that contradicts the answer from then on.
        contradiction = self.published[allowed[-1] + 1]
        age = sent_at - contradiction.accepted_at
        return (
            f"{boot} {verb} {prefix} at {sent_at:.3f}: "
            f"version {contradiction.version} was accepted {age:.2f} s before"
        )
