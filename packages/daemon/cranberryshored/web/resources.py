"""HTTP routes for declared resources."""

from typing import Any
from uuid import uuid4

import attrs
from aiohttp.web import Request, Response, RouteTableDef
from result import Err

from cranberryshore.config import Change, Resource, ResourceKind
from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal, malformed
from cranberryshored.config import ConfigEditor, ConfigFollower
from cranberryshored.config.editor import Proposal
from cranberryshored.web.auth import Tokens
from cranberryshored.web.input import decode_body, query_number, read_body
from cranberryshored.web.responses import (
    RefusalError,
    json_response,
    refusal_response,
    result_response,
)

MAX_REVISION = 10**15
MAX_CHANGE_ID_CHARACTERS = 64


@attrs.frozen
class ResourceBody:
    """Specification that an operator applies to a resource."""

    spec: dict[str, Any]
    expected_generation: int | None = None


@attrs.frozen
class ResourceList:
    """All current resources of this instance."""

    revision: int
    resources: tuple[Resource, ...]


@attrs.frozen
class WatchAnswer:
    """Changes after the requested revision; the next watch continues after ``revision``."""

    revision: int
    changes: tuple[Change, ...]


@attrs.define(eq=False)
class ResourceRoutes:
    """Handlers that list, watch, apply and delete resources."""

    follower: ConfigFollower
    editor: ConfigEditor
    tokens: Tokens
    wait_ms: int

    def routes(self) -> RouteTableDef:
        """Return the route table."""
        table = RouteTableDef()
        table.get("/v1/resources")(self.list)
        table.get("/v1/watch")(self.watch)
        table.put("/v1/resources/{kind}/{name}")(self.apply)
        table.delete("/v1/resources/{kind}/{name}")(self.delete)
        return table

    async def list(self, request: Request) -> Response:
        """Return the current resources."""
        self.tokens.operator(request)
        state = self.follower.state
        resources = tuple(state.resources[key] for key in sorted(state.resources))
        return json_response(ResourceList(state.revision, resources))

    async def watch(self, request: Request) -> Response:
        """Return the changes after a revision, waiting up to ``wait_ms`` for the first."""
        self.tokens.operator(request)
        after = query_number(request, "after", 0, MAX_REVISION)
        wait_ms = query_number(request, "wait_ms", 0, self.wait_ms)
        await self.follower.wait_for_change(after, wait_ms / 1000)
        state = self.follower.state
        changes = state.changes_after(after)
        if isinstance(changes, Err):
            oldest = changes.err_value.oldest
            detail = f"Changes are remembered after revision {oldest} only; list and go on."
            refusal = Refusal(ErrorType.WATCH_GAP, ExecutionStatus.NOT_RUN, detail, 0)
            return refusal_response(refusal)
        revision = max(after, state.revision)
        return json_response(WatchAnswer(revision, tuple(changes.ok_value)))

    async def apply(self, request: Request) -> Response:
        """Create or change a resource."""
        token = self.tokens.operator(request)
        body = decode_body(await read_body(request), ResourceBody)
        proposal = self._build_proposal(request, token.name, body.spec, body.expected_generation)
        return result_response(await self.editor.change(proposal))

    async def delete(self, request: Request) -> Response:
        """Delete a resource."""
        token = self.tokens.operator(request)
        text = request.query.get("expected_generation")
        expected = None
        if text is not None:
            expected = query_number(request, "expected_generation", 0, MAX_REVISION)
        proposal = self._build_proposal(request, token.name, None, expected)
        return result_response(await self.editor.change(proposal))

    def _build_proposal(
        self,
        request: Request,
        operator: str,
        spec: dict[str, Any] | None,
        expected: int | None,
    ) -> Proposal:
        change_id = request.headers.get("Change-Id") or uuid4().hex
        if len(change_id) > MAX_CHANGE_ID_CHARACTERS:
            expected_text = f"at most {MAX_CHANGE_ID_CHARACTERS} characters"
            raise RefusalError(malformed("Change-Id", change_id, expected_text))
        kinds = {kind.value: kind for kind in ResourceKind}
        kind = kinds.get(request.match_info["kind"])
        if kind is None:
            raise RefusalError(malformed("kind", request.match_info["kind"], ", ".join(kinds)))
        name = request.match_info["name"]
        return Proposal(kind, name, spec, expected, operator, change_id)
