"""Progress of a completion over all attempts of its request."""

from array import array

import msgspec

from greengagestage.upstream import CompletionChunk


class CompletionProgress:
    """Records delivered tokens and merges the chunks of several attempts into one answer.

    A later attempt resumes after the delivered tokens. Its chunks get the ``id`` of the first
    attempt, and its opening chunk is dropped because it adds nothing.
    """

    def __init__(self) -> None:
        self._token_ids = array("q")
        self._token_ids_known = True
        self._started = False
        self._answer_id = ""

    @property
    def resumable(self) -> bool:
        """Whether another engine can continue, since the ids of all delivered tokens are known."""
        return self._token_ids_known

    def list_token_ids(self) -> list[int]:
        """Return the ids of the delivered tokens."""
        return self._token_ids.tolist()

    def merge(self, chunk: CompletionChunk) -> bytes | None:
        """Record a chunk; return the payload to forward, or None if the chunk adds nothing."""
        if chunk.opens and self._started:
            return None
        if chunk.token_ids:
            self._token_ids.extend(chunk.token_ids)
        elif chunk.text:
            self._token_ids_known = False
        if not self._started:
            self._started = True
            self._answer_id = chunk.answer_id
        if chunk.answer_id == self._answer_id:
            return chunk.payload
        return _replace_id(chunk.payload, self._answer_id)


def _replace_id(payload: bytes, answer_id: str) -> bytes:
    fields = msgspec.json.decode(payload, type=dict[str, msgspec.Raw])
    fields["id"] = msgspec.Raw(msgspec.json.encode(answer_id))
    return msgspec.json.encode(fields)
