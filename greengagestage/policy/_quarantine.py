"""Requests that crash upstreams: suspects first, quarantine at the second crash."""

from greengagestage.ids import Fingerprint, UpstreamName
from greengagestage.results import ResultCode

from ._actions import CancelAttempt, CancelReason, QuarantineFingerprint, ReportCrash
from ._lifecycle import RequestState
from ._records import RequestRecord
from ._state import PolicyState


class Quarantine:
    """Follows the fingerprints that were present when upstreams crashed."""

    def __init__(self, *, state: PolicyState) -> None:
        self._state = state

    def handle_lost_attempt(self, record: RequestRecord, upstream: UpstreamName) -> bool:
        """Take in a lost attempt; return whether its request was given up for it."""
        state = self._state
        fingerprint = record.request.fingerprint
        state.emit(ReportCrash(fingerprint=fingerprint, upstream=upstream))
        if not state.crashes.note_crash(fingerprint, upstream, state.now_s):
            state.log_decision(record, f"suspect: present when {upstream} was lost")
            return False
        state.emit(QuarantineFingerprint(fingerprint=fingerprint))
        self.apply(fingerprint)
        return True

    def handle_peer_crash(self, fingerprint: Fingerprint, upstream: UpstreamName) -> None:
        """Take in a crash that another host saw."""
        if self._state.crashes.note_crash(fingerprint, upstream, self._state.now_s):
            self.apply(fingerprint)

    def apply(self, fingerprint: Fingerprint) -> None:
        """Never run a fingerprint again, and end its open requests at once."""
        self._state.crashes.quarantine(fingerprint)
        for record in list(self._state.records.values()):
            if record.request.fingerprint == fingerprint:
                self._give_up(record)

    def _give_up(self, record: RequestRecord) -> None:
        state = self._state
        if record.attempt is not None:
            state.emit(
                CancelAttempt(attempt_id=record.attempt.attempt_id, reason=CancelReason.QUARANTINED)
            )
        if record.state is RequestState.CLAIMING and record.claim_attempt_id is not None:
            state.orphan_claims[record.request_id] = record.claim_attempt_id
        state.reject(record, ResultCode.QUARANTINED)
