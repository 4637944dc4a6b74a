"""Quarantine of requests that crash upstreams.

A request's fingerprint is a suspect after the first crash and is quarantined after the second. A
crash is the loss of the connection to an upstream that was running the request.
"""

from greengagestage.ids import Fingerprint, UpstreamName
from greengagestage.results import ResultCode

from ._actions import CancelReason, QuarantineFingerprint, ReportCrash
from ._lifecycle import RequestState
from ._records import RequestRecord
from ._state import PolicyState


class Quarantine:
    """Handles crashes of upstreams and quarantines the requests that cause them."""

    def __init__(self, *, state: PolicyState) -> None:
        self._state = state

    def handle_lost_attempt(self, record: RequestRecord, upstream: UpstreamName) -> bool:
        """Handle a lost attempt; return whether its request was quarantined and ended."""
        state = self._state
        fingerprint = record.request.fingerprint
        state.emit(ReportCrash(fingerprint=fingerprint, upstream=upstream))
        if not state.crashes.note_crash(fingerprint, upstream, state.now_s):
            state.log_decision(record, f"suspect: was running on {upstream} when it was lost")
            return False
        state.emit(QuarantineFingerprint(fingerprint=fingerprint))
        self.apply(fingerprint)
        return True

    def handle_remote_crash(self, fingerprint: Fingerprint, upstream: UpstreamName) -> None:
        """Handle a crash that another host reported."""
        if self._state.crashes.note_crash(fingerprint, upstream, self._state.now_s):
            self.apply(fingerprint)

    def apply(self, fingerprint: Fingerprint) -> None:
        """Quarantine a fingerprint and end its open requests immediately."""
        self._state.crashes.quarantine(fingerprint)
        for record in list(self._state.records.values()):
            if record.request.fingerprint == fingerprint:
                self._end_request(record)

    def _end_request(self, record: RequestRecord) -> None:
        state = self._state
        state.cancel_attempts(record, CancelReason.QUARANTINED)
        if record.state is RequestState.CLAIMING and record.claim_attempt_id is not None:
            state.orphan_claims[record.request_id] = record.claim_attempt_id
        state.reject(record, ResultCode.QUARANTINED)
