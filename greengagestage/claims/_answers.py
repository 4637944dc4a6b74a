"""Stores answers for resends: small ones in the claim's row, large ones as objects."""

from dataclasses import dataclass
from typing import Any

from msgspec.structs import replace
from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.platform import AlreadyStored, ObjectClient, Stored

from ._rows import CLAIM_PREFIX, ClaimRow, ClaimState

INLINE_BODY_BYTES = 4096
ANSWER_PREFIX = "answer/"
PUT_TRIES = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """A complete answer, as the first caller received it."""

    status: int
    content_type: str
    body: bytes


def answer_key(row_key: str, claim: ClaimRow) -> str:
    """Return the object key of a claim's answer, which is unique to the claim."""
    return ANSWER_PREFIX + row_key.removeprefix(CLAIM_PREFIX) + "/" + claim.token


def describe_answer(claim: ClaimRow, row_key: str, answer: StoredAnswer) -> ClaimRow:
    """Return the row of a claim whose answer is recorded."""
    inline = len(answer.body) <= INLINE_BODY_BYTES
    return replace(
        claim,
        state=ClaimState.ANSWERED,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body if inline else None,
        answer=None if inline else answer_key(row_key, claim),
    )


class AnswerStore:
    """Reads and writes the bodies of answers."""

    def __init__(self, *, objects: ObjectClient) -> None:
        self._objects = objects

    @inlineCallbacks
    def _put_body(self, claim: ClaimRow, body: bytes) -> Any:
        if claim.answer is None:
            return True
        for _ in range(PUT_TRIES):
            outcome = yield self._objects.put(claim.answer, body)
            if isinstance(outcome, Stored | AlreadyStored):
                return True
        return False

    def put_body(self, claim: ClaimRow, body: bytes) -> Deferred[bool]:
        """Write a large body as an object; the result says whether it is certainly stored."""
        return self._put_body(claim, body)

    @inlineCallbacks
    def _read(self, claim: ClaimRow) -> Any:
        body = claim.body
        if claim.answer is not None:
            body = yield self._objects.get(claim.answer)
        if not isinstance(body, bytes):
            return None
        return StoredAnswer(status=claim.status, content_type=claim.content_type, body=body)

    def read(self, claim: ClaimRow) -> Deferred[StoredAnswer | None]:
        """Return the answer of a claim, or None when its body cannot be read."""
        return self._read(claim)
