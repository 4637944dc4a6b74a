"""The division of a service's slots among hosts that do not coordinate."""

from collections.abc import Iterable

from greengagestage.ids import InstanceId


def divide_slots(
    slots: Iterable[tuple[int, InstanceId, int]], *, position: int, hosts: int
) -> dict[InstanceId, int]:
    """Return how many slots of each upstream belong to one host.

    All hosts that know the same upstreams and hosts give each slot to exactly one host, and each
    host gets the same number of slots, or one more.

    Args:
        slots: Sort key, instance and number of slots of each upstream.
        position: Place of the host among all hosts, from 0.
        hosts: Number of hosts.
    """
    shares: dict[InstanceId, int] = {}
    before = 0
    for _, instance, number in sorted(slots):
        first = (position - before) % hosts
        shares[instance] = len(range(first, number, hosts))
        before += number
    return shares
