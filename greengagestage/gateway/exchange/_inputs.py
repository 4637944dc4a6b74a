"""A caller's request as admission passes it to its exchange."""

from dataclasses import dataclass

from greengagestage.catalog import Workspace
from greengagestage.http1 import IncomingRequest
from greengagestage.ids import AttemptId, Fingerprint
from greengagestage.routing import Job


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeInputs:
    """A request with what admission determined about it.

    Attributes:
        workspace: The workspace that owns the caller's key; None on routes without keys.
        stream: The caller's attempt that brought the first event of the stream: this one, unless it
            takes up an earlier one.
        last_event_id: The last event that the caller has of a resumable stream that it takes up.
        fingerprint: Hash that is equal for equal requests of one caller.
        version: Version of the configuration that admitted the request.
        version_age_s: Time since that version was known to be the newest.
    """

    request: IncomingRequest
    job: Job
    workspace: Workspace | None
    stream: AttemptId
    last_event_id: bytes | None
    fingerprint: Fingerprint
    version: int
    version_age_s: float | None
