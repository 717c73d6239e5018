"""Assignment of workers and upstreams to entry instances."""

from collections.abc import Collection
from hashlib import blake2b
from math import ceil

import attrs

SCORE_BYTES = 8


@attrs.frozen
class Assignment:
    """Mapping of resources to entry instances, as one instance sees it.

    Parameters
    ----------
    assignees : dict
        Assigned instance by resource name.

    Examples
    --------
    >>> Assignment("e1", {"w1": "e1", "w2": "e2"}).is_own("w2")
    False
    """

    own: str = ""
    assignees: dict[str, str] = attrs.field(factory=dict)
    live: frozenset[str] = frozenset()

    def is_own(self, resource: str) -> bool:
        """Return whether a resource is assigned to this instance."""
        return self.own != "" and self.assignees.get(resource) == self.own


def _score(resource: str, instance: str) -> bytes:
    return blake2b(f"{resource}|{instance}".encode(), digest_size=SCORE_BYTES).digest()


def assign_balanced(resources: Collection[str], instances: Collection[str]) -> dict[str, str]:
    """Assign each resource to one instance, evenly and with few reassignments.

    Uses rendezvous hashing [1]_ with bounded loads: each resource goes to the instance with the
    highest hash score among those below the limit, which is the even share rounded up. All
    instances compute the same assignment from the same two sets.

    Parameters
    ----------
    resources : collection of str
        Names of workers or upstreams.
    instances : collection of str
        Keys of the live entry instances.

    Returns
    -------
    dict
        Assigned instance by resource name; empty if there is no instance.

    Examples
    --------
    >>> counts = list(assign_balanced(["w1", "w2", "w3", "w4"], ["e1", "e2"]).values())
    >>> counts.count("e1"), counts.count("e2")
    (2, 2)

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
       IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    if not instances:
        return {}
    max_load = ceil(len(resources) / len(instances))
    loads = dict.fromkeys(instances, 0)
    assignment = {}
    for resource in sorted(resources):
        available_instances = [name for name, load in loads.items() if load < max_load]
        assignee = max(available_instances, key=lambda name: _score(resource, name))
        loads[assignee] += 1
        assignment[resource] = assignee
    return assignment
