"""Failure detector: finds hosts whose heartbeats have stopped."""

from collections.abc import Iterator

from greengagestage.ids import HostId
from greengagestage.wire import HostRecord, MemberState

from ._times import MembershipTimes

PAUSE_THRESHOLD_INTERVALS = 3
"""Gossip intervals without a check after which this process counts as paused itself, so that the
missing heartbeats are no evidence against other hosts."""


class FailureDetector:
    """Keeps the time of each host's last heartbeat and the time since when it has been suspect.

    A host that has sent a heartbeat to this one is expected to send more.
    """

    def __init__(self, *, times: MembershipTimes) -> None:
        self._times = times
        self._last_heartbeat_s: dict[HostId, float] = {}
        self._suspected_at_s: dict[HostId, float] = {}
        self._last_check_s: float | None = None

    def record_heartbeat(self, host: HostId, watched: bool, now_s: float) -> None:
        """Record a heartbeat. ``watched`` tells whether the host will send further ones."""
        if watched:
            self._last_heartbeat_s[host] = now_s
        else:
            self._last_heartbeat_s.pop(host, None)

    def update_suspicion(self, record: HostRecord, now_s: float) -> None:
        """Start or end the time that a suspected host has to refute the suspicion."""
        if record.state is MemberState.SUSPECT:
            self._suspected_at_s.setdefault(record.host, now_s)
        else:
            self._suspected_at_s.pop(record.host, None)
        if record.state is MemberState.GONE:
            self._last_heartbeat_s.pop(record.host, None)

    def reset_after_pause(self, now_s: float) -> bool:
        """Restart all timers if this process itself did not run. Return whether that was so."""
        previous_s, self._last_check_s = self._last_check_s, now_s
        max_gap_s = PAUSE_THRESHOLD_INTERVALS * self._times.gossip_interval_s
        if previous_s is None or now_s - previous_s <= max_gap_s:
            return False
        self._last_heartbeat_s = dict.fromkeys(self._last_heartbeat_s, now_s)
        self._suspected_at_s = dict.fromkeys(self._suspected_at_s, now_s)
        return True

    def take_silent_hosts(self, now_s: float) -> Iterator[HostId]:
        """Yield the hosts whose heartbeats have stopped, once each."""
        for host, heartbeat_s in list(self._last_heartbeat_s.items()):
            if now_s - heartbeat_s > self._times.suspect_after_s:
                del self._last_heartbeat_s[host]
                yield host

    def take_expired_suspicions(self, now_s: float) -> Iterator[HostId]:
        """Yield the suspected hosts that did not refute the suspicion in time, once each."""
        for host, suspected_at_s in list(self._suspected_at_s.items()):
            if now_s - suspected_at_s > self._times.gone_after_s:
                del self._suspected_at_s[host]
                yield host
