"""Which of a service's upstreams a request may be sent to, before the best of them is chosen."""

from collections.abc import Callable, Mapping

from greengagestage.ids import InstanceId

from ._upstreams import UpstreamState


def filter_roomy(
    ready: list[UpstreamState],
    divide_slots: Callable[[], Mapping[InstanceId, int]],
    *,
    hosts: int,
    silent_hosts: int,
    now_s: float,
) -> list[UpstreamState]:
    """Return the upstreams that will hardly turn a request away.

    The hosts divide the slots of all upstreams of a service, and keep to that while all of
    these are brittle. A host that has no slot, and all while some hosts are silent or some
    upstreams may not be brittle, also use free room that they see in the reported load.

    Args:
        divide_slots: Returns how many slots of each upstream belong to this host.
        hosts: Number of hosts that send to the upstreams.
        silent_hosts: Number of hosts that have not reported lately.
    """
    if not any(state.is_brittle for state in ready):
        return ready
    shares = divide_slots()
    all_brittle = all(state.is_brittle for state in ready)
    keeps_to_own = all_brittle and any(shares.values()) and not silent_hosts
    return [
        state
        for state in ready
        if state.local_requests < shares.get(state.record.instance, 0)
        or (not keeps_to_own and state.has_room(hosts, len(ready), now_s))
    ]


def filter_usable(
    candidates: list[UpstreamState],
    *,
    is_reachable: Callable[[UpstreamState], bool] | None,
    choose_brittle: Callable[[list[UpstreamState]], UpstreamState] | None,
    max_requests: float,
    now_s: float,
) -> list[UpstreamState]:
    """Return the candidates that are reachable, healthy and have a connection left for this host.

    A condition that no candidate meets is left out.

    Args:
        is_reachable: None if all are.
        choose_brittle: Chooses one if some are brittle. All hosts share the room of each, and would
            all prefer the same one. None if brittle upstreams are compared like others.
        max_requests: Number of requests that this host may have open at each upstream.
    """
    reachable = candidates
    if is_reachable is not None:
        reachable = [state for state in candidates if is_reachable(state)]
    healthy = [state for state in reachable if state.is_healthy(now_s)] or reachable or candidates
    if choose_brittle is not None and any(state.is_brittle for state in healthy):
        healthy = [choose_brittle(healthy)]
    return [state for state in healthy if state.local_requests < max_requests] or healthy
