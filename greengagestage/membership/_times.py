"""Intervals and time limits of the membership."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipTimes:
    """Seconds.

    Attributes:
        gossip_interval_s: Between two heartbeats to a neighbour.
        suspect_after_s: Silence after which a host is suspected.
        gone_after_s: Time that a suspected host has to contradict.
        sync_interval_s: Between two comparisons of all records with another host.
        report_interval_s: Least time between two reports of a host.
        report_rate_per_s: Reports of the whole fleet a second, which sets a longer interval.
    """

    gossip_interval_s: float = 1.0
    suspect_after_s: float = 5.0
    gone_after_s: float = 4.0
    sync_interval_s: float = 10.0
    report_interval_s: float = 2.0
    report_rate_per_s: float = 4.0
