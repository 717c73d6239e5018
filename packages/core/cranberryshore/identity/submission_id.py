"""Submission identifiers, which contain the incarnation that may start the submission."""

import re

import attrs
from result import Err, Ok, Result

from cranberryshore.errors import Refusal, malformed
from cranberryshore.identity.incarnation import Incarnation, parse_incarnation

MAX_SEQUENCE_DIGITS = 12
_SEQUENCE = re.compile(rf"0|[1-9][0-9]{{0,{MAX_SEQUENCE_DIGITS - 1}}}")


@attrs.frozen(order=True)
class SubmissionId:
    """Identifier of a submission: the issuing incarnation and a sequence number.

    Only ``issuer`` may start tasks of the submission. Any other process forwards it to the
    issuer or, if the issuer has died, answers from the workers' records.
    """

    issuer: Incarnation
    sequence: int

    def __str__(self) -> str:
        return f"{self.issuer}.{self.sequence}"


def parse_submission_id(text: str) -> Result[SubmissionId, Refusal]:
    """Parse the text form ``zone.instance.nonce.sequence``.

    Returns
    -------
    Result
        The id, or a refusal of type ``malformed``.

    Examples
    --------
    >>> parse_submission_id("zone-a.entry-1.684ee1808a2f2265.7").unwrap().sequence
    7
    >>> parse_submission_id("seven").unwrap_err().type.value
    'malformed'
    """
    head, _, sequence = text.rpartition(".")
    issuer = parse_incarnation(head)
    if issuer is None or _SEQUENCE.fullmatch(sequence) is None:
        return Err(malformed("id", text, "zone.instance.nonce.sequence"))
    return Ok(SubmissionId(issuer, int(sequence)))
