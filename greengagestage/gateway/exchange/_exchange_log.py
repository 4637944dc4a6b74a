"""Log messages about the exchange of one request."""

from dataclasses import dataclass
from typing import Any

from eliot import log_message

from greengagestage.results import ResultCode
from greengagestage.routing import Job, Placement, Waiting

from ._attempt import Attempt
from ._attempt_faults import AttemptFault
from ._delivery import Delivery


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeOutcome:
    """How an exchange ended.

    Attributes:
        sends: Number of attempts to send the request.
        waited: Whether the request waited on this host for an upstream.
        elapsed_s: Time from the request's arrival to its end.
        retry_after_s: When the caller was told to try again; None if it was not.
        detail: Why the request was refused, as far as the code does not say it.
    """

    code: ResultCode
    sends: int
    waited: bool
    elapsed_s: float
    retry_after_s: float | None
    detail: str | None = None


class ExchangeLog:
    """Logs each decision about a request with the values that led to it.

    The field ``request`` is the caller's id of the request; ``send`` is the number of the attempt.
    """

    def __init__(self, *, job: Job, version: int, version_age_s: float | None) -> None:
        self._job = job
        self._version = version
        self._version_age_s = version_age_s
        self._prompt_tokens = None if job.prompt is None else job.prompt.tokens

    def log_waiting(self, waiting: Waiting) -> None:
        """Log that the request waits on this host."""
        log_message(
            message_type="request: waits",
            request=self._job.attempt_id,
            route=self._job.route.name,
            prompt_tokens=self._prompt_tokens,
            reason=waiting.reason,
        )

    def log_sent(self, placement: Placement, send: int) -> None:
        """Log that the request is about to be sent to an upstream."""
        prompt = self._job.prompt
        log_message(
            message_type="request: sent",
            request=self._job.attempt_id,
            route=self._job.route.name,
            urgency=self._job.urgency,
            version=self._version,
            version_age_s=_round(self._version_age_s),
            upstream=placement.upstream.instance,
            software=placement.upstream.software_version,
            reason=placement.reason,
            via=None if placement.via is None else placement.via.host,
            expected_ms=_to_ms(placement.expected_s),
            prefill_ms=_to_ms(placement.prefill_s),
            upstream_requests=placement.requests,
            upstream_tolerant=placement.tolerant_requests,
            beginning=None if prompt is None else prompt.affinity_key,
            prompt_tokens=self._prompt_tokens,
            output_tokens=None if prompt is None else prompt.output_tokens,
            send=send,
        )

    def log_attempt_fault(self, attempt: Attempt, fault: AttemptFault, delivery: Delivery) -> None:
        """Log that an attempt ended without a complete answer."""
        prompt = self._job.prompt
        log_message(
            message_type="request: attempt failed",
            request=self._job.attempt_id,
            upstream=attempt.plan.placement.upstream.instance,
            fault=fault.value,
            via=attempt.forwarded_by,
            sent=attempt.sent_s is not None,
            send=attempt.plan.number,
            **_describe_stream(delivery),
            begun=delivery.begun,
            silent_ms=_to_ms(attempt.silent_s),
            parts=None if prompt is None else [each.part for each in prompt.shared_parts],
        )

    def log_end(self, outcome: ExchangeOutcome, delivery: Delivery) -> None:
        """Log the end of the exchange."""
        log_message(
            message_type="request: ended",
            request=self._job.attempt_id,
            route=self._job.route.name,
            urgency=self._job.urgency,
            prompt_tokens=self._prompt_tokens,
            code=outcome.code.value,
            result=outcome.code.name,
            status=None if delivery.head is None else delivery.head.status,
            begun=delivery.begun,
            sends=outcome.sends,
            **_describe_stream(delivery),
            waited=outcome.waited,
            first_event_ms=_to_ms(delivery.first_event_s),
            longest_gap_ms=_to_ms(delivery.longest_gap_s),
            elapsed_ms=_to_ms(outcome.elapsed_s),
            retry_after_s=outcome.retry_after_s,
            detail=outcome.detail,
        )


def _describe_stream(delivery: Delivery) -> dict[str, Any]:
    head, last_event_id = delivery.head, delivery.last_event_id
    return {
        "framed": None if head is None else head.framed,
        "events": delivery.events,
        "last_event": None if last_event_id is None else last_event_id.decode("latin-1"),
        "continued": [
            f"{after.decode('latin-1')}: {first.decode('latin-1')}"
            for after, first in delivery.continuations
        ],
        "defect": delivery.defect,
    }


def _to_ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1_000, 1)


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
