"""Hosts and upstreams: live, leaving, gone; and the split of slots over hosts."""

from ._shares import HostDemand, SharedUpstream, Shares, compute_shares

__all__ = ["HostDemand", "SharedUpstream", "Shares", "compute_shares"]
