"""Decides which hosts try a link first that all of them may suspect."""

from collections.abc import Iterable

import xxhash

from greengagestage.ids import HostId, InstanceId


def rank_host(host: HostId, others: Iterable[HostId], instance: InstanceId) -> int:
    """Return how many other hosts try the link to an upstream sooner, for each upstream others.

    Hosts need not know the same ones: all that know of each other agree which of them is first.
    """
    own = _compute_rank_key(host, instance)
    return sum(_compute_rank_key(other, instance) < own for other in others)


def _compute_rank_key(host: HostId, instance: InstanceId) -> tuple[int, HostId]:
    return xxhash.xxh64_intdigest(f"{instance} {host}".encode()), host
