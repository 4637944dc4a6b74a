"""Numbered result codes, and what each one says about whether the request ran.

Code ranges: 1xxx invalid input of the caller, 2xxx not run, 3xxx may have run, 4xxx operators and
configuration, 5xxx internal errors, 6xxx messages between hosts.
``docs/RESULT_CODES.md`` lists the same table; a test checks that both agree.
"""

from dataclasses import dataclass
from enum import Enum


class RunVerdict(Enum):
    """What a caller is told about whether its request ran."""

    DELIVERED = "delivered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class ResultCode(Enum):
    """The result codes. Clients receive the numbers and the names."""

    DELIVERED = 0

    BROKEN_JSON = 1001
    WRONG_TYPE = 1002
    MISSING_FIELD = 1003
    BODY_TOO_LARGE = 1004
    DUPLICATE_HEADER = 1005
    BAD_HEADER = 1006
    UNKNOWN_CLASS = 1007
    UNKNOWN_MODEL = 1008
    UNKNOWN_SERVICE = 1009
    UNKNOWN_PATH = 1010
    METHOD_NOT_ALLOWED = 1011
    IDEMPOTENCY_KEY_REQUIRED = 1012
    IDEMPOTENCY_KEY_REUSED = 1013
    MISSING_CREDENTIALS = 1014
    UNKNOWN_CREDENTIALS = 1015
    REQUEST_TOO_SLOW = 1016

    QUEUE_FULL = 2001
    RATE_LIMITED = 2002
    CONCURRENCY_LIMITED = 2003
    TARGET_UNREACHABLE = 2004
    SHED = 2005
    NO_UPSTREAM = 2006
    CLAIM_STORE_UNAVAILABLE = 2007
    CLAIM_BUDGET_SPENT = 2008
    NOT_READY = 2009
    STOPPING = 2010
    DEADLINE_PASSED = 2011
    QUARANTINED = 2012
    UPSTREAM_REFUSED = 2013
    RETRY_BUDGET_SPENT = 2014
    STILL_RUNNING = 2015
    CALLER_LEFT = 2016
    CONFIGURATION_STALE = 2017
    STREAM_ORIGIN_UNKNOWN = 2018
    MEMORY_FULL = 2019

    UPSTREAM_LOST = 3001
    UPSTREAM_SILENT = 3002
    ANSWER_INCOMPLETE = 3003
    EARLIER_RUN_UNKNOWN = 3004
    DEADLINE_PASSED_RUNNING = 3005
    CRASHED_UPSTREAMS = 3006
    UPSTREAM_ERROR = 3007
    CALLER_LEFT_RUNNING = 3009
    HOST_STOPPED_RUNNING = 3010

    DECLARATION_INVALID = 4001
    VERSION_CONFLICT = 4002
    STORE_UNAVAILABLE = 4003
    OUTCOME_UNKNOWN = 4004
    UNKNOWN_OPERATOR = 4005
    SYNTAX_ERROR = 4006
    UNKNOWN_FIELD = 4007
    UNKNOWN_NAME = 4008
    # Returned for a conflict with another operator's order, for orders written concurrently, for
    # the last copy of a model or an adapter, and for an intent that cannot be read. In none of
    # these cases was the upstream asked.
    ORDER_REFUSED = 4011
    # Also returned by a host that has none in force, although the fleet may have accepted one. It
    # cannot check operators' keys then, so a wrong key gets this code as well.
    NO_CONFIGURATION = 4013
    SETTINGS_INVALID = 4014
    AGENT_UNREACHABLE = 4015

    INTERNAL_ERROR = 5001

    # Also for an authentic message whose counter is not above the last one of its session: a
    # repeated or reordered message.
    UNKNOWN_SENDER = 6001
    UNKNOWN_PROTOCOL_VERSION = 6002
    MESSAGE_TOO_LARGE = 6003
    MESSAGE_MALFORMED = 6004


@dataclass(frozen=True, slots=True, kw_only=True)
class CodeDetails:
    """The fixed properties of a result code.

    Attributes:
        http_status: HTTP status of the answer if no part of its body has been sent.
        message: One sentence for the caller, without a full stop.
        verdict: What the caller is told about whether the request ran.
    """

    http_status: int
    message: str
    verdict: RunVerdict


def _not_run(http_status: int, message: str) -> CodeDetails:
    return CodeDetails(http_status=http_status, message=message, verdict=RunVerdict.NOT_RUN)


def _may_have_run(http_status: int, message: str) -> CodeDetails:
    return CodeDetails(http_status=http_status, message=message, verdict=RunVerdict.MAY_HAVE_RUN)


CODE_DETAILS: dict[ResultCode, CodeDetails] = {
    ResultCode.DELIVERED: CodeDetails(
        http_status=200, message="The answer was delivered whole", verdict=RunVerdict.DELIVERED
    ),
    ResultCode.BROKEN_JSON: _not_run(400, "The body is not valid JSON"),
    ResultCode.WRONG_TYPE: _not_run(400, "A field has the wrong type or value"),
    ResultCode.MISSING_FIELD: _not_run(400, "A required field is missing"),
    ResultCode.BODY_TOO_LARGE: _not_run(413, "The body is larger than the limit"),
    ResultCode.DUPLICATE_HEADER: _not_run(400, "A header that may stand once stands twice"),
    ResultCode.BAD_HEADER: _not_run(400, "A header has a value that cannot be used"),
    ResultCode.UNKNOWN_CLASS: _not_run(400, "The service class is not declared"),
    ResultCode.UNKNOWN_MODEL: _not_run(404, "The model is not declared"),
    ResultCode.UNKNOWN_SERVICE: _not_run(404, "The service is not declared"),
    ResultCode.UNKNOWN_PATH: _not_run(404, "There is nothing at this path"),
    ResultCode.METHOD_NOT_ALLOWED: _not_run(405, "The path does not take this method"),
    ResultCode.IDEMPOTENCY_KEY_REQUIRED: _not_run(
        400, "A non-idempotent request needs an Idempotency-Key header"
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: _not_run(
        422, "The Idempotency-Key was used before with another request"
    ),
    ResultCode.MISSING_CREDENTIALS: _not_run(401, "The Authorization header is missing"),
    ResultCode.UNKNOWN_CREDENTIALS: _not_run(401, "The key belongs to no workspace"),
    ResultCode.REQUEST_TOO_SLOW: _not_run(408, "The request did not arrive in time"),
    ResultCode.QUEUE_FULL: _not_run(503, "The queue of this class is full"),
    ResultCode.RATE_LIMITED: _not_run(429, "The workspace is over its request rate"),
    ResultCode.CONCURRENCY_LIMITED: _not_run(429, "The workspace has too many requests open"),
    ResultCode.TARGET_UNREACHABLE: _not_run(503, "The class's target cannot be met any more"),
    ResultCode.SHED: _not_run(503, "The request made room for a higher class"),
    ResultCode.NO_UPSTREAM: _not_run(503, "No upstream can serve the request"),
    ResultCode.CLAIM_STORE_UNAVAILABLE: _not_run(
        503, "The right to run the request once could not be recorded"
    ),
    ResultCode.CLAIM_BUDGET_SPENT: _not_run(503, "Too many non-idempotent requests at once"),
    ResultCode.NOT_READY: _not_run(503, "This host has no configuration in force"),
    ResultCode.STOPPING: _not_run(503, "This host is stopping"),
    ResultCode.DEADLINE_PASSED: _not_run(504, "The deadline passed before the request ran"),
    ResultCode.QUARANTINED: _not_run(422, "Requests like it crashed upstreams; it is not run"),
    ResultCode.UPSTREAM_REFUSED: _not_run(503, "Every upstream asked refused to start it"),
    ResultCode.RETRY_BUDGET_SPENT: _not_run(503, "The retry budget of the class is spent"),
    ResultCode.STILL_RUNNING: _not_run(409, "The first run under this key has not ended"),
    ResultCode.CALLER_LEFT: _not_run(499, "The caller left before the request ran"),
    ResultCode.CONFIGURATION_STALE: _not_run(
        503, "This host cannot confirm which keys are in force"
    ),
    ResultCode.STREAM_ORIGIN_UNKNOWN: _not_run(
        503, "This host does not know which software version began the stream"
    ),
    ResultCode.MEMORY_FULL: _not_run(503, "This host holds too much for slow callers"),
    ResultCode.UPSTREAM_LOST: _may_have_run(502, "The upstream was lost while it ran"),
    ResultCode.UPSTREAM_SILENT: _may_have_run(504, "The upstream stopped sending"),
    ResultCode.ANSWER_INCOMPLETE: _may_have_run(502, "The upstream's answer has no proper end"),
    ResultCode.EARLIER_RUN_UNKNOWN: _may_have_run(
        409, "An earlier run under this key may have run; its answer is not known"
    ),
    ResultCode.DEADLINE_PASSED_RUNNING: _may_have_run(504, "The deadline passed while it ran"),
    ResultCode.CRASHED_UPSTREAMS: _may_have_run(502, "The request crashed its upstreams"),
    ResultCode.UPSTREAM_ERROR: _may_have_run(502, "The upstream answered with an error"),
    ResultCode.CALLER_LEFT_RUNNING: _may_have_run(499, "The caller left while it ran"),
    ResultCode.HOST_STOPPED_RUNNING: _may_have_run(502, "The host stopped while it ran"),
    ResultCode.DECLARATION_INVALID: _not_run(422, "The declaration has faults"),
    ResultCode.VERSION_CONFLICT: _not_run(409, "Another version was accepted first"),
    ResultCode.STORE_UNAVAILABLE: _not_run(503, "The platform's store does not answer"),
    ResultCode.OUTCOME_UNKNOWN: _may_have_run(504, "Whether the command took effect is unknown"),
    ResultCode.UNKNOWN_OPERATOR: _not_run(401, "The key belongs to no operator"),
    ResultCode.SYNTAX_ERROR: _not_run(400, "The command cannot be read"),
    ResultCode.UNKNOWN_FIELD: _not_run(400, "The field does not exist here"),
    ResultCode.UNKNOWN_NAME: _not_run(404, "Nothing is declared under this name"),
    ResultCode.ORDER_REFUSED: _not_run(409, "The upstream refused the order"),
    ResultCode.NO_CONFIGURATION: _not_run(503, "No configuration has been accepted yet"),
    ResultCode.SETTINGS_INVALID: _not_run(400, "The settings have faults"),
    ResultCode.AGENT_UNREACHABLE: _not_run(503, "The agent cannot be reached"),
    ResultCode.INTERNAL_ERROR: _may_have_run(500, "The router met a fault of its own"),
    ResultCode.UNKNOWN_SENDER: _not_run(401, "The message's sender is not authenticated"),
    ResultCode.UNKNOWN_PROTOCOL_VERSION: _not_run(400, "The message's version is not spoken here"),
    ResultCode.MESSAGE_TOO_LARGE: _not_run(413, "The message is larger than the limit"),
    ResultCode.MESSAGE_MALFORMED: _not_run(400, "The message cannot be decoded"),
}
