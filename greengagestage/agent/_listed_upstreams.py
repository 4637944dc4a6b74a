"""Compares the platform's host list, which lags, with the known upstream marks. No I/O."""

from collections.abc import Iterator

from greengagestage.ids import UpstreamName
from greengagestage.services import HostList, HostState
from greengagestage.wire import UpstreamMark


def find_mark_changes(
    listed: HostList, marks: dict[UpstreamName, tuple[UpstreamMark, float]], lag_s: float
) -> Iterator[tuple[UpstreamName, bool]]:
    """Yield the upstreams to mark as leaving (True) or as no longer leaving (False).

    ``marks`` holds each known mark with its age in seconds. A leaving mark is cleared only if the
    list still shows the upstream as live after more than ``lag_s``, the longest time by which the
    list can lag. An upstream that is not listed keeps its mark: a short list is evidence of a
    faulty list.
    """
    for upstream in listed.upstreams:
        mark, age_s = marks.get(upstream.name, (None, 0.0))
        leaving = mark is not None and mark.leaving
        if upstream.state is HostState.LEAVING and not leaving:
            yield upstream.name, True
        elif upstream.state is HostState.LIVE and leaving and age_s > lag_s:
            yield upstream.name, False
