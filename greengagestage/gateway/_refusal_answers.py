"""Refusals as HTTP responses to callers on the platform."""

from greengagestage.http1 import Responder
from greengagestage.platform import format_retry_after, get_refusal_status
from greengagestage.refusals import ERROR_CONTENT_TYPE, Refusal, encode_refusal


def answer_refusal(responder: Responder, refusal: Refusal, *, time_left_s: float) -> None:
    """Send a refusal as the final answer; ``Retry-After`` depends on the seconds left."""
    headers = [(b"Content-Type", ERROR_CONTENT_TYPE.encode())]
    if refusal.retry_after_s is not None:
        value = format_retry_after(refusal.retry_after_s, time_left_s)
        headers.append((b"Retry-After", value))
    responder.answer(get_refusal_status(refusal.code), headers, encode_refusal(refusal))
