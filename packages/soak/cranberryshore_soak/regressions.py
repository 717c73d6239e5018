"""Soaks that have failed, with their causes; docs/PROOF.md tells what was seen."""

from cranberryshore_soak.cluster import SoakPlan


def _small(seed: int) -> SoakPlan:
    return SoakPlan(seed, 4, 6, 10, 8.0)


REGRESSIONS: dict[str, SoakPlan] = {
    "SIGHUP during the imports; callers who asked late in a leave": SoakPlan(1),
    "answers of all workers slow for seconds": SoakPlan(2),
    "nng frees its state at exit beside its threads; also a start of over 30 s, open": _small(1000),
    "two runs lapsed on a busy machine, open": _small(1001),
    "a scheduler's silent connection to a peer that it hears": _small(1015),
    "a scheduler's silent connection to a peer that it hears, again": _small(1017),
    "a port taken by an outgoing connection; an instance that heard nobody, open": _small(1031),
}
"""Plans by cause."""
