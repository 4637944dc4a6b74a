"""Headers of requests and answers: what callers say, and what upstreams are told."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from greengagestage.catalog import PromptPart
from greengagestage.http1 import HeaderList
from greengagestage.ids import AttemptId, InstanceId, PromptPartId, WorkspaceId

ATTEMPT_ID = b"greengagestage-attempt-id"
DEADLINE = b"greengagestage-deadline-ms"
EXPECTED_INSTANCE = b"greengagestage-expect-instance"
LAST_EVENT_ID = b"last-event-id"
MODEL = b"greengagestage-model"
NOT_EXECUTED = b"greengagestage-not-executed"
PROMPT_PARTS = b"greengagestage-prompt-prefix"
PRIORITY = b"greengagestage-request-priority"
SIGNATURE = b"greengagestage-server-signature"
TENANT = b"greengagestage-tenant"
TOKENS = b"greengagestage-token-usage"

LEAST_URGENT = 9
MAX_ATTEMPT_ID_BYTES = 200
MAX_DEADLINE_DIGITS = 12

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
_SYSTEM_HEADERS = frozenset(
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
"""Headers that only the system sets towards an upstream; callers' values are dropped."""

_SINGLE_HEADERS = (ATTEMPT_ID, DEADLINE, MODEL, TOKENS, PROMPT_PARTS, b"authorization")


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequestMetadata:
    """What a caller said about its request.

    Attributes:
        patience_s: How long the caller waits, counted from its sending.
        key: The caller's key.
        output_tokens: Most tokens that the caller takes.
    """

    attempt_id: AttemptId
    host: str
    path: str
    timeout_s: float | None
    key: str | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequestMetadata:
    """What the system tells an upstream about a request.

    Attributes:
        time_left_s: The upstream stops after this time.
        urgency: 0 is served first.
        last_event_id: Where an interrupted stream goes on.
    """

    instance: InstanceId
    time_left_s: float
    workspace: WorkspaceId | None = None
    urgency: int | None = None
    last_event_id: bytes | None = None


def parse_caller_headers(target: bytes, headers: HeaderList) -> Result[CallerRequestMetadata, str]:
    """Read what a caller said; a failure says which header cannot be used."""
    singles: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in _SINGLE_HEADERS and name in singles:
            return Failure(f"{name.decode()} stands twice")
        singles.setdefault(name, value)
    attempt_id = singles.get(ATTEMPT_ID, b"")
    if not 0 < len(attempt_id) <= MAX_ATTEMPT_ID_BYTES or not attempt_id.isascii():
        return Failure(f"{ATTEMPT_ID.decode()} is missing or too long")
    if not target.startswith(b"/"):
        return Failure("the target is not a path")
    prompt, output = _read_tokens(singles.get(TOKENS, b""))
    return Success(
        CallerRequestMetadata(
            attempt_id=AttemptId(attempt_id.decode("ascii")),
            host=singles.get(b"host", b"").partition(b":")[0].decode("latin-1"),
            path=target.partition(b"?")[0].decode("latin-1"),
            timeout_s=_read_patience(singles.get(DEADLINE)),
            key=_read_key(singles.get(b"authorization")),
            prompt_tokens=prompt,
            output_tokens=output,
            parts=_read_parts(singles.get(PROMPT_PARTS, b"")),
        )
    )


def build_upstream_headers(headers: HeaderList, order: UpstreamRequestMetadata) -> HeaderList:
    """Return a caller's headers as the upstream gets them."""
    named = _list_connection_names(headers)
    dropped = _CONNECTION_HEADERS | _SYSTEM_HEADERS | named
    if order.last_event_id is not None:
        dropped |= {LAST_EVENT_ID}
    kept = [(name, value) for name, value in headers if name not in dropped]
    kept.append((EXPECTED_INSTANCE, order.instance.encode()))
    kept.append((DEADLINE, b"%d" % max(int(order.time_left_s * 1_000), 1)))
    if order.workspace is not None:
        kept.append((TENANT, order.workspace.encode()))
    if order.urgency is not None:
        kept.append((PRIORITY, b"%d" % min(max(order.urgency, 0), LEAST_URGENT)))
    if order.last_event_id is not None:
        kept.append((LAST_EVENT_ID, order.last_event_id))
    return kept


def build_caller_headers(headers: HeaderList) -> HeaderList:
    """Return an upstream's headers as the caller gets them."""
    dropped = _CONNECTION_HEADERS | _list_connection_names(headers)
    return [(name, value) for name, value in headers if name not in dropped]


def _list_connection_names(headers: HeaderList) -> frozenset[bytes]:
    """Return the headers that the sender tied to its connection, never an end-to-end one."""
    named = (
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    )
    return frozenset(part for part in named if not part.startswith(b"greengagestage-"))


def _read_tokens(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return _read_count(prompt), _read_count(output)


def _read_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for text in filter(None, value.split(b",")):
        name, _, tokens = text.strip().partition(b":")
        part = PromptPartId(name.decode("latin-1"))
        parts.append(PromptPart(part=part, tokens=_read_count(tokens)))
    return tuple(parts)


def _read_count(value: bytes) -> int:
    """Return a number that only guides a decision; what is no number counts as none."""
    text = value.strip()
    return int(text) if text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS else 0


def _read_patience(value: bytes | None) -> float | None:
    if value is None or not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
        return None
    return int(value) / 1_000


def _read_key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" else None
