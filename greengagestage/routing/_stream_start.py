"""Which upstreams may begin a resumable stream, by their software versions."""

from ._jobs import Job, Waiting
from ._software_versions import StreamVersions
from ._upstreams import UpstreamState

RECORD_CHECK_S = 0.02
"""Time until a request that waits for the record of a version is placed again. A host usually
writes the record within some milliseconds of the version's first appearance."""


def filter_beginnings(
    upstreams: list[UpstreamState], versions: StreamVersions, now_s: float
) -> list[UpstreamState]:
    """Return those of a service's upstreams at which a resumable stream may be begun."""
    if not upstreams:
        return upstreams
    serving = {state.record.software_version for state in upstreams}
    allowed = versions.list_beginnings(upstreams[0].record.service, serving, now_s)
    return [state for state in upstreams if state.record.software_version in allowed]


def await_record(
    job: Job, ready: list[UpstreamState], versions: StreamVersions, now_s: float
) -> Waiting | None:
    """Let a job wait if upstreams are ready whose version only lacks its record."""
    begins_stream = job.route.resumable and job.began_at is None
    if not begins_stream or not ready or filter_beginnings(ready, versions, now_s):
        return None
    return Waiting(delay_s=RECORD_CHECK_S, reason="the software version is not recorded yet")
