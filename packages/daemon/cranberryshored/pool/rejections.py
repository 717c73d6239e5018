"""Decoding of values that other programs write again and again, each of which is judged once."""

from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

import attrs
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.bounds import MAX_REASON_CHARACTERS, Rejection
from cranberryshore.messages import encoding_error

T = TypeVar("T")

MAX_REMEMBERED_REASONS = 1000


@attrs.define(eq=False)
class RejectionLog:
    """Logs why a value is rejected, once until the reason changes or the value is accepted.

    Parameters
    ----------
    sentence : str
        Message of the record.
    reasons : dict
        Latest reason by the key of the value.
    """

    sentence: str
    log: FilteringBoundLogger
    reasons: dict[str, str] = attrs.field(factory=dict)

    def rejected(self, key: str, rejection: Rejection) -> None:
        """Log a rejection unless it is known."""
        if self.reasons.get(key) == rejection.reason:
            return
        self.accepted(key)
        if len(self.reasons) >= MAX_REMEMBERED_REASONS:
            del self.reasons[next(iter(self.reasons))]
        self.reasons[key] = rejection.reason
        self.log.warning(self.sentence, key=key, reason=rejection.reason)

    def accepted(self, key: str) -> None:
        """Record that the value can be used, or is gone."""
        self.reasons.pop(key, None)


@attrs.define(eq=False)
class EntryReader(Generic[T]):
    """Decodes the entries under a prefix, each value once.

    Parameters
    ----------
    decode : callable
        Returns the decoded value, given the key without the prefix and the text.
    known : dict
        Text and decoded form of the present entries by key.
    """

    prefix: str
    decode: Callable[[str, str], Result[T, Rejection]]
    rejections: RejectionLog
    known: dict[str, tuple[str, Result[T, Rejection]]] = attrs.field(factory=dict)

    def read(self, entries: Mapping[str, str]) -> dict[str, T]:
        """Return the decoded entries by the key without the prefix; rejected ones are left out."""
        for key in self.known.keys() - entries.keys():
            del self.known[key]
            self.rejections.accepted(key)
        usable = {}
        for key, text in entries.items():
            name = key.removeprefix(self.prefix)
            if key not in self.known or self.known[key][0] != text:
                self.known[key] = (text, self._judge(key, name, text))
            decoded = self.known[key][1]
            if isinstance(decoded, Ok):
                usable[name] = decoded.ok_value
        return usable

    def _judge(self, key: str, name: str, text: str) -> Result[T, Rejection]:
        decoded = decode_entry(self.decode, name, text)
        if isinstance(decoded, Err):
            self.rejections.rejected(key, decoded.err_value)
        else:
            self.rejections.accepted(key)
        return decoded


def decode_entry(
    decode: Callable[..., Result[T, Rejection]], *arguments: str | bytes
) -> Result[T, Rejection]:
    """Return a decoded value that can be sent to peers.

    A decoder that raises an error costs its own value only.
    """
    try:
        decoded = decode(*arguments)
    except Exception as error:
        return Err(Rejection(repr(error)[:MAX_REASON_CHARACTERS]))
    reason = encoding_error(decoded.ok_value) if isinstance(decoded, Ok) else ""
    return Err(Rejection(reason)) if reason else decoded
