"""Authentication and authorization of callers and operators by bearer token."""

from hashlib import sha256

import attrs
from aiohttp.web import Request

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.settings import Role, TokenSettings
from cranberryshored.web.responses import RefusalError

AUTHENTICATION_SCHEME = "Bearer "


@attrs.frozen
class Tokens:
    """Configured tokens by SHA-256 digest, with a cache of valid ``Authorization`` headers."""

    by_digest: dict[str, TokenSettings]
    by_header: dict[str, TokenSettings] = attrs.field(factory=dict)

    def authenticate(self, request: Request) -> TokenSettings:
        """Return the token of a request; raises ``RefusalError`` if it is missing or unknown."""
        header = request.headers.get("Authorization", "")
        known = self.by_header.get(header)
        if known is not None:
            return known
        if not header.startswith(AUTHENTICATION_SCHEME):
            raise RefusalError(_unauthenticated())
        digest = sha256(header.removeprefix(AUTHENTICATION_SCHEME).encode()).hexdigest()
        token = self.by_digest.get(digest)
        if token is None:
            raise RefusalError(_unauthenticated())
        self.by_header[header] = token
        return token

    def operator(self, request: Request) -> TokenSettings:
        """Return the token of a request; raises ``RefusalError`` unless it is an operator's."""
        token = self.authenticate(request)
        if token.role is not Role.OPERATOR:
            raise RefusalError(_forbidden("This is for operators."))
        return token


def check_team(token: TokenSettings, team: str) -> None:
    """Raise ``RefusalError`` unless the token permits requests for ``team``."""
    if team not in token.teams:
        raise RefusalError(_forbidden(f"{token.name} may not work for team {team}."))


def index_tokens(settings: tuple[TokenSettings, ...]) -> Tokens:
    """Return the configured tokens, indexed by digest."""
    return Tokens({token.sha256: token for token in settings})


def _unauthenticated() -> Refusal:
    detail = "A valid token is needed: Authorization: Bearer TOKEN."
    return Refusal(ErrorType.UNAUTHENTICATED, ExecutionStatus.NOT_RUN, detail)


def _forbidden(detail: str) -> Refusal:
    return Refusal(ErrorType.FORBIDDEN, ExecutionStatus.NOT_RUN, detail)
