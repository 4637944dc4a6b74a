"""Group membership of the hosts (gossip and failure detection) and the split of slots over them."""

from ._changes import (
    Change,
    FingerprintQuarantined,
    HostsChanged,
    OutgoingMessage,
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
    "OutgoingMessage",
    "RemoteCrashReported",
    "SharedUpstream",
    "Shares",
    "UpstreamsChanged",
    "VersionAnnounced",
    "choose_neighbours",
    "compute_shares",
]
