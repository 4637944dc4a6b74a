"""Hosts and upstreams: live, leaving, gone; and the split of slots over hosts."""

from ._changes import (
    Change,
    FingerprintQuarantined,
    HostsChanged,
    Outgoing,
    RemoteCrashReported,
    UpstreamsChanged,
    VersionAnnounced,
)
from ._measurements import Load
from ._membership import Membership
from ._neighbours import choose_neighbours
from ._shares import HostDemand, SharedUpstream, Shares, compute_shares
from ._times import MembershipTimes

__all__ = [
    "Change",
    "FingerprintQuarantined",
    "HostDemand",
    "HostsChanged",
    "Load",
    "Membership",
    "MembershipTimes",
    "Outgoing",
    "RemoteCrashReported",
    "SharedUpstream",
    "Shares",
    "UpstreamsChanged",
    "VersionAnnounced",
    "choose_neighbours",
    "compute_shares",
]
