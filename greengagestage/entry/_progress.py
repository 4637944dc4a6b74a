"""What of a completion has been delivered, over all the attempts of its request."""

from array import array

import msgspec

from greengagestage.upstream import CompletionChunk


class CompletionProgress:
    """Counts delivered tokens and makes the chunks of several attempts look like one answer.

    A later attempt resumes after the delivered tokens. Its chunks take the first attempt's
    ``id``, and its opening chunk, which adds nothing, is dropped.
    """

    def __init__(self) -> None:
        self._token_ids = array("q")
        self._token_ids_known = True
        self._started = False
        self._answer_id = ""

    @property
    def resumable(self) -> bool:
        """Another engine can go on from what has been delivered."""
        return self._token_ids_known

    def list_token_ids(self) -> list[int]:
        """Return the delivered tokens."""
        return self._token_ids.tolist()

    def merge(self, chunk: CompletionChunk) -> bytes | None:
        """Count a chunk; return the payload to pass on, or None if it adds nothing."""
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
