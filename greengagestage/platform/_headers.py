"""Headers of requests and responses: parsing callers' headers, building those to upstreams."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from greengagestage.catalog import PromptPart
from greengagestage.http1 import HeaderList
from greengagestage.ids import AttemptId, InstanceId, PromptPartId, WorkspaceId

ATTEMPT_ID = b"greengagestage-attempt-id"
DEADLINE = b"greengagestage-deadline-ms"
DUTY_HOLDER = b"greengagestage-duty-holder"
EXPECTED_INSTANCE = b"greengagestage-expect-instance"
FENCING_TOKEN = b"greengagestage-fencing-token"
LAST_EVENT_ID = b"last-event-id"
LEAVING = b"server-leaving"
LIMIT = b"server-limit"
BRITTLE = b"server-brittle"
MODEL = b"greengagestage-model"
NOT_EXECUTED = b"greengagestage-not-executed"
PROMPT_PARTS = b"greengagestage-prompt-prefix"
PRIORITY = b"greengagestage-request-priority"
RESUMED_ATTEMPT = b"resumes"
RETRY_AFTER = b"retry-after"
SIGNATURE = b"greengagestage-server-signature"
STORE_ERA = b"store-era"
TENANT = b"greengagestage-tenant"
TOKENS = b"greengagestage-token-usage"

LEAST_URGENT = 9
"""Largest urgency rank sent to upstreams, in the priority header; 0 is the most urgent."""

MAX_ATTEMPT_ID_BYTES = 200
MAX_NUMBER_DIGITS = 12

_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_ROUTER_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECTED_INSTANCE,
        PRIORITY,
        TENANT,
        b"authorization",
        b"greengagestage-expect-version",
        b"greengagestage-hold",
        b"greengagestage-kv-backup",
        b"greengagestage-pin-ms",
        b"kv-fetch",
        b"kv-from",
    )
)
"""Headers to upstreams that only the router may set; callers' values are dropped."""

_UNREPEATABLE_HEADERS = (ATTEMPT_ID, DEADLINE, MODEL, TOKENS, PROMPT_PARTS, b"authorization")


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequestMetadata:
    """What a caller's headers and target say about its request.

    Attributes:
        timeout_s: How long the caller waits, counted from when it sent the request; ``None`` if
            it gave no valid deadline.
        key: The caller's API key, if any.
        prompt_tokens: Size of the prompt; 0 if not stated.
        output_tokens: Maximum size of the output; 0 if not stated.
        parts: The parts of the prompt in sequence, with their sizes.
        last_event_id: The last event that the caller has of a stream that it takes up again.
        resumed_attempt: The caller's attempt that brought the first event of that stream.
    """

    attempt_id: AttemptId
    host: str
    path: str
    timeout_s: float | None
    key: str | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event_id: bytes | None = None
    resumed_attempt: AttemptId | None = None

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller has a part of the stream already."""
        return self.last_event_id is not None or self.resumed_attempt is not None


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequestMetadata:
    """What the router tells an upstream about a request.

    Attributes:
        instance: The upstream process that the request is meant for.
        time_left_s: The upstream stops working on the request after this time.
        workspace: The caller's workspace, if any.
        urgency: Urgency rank, sent in the priority header. 0 is the most urgent and served first;
            larger ranks are less urgent. None sends no header.
        last_event_id: The last event received of an interrupted stream, which is resumed after it.
    """

    instance: InstanceId
    time_left_s: float
    workspace: WorkspaceId | None = None
    urgency: int | None = None
    last_event_id: bytes | None = None


def parse_caller_headers(target: bytes, headers: HeaderList) -> Result[CallerRequestMetadata, str]:
    """Parse a caller's target and headers; a failure says what is invalid."""
    first_values: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in _UNREPEATABLE_HEADERS and name in first_values:
            return Failure(f"{name.decode()} is repeated")
        first_values.setdefault(name, value)
    attempt_id = first_values.get(ATTEMPT_ID, b"")
    if not 0 < len(attempt_id) <= MAX_ATTEMPT_ID_BYTES or not attempt_id.isascii():
        return Failure(f"{ATTEMPT_ID.decode()} is missing or too long")
    if not target.startswith(b"/"):
        return Failure("the target is not a path")
    prompt, output = _parse_token_counts(first_values.get(TOKENS, b""))
    return Success(
        CallerRequestMetadata(
            attempt_id=AttemptId(attempt_id.decode("ascii")),
            host=first_values.get(b"host", b"").partition(b":")[0].decode("latin-1"),
            path=target.partition(b"?")[0].decode("latin-1"),
            timeout_s=_parse_deadline(first_values.get(DEADLINE)),
            key=_parse_key(first_values.get(b"authorization")),
            prompt_tokens=prompt,
            output_tokens=output,
            parts=_parse_prompt_parts(first_values.get(PROMPT_PARTS, b"")),
            last_event_id=first_values.get(LAST_EVENT_ID),
            resumed_attempt=_parse_resumed_attempt(first_values.get(RESUMED_ATTEMPT)),
        )
    )


def states_prompt(headers: HeaderList) -> bool:
    """Return whether headers that a router has built for an upstream belong to a prompt."""
    return any(name.lower() == PRIORITY for name, _ in headers)


def build_upstream_headers(headers: HeaderList, metadata: UpstreamRequestMetadata) -> HeaderList:
    """Return a caller's headers as they are sent to the upstream."""
    hop_by_hop_names = _list_hop_by_hop_names(headers)
    dropped = _CONNECTION_HEADERS | _ROUTER_HEADERS | hop_by_hop_names
    if metadata.last_event_id is not None:
        dropped |= {LAST_EVENT_ID}
    forwarded = [(name, value) for name, value in headers if name not in dropped]
    forwarded.append((EXPECTED_INSTANCE, metadata.instance.encode()))
    forwarded.append((DEADLINE, b"%d" % max(int(metadata.time_left_s * 1_000), 1)))
    if metadata.workspace is not None:
        forwarded.append((TENANT, metadata.workspace.encode()))
    if metadata.urgency is not None:
        forwarded.append((PRIORITY, b"%d" % min(max(metadata.urgency, 0), LEAST_URGENT)))
    if metadata.last_event_id is not None:
        forwarded.append((LAST_EVENT_ID, metadata.last_event_id))
    return forwarded


def replace_time_left(headers: HeaderList, time_left_s: float) -> HeaderList:
    """Return an upstream's request headers with another deadline."""
    value = b"%d" % max(int(time_left_s * 1_000), 1)
    return [(name, value if name.lower() == DEADLINE else text) for name, text in headers]


def build_caller_headers(headers: HeaderList) -> HeaderList:
    """Return an upstream's headers as they are sent to the caller."""
    dropped = _CONNECTION_HEADERS | _list_hop_by_hop_names(headers)
    return [(name, value) for name, value in headers if name not in dropped]


def _list_hop_by_hop_names(headers: HeaderList) -> frozenset[bytes]:
    """Return the header names that ``Connection`` lists, without those that are always end-to-end.

    Listed headers are hop-by-hop and are not forwarded. ``Host`` and the platform's own headers are
    forwarded even if they are listed.
    """
    hop_by_hop_names = (
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    )
    return frozenset(
        part
        for part in hop_by_hop_names
        if part != b"host" and not part.startswith(b"greengagestage-")
    )


def _parse_token_counts(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return _parse_count(prompt), _parse_count(output)


def _parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for text in filter(None, value.split(b",")):
        name, _, tokens = text.strip().partition(b":")
        part = PromptPartId(name.decode("latin-1"))
        parts.append(PromptPart(part=part, tokens=_parse_count(tokens)))
    return tuple(parts)


def _parse_count(value: bytes) -> int:
    """Return a number that is only a hint for routing; anything else counts as 0."""
    text = value.strip()
    return int(text) if text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else 0


def _parse_deadline(value: bytes | None) -> float | None:
    if value is None or not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
        return None
    return int(value) / 1_000


def _parse_resumed_attempt(value: bytes | None) -> AttemptId | None:
    if not value or len(value) > MAX_ATTEMPT_ID_BYTES or not value.isascii():
        return None
    return AttemptId(value.decode("ascii"))


def _parse_key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" else None
