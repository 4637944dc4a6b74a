"""Finds hosts that fell silent. A host that writes to this one is expected to go on."""

from collections.abc import Iterator

from greengagestage.ids import HostId
from greengagestage.wire import HostRecord, MemberState

from ._times import MembershipTimes

PAUSE_INTERVALS = 3
"""Intervals without a check after which this process was paused, not the others silent."""


class FailureDetector:
    """Times of the last heartbeats, and of suspicions that wait for an answer."""

    def __init__(self, *, times: MembershipTimes) -> None:
        self._times = times
        self._heard_at_s: dict[HostId, float] = {}
        self._suspected_at_s: dict[HostId, float] = {}
        self._checked_at_s: float | None = None

    def note_heartbeat(self, host: HostId, watched: bool, now_s: float) -> None:
        """Note that a host wrote; ``watched`` says that it will go on."""
        if watched:
            self._heard_at_s[host] = now_s
        else:
            self._heard_at_s.pop(host, None)

    def note_record(self, record: HostRecord, now_s: float) -> None:
        """Start or end the time that a suspected host has to contradict."""
        if record.state is MemberState.SUSPECT:
            self._suspected_at_s.setdefault(record.host, now_s)
        else:
            self._suspected_at_s.pop(record.host, None)
        if record.state is MemberState.GONE:
            self._heard_at_s.pop(record.host, None)

    def forgive_pause(self, now_s: float) -> bool:
        """Forgive all silence if this process itself did not run; tell whether it did not."""
        last_s, self._checked_at_s = self._checked_at_s, now_s
        pause_s = PAUSE_INTERVALS * self._times.gossip_interval_s
        if last_s is None or now_s - last_s <= pause_s:
            return False
        self._heard_at_s = dict.fromkeys(self._heard_at_s, now_s)
        self._suspected_at_s = dict.fromkeys(self._suspected_at_s, now_s)
        return True

    def take_silent(self, now_s: float) -> Iterator[HostId]:
        """Yield the hosts that have fallen silent, once each."""
        for host, heard_at_s in list(self._heard_at_s.items()):
            if now_s - heard_at_s > self._times.suspect_after_s:
                del self._heard_at_s[host]
                yield host

    def take_uncontradicted(self, now_s: float) -> Iterator[HostId]:
        """Yield the suspected hosts whose time to contradict is over."""
        for host, suspected_at_s in list(self._suspected_at_s.items()):
            if now_s - suspected_at_s > self._times.gone_after_s:
                del self._suspected_at_s[host]
                yield host
