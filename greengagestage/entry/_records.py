"""Records of requests for operators."""

from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict
from greengagestage.wire import RequestRecord

from ._active import ActiveRequest

_MS_PER_S = 1000
_FINAL_STATES = {
    RunVerdict.DELIVERED: "delivered",
    RunVerdict.NOT_RUN: "refused",
    RunVerdict.MAY_HAVE_RUN: "failed",
}


def build_request_record(active: ActiveRequest) -> RequestRecord:
    """Build the record of an open or ended request; the policy's notes are added later."""
    request = active.call.request
    target_ms = active.call.service_class.answer_target_ms
    answer_ms = int(active.age_s * _MS_PER_S)
    is_delivered = active.code is ResultCode.DELIVERED
    return RequestRecord(
        request_id=request.request_id,
        workspace=request.workspace,
        service_class=request.service_class,
        pool=request.pool,
        state=_determine_state(active),
        code=-1 if active.code is None else active.code.value,
        age_ms=answer_ms,
        first_token_ms=_compute_first_token_ms(active),
        answer_ms=answer_ms if is_delivered else -1,
        tokens=active.tokens,
        attempts=len(active.attempt_ids),
        upstream=active.upstream,
        within_target=is_delivered and answer_ms <= target_ms,
    )


def _determine_state(active: ActiveRequest) -> str:
    if active.code is not None:
        return _FINAL_STATES[CODE_DETAILS[active.code].verdict]
    if not active.runs:
        return "queued"
    return "dispatched" if active.first_token_s is None else "streaming"


def _compute_first_token_ms(active: ActiveRequest) -> int:
    if active.first_token_s is None:
        return -1
    return int((active.first_token_s - active.arrived_s) * _MS_PER_S)
