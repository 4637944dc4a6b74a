"""Refusals as HTTP responses to callers on the platform."""

from greengagestage.http1 import Responder
from greengagestage.platform import format_retry_after, get_refusal_status
from greengagestage.refusals import ERROR_CONTENT_TYPE, Refusal, encode_refusal
from greengagestage.results import ResultCode

from ._attempt_faults import AttemptFault

REFUSED_RETRY_AFTER_S = 0.3
"""``Retry-After`` once upstreams have refused a request for lack of capacity."""


def answer_refusal(responder: Responder, refusal: Refusal, *, time_left_s: float) -> None:
    """Send a refusal as the final answer; ``Retry-After`` depends on the seconds left."""
    headers = [(b"Content-Type", ERROR_CONTENT_TYPE.encode())]
    if refusal.retry_after_s is not None:
        value = format_retry_after(refusal.retry_after_s, time_left_s)
        headers.append((b"Retry-After", value))
    responder.answer(get_refusal_status(refusal.code), headers, encode_refusal(refusal))


def choose_fault_refusal(
    fault: AttemptFault, *, may_have_run: bool, pause_s: float = 0.0
) -> Refusal:
    """Return the final answer after the last attempt has failed.

    Args:
        pause_s: Time until an upstream of the service accepts requests again.
    """
    if not may_have_run:
        code = ResultCode.NO_UPSTREAM if fault.proves_not_sent else ResultCode.UPSTREAM_REFUSED
        retry_after_s = max(REFUSED_RETRY_AFTER_S, pause_s)
        return Refusal(code=code, detail=fault.value, retry_after_s=retry_after_s)
    match fault:
        case AttemptFault.SILENT:
            return Refusal(code=ResultCode.UPSTREAM_SILENT)
        case AttemptFault.MALFORMED:
            return Refusal(code=ResultCode.ANSWER_INCOMPLETE)
        case _:
            return Refusal(code=ResultCode.UPSTREAM_LOST)
