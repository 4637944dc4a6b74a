"""The choice of an upstream for a request."""

from ._records import RequestRecord
from ._upstreams import UpstreamBook, UpstreamEntry


class Router:
    """Chooses upstreams by load."""

    def __init__(self, *, upstreams: UpstreamBook) -> None:
        self._upstreams = upstreams

    def choose(self, record: RequestRecord) -> UpstreamEntry | None:
        """Return the least loaded upstream with a free slot that was not tried before."""
        candidates = [
            entry
            for entry in self._upstreams.list_pool(record.pool)
            if entry.takes_work
            and len(entry.in_flight) < entry.count_slots(self._upstreams.entry_hosts)
        ]
        fresh = [entry for entry in candidates if entry.name not in record.tried]
        if fresh:
            return min(fresh, key=self._score)
        return None

    def _score(self, entry: UpstreamEntry) -> tuple[float, str]:
        slots = entry.count_slots(self._upstreams.entry_hosts)
        return (len(entry.in_flight) / slots, entry.name)
