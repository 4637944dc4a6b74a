"""Intervals and timeouts of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipTimes:
    """Intervals and timeouts in seconds, and a rate.

    Attributes:
        gossip_interval_s: Time between two periodic gossip messages to a neighbour.
        suspect_after_s: Time without a heartbeat after which a host is suspected.
        gone_after_s: Time that a suspected host has to refute the suspicion.
        sync_interval_s: Time between two comparisons of all records with another host.
        report_interval_s: Minimum time between two reports of a host.
        report_rate_per_s: Maximum reports per second of the whole fleet; in a large fleet it
            lengthens the interval between the reports of a host.
    """

    gossip_interval_s: float = 1.0
    suspect_after_s: float = 5.0
    gone_after_s: float = 4.0
    sync_interval_s: float = 10.0
    report_interval_s: float = 2.0
    report_rate_per_s: float = 4.0
