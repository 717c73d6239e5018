"""Accepting configuration changes of operators by compare-and-swap."""

from collections.abc import Callable
from time import time
from typing import Any

import attrs
import msgspec
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.config import Resource, ResourceKind, check_resource, resource_key
from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.messages import decode_json, encode_json
from cranberryshore.timeline import EventKind, EventRecorder
from cranberryshored.evidence import EvidenceService, Rollout
from cranberryshored.platform import Entry, Store, StoreFailure, StoreUnavailable

RETRY_MS = 1000


@attrs.frozen
class AcceptedChange:
    """An accepted change and the store revision that contains it."""

    resource: Resource | None
    revision: int


@attrs.frozen
class Proposal:
    """A configuration change that an operator requests.

    Parameters
    ----------
    kind, name : ResourceKind, str
        The resource to change.
    spec : dict or None
        New specification; ``None`` deletes the resource.
    expected_generation : int or None
        Generation that the change is based on; 0 if the resource did not exist; ``None`` for any.
    operator, change_id : str
        Name of the operator, and the identifier by which a repetition of the change is recognized.
    """

    kind: ResourceKind
    name: str
    spec: dict[str, Any] | None
    expected_generation: int | None
    operator: str
    change_id: str


@attrs.define(eq=False)
class ConfigEditor:
    """Writes changes so that one of two conflicting changes succeeds and the other is refused."""

    store: Store
    recorder: EventRecorder
    log: FilteringBoundLogger
    evidence: EvidenceService
    rollout: Callable[[int], Rollout]

    async def change(self, proposal: Proposal) -> Result[AcceptedChange, Refusal]:
        """Validate and write one change; the result is correct even if a store reply is lost."""
        if proposal.spec is not None:
            checked = check_resource(proposal.kind, proposal.name, proposal.spec)
            if isinstance(checked, Err):
                detail = "; ".join(str(fault) for fault in checked.err_value)
                return Err(Refusal(ErrorType.MALFORMED, ExecutionStatus.NOT_RUN, detail))
        key = resource_key(proposal.kind, proposal.name)
        read = await self.store.get(key)
        if isinstance(read, Err):
            return Err(_store_refusal(read.err_value))
        entry = read.ok_value
        current = _decode_resource(entry)
        if current is not None and current.change_id == proposal.change_id:
            return Ok(AcceptedChange(current, entry.revision))
        refusal = _generation_refusal(proposal, current)
        if refusal is not None:
            return Err(refusal)
        accepted = await self._write(proposal, key, entry, current)
        if isinstance(accepted, Ok):
            self.recorder.record(
                time(),
                EventKind.CONFIGURATION_ACCEPTED,
                key,
                f"revision {accepted.ok_value.revision} by {proposal.operator}",
            )
            revision = accepted.ok_value.revision
            self.evidence.configuration_accepted(
                proposal.operator, revision, lambda: self.rollout(revision)
            )
        return accepted

    async def _write(
        self, proposal: Proposal, key: str, entry: Entry | None, current: Resource | None
    ) -> Result[AcceptedChange, Refusal]:
        expected = 0 if entry is None else entry.revision
        generation = 0 if current is None else current.generation
        resource = None
        if proposal.spec is None:
            written = await self.store.delete(key, expected)
        else:
            resource = Resource(
                proposal.kind,
                proposal.name,
                proposal.spec,
                generation + 1,
                proposal.operator,
                proposal.change_id,
                time(),
            )
            written = await self.store.put(key, encode_json(resource).decode(), expected)
        if isinstance(written, Ok):
            return Ok(AcceptedChange(resource, written.ok_value))
        return await self._read_back(proposal, key, written.err_value)

    async def _read_back(
        self, proposal: Proposal, key: str, error: StoreFailure
    ) -> Result[AcceptedChange, Refusal]:
        """Read the resource after a conflict or a lost reply to find out what was written."""
        read = await self.store.get(key)
        if isinstance(read, Err):
            return Err(_uncertain_refusal())
        entry = read.ok_value
        found = _decode_resource(entry)
        if proposal.spec is None and entry is None:
            return Ok(AcceptedChange(None, 0))
        if found is not None and found.change_id == proposal.change_id:
            return Ok(AcceptedChange(found, entry.revision))
        if isinstance(error, StoreUnavailable):
            # The write may still be in transit to the store.
            return Err(_uncertain_refusal())
        return Err(_conflict_refusal(proposal, found))


def _decode_resource(entry: Entry | None) -> Resource | None:
    if entry is None:
        return None
    try:
        return decode_json(entry.value.encode(), Resource)
    except (msgspec.DecodeError, ValueError):
        return None


def _generation_refusal(proposal: Proposal, current: Resource | None) -> Refusal | None:
    if proposal.spec is None and current is None:
        detail = f"There is no {proposal.kind.value} {proposal.name}."
        return Refusal(ErrorType.NOT_FOUND, ExecutionStatus.NOT_RUN, detail)
    generation = 0 if current is None else current.generation
    if proposal.expected_generation in (None, generation):
        return None
    return _conflict_refusal(proposal, current)


def _conflict_refusal(proposal: Proposal, current: Resource | None) -> Refusal:
    if current is None:
        detail = f"The {proposal.kind.value} {proposal.name} was deleted meanwhile."
        return Refusal(ErrorType.CONFLICT, ExecutionStatus.NOT_RUN, detail)
    wanted = proposal.spec or {}
    names = sorted(
        name
        for name in wanted.keys() | current.spec.keys()
        if wanted.get(name) != current.spec.get(name)
    )
    differing = ", ".join(
        f"{name} is {current.spec.get(name)!r}, not {wanted.get(name)!r}" for name in names
    )
    detail = (
        f"{current.changed_by} changed it at {current.changed_at:.3f} to generation "
        f"{current.generation}; differing: {differing or 'nothing'}."
    )
    return Refusal(ErrorType.CONFLICT, ExecutionStatus.NOT_RUN, detail)


def _store_refusal(error: StoreFailure) -> Refusal:
    detail = f"The store does not answer ({error}); nothing was changed."
    return Refusal(ErrorType.STORE_UNAVAILABLE, ExecutionStatus.NOT_RUN, detail, RETRY_MS)


def _uncertain_refusal() -> Refusal:
    detail = "The store did not confirm the change; ask again with the same Change-Id."
    return Refusal(ErrorType.CHANGE_UNCERTAIN, ExecutionStatus.MAY_HAVE_RUN, detail, RETRY_MS)
