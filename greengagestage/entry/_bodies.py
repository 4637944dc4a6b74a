"""Validation and hashing of the bodies of completion requests."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any

import msgspec
import xxhash
from msgspec import Meta, Struct
from returns.result import Failure, Result, Success

from greengagestage.ids import Fingerprint, ModelName, WorkspaceId
from greengagestage.refusals import Refusal
from greengagestage.results import ResultCode

BYTES_PER_TOKEN = 4
FIRST_PREFIX_BYTES = 64
MAX_PREFIX_HASHES = 16
DELIVERY_FIELDS = ("stream", "stream_options")
"""Fields that change how an answer is delivered, but not its content."""

_PositiveInt = Annotated[int, Meta(ge=1, le=10_000_000)]


class Endpoint(Enum):
    """The completion endpoints of the API, with their URL paths as values."""

    CHAT = "/v1/chat/completions"
    TEXT = "/v1/completions"


class ChatMessage(Struct, frozen=True):
    """One message of a chat."""

    role: Annotated[str, Meta(min_length=1, max_length=64)]
    content: str | list[dict[str, Any]] | None = None


class _CompletionFields(Struct, frozen=True, kw_only=True):
    model: Annotated[str, Meta(min_length=1, max_length=256)]
    stream: bool | None = None
    stream_options: dict[str, Any] | None = None
    max_tokens: _PositiveInt | None = None
    max_completion_tokens: _PositiveInt | None = None
    n: Annotated[int, Meta(ge=1, le=1)] | None = None
    temperature: float | None = None
    top_p: float | None = None


class ChatBody(_CompletionFields, frozen=True, kw_only=True):
    """The fields of a chat completion that the router reads."""

    messages: Annotated[list[ChatMessage], Meta(min_length=1)]

    @property
    def prompt_text(self) -> str:
        """The messages as one text, in the format whose prefixes engines hash."""
        return "\n".join(f"{m.role}:{_flatten(m.content)}" for m in self.messages)


class TextBody(_CompletionFields, frozen=True, kw_only=True):
    """The fields of a text completion that the router reads."""

    prompt: Annotated[str, Meta(min_length=1)]

    @property
    def prompt_text(self) -> str:
        """The prompt."""
        return self.prompt


@dataclass(frozen=True, slots=True, kw_only=True)
class CompletionBody:
    """A validated body.

    Attributes:
        prompt: The prompt as UTF-8.
        fields: All fields as received, including unknown ones, to be sent to the upstream.
    """

    model: ModelName
    stream: bool
    output_tokens_limit: int | None
    prompt: bytes
    fields: dict[str, Any]


def read_completion_body(endpoint: Endpoint, data: bytes) -> Result[CompletionBody, Refusal]:
    """Validate the body of a completion request."""
    try:
        fields = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(Refusal(code=ResultCode.BROKEN_JSON, detail=str(error)))
    body_type: type[ChatBody | TextBody] = ChatBody if endpoint is Endpoint.CHAT else TextBody
    try:
        body = msgspec.convert(fields, body_type)
    except msgspec.ValidationError as error:
        return Failure(Refusal(code=_classify(error), detail=str(error)))
    if "resume" in fields:
        return Failure(
            Refusal(
                code=ResultCode.WRONG_TYPE, detail="the field `resume` is reserved for the router"
            )
        )
    return Success(
        CompletionBody(
            model=ModelName(body.model),
            stream=bool(body.stream),
            output_tokens_limit=body.max_completion_tokens or body.max_tokens,
            prompt=body.prompt_text.encode(errors="replace"),
            fields=fields,
        )
    )


def fingerprint_completion(
    workspace: WorkspaceId, endpoint: Endpoint, body: CompletionBody
) -> Fingerprint:
    """Hash everything that determines the answer.

    The order of the fields and ``DELIVERY_FIELDS`` do not change the hash.
    """
    fields = {k: v for k, v in body.fields.items() if k not in DELIVERY_FIELDS}
    canonical = msgspec.json.encode(fields, order="sorted")
    return fingerprint_parts(workspace.encode(), endpoint.value.encode(), canonical)


def fingerprint_parts(*parts: bytes) -> Fingerprint:
    """Hash a list of parts, each with its length, so that only equal lists have equal input."""
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


def hash_prefixes(prompt: bytes) -> tuple[int, ...]:
    """Hash prefixes of doubling length, shortest first, the same way as engines do."""
    sizes = (FIRST_PREFIX_BYTES << step for step in range(MAX_PREFIX_HASHES))
    return tuple(xxhash.xxh64_intdigest(prompt[:size]) for size in sizes if size <= len(prompt))


def _classify(error: msgspec.ValidationError) -> ResultCode:
    missing = "missing required field" in str(error)
    return ResultCode.MISSING_FIELD if missing else ResultCode.WRONG_TYPE


def _flatten(content: str | list[dict[str, Any]] | None) -> str:
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return content or ""
